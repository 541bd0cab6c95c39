package balance

import (
	"math/bits"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Use is one call under way at an endpoint.
type Use struct {
	b      *Balancer
	s      *state
	ask    Ask
	unread unit.Tokens
	ended  bool
}

// Start counts a call at the endpoint that was chosen.
func (b *Balancer) Start(now time.Time, choice Choice, ask Ask) *Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[choice.Endpoint.Incarnation]
	if s == nil {
		s = &state{endpoint: choice.Endpoint, parts: make(map[uint64]time.Time)}
	}
	u := &Use{b: b, s: s, ask: ask, unread: choice.Uncached}
	s.own.Running++
	s.own.Unread += u.unread
	s.own.Held += ask.Prompt + ask.Output
	for _, c := range chains(ask.Parts) {
		s.parts[c] = now
	}
	return u
}

// Read tells that the prompt was read.
func (u *Use) Read() {
	u.b.mu.Lock()
	defer u.b.mu.Unlock()
	u.s.own.Unread -= u.unread
	u.unread = 0
}

// Result is how a call at an endpoint ended, for its health.
type Result uint8

// The results.
const (
	// Succeeded is an answer, of whatever meaning.
	Succeeded Result = iota
	// Failed is no answer, a broken one, or the endpoint's own error.
	Failed
	// Unreachable is a connection that could not be had.
	Unreachable
	// Full is a refusal for want of room.
	Full
	// Abandoned calls say nothing of the endpoint.
	Abandoned
)

// End counts the call's end, once.
func (u *Use) End(now time.Time, result Result) {
	u.b.mu.Lock()
	defer u.b.mu.Unlock()
	if u.ended {
		return
	}
	u.ended = true
	u.s.own.Running--
	u.s.own.Unread -= u.unread
	u.s.own.Held -= u.ask.Prompt + u.ask.Output
	switch result {
	case Succeeded:
		u.s.succeeded()
	case Failed:
		u.s.failed(now, 1)
	case Unreachable:
		u.s.failed(now, unreachableWeight)
		u.s.forget()
	case Full:
		u.s.fullUntil = now.Add(fullFor)
	case Abandoned:
	}
}

// Sweep drops what is known of parts that are no longer cached.
func (b *Balancer) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.endpoints {
		for id, at := range s.parts {
			if now.Sub(at) > cachedFor {
				delete(s.parts, id)
			}
		}
	}
}

// forget drops what was cached by an endpoint that may have restarted.
func (s *state) forget() { clear(s.parts) }

// health judges an endpoint by the outcomes of calls.
type health struct {
	// score is the mean of failures, zero to one, over about smoothing calls.
	score  float64
	inARow int
	// lastFailure is when a call failed last.
	lastFailure time.Time
	// doubted counts other hosts that find it failing.
	doubted int
}

const (
	// smoothing is how many calls the mean of failures goes over.
	smoothing = 6.0
	// failingScore is above the share of errors that endpoints give by
	// themselves, and below that of one which fails in part.
	failingScore = 0.4
	failingInRow = 2
	// failingFor is how long an endpoint is put last after a failure.
	failingFor = 2 * time.Second
	// unreachableWeight counts a refused connection as several failures.
	unreachableWeight = 3
	// failingMillis is above any wait in time.
	failingMillis = 3000.0
	doubtedMillis = 400.0
	// fullFor is how long an endpoint that refused a call is put last.
	fullFor    = 150 * time.Millisecond
	fullMillis = 1000.0
)

func (h *health) succeeded() {
	h.score -= h.score / smoothing
	h.inARow = 0
}

func (h *health) failed(now time.Time, weight int) {
	for range weight {
		h.score += (1 - h.score) / smoothing
		h.inARow++
	}
	h.lastFailure = now
}

func (h *health) failing(now time.Time) bool {
	return now.Sub(h.lastFailure) < failingFor && (h.score > failingScore || h.inARow >= failingInRow)
}

// penalty puts endpoints last that fail or are full.
func (s *state) penalty(now time.Time) float64 {
	p := doubtedMillis * float64(min(s.doubted, 2))
	if s.failing(now) {
		p += failingMillis
	}
	if now.Before(s.fullUntil) {
		p += fullMillis
	}
	return p
}

// chains names a prompt's leading parts, one more each.
func chains(parts []Part) []uint64 {
	names := make([]uint64, len(parts))
	for i := range parts {
		names[i] = chain(parts[:i+1])
	}
	return names
}

// chain names a prompt's leading parts.
func chain(parts []Part) uint64 {
	h := uint64(len(parts))
	for _, p := range parts {
		h = mix(h ^ p.ID)
	}
	return h
}

// mix spreads the bits of x by a folded product.
func mix(x uint64) uint64 {
	high, low := bits.Mul64(x+0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return high ^ low
}
