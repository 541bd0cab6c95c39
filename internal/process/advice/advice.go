// Package advice keeps to what endpoints say of themselves in their answers.
//
// # Leaving
//
// An endpoint that is about to shut down says so in its answers, often before the
// platform does and at times instead of it. It gets no further calls. What it said
// counts for this incarnation only, and for longer than any endpoint takes to shut down;
// one that still exists then was wrong, or has changed its mind.
//
// # Quiet
//
// An endpoint that refuses a call may name a time for which it wants none from this
// host. Other hosts are not told: each has an answer of its own. The time is never
// shortened, also not by a success: the answer may be to a call that was sent before,
// and the endpoint has said what it needs. Afterwards the endpoint gets one call, and
// twice as many in all with each step of time, until it refuses one again.
//
// # Limits
//
// An endpoint may name a rate of calls from all hosts together; see package limit.
package advice

import (
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// leavingDuration is how long an endpoint counts as leaving after it last said so.
	// Endpoints shut down within seconds of that, some within many.
	leavingDuration = time.Minute
	// maxQuiet bounds the time that an endpoint may name. It is longer than one needs to
	// start again; one that named a longer time by mistake is asked once a minute.
	maxQuiet = time.Minute
	// rampStep is how long after it was quiet an endpoint gets twice as many calls of this
	// host, starting with one: about as long as it takes to refuse a call. After rampSteps
	// it gets as many as there are.
	rampStep  = 250 * time.Millisecond
	rampSteps = 6
)

// Advice is what an endpoint says of itself in one answer.
type Advice struct {
	// PerSecond is the rate of calls that it takes from all hosts, if Limited is set.
	PerSecond float64
	Limited   bool
	Leaving   bool
	// Quiet is for how long it wants no calls from this host; zero if it has not said.
	Quiet time.Duration
}

// Change is what an answer has changed.
type Change struct{ Limit, Leaving, Quiet bool }

// Keeper holds the advice of endpoints as known to one host. Create one with New.
type Keeper struct {
	// Limits holds the limits that endpoints name.
	Limits *limit.Limits

	mu        sync.Mutex
	endpoints map[identity.Incarnation]*state
}

// state is the latest advice of one endpoint.
type state struct {
	leavingUntil, quietUntil time.Time
	// sent counts the calls sent since quietUntil, while they are limited.
	sent int
}

// New returns a Keeper with limits.
func New(limits *limit.Limits) *Keeper {
	return &Keeper{Limits: limits, endpoints: make(map[identity.Incarnation]*state)}
}

// Record records an endpoint's advice in an answer to a call that was sent some time
// ago. executed is set if the endpoint has executed the call: a refusal without a limit
// is no sign that a limit has ended.
func (k *Keeper) Record(now time.Time, endpoint identity.Incarnation, a Advice, executed bool, sentBefore time.Duration) Change {
	var change Change
	if a.Limited || executed {
		change.Limit = k.Limits.Record(endpoint, a.PerSecond, a.Limited, sentBefore)
	}
	if !a.Leaving && a.Quiet <= 0 {
		return change
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.endpoints[endpoint]
	if s == nil {
		s = new(state)
		k.endpoints[endpoint] = s
	}
	if a.Leaving {
		change.Leaving = !now.Before(s.leavingUntil)
		s.leavingUntil = now.Add(leavingDuration)
	}
	if until := now.Add(min(a.Quiet, maxQuiet)); a.Quiet > 0 && until.After(s.quietUntil) {
		change.Quiet = true
		s.quietUntil, s.sent = until, 0
	}
	return change
}

// Open reports whether an endpoint may get a call now.
func (k *Keeper) Open(now time.Time, endpoint identity.Incarnation) bool {
	k.mu.Lock()
	s := k.endpoints[endpoint]
	closed := s != nil && (now.Before(s.leavingUntil) || s.closedFor(now) > 0)
	k.mu.Unlock()
	return !closed && k.Limits.Open(endpoint)
}

// Permits reports whether a call for which an endpoint was open earlier may still be sent
// to it.
func (k *Keeper) Permits(now time.Time, endpoint identity.Incarnation) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.endpoints[endpoint]
	return s == nil || !now.Before(s.leavingUntil) && !now.Before(s.quietUntil)
}

// closedFor returns for how long an endpoint that was quiet gets no further call.
func (s *state) closedFor(now time.Time) time.Duration {
	since := now.Sub(s.quietUntil)
	if since < 0 {
		return -since
	}
	step := since / rampStep
	if step >= rampSteps || s.sent < 1<<step {
		return 0
	}
	return (step+1)*rampStep - since
}

// ClosedFor returns for how long an endpoint that was quiet gets no further call, or zero.
func (k *Keeper) ClosedFor(now time.Time, endpoint identity.Incarnation) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.endpoints[endpoint]
	if s == nil {
		return 0
	}
	return s.closedFor(now)
}

// Take records that a call is sent to an endpoint.
func (k *Keeper) Take(endpoint identity.Incarnation) {
	k.mu.Lock()
	if s := k.endpoints[endpoint]; s != nil && s.sent < 1<<rampSteps {
		s.sent++
	}
	k.mu.Unlock()
	k.Limits.Take(endpoint)
}

// Leaving reports whether an endpoint has said that it is leaving.
func (k *Keeper) Leaving(now time.Time, endpoint identity.Incarnation) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.endpoints[endpoint]
	return s != nil && now.Before(s.leavingUntil)
}

// Counts returns how many endpoints have said that they are leaving, and how many are
// quiet.
func (k *Keeper) Counts(now time.Time) (leaving, quiet int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.endpoints {
		if now.Before(s.leavingUntil) {
			leaving++
		}
		if now.Before(s.quietUntil) {
			quiet++
		}
	}
	return leaving, quiet
}

// Retain drops the advice of all other endpoints, except that some of them are leaving:
// an entry may come back while its endpoint shuts down.
func (k *Keeper) Retain(now time.Time, endpoints map[identity.Incarnation]bool) {
	k.Limits.Retain(endpoints)
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, s := range k.endpoints {
		if !endpoints[id] && !now.Before(s.leavingUntil) {
			delete(k.endpoints, id)
		}
	}
}
