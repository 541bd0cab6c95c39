// Package advice keeps to what endpoints say of themselves in their answers.
//
// # Leaving
//
// An endpoint that is about to shut down says so in its answers, often before the
// platform does and at times instead of it. It gets no further calls until it is gone, or
// is found to stay: as it gets no calls, it can't say so in an answer.
//
// # Quiet
//
// An endpoint that refuses a call may name a time for which it wants none from this
// host. Other hosts are not told: each has an answer of its own. The time is never
// shortened, also not by a success: the answer may be to a call that was sent before,
// and the endpoint has said what it needs. Afterwards the endpoint gets one call, and
// twice as many in all with each step of time, until it refuses one again.
//
// # Incarnations
//
// What an endpoint has said counts for the incarnation that said it. A call may be
// answered by a later one than it was sent to, which the host hears of afterwards.
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
	// minLeaving is for how long an endpoint counts as leaving after it last said so,
	// whatever its entry says: some never change it before they shut down, most within
	// seconds, some within many.
	minLeaving = time.Minute
	// maxQuiet bounds the time that an endpoint may name. It is longer than one needs to
	// start again; one that named a longer time by mistake is asked once a minute.
	maxQuiet = time.Minute
	// missingDuration is how long the advice of an endpoint is kept that is not listed any
	// more: an entry may come back while its endpoint shuts down, and a call may be answered
	// after the endpoint has started again.
	missingDuration = time.Minute
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

// Change is what an answer has changed, and of which incarnation.
type Change struct {
	Endpoint              identity.Incarnation
	Limit, Leaving, Quiet bool
}

// Keeper holds the advice of endpoints as known to one host. Create one with New.
type Keeper struct {
	// Limits holds the limits that endpoints name.
	Limits *limit.Limits

	mu        sync.Mutex
	endpoints map[identity.Incarnation]*state
}

// state is the latest advice of one endpoint.
type state struct {
	// leaving is set once it has said that it leaves. leavingSaid is when it last did, and
	// leavingSent when that call was sent.
	leaving                  bool
	leavingSaid, leavingSent time.Time
	// quiet is the time that ends last, latestQuiet that of the latest call.
	quiet, latestQuiet quiet
	// sent counts the calls sent since the end of quiet, while they are limited.
	sent int
	// successor is the next incarnation of the endpoint, if there is one, and
	// successorStarted when it started.
	successor        identity.Incarnation
	successorStarted time.Time
	// listed is when the endpoint was last one of those retained; missing is set if it was
	// none of the latest ones.
	listed  time.Time
	missing bool
}

// quiet is a time for which an endpoint wants no calls.
type quiet struct {
	// sent is when the call was sent that was refused.
	sent, until time.Time
}

// state returns the state of an endpoint. The caller holds the lock.
func (k *Keeper) state(now time.Time, endpoint identity.Incarnation) *state {
	s := k.endpoints[endpoint]
	if s == nil {
		s = &state{listed: now}
		k.endpoints[endpoint] = s
	}
	return s
}

// New returns a Keeper with limits.
func New(limits *limit.Limits) *Keeper {
	return &Keeper{Limits: limits, endpoints: make(map[identity.Incarnation]*state)}
}

// Record records an endpoint's advice in an answer to a call that was sent some time
// ago. executed is set if the endpoint has executed the call: a refusal without a limit
// is no sign that a limit has ended.
func (k *Keeper) Record(now time.Time, endpoint identity.Incarnation, a Advice, executed bool, sentBefore time.Duration) Change {
	k.mu.Lock()
	defer k.mu.Unlock()
	sent := now.Add(-sentBefore)
	change := Change{Endpoint: k.answering(endpoint, sent)}
	if a.Limited || executed {
		change.Limit = k.Limits.Record(change.Endpoint, a.PerSecond, a.Limited, sentBefore)
	}
	if !a.Leaving && a.Quiet <= 0 {
		return change
	}
	s := k.state(now, change.Endpoint)
	if a.Leaving {
		change.Leaving = !s.leaving
		s.leaving, s.leavingSaid, s.leavingSent = true, now, sent
	}
	if a.Quiet > 0 {
		change.Quiet = s.recordQuiet(quiet{sent: sent, until: now.Add(min(a.Quiet, maxQuiet))})
	}
	return change
}

