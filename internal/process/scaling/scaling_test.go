package scaling_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/scaling"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

var bounds = &catalogue.Scaling{Min: 1, Max: 12, BootTime: 4 * time.Second, ReclaimablePriceRatio: 0.22}

func zones(list ...scaling.Zone) []scaling.Zone {
	for i := range list {
		list[i].Zone = identity.Zone('a' + rune(i))
	}
	return list
}

func totals(targets []scaling.Target) (stable, reclaimable int) {
	for _, target := range targets {
		stable += target.Stable
		reclaimable += target.Reclaimable
	}
	return stable, reclaimable
}

// Initial fleet: no stable endpoint is released until a reclaimable one serves in
// its place; then all but the minimum are released.
func TestInitialFleetIsReplacedOneForOne(t *testing.T) {
	c := qt.New(t)
	wide := *bounds
	wide.Max = 40
	for _, initial := range []int{6, 13} {
		first := scaling.InitialReclaimable(initial, 0)
		for serving := 0; serving <= first; serving++ {
			z := scaling.Zone{Stable: initial, Reclaimable: serving, Initial: first}
			for _, target := range scaling.Plan(&wide, zones(z, z, z), false) {
				c.Assert(target.Reclaimable, qt.Equals, first)
				c.Assert(target.Stable+serving >= initial, qt.IsTrue, qt.Commentf("%d of %d reclaimable endpoints serve, %d stable ones remain", serving, first, target.Stable))
			}
		}
		z := scaling.Zone{Stable: initial, Reclaimable: first, Initial: first}
		stable, _ := totals(scaling.Plan(&wide, zones(z, z, z), false))
		c.Assert(stable, qt.Equals, 3)
	}
}

// Initial fleet: the demand of the first calls does not indicate the later demand.
func TestFirstCallsDoNotShrinkFleet(t *testing.T) {
	c := qt.New(t)
	var tracker scaling.Tracker
	now := time.Unix(0, 0)
	tracker.Decay(now)
	tracker.SmoothDemand("a", 0.01)
	first := scaling.InitialReclaimable(10, 0)
	for ; !tracker.DemandKnown(now); now = now.Add(time.Second) {
		z := scaling.Zone{Demand: 0.01, Stable: 1, Reclaimable: first, Ordered: first, Initial: first}
		for _, target := range scaling.Plan(&catalogue.Scaling{Min: 1, Max: 40}, zones(z, z), tracker.DemandKnown(now)) {
			c.Assert(target.Reclaimable, qt.Equals, first)
		}
	}
	c.Assert(now.Sub(time.Unix(0, 0)) >= 3*time.Second, qt.IsTrue)
}

// Initial fleet: endpoints are discovered over several seconds, so the first ones
// seen are not the fleet that the operators started with.
func TestFleetSettlesOnceItStopsGrowing(t *testing.T) {
	c := qt.New(t)
	var tracker scaling.Tracker
	now := time.Unix(0, 0)
	c.Assert(tracker.Settled(now), qt.IsFalse, qt.Commentf("no endpoint seen"))
	for n := 5; n <= 15; n += 5 {
		now = now.Add(time.Second)
		tracker.Decay(now)
		tracker.RecordStable(now, n)
		c.Assert(tracker.Settled(now), qt.IsFalse, qt.Commentf("%d endpoints seen", n))
	}
	now = now.Add(2 * time.Second)
	tracker.RecordStable(now, 15)
	c.Assert(tracker.Settled(now), qt.IsTrue)
	var late scaling.Tracker
	late.Decay(now)
	late.RecordStable(now, 2)
	late.SmoothDemand("a", 1)
	c.Assert(late.Settled(now), qt.IsTrue, qt.Commentf("there is demand"))
}

// When all reclaimable endpoints of a zone are lost, the remaining endpoints of all
// zones must carry the whole load.
func TestLossOfAnyZoneIsCovered(t *testing.T) {
	c := qt.New(t)
	const demand = 2.0
	list := zones(scaling.Zone{Demand: demand}, scaling.Zone{Demand: demand}, scaling.Zone{Demand: demand})
	targets := scaling.Plan(bounds, list, true)
	for lost := range targets {
		left := 0
		for i, target := range targets {
			left += target.Stable
			if i != lost {
				left += target.Reclaimable
			}
		}
		c.Check(float64(left) >= 3*demand, qt.IsTrue, qt.Commentf("zone %d lost: %d left", lost, left))
	}
}

// Two zones are lost and no reclaimable endpoints are available: stable ones are
// ordered in their place and released when the reclaimable ones return.
func TestStableEndpointsReplaceMissingReclaimable(t *testing.T) {
	c := qt.New(t)
	list := zones(scaling.Zone{Demand: 2, Reclaimable: 0}, scaling.Zone{Demand: 2, Reclaimable: 0}, scaling.Zone{Demand: 2, Reclaimable: 5})
	targets := scaling.Plan(bounds, list, true)
	c.Assert(targets[0].Stable > 1, qt.IsTrue)
	c.Assert(targets[1].Stable > 1, qt.IsTrue)
	c.Assert(targets[2].Stable, qt.Equals, 1)
	for i := range list {
		list[i].Stable = targets[i].Stable
	}
	c.Assert(scaling.Plan(bounds, list, true), qt.DeepEquals, targets, qt.Commentf("the plan does not change as stable endpoints start"))
	list[0].Reclaimable, list[1].Reclaimable = 5, 5
	stable, _ := totals(scaling.Plan(bounds, list, true))
	c.Assert(stable, qt.Equals, 3)
}

func TestPlansStayWithinBounds(t *testing.T) {
	c := qt.New(t)
	for demand := 0.0; demand < 30; demand += 0.7 {
		for _, target := range scaling.Plan(bounds, zones(scaling.Zone{Demand: demand}, scaling.Zone{Demand: demand / 2}, scaling.Zone{}), true) {
			c.Assert(target.Stable >= bounds.Min && target.Stable+target.Reclaimable <= bounds.Max && target.Reclaimable >= 0, qt.IsTrue, qt.Commentf("%v: %+v", demand, target))
		}
	}
}

func TestDemandRisesAtOnceAndDecays(t *testing.T) {
	c := qt.New(t)
	var tracker scaling.Tracker
	now := time.Unix(0, 0)
	tracker.Decay(now)
	c.Assert(tracker.SmoothDemand("a", 4), qt.Equals, 4.0)
	now = now.Add(time.Second)
	tracker.Decay(now)
	got := tracker.SmoothDemand("a", 0)
	c.Assert(got > 3 && got < 4, qt.IsTrue)
}

// Uneven callers: calls are sent to any zone with capacity, so all zones get the
// same target, wherever the demand comes from.
func TestZonesShareTotalDemand(t *testing.T) {
	c := qt.New(t)
	for _, target := range scaling.Plan(bounds, zones(scaling.Zone{Demand: 6}, scaling.Zone{}, scaling.Zone{}), true) {
		c.Assert(target.Reclaimable, qt.Equals, 5, qt.Commentf("%+v", target))
	}
}
