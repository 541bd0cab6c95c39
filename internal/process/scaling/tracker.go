package scaling

import (
	"math"
	"time"
)

// Tracker tracks demand, which rises at once and falls slowly, and the growth of
// the initial fleet.
type Tracker struct {
	smoothed  float64
	decayedAt time.Time
	// firstDemandAt is the time of the first demand. maxStable is the highest number
	// of stable endpoints so far, grownAt the time when it was reached.
	firstDemandAt, grownAt time.Time
	maxStable              int
}

const (
	// minDemandTime is how long calls must have arrived until their load can be known,
	// and minDemandSamples how many of them the speed of the endpoints must have been
	// learned from. After maxDemandTime the load counts as known in any case.
	minDemandTime    = 3 * time.Second
	minDemandSamples = 100
	maxDemandTime    = 10 * time.Second
)

// settleTime is the time without growth after which the initial fleet counts as
// complete. It is longer than the interval between two liveness signals of an
// endpoint.
const settleTime = 1500 * time.Millisecond

// RecordStable records the number of stable endpoints.
func (t *Tracker) RecordStable(now time.Time, stable int) {
	if stable > t.maxStable {
		t.maxStable, t.grownAt = stable, now
	}
}

// Settled reports whether stable endpoints may be released. Before the first
// demand, a part of the initial fleet may not have been discovered yet.
func (t *Tracker) Settled(now time.Time) bool {
	return !t.firstDemandAt.IsZero() || t.maxStable > 0 && now.Sub(t.grownAt) >= settleTime
}

// DemandKnown reports whether the measured load is reliable, given the number of calls
// from which the speed of the endpoints was learned.
func (t *Tracker) DemandKnown(now time.Time, samples int) bool {
	if t.firstDemandAt.IsZero() {
		return false
	}
	age := now.Sub(t.firstDemandAt)
	return age >= maxDemandTime || age >= minDemandTime && samples >= minDemandSamples
}

// demandDecayTime is the time constant with which demand decays.
const demandDecayTime = 8 * time.Second

// SmoothDemand records the demand as of the latest Decay and returns the demand to plan
// for.
func (t *Tracker) SmoothDemand(demand float64) float64 {
	if demand > 0 && t.firstDemandAt.IsZero() {
		t.firstDemandAt = t.decayedAt
	}
	t.smoothed = max(demand, t.smoothed)
	return t.smoothed
}

// Decay decays the demand by the time since its previous call.
func (t *Tracker) Decay(now time.Time) {
	if !t.decayedAt.IsZero() {
		t.smoothed *= math.Exp(-now.Sub(t.decayedAt).Seconds() / demandDecayTime.Seconds())
	}
	t.decayedAt = now
}
