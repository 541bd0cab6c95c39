package limit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// The bound that the tests check: in any window an endpoint may get excess times what it
// named, and slack calls more, from settled after it first named a limit.
const (
	window  = 4 * time.Second
	excess  = 1.5
	slack   = 5
	settled = 4 * time.Second
	step    = 10 * time.Millisecond
	id      = identity.Incarnation("e")
)

// fleet is a number of hosts that send calls to one endpoint, as often as they may.
type fleet struct {
	random    *rand.Rand
	start     time.Time
	now       time.Time
	perSecond func(elapsed time.Duration) float64
	hosts     []*host
	// zones is the number of zones; the hosts are in them by turns.
	zones int
	sent  []time.Time
}

// host is one of the hosts. Its clock is skewed; it hears nobody while it is cut off.
type host struct {
	*limit.Limits
	skew            time.Duration
	callsPerSecond  float64
	stopped, cutOff bool
}

func newFleet(seed uint64, hosts int, callsPerSecond float64, perSecond func(time.Duration) float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1_000_000, 0), perSecond: perSecond, zones: 1}
	f.now = f.start
	for range hosts {
		f.hosts = append(f.hosts, f.newHost(callsPerSecond))
	}
	return f
}

func (f *fleet) newHost(callsPerSecond float64) *host {
	h := &host{callsPerSecond: callsPerSecond, skew: time.Duration(f.random.IntN(6000)-3000) * time.Millisecond}
	h.Limits = limit.New(limit.WithClock(func() time.Time { return f.now.Add(h.skew) }))
	return h
}

func (f *fleet) elapsed() time.Duration { return f.now.Sub(f.start) }

// setTurns gives each host its turn by the hosts of its zone that it hears. All of those
// that ever were count, as they do for a while in a mesh.
func (f *fleet) setTurns() {
	for i, h := range f.hosts {
		turn := limit.Turn{Zone: i % f.zones, Zones: f.zones}
		for j, other := range f.hosts {
			if j%f.zones != turn.Zone {
				continue
			}
			turn.Hosts++
			if j < i && !other.stopped && !other.cutOff && !h.cutOff {
				turn.Host++
			}
		}
		h.SetTurn(turn)
	}
}

// run runs the fleet for a time; events happen before the step in which they are due.
func (f *fleet) run(until time.Duration, events map[time.Duration]func()) {
	for f.elapsed() < until {
		f.now = f.now.Add(step)
		if event := events[f.elapsed()]; event != nil {
			event()
		}
		if f.elapsed()%(250*time.Millisecond) == 0 {
			f.exchange()
			f.setTurns()
		}
		for _, h := range f.hosts {
			if !h.stopped && f.random.Float64() < h.callsPerSecond*step.Seconds() && h.Open(id) {
				h.Take(id)
				f.sent = append(f.sent, f.now)
				perSecond := f.perSecond(f.elapsed())
				h.Record(id, perSecond, perSecond > 0, 0)
			}
		}
	}
}

func (f *fleet) exchange() {
	for _, from := range f.hosts {
		for _, to := range f.hosts {
			if from != to && !from.cutOff && !to.cutOff && !from.stopped && !to.stopped {
				to.Merge(from.Reported(true))
			}
		}
	}
}

