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

func callAttempt(endpoint string, call quarantine.Fingerprint) quarantine.Attempt {
	a := attempt(endpoint)
	a.Call = call
	return a
}

// crashCall crashes one more endpoint under a call, half a second later.
func (h *host) crashCall(call quarantine.Fingerprint) {
	h.now = h.now.Add(500 * time.Millisecond)
	h.crashes++
	h.RecordCrash(callAttempt(fmt.Sprint("crashed", h.crashes), call))
	h.RecordDown(identity.Incarnation(fmt.Sprint("crashed", h.crashes)))
}

func (h *host) stopsCall(call quarantine.Fingerprint) bool {
	_, stopped := h.CheckCall(call)
	return stopped
}

// The repeats of a call come at any host, and none of them need see more than one crash.
func TestCrashesAtSeveralHostsStopACall(t *testing.T) {
	c := qt.New(t)
	hosts := []*host{newHost(), newHost(), newHost()}
	for i, h := range hosts {
		h.now = h.now.Add(time.Duration(i) * time.Second)
		h.crashes = i
		h.crashCall(666)
	}
	for _, h := range hosts {
		h.now = hosts[2].now
		for _, other := range hosts {
			h.Merge(other.Evidence(false))
		}
		h.decide()
		c.Check(h.stopsCall(666), qt.IsTrue)
		c.Check(h.stopsCall(7), qt.IsFalse)
	}
}

// Endpoints cut their answers to one call, and go on without a call of another kind that
// would show it. The call must not be stopped until they are known to be down.
func TestCutAnswersAreNoCrashes(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for i := range 6 {
		h.now = h.now.Add(500 * time.Millisecond)
		h.RecordCrash(callAttempt(fmt.Sprint("e", i), 7))
	}
	h.decide()
	c.Check(h.stopsCall(7), qt.IsFalse)
	c.Check(h.Unconfirmed(), qt.HasLen, 6)
	h.RecordPresent(map[identity.Incarnation]bool{"e0": true, "e1": true, "e2": true})
	h.decide()
	c.Check(h.stopsCall(7), qt.IsTrue)
	c.Check(h.Unconfirmed(), qt.DeepEquals, []identity.Incarnation{"e0", "e1", "e2"})
}

// A call that is repeated often and mostly answered is not to blame for the crashes at
// which it happened to be in progress, wherever it was answered.
func TestAnsweredCallIsNotStopped(t *testing.T) {
	c := qt.New(t)
	a, b := newHost(), newHost()
	for range 6 {
		a.crashCall(7)
		b.now = a.now
		b.Merge(a.Evidence(false))
		b.now = b.now.Add(10 * time.Millisecond)
		b.RecordAnswer(callAttempt("sound", 7))
		a.now = b.now
		a.Merge(b.Evidence(false))
		a.decide()
		b.decide()
	}
	c.Check(a.stopsCall(7), qt.IsFalse)
	c.Check(b.stopsCall(7), qt.IsFalse)
}

// All endpoints may be lost at one moment, and with them calls that look alike.
func TestCrashesOfACallAtOneMomentCountOnce(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for i := range 12 {
		h.RecordCrash(callAttempt(fmt.Sprint("e", i), 7))
		h.RecordDown(identity.Incarnation(fmt.Sprint("e", i)))
	}
	h.now = h.now.Add(5 * time.Second)
	h.decide()
	c.Check(h.stopsCall(7), qt.IsFalse)
}

// After its quarantine the first crash stops a call again, for longer; an answer ends it.
func TestQuarantineOfACallIsRepeatedAndEndsWithAnAnswer(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for range 3 {
		h.crashCall(666)
	}
	h.decide()
	first, _ := h.CheckCall(666)
	h.now = h.now.Add(first + time.Second)
	h.decide()
	c.Assert(h.stopsCall(666), qt.IsFalse)
	h.crashCall(666)
	h.decide()
	second, stopped := h.CheckCall(666)
	c.Assert(stopped, qt.IsTrue)
	c.Check(second > 3*first/2, qt.IsTrue, qt.Commentf("%v after %v", second, first))
	other := newHost()
	other.now = h.now
	other.Merge(quarantine.Evidence{Orders: h.Orders()})
	c.Assert(other.stopsCall(666), qt.IsTrue)
	other.now = other.now.Add(10 * time.Millisecond)
	other.RecordAnswer(callAttempt("sound", 666))
	c.Assert(other.decide().Released, qt.HasLen, 1)
	h.now = other.now
	h.Merge(other.Evidence(false))
	h.decide()
	c.Check(h.stopsCall(666), qt.IsFalse)
	other.Merge(quarantine.Evidence{Orders: []quarantine.Order{{Call: 666, AtMillis: 1_000_000_000}}})
	c.Check(other.stopsCall(666), qt.IsFalse)
}

// Reports with absurd values have no effect, and reports stay small however many calls
// the crashes break off.
func TestEvidenceOfCallsIsBounded(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	h.Merge(quarantine.Evidence{
		AnsweredCalls: map[quarantine.Fingerprint]int64{666: math.MaxInt64, 0: 1},
		Orders:        []quarantine.Order{{Call: 5, AtMillis: math.MaxInt64 / 2}, {Call: 6, AtMillis: h.now.UnixMilli() - 1e10, Repeats: math.MaxInt}},
	})
	c.Check(h.stopsCall(5), qt.IsFalse)
	c.Check(h.stopsCall(6), qt.IsFalse)
	for i := range 300 {
		h.now = h.now.Add(10 * time.Millisecond)
		for j := range 40 {
			h.RecordCrash(callAttempt(fmt.Sprint("e", i), quarantine.Fingerprint(i*100+j)))
		}
		h.RecordCrash(callAttempt(fmt.Sprint("e", i), 666_666))
	}
	e := h.Evidence(true)
	c.Assert(e.Crashes, qt.HasLen, 24)
	for _, crash := range e.Crashes {
		c.Check(crash.Calls, qt.HasLen, 16)
		c.Check(crash.Calls, qt.Contains, quarantine.Fingerprint(666_666))
	}
	h.RecordPresent(nil)
	h.Decide(map[identity.Service]int{service: 12}, 0)
	c.Check(h.stopsCall(666_666), qt.IsTrue)
}
