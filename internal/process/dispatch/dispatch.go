// Package dispatch tracks the requests that one entry host has dispatched to each
// endpoint.
//
// # Load correction
//
// An endpoint's load report lags behind its load. Tracker keeps the times of the
// latest dispatches, so that those which a report can't include yet are added to
// the reported load.
//
// # Outlier ejection
//
// Three consecutive failures eject an incarnation for a period that doubles with
// each further failure, up to a maximum. A success ends the ejection.
package dispatch

import (
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/route"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// historySize is how many recent dispatches are kept for each incarnation.
	historySize = 64
	// ejectionThreshold is how many consecutive failures eject an incarnation.
	ejectionThreshold = 3
	baseEjectionTime  = 5 * time.Second
	maxEjectionTime   = time.Minute
	// idleRetention is how long an incarnation without dispatches is kept.
	idleRetention = 10 * time.Minute
)

// Tracker is safe for concurrent use. Create one with New.
type Tracker struct {
	mu      sync.Mutex
	pending map[identity.Request]identity.Incarnation
	records map[identity.Incarnation]*record
}

// record holds the dispatches to one incarnation.
type record struct {
	inFlight int
	// recent is a ring buffer; nextSlot is overwritten next.
	recent              [historySize]dispatched
	nextSlot            int
	lastDispatch        time.Time
	consecutiveFailures int
	ejectedUntil        time.Time
}

type dispatched struct {
	at     time.Time
	tokens unit.Tokens
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{pending: make(map[identity.Request]identity.Incarnation), records: make(map[identity.Incarnation]*record)}
}

// Begin records a dispatch. A dispatch of the request that is still pending counts
// as failed.
func (t *Tracker) Begin(request identity.Request, to identity.Incarnation, tokens unit.Tokens, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(request, false, now)
	r := t.records[to]
	if r == nil {
		r = new(record)
		t.records[to] = r
	}
	t.pending[request] = to
	r.inFlight++
	r.recent[r.nextSlot] = dispatched{at: now, tokens: tokens}
	r.nextSlot = (r.nextSlot + 1) % historySize
	r.lastDispatch = now
}

// End records the outcome of a request's pending dispatch.
func (t *Tracker) End(request identity.Request, succeeded bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(request, succeeded, now)
}

// end records the outcome of a request's pending dispatch; the caller holds mu.
func (t *Tracker) end(request identity.Request, succeeded bool, now time.Time) {
	to, ok := t.pending[request]
	if !ok {
		return
	}
	delete(t.pending, request)
	r := t.records[to]
	r.inFlight--
	if succeeded {
		r.consecutiveFailures = 0
		r.ejectedUntil = time.Time{}
		return
	}
	r.consecutiveFailures++
	if r.consecutiveFailures >= ejectionThreshold {
		r.ejectedUntil = now.Add(min(maxEjectionTime, baseEjectionTime<<min(r.consecutiveFailures-ejectionThreshold, 8)))
	}
}

// Ejected reports whether an incarnation is ejected at now.
func (t *Tracker) Ejected(incarnation identity.Incarnation, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[incarnation]
	return r != nil && now.Before(r.ejectedUntil)
}

// Dispatches returns how many dispatches to an incarnation are in flight and,
// separately, the number and tokens of those begun after since, ended or not, of
// which at most historySize are known.
func (t *Tracker) Dispatches(to identity.Incarnation, since time.Time) route.Dispatches {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[to]
	if r == nil {
		return route.Dispatches{}
	}
	dispatches := route.Dispatches{InFlight: r.inFlight}
	for n := 1; n <= historySize; n++ {
		s := &r.recent[(r.nextSlot-n+historySize)%historySize]
		if !s.at.After(since) || s.at.IsZero() {
			break
		}
		dispatches.SinceReport++
		dispatches.TokensSinceReport += s.tokens
	}
	return dispatches
}

// EvictIdle deletes incarnations that have nothing in flight and have had no dispatch
// for idleRetention.
func (t *Tracker) EvictIdle(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.records {
		if r.inFlight == 0 && now.Sub(r.lastDispatch) > idleRetention {
			delete(t.records, id)
		}
	}
}