// busiest returns the largest number of calls in a window after the limit has settled.
func (f *fleet) busiest() int {
	most := 0
	for i, first := range f.sent {
		if first.Sub(f.start) < settled {
			continue
		}
		count := 0
		for _, at := range f.sent[i:] {
			if at.Sub(first) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func constant(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// The sum over all hosts must stay within what an endpoint named, from rates far below a
// call a second and host to far above, and whatever their clocks say; with enough demand
// most of it should be used.
func TestHostsTogetherKeepTheLimit(t *testing.T) {
	for _, hosts := range []int{1, 2, 7, 12, 16} {
		for _, perSecond := range []float64{0.3, 1, 2.7, 8, 30} {
			t.Run(fmt.Sprintf("%d hosts, %v", hosts, perSecond), func(t *testing.T) {
				c := qt.New(t)
				for seed := range uint64(5) {
					f := newFleet(seed, hosts, 40, constant(perSecond))
					f.run(60*time.Second, nil)
					allowed := excess*perSecond*window.Seconds() + slack
					c.Check(float64(f.busiest()) <= allowed, qt.IsTrue, qt.Commentf("seed %d: %d calls, allowed %.1f", seed, f.busiest(), allowed))
					c.Check(float64(len(f.sent)) > 0.6*perSecond*60, qt.IsTrue, qt.Commentf("seed %d: %d calls in a minute", seed, len(f.sent)))
				}
			})
		}
	}
}

// The zones of a large fleet share a limit, however many hosts each has.
func TestZonesShareTheLimit(t *testing.T) {
	c := qt.New(t)
	for _, hosts := range []int{25, 64} {
		for _, perSecond := range []float64{1, 2.7, 20, 100} {
			f := newFleet(uint64(hosts), hosts, 8, constant(perSecond))
			f.zones = 6
			f.run(30*time.Second, nil)
			allowed := excess*perSecond*window.Seconds() + slack
			c.Check(float64(f.busiest()) <= allowed, qt.IsTrue, qt.Commentf("%d hosts: %d calls, allowed %.1f", hosts, f.busiest(), allowed))
			c.Check(float64(len(f.sent)) > 0.5*perSecond*30, qt.IsTrue, qt.Commentf("%d hosts, %v: %d calls in 30 s", hosts, perSecond, len(f.sent)))
		}
	}
}

// Hosts that start know no limit and are told late; others stop, or are cut off and hear
// no one. The rest must not get more for it.
func TestLimitIsKeptWhileHostsComeAndGo(t *testing.T) {
	c := qt.New(t)
	for _, perSecond := range []float64{1, 2.7, 8} {
		for seed := range uint64(20) {
			f := newFleet(seed, 8, 10, constant(perSecond))
			f.run(40*time.Second, map[time.Duration]func(){
				8 * time.Second:  func() { f.hosts[2].cutOff = true },
				10 * time.Second: func() { f.hosts[1].stopped = true },
				12 * time.Second: func() { f.hosts = append(f.hosts, f.newHost(10)) },
				14 * time.Second: func() { f.hosts[2].cutOff = false },
				16 * time.Second: func() { f.hosts[0].stopped, f.hosts[3].stopped = true, true },
				18 * time.Second: func() { f.hosts[1] = f.newHost(10) },
				22 * time.Second: func() { f.hosts[5].cutOff, f.hosts[6].cutOff = true, true },
			})
			allowed := excess*perSecond*window.Seconds() + slack
			c.Check(float64(f.busiest()) <= allowed, qt.IsTrue, qt.Commentf("%v, seed %d: %d calls, allowed %.1f", perSecond, seed, f.busiest(), allowed))
		}
	}
}

// An endpoint may name another rate in every answer. A host must not take a call in the
// slots of each of them.
func TestChangingLimitIsKept(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(10) {
		random := rand.New(rand.NewPCG(seed, 3))
		f := newFleet(seed, 7, 10, func(time.Duration) float64 { return 1 + 0.4*random.Float64() })
		f.run(60*time.Second, nil)
		c.Check(f.busiest() <= excess*1*4+slack, qt.IsTrue, qt.Commentf("seed %d: %d calls", seed, f.busiest()))
	}
}

// A limit ends for all hosts soon after an answer without one, at whichever host.
func TestLimitEndsEverywhere(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 7, 10, func(elapsed time.Duration) float64 {
		if elapsed < 10*time.Second {
			return 2
		}
		return 0
	})
	f.run(14*time.Second, nil)
	for _, h := range f.hosts {
		_, limited := h.Limited(id)
		c.Check(limited, qt.IsFalse)
	}
}

// An endpoint that has named no limit must not be held to that of another one, nor to one
// of which this host has heard that it has ended.
func TestEndpointsWithoutLimitStayOpen(t *testing.T) {
	c := qt.New(t)
	l := limit.New()
	l.SetTurn(limit.Turn{})
	l.Record(id, 1, true, 0)
	l.Merge(map[identity.Incarnation]limit.Named{"ended": {AtMillis: 1}})
	c.Assert(l.Open(id), qt.IsFalse)
	for range 20 {
		for _, other := range []identity.Incarnation{"other", "ended"} {
			c.Assert(l.Open(other), qt.IsTrue)
			l.Take(other)
		}
	}
}

// Reports must not grow by all endpoints that ever named a limit, nor a rate that rises
// keep a host from sending for as long as the lower one would.
func TestEndedAndRisenLimitsLeaveNothingBehind(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	l := limit.New(limit.WithClock(func() time.Time { return now }))
	l.SetTurn(limit.Turn{Zones: 1, Hosts: 8})
	l.Record(id, 0.2, true, 0)
	l.Take(id)
	now = now.Add(time.Second)
	l.Record(id, 100, true, 0)
	c.Assert(l.Open(id), qt.IsTrue)
	now = now.Add(time.Second)
	l.Record(id, 0, false, 0)
	c.Assert(l.Reported(true), qt.HasLen, 1)
	now = now.Add(time.Minute)
	c.Assert(l.Reported(true), qt.HasLen, 0)
}

// An answer to a call that was sent before the limit was named does not end it.
func TestOlderAnswerDoesNotEndTheLimit(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	l := limit.New(limit.WithClock(func() time.Time { return now }))
	l.Record(id, 2, true, 0)
	now = now.Add(100 * time.Millisecond)
	l.Record(id, 0, false, 200*time.Millisecond)
	_, limited := l.Limited(id)
	c.Assert(limited, qt.IsTrue)
	l.Record(id, 0, false, 50*time.Millisecond)
	_, limited = l.Limited(id)
	c.Assert(limited, qt.IsFalse)
}

// A report with absurd values must neither block the process nor exclude an endpoint for
// good.
func TestMalformedReportsHaveNoEffect(t *testing.T) {
	c := qt.New(t)
	l := limit.New()
	l.Merge(map[identity.Incarnation]limit.Named{
		"a": {PerSecond: math.NaN(), AtMillis: 1}, "b": {PerSecond: -1, AtMillis: 1}, "c": {PerSecond: 5, AtMillis: math.MaxInt64},
		"d": {PerSecond: math.MaxFloat64, AtMillis: 1}, "e": {PerSecond: 1e-300, AtMillis: 1}, "f": {PerSecond: math.Inf(1), AtMillis: 1},
	})
	for _, id := range []identity.Incarnation{"a", "b", "c", "d", "f"} {
		c.Check(l.Open(id), qt.IsTrue, qt.Commentf("%s", id))
	}
	l.Open("e")
	_, limited := l.Limited("e")
	c.Check(limited, qt.IsTrue)
}
