package quarantine_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// host is a Quarantine with a clock of its own.
type host struct {
	*quarantine.Quarantine
	now time.Time
	// crashes numbers the crashed endpoints.
	crashes int
}

func newHost() *host {
	h := &host{now: time.Unix(1_000_000, 0)}
	h.Quarantine = quarantine.New(quarantine.WithClock(func() time.Time { return h.now }))
	return h
}

func attempt(endpoint string, parts ...quarantine.PartID) quarantine.Attempt {
	return quarantine.Attempt{Service: service, Endpoint: identity.Incarnation(endpoint), Parts: parts, InProgress: 100 * time.Millisecond}
}

// crash crashes one more endpoint, half a second later.
func (h *host) crash(parts ...quarantine.PartID) {
	h.now = h.now.Add(500 * time.Millisecond)
	h.crashes++
	h.RecordCrash(attempt(fmt.Sprint("crashed", h.crashes), parts...))
}

func (h *host) answer(parts ...quarantine.PartID) {
	h.now = h.now.Add(10 * time.Millisecond)
	h.RecordAnswer(attempt("sound", parts...))
}

func (h *host) decide() quarantine.Decision {
	h.now = h.now.Add(10 * time.Millisecond)
	return h.Decide(map[identity.Service]int{service: 12}, 0)
}

func (h *host) stops(parts ...quarantine.PartID) bool {
	_, stopped := h.Check(service, parts)
	return stopped
}

// Sound calls have all parts but the deadly one in common with those that crash
// endpoints.
func TestOnlyTheUnansweredPartIsQuarantined(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for range 4 {
		h.crash(1, 2, 666)
		h.answer(1, 2)
		h.decide()
	}
	c.Assert(h.stops(1, 2, 666), qt.IsTrue)
	c.Assert(h.stops(3, 666), qt.IsTrue)
	c.Assert(h.stops(1, 2), qt.IsFalse)
}

// Two parts that were only ever seen together can't be told apart; each alone goes on
// until its own calls decide.
func TestPartsSeenTogetherAreStoppedTogether(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for range 4 {
		h.crash(2, 666)
	}
	c.Assert(h.decide().Quarantined, qt.HasLen, 1)
	c.Assert(h.stops(2, 666), qt.IsTrue)
	c.Assert(h.stops(2), qt.IsFalse)
	c.Assert(h.stops(666), qt.IsFalse)
	h.answer(2)
	h.decide()
	c.Assert(h.stops(666), qt.IsTrue)
	c.Assert(h.stops(2), qt.IsFalse)
}

// Long calls are in progress at all endpoints, also at those that another call's part
// crashes, and may not be answered for a while. The part must be stopped nevertheless, and
// their part must not be.
func TestPartsOfOtherCallsAreNotStoppedTogether(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for range 6 {
		h.crash(666)
		long := attempt(fmt.Sprint("crashed", h.crashes), 7)
		long.InProgress = 3 * time.Second
		h.RecordCrash(long)
	}
	h.decide()
	c.Assert(h.stops(666), qt.IsTrue)
	c.Assert(h.stops(7), qt.IsFalse)
}

// All endpoints may be lost at one moment, and with them calls with any part.
func TestCrashesAtOneMomentCountOnce(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for i := range 12 {
		h.RecordCrash(attempt(fmt.Sprint("e", i), 1, 2))
	}
	h.now = h.now.Add(5 * time.Second)
	c.Assert(h.decide().Quarantined, qt.HasLen, 0)
}

// An endpoint that breaks off a call and answers later ones has not crashed; it may
// still crash afterwards.
func TestBrokenCallsAreNoCrashes(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for i := range 6 {
		h.RecordCrash(attempt(fmt.Sprint("e", i), 7))
		h.now = h.now.Add(500 * time.Millisecond)
		h.RecordAnswer(attempt(fmt.Sprint("e", i), 8))
	}
	c.Assert(h.decide().Quarantined, qt.HasLen, 0)
	for i := range 4 {
		h.now = h.now.Add(500 * time.Millisecond)
		h.RecordCrash(attempt(fmt.Sprint("e", i), 666))
	}
	h.decide()
	c.Assert(h.stops(666), qt.IsTrue)
	c.Assert(h.stops(7), qt.IsFalse)
}

// A host that still reports a quarantine must not bring it back where an answer has
// ended it, and learns of its end.
func TestReleaseReachesOtherHosts(t *testing.T) {
	c := qt.New(t)
	a, b := newHost(), newHost()
	for range 4 {
		a.crash(5)
	}
	a.decide()
	b.now = a.now
	b.Merge(a.Evidence(false))
	c.Assert(b.stops(5), qt.IsTrue)
	b.answer(5)
	c.Assert(b.decide().Released, qt.HasLen, 1)
	b.Merge(a.Evidence(false))
	c.Assert(b.stops(5), qt.IsFalse)
	a.now = b.now
	a.Merge(b.Evidence(false))
	a.decide()
	c.Assert(a.stops(5), qt.IsFalse)
}

// After a quarantine has run out, the first crash starts a longer one.
func TestQuarantineRunsOutAndIsRepeated(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for range 4 {
		h.crash(666)
	}
	h.decide()
	first, _ := h.Check(service, []quarantine.PartID{666})
	h.now = h.now.Add(first + time.Second)
	h.decide()
	c.Assert(h.stops(666), qt.IsFalse)
	h.crash(666)
	h.decide()
	second, stopped := h.Check(service, []quarantine.PartID{666})
	c.Assert(stopped, qt.IsTrue)
	c.Assert(second > 3*first/2, qt.IsTrue, qt.Commentf("%v after %v", second, first))
}

// A report with absurd values must neither block the process nor stop calls.
func TestMalformedEvidenceHasNoEffect(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	h.Merge(quarantine.Evidence{
		Crashes: []quarantine.Crash{{}, {Endpoint: "e", Service: service, AtMillis: math.MaxInt64}},
		Answered: map[identity.Service]map[quarantine.PartID]int64{
			service: {666: math.MaxInt64},
		},
		Orders: []quarantine.Order{
			{Service: service, AtMillis: h.now.UnixMilli()},
			{Service: service, Parts: []quarantine.PartID{9}, AtMillis: math.MaxInt64 / 2},
			{Service: service, Parts: []quarantine.PartID{8}, AtMillis: h.now.UnixMilli() - 1e10, Repeats: math.MaxInt},
		},
	})
	c.Assert(h.stops(1, 8, 9), qt.IsFalse)
	for range 4 {
		h.crash(666)
	}
	h.decide()
	c.Assert(h.stops(666), qt.IsTrue)
}

// Reports stay small however many calls the crashes break off.
func TestEvidenceIsBounded(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for i := range 300 {
		var parts []quarantine.PartID
		for j := range 40 {
			parts = append(parts, quarantine.PartID(i*100+j))
		}
		h.now = h.now.Add(10 * time.Millisecond)
		h.RecordCrash(attempt(fmt.Sprint("e", i), append(parts, 666)...))
	}
	e := h.Evidence(true)
	c.Assert(len(e.Crashes), qt.Equals, 24)
	for _, crash := range e.Crashes {
		c.Assert(len(crash.Parts), qt.Equals, 10)
		_, found := crash.Parts[666]
		c.Assert(found, qt.IsTrue)
	}
}
