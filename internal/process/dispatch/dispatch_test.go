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
	b := dispatch.New()
	for i := range 200 {
		b.Begin(identity.Request(fmt.Sprint(i)), "e", 10, start.Add(time.Duration(i)*time.Second))
	}
	own := b.Dispatches("e", start.Add(189*time.Second))
	c.Assert(own, qt.Equals, route.Dispatches{InFlight: 200, SinceReport: 10, TokensSinceReport: 100})
	for i := range 150 {
		b.End(identity.Request(fmt.Sprint(i)), true, start)
		b.End(identity.Request(fmt.Sprint(i)), true, start)
	}
	c.Assert(b.Dispatches("e", start.Add(time.Hour)), qt.Equals, route.Dispatches{InFlight: 50})
	b.Begin("199", "f", 1, start)
	c.Assert(b.Dispatches("e", start.Add(time.Hour)).InFlight, qt.Equals, 49)
	c.Assert(b.Dispatches("f", start.Add(-time.Second)).InFlight, qt.Equals, 1)
}

func TestRouteDispatchFailingGrowsAndEnds(t *testing.T) {
	c := qt.New(t)
	b := dispatch.New()
	fail := func(n int) {
		for i := range n {
			id := identity.Request(fmt.Sprint("r", i))
			b.Begin(id, "bad", 1, start)
			b.Begin(id, "good", 1, start)
			b.End(id, true, start)
		}
	}
	fail(2)
	c.Assert(b.Ejected("bad", start), qt.IsFalse)
	fail(1)
	c.Assert(b.Ejected("bad", start), qt.IsTrue)
	c.Assert(b.Ejected("bad", start.Add(6*time.Second)), qt.IsFalse)
	fail(1)
	c.Assert(b.Ejected("bad", start.Add(6*time.Second)), qt.IsTrue)
	fail(20)
	c.Assert(b.Ejected("bad", start.Add(time.Minute)), qt.IsFalse)
	c.Assert(b.Ejected("good", start), qt.IsFalse)
	b.Begin("x", "bad", 1, start)
	b.End("x", true, start)
	c.Assert(b.Ejected("bad", start), qt.IsFalse)
	fail(2)
	c.Assert(b.Ejected("bad", start), qt.IsFalse, qt.Commentf("a success resets the count of consecutive failures"))
	b.EvictIdle(start.Add(time.Hour))
	c.Assert(b.Dispatches("bad", start), qt.Equals, route.Dispatches{})
}
