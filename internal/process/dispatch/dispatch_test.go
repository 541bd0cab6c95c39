package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/dispatch"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/route"
)

var start = time.Unix(1000, 0)

func TestRouteDispatchCountsSinceTheReport(t *testing.T) {
	c := qt.New(t)
	tracker := dispatch.New()
	for i := range 200 {
		tracker.Begin(identity.Request(fmt.Sprint(i)), "e", 10, start.Add(time.Duration(i)*time.Second))
	}
	dispatches := tracker.Dispatches("e", start.Add(189*time.Second))
	c.Assert(dispatches, qt.Equals, route.Dispatches{InFlight: 200, SinceReport: 10, TokensSinceReport: 100})
	for i := range 150 {
		tracker.End(identity.Request(fmt.Sprint(i)), true, start)
		tracker.End(identity.Request(fmt.Sprint(i)), true, start)
	}
	c.Assert(tracker.Dispatches("e", start.Add(time.Hour)), qt.Equals, route.Dispatches{InFlight: 50})
	tracker.Begin("199", "f", 1, start)
	c.Assert(tracker.Dispatches("e", start.Add(time.Hour)).InFlight, qt.Equals, 49)
	c.Assert(tracker.Dispatches("f", start.Add(-time.Second)).InFlight, qt.Equals, 1)
}

func TestRouteDispatchEjectionGrowsAndEnds(t *testing.T) {
	c := qt.New(t)
	tracker := dispatch.New()
	fail := func(n int) {
		for i := range n {
			id := identity.Request(fmt.Sprint("r", i))
			tracker.Begin(id, "bad", 1, start)
			tracker.Begin(id, "good", 1, start)
			tracker.End(id, true, start)
		}
	}
	fail(2)
	c.Assert(tracker.Ejected("bad", start), qt.IsFalse)
	fail(1)
	c.Assert(tracker.Ejected("bad", start), qt.IsTrue)
	c.Assert(tracker.Ejected("bad", start.Add(6*time.Second)), qt.IsFalse)
	fail(1)
	c.Assert(tracker.Ejected("bad", start.Add(6*time.Second)), qt.IsTrue)
	fail(20)
	c.Assert(tracker.Ejected("bad", start.Add(time.Minute)), qt.IsFalse)
	c.Assert(tracker.Ejected("good", start), qt.IsFalse)
	tracker.Begin("x", "bad", 1, start)
	tracker.End("x", true, start)
	c.Assert(tracker.Ejected("bad", start), qt.IsFalse)
	fail(2)
	c.Assert(tracker.Ejected("bad", start), qt.IsFalse, qt.Commentf("a success resets the count of consecutive failures"))
	tracker.EvictIdle(start.Add(time.Hour))
	c.Assert(tracker.Dispatches("bad", start), qt.Equals, route.Dispatches{})
}