func (s *state) recordQuiet(q quiet) (longer bool) {
	if !q.sent.Before(s.latestQuiet.sent) {
		s.latestQuiet = q
	}
	if !q.until.After(s.quiet.until) {
		return false
	}
	s.quiet, s.sent = q, 0
	return true
}

// answering returns the incarnation that answers a call which was sent to an endpoint, as
// far as known. The caller holds the lock.
func (k *Keeper) answering(endpoint identity.Incarnation, sent time.Time) identity.Incarnation {
	for {
		s := k.endpoints[endpoint]
		if s == nil || s.successor == "" || sent.Before(s.successorStarted) {
			return endpoint
		}
		endpoint = s.successor
	}
}

// Succeed records that an endpoint has started again, some time ago, as another
// incarnation. What was said in answers to calls that were sent since then was said by
// this one; the rest is not held against it. An incarnation must be the successor of
// earlier ones only.
func (k *Keeper) Succeed(now time.Time, ended, successor identity.Incarnation, startedBefore time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	started := now.Add(-startedBefore)
	s, next := k.state(now, ended), k.state(now, successor)
	s.successor, s.successorStarted = successor, started
	for _, q := range []quiet{s.quiet, s.latestQuiet} {
		if !q.sent.Before(started) {
			next.recordQuiet(q)
		}
	}
	if s.leaving && !s.leavingSent.Before(started) {
		next.leaving, next.leavingSaid, next.leavingSent = true, s.leavingSaid, s.leavingSent
	}
}

// Stay records the news that an endpoint stays, and reports whether it no longer counts
// as leaving. News within minLeaving of what the endpoint said itself don't count.
func (k *Keeper) Stay(now time.Time, endpoint identity.Incarnation) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.endpoints[endpoint]
	if s == nil || !s.leaving || now.Sub(s.leavingSaid) < minLeaving {
		return false
	}
	s.leaving = false
	return true
}

// Open reports whether an endpoint may get a call now.
func (k *Keeper) Open(now time.Time, endpoint identity.Incarnation) bool {
	k.mu.Lock()
	s := k.endpoints[endpoint]
	closed := s != nil && (s.leaving || s.closedFor(now) > 0)
	k.mu.Unlock()
	return !closed && k.Limits.Open(endpoint)
}

// Permits reports whether a call for which an endpoint was open earlier may still be sent
// to it.
func (k *Keeper) Permits(now time.Time, endpoint identity.Incarnation) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.endpoints[endpoint]
	return s == nil || !s.leaving && !now.Before(s.quiet.until)
}

// Closed returns the endpoints that may get no call now for what they have said.
func (k *Keeper) Closed(now time.Time) []identity.Incarnation {
	k.mu.Lock()
	defer k.mu.Unlock()
	var closed []identity.Incarnation
	for id, s := range k.endpoints {
		if s.leaving || s.closedFor(now) > 0 {
			closed = append(closed, id)
		}
	}
	return closed
}

// closedFor returns for how long an endpoint that was quiet gets no further call.
func (s *state) closedFor(now time.Time) time.Duration {
	since := now.Sub(s.quiet.until)
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
func (k *Keeper) Leaving(endpoint identity.Incarnation) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.endpoints[endpoint]
	return s != nil && s.leaving
}

// Counts returns how many of the endpoints that are listed have said that they are leaving,
// and how many are quiet.
func (k *Keeper) Counts(now time.Time) (leaving, quiet int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.endpoints {
		if s.missing {
			continue
		}
		if s.leaving {
			leaving++
		}
		if now.Before(s.quiet.until) {
			quiet++
		}
	}
	return leaving, quiet
}

// Retain drops the advice of all other endpoints once they have been missing for
// missingDuration.
func (k *Keeper) Retain(now time.Time, endpoints map[identity.Incarnation]bool) {
	k.Limits.Retain(endpoints)
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, s := range k.endpoints {
		s.missing = !endpoints[id]
		if !s.missing {
			s.listed = now
		}
		if now.Sub(s.listed) >= missingDuration {
			delete(k.endpoints, id)
		}
	}
}
