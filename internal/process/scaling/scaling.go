// Package scaling decides how many endpoints of which kind a service has in each
// zone.
//
// # Kinds
//
// Reclaimable endpoints cost a fraction of the price of on-demand ones, which are
// called stable here. They are reclaimed zone by zone, all at once and within
// seconds of the notice; for a while afterwards none may be available in any zone.
// Therefore each zone keeps a minimum of stable endpoints, and reclaimable ones
// carry the remaining load plus a reserve for the loss of one zone. Stable
// endpoints are released only when reclaimable ones serve in their place, not when
// these are ordered. If reclaimable endpoints are missing nevertheless, stable
// ones replace them until they are available again.
//
// # State
//
// Plan is a pure function; state that changes over time is kept in Tracker.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Zone describes a service in one zone.
type Zone struct {
	Zone identity.Zone
	// Demand is the number of busy endpoints that the calls from the zone require
	// (endpoint seconds per second).
	Demand float64
	// Stable and Reclaimable are the numbers of endpoints that serve and are not
	// leaving.
	Stable, Reclaimable int
	// Ordered is the number of reclaimable endpoints in the latest order.
	Ordered int
	// Initial is the number of reclaimable endpoints equivalent to the fleet that
	// the operators started with, which is assumed to be sufficient.
	Initial int
}

// InitialReclaimable returns Zone.Initial for a fleet that started with the given
// numbers of endpoints.
func InitialReclaimable(stable, reclaimable int) int {
	return max(reclaimable, int(math.Ceil(initialRatio*float64(stable))))
}

// Target is the target number of endpoints of each kind in a zone.
type Target struct {
	Zone                identity.Zone
	Stable, Reclaimable int
}

const (
	// utilisation is the planned utilisation of an endpoint. Above it, the time to
	// the first token exceeds its target during bursts.
	utilisation = 0.5
	// minStable is the minimum number of stable endpoints in each zone.
	minStable = 1
	// minReclaimable is the minimum number of reclaimable endpoints in each zone, so
	// that it can serve a burst.
	minReclaimable = 3
	// initialRatio is the number of reclaimable endpoints per stable one until
	// demand is known; at the start caches are empty and all prompt tokens have to
	// be processed.
	initialRatio = 1.2
	// demandKnownAfter is the time after the first call from which measured demand
	// is reliable: a few times the window of its measurement.
	demandKnownAfter = 10 * time.Second
	// maxSurplus is the largest surplus of reclaimable endpoints that a zone keeps;
	// a larger one is released whole. They are cheap and take long to start.
	maxSurplus = 2
	// minCoverage is the fraction of the need below which stable endpoints replace
	// missing reclaimable ones.
	minCoverage = 0.85
)

// Plan returns the target of each zone, in the order of zones. Until demand is
// known, targets don't fall below the initial fleet.
func Plan(s *catalogue.Scaling, zones []Zone, known bool) []Target {
	targets := make([]Target, 0, len(zones))
	need := needPerZone(zones)
	for _, z := range zones {
		target := Target{Zone: z.Zone, Stable: max(minStable, s.Min), Reclaimable: reclaimableTarget(z, need, len(zones))}
		required := int(math.Ceil(need))
		if !known {
			target.Reclaimable = max(target.Reclaimable, z.Initial)
			required = max(required, z.Initial)
		}
		target.Stable = max(target.Stable, min(z.Stable, required-z.Reclaimable))
		targets = append(targets, target)
	}
	coverShortfall(zones, targets, need)
	for i := range targets {
		target := &targets[i]
		target.Stable = min(target.Stable, s.Max)
		target.Reclaimable = max(0, min(target.Reclaimable, s.Max-target.Stable))
	}
	return targets
}

// needPerZone returns the number of endpoints per zone that the demand of all
// zones requires. Calls are sent to where there is capacity and where their
// prompts are cached, in any zone.
func needPerZone(zones []Zone) float64 {
	demand := 0.0
	for _, z := range zones {
		demand += z.Demand
	}
	return demand / utilisation / float64(max(1, len(zones)))
}

// reclaimableTarget returns how many reclaimable endpoints cover a zone's need and
// its part of the need of one lost zone, besides the minimum of stable ones. It is
// at least minReclaimable, and stays at the latest order if that is at most
// maxSurplus more.
func reclaimableTarget(z Zone, need float64, zones int) int {
	target := need + need/float64(max(1, zones-1)) - minStable
	n := max(minReclaimable, int(math.Ceil(target)))
	if n < z.Ordered && z.Ordered-n <= maxSurplus {
		return z.Ordered
	}
	return n
}

// coverShortfall adds stable endpoints in the zones where reclaimable ones are
// missing, as many as all zones together lack for minCoverage of the need.
func coverShortfall(zones []Zone, targets []Target, need float64) {
	shortfall, missing := 0.0, 0.0
	for i, z := range zones {
		shortfall += minCoverage*need - float64(targets[i].Stable+z.Reclaimable)
		missing += missingReclaimable(z, need)
	}
	if shortfall <= 0 || missing <= 0 {
		return
	}
	for i, z := range zones {
		targets[i].Stable += int(math.Ceil(shortfall * missingReclaimable(z, need) / missing))
	}
}

// missingReclaimable returns the number of reclaimable endpoints that a zone
// lacks.
func missingReclaimable(z Zone, need float64) float64 {
	return max(0, need-float64(minStable+z.Reclaimable))
}

// Tracker tracks demand, which rises at once and falls slowly, and the growth of
// the initial fleet.
type Tracker struct {
	smoothed  map[identity.Zone]float64
	decayedAt time.Time
	// firstDemandAt is the time of the first demand. maxStable is the highest number
	// of stable endpoints so far, grownAt the time when it was reached.
	firstDemandAt, grownAt time.Time
	maxStable              int
}

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

// DemandKnown reports whether measured demand is reliable.
func (t *Tracker) DemandKnown(now time.Time) bool {
	return !t.firstDemandAt.IsZero() && now.Sub(t.firstDemandAt) >= demandKnownAfter
}

// demandDecayTime is the time constant with which demand decays.
const demandDecayTime = 8 * time.Second

// SmoothDemand records a zone's demand as of the latest Decay and returns the demand
// to plan for.
func (t *Tracker) SmoothDemand(zone identity.Zone, demand float64) float64 {
	if t.smoothed == nil {
		t.smoothed = make(map[identity.Zone]float64)
	}
	if demand > 0 && t.firstDemandAt.IsZero() {
		t.firstDemandAt = t.decayedAt
	}
	t.smoothed[zone] = max(demand, t.smoothed[zone])
	return t.smoothed[zone]
}

// Decay decays all demands by the time since its previous call.
func (t *Tracker) Decay(now time.Time) {
	if !t.decayedAt.IsZero() {
		factor := math.Exp(-now.Sub(t.decayedAt).Seconds() / demandDecayTime.Seconds())
		for zone := range t.smoothed {
			t.smoothed[zone] *= factor
		}
	}
	t.decayedAt = now
}

// SortZones sorts zones by name, so that plans are deterministic.
func SortZones(zones []Zone) {
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Zone, b.Zone) })
}
