// Package dispatch counts what one entry host has sent to each endpoint.
//
// # Since the report
//
// An endpoint's own report of its load lags. Book keeps the times of the newest
// dispatches, so that those which a report can't contain yet are added to it.
//
// # Failures
//
// Three failures in a row make an incarnation failing for a while, which grows
// with each further one. A success ends it.
package dispatch

import (
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/route"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// remembered is how many dispatches to one incarnation are kept by time.
	remembered = 64
	// failuresInRow make an incarnation failing.
	failuresInRow  = 3
	failingFor     = 5 * time.Second
	longestFailing = time.Minute
	// idleKept is how long an incarnation without dispatches is kept.
	idleKept = 10 * time.Minute
)

// Book is safe for use by several goroutines. Make one with New.
type Book struct {
	mu   sync.Mutex
	open map[identity.Request]identity.Incarnation
	to   map[identity.Incarnation]*record
}

// record is what was sent to one incarnation.
type record struct {
	inFlight int
	// sent is a ring of which next is written next.
	sent [remembered]sent
	next int
	last time.Time
	// failures counts those in a row.
	failures     int
	failingUntil time.Time
}

type sent struct {
	at     time.Time
	tokens unit.Tokens
}

// New makes an empty Book.
func New() *Book {
	return &Book{open: make(map[identity.Request]identity.Incarnation), to: make(map[identity.Incarnation]*record)}
}

// Begin counts a dispatch. One that the request had elsewhere has failed.
func (b *Book) Begin(request identity.Request, to identity.Incarnation, tokens unit.Tokens, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(request, false, now)
	r := b.to[to]
	if r == nil {
		r = new(record)
		b.to[to] = r
	}
	b.open[request] = to
	r.inFlight++
	r.sent[r.next] = sent{at: now, tokens: tokens}
	r.next = (r.next + 1) % remembered
	r.last = now
}

// End counts a request's last dispatch as ended, well or not.
func (b *Book) End(request identity.Request, well bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(request, well, now)
}

// end closes a request's open dispatch; mu is held.
func (b *Book) end(request identity.Request, well bool, now time.Time) {
	to, ok := b.open[request]
	if !ok {
		return
	}
	delete(b.open, request)
	r := b.to[to]
	r.inFlight--
	if well {
		r.failures = 0
		r.failingUntil = time.Time{}
		return
	}
	r.failures++
	if r.failures >= failuresInRow {
		r.failingUntil = now.Add(min(longestFailing, failingFor<<min(r.failures-failuresInRow, 8)))
	}
}

// Failing tells whether an incarnation should be passed over at now.
func (b *Book) Failing(of identity.Incarnation, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.to[of]
	return r != nil && now.Before(r.failingUntil)
}

// Own tells of the dispatches to an incarnation, those after since apart.
func (b *Book) Own(to identity.Incarnation, since time.Time) route.Own {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.to[to]
	if r == nil {
		return route.Own{}
	}
	own := route.Own{InFlight: r.inFlight}
	for n := 1; n <= remembered; n++ {
		s := &r.sent[(r.next-n+remembered)%remembered]
		if !s.at.After(since) || s.at.IsZero() {
			break
		}
		own.Since++
		own.SinceTokens += s.tokens
	}
	return own
}

// Forget drops incarnations that are idle for long.
func (b *Book) Forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.to {
		if r.inFlight == 0 && now.Sub(r.last) > idleKept {
			delete(b.to, id)
		}
	}
}
