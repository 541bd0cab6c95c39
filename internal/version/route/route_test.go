package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/route"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

var testTime = simTime(time.Hour)

// deployment returns n endpoints of "model" spread over zones, all lightly loaded.
func deployment(n int, zones ...identity.Zone) (configuration.Configuration, []fleet.Endpoint) {
	c := configuration.Configuration{Version: 1, Services: []configuration.Service{{
		ID: "model", Kind: configuration.Model, CostWeight: 5e5, RecomputeWeight: 0.5,
		FirstTokenTarget: configuration.Duration(1300 * time.Millisecond),
	}}}
	for i, z := range zones {
		c.Zones = append(c.Zones, configuration.Zone{ID: z, Region: identity.Region(z)})
		c.Prices = append(c.Prices, configuration.Price{Zone: z, Class: "small", Reclaimable: unit.Money(300_000 + 50_000*i)})
	}
	var list []fleet.Endpoint
	for i := range n {
		list = append(list, fleet.Endpoint{
			Host: identity.Host(fmt.Sprintf("e%05d", i)), Incarnation: identity.Incarnation(fmt.Sprintf("i%d", i)),
			Service: "model", Zone: zones[i%len(zones)], Class: "small", Reclaimable: true,
			Load: fleet.Load{ReceivedAt: testTime, Running: 5, CacheCapacity: 60_000},
		})
	}
	return c, list
}

func newTable(c configuration.Configuration, list []fleet.Endpoint, failing func(identity.Incarnation) bool) *route.Table {
	return route.New(fleet.New("h", list[0].Zone, c, list), nil, testTime, failing)
}

func pick(t *route.Table, call route.Call, local route.LocalState, random *rand.Rand) (fleet.Endpoint, bool) {
	var d route.Decision
	if !t.Choose(&call, &local, testTime, random, &d) {
		return fleet.Endpoint{}, false
	}
	return t.ChosenEndpoint(&d), true
}

func TestRouteNeverChoosesLeavingOrTried(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 1))
		config, list := deployment(1+random.IntN(12), "a", "b", "c")
		usable := 0
		var tried []identity.Incarnation
		for i := range list {
			list[i].Leaving = random.IntN(2) == 0
			if random.IntN(3) == 0 {
				tried = append(tried, list[i].Incarnation)
			} else if !list[i].Leaving {
				usable++
			}
		}
		tbl := newTable(config, list, nil)
		for range 20 {
			e, ok := pick(tbl, route.Call{Service: "model", Tried: tried, Blocks: []engine.Block{engine.Block(random.Uint64())}}, route.LocalState{}, random)
			c.Assert(ok, qt.Equals, usable > 0)
			c.Assert(e.Leaving, qt.IsFalse)
			c.Assert(tried, qt.Not(qt.Contains), any(e.Incarnation))
		}
	}
}

func TestRouteEjectionIsBounded(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		config, list := deployment(1+random.IntN(30), "a", "b", "c")
		failingShare := random.Float64()
		failing := make(map[identity.Incarnation]bool)
		for _, e := range list {
			failing[e.Incarnation] = random.Float64() < failingShare
		}
		tbl := newTable(config, list, func(i identity.Incarnation) bool { return failing[i] })
		keptPerZone := make(map[identity.Zone]int)
		kept := 0
		for _, i := range tbl.Serving("model") {
			keptPerZone[list[i].Zone]++
			kept++
		}
		c.Assert(kept*3 >= len(list)*2, qt.IsTrue, qt.Commentf("kept %d of %d", kept, len(list)))
		for _, e := range list {
			c.Assert(keptPerZone[e.Zone] > 0, qt.IsTrue, qt.Commentf("zone %s is empty", e.Zone))
		}
	}
	config, list := deployment(9, "a", "b", "c")
	tbl := newTable(config, list, func(i identity.Incarnation) bool { return i == "i4" })
	c.Assert(tbl.Serving("model"), qt.HasLen, 8)
}

// When 40 entry hosts see the same report of one idle endpoint, they must not all
// send there.
func TestRouteDoesNotHerd(t *testing.T) {
	c := qt.New(t)
	config, list := deployment(20, "a")
	for i := range list {
		list[i].Load.Running = 9
	}
	list[7].Load.Running = 0
	sent := 0
	for host := range uint64(40) {
		e, _ := pick(newTable(config, list, nil), route.Call{Service: "model", PromptTokens: 100, MaxTokens: 100}, route.LocalState{Hosts: 40}, rand.New(rand.NewPCG(host, 3)))
		if e.Incarnation == "i7" {
			sent++
		}
	}
	c.Assert(sent < 20, qt.IsTrue, qt.Commentf("%d of 40 hosts", sent))
}

func TestRouteStartsNewEndpointsSlowly(t *testing.T) {
	c := qt.New(t)
	chosenCount := func(age time.Duration) int {
		config, list := deployment(4, "a")
		list[2].Load.Running, list[2].FirstSeen = 0, testTime.Add(-age)
		n, random, tbl := 0, rand.New(rand.NewPCG(1, 4)), newTable(config, list, nil)
		for range 400 {
			e, _ := pick(tbl, route.Call{Service: "model", PromptTokens: 500, MaxTokens: 100}, route.LocalState{}, random)
			if e.Incarnation == "i2" {
				n++
			}
		}
		return n
	}
	c.Assert(chosenCount(time.Second) < chosenCount(9*time.Second), qt.IsTrue)
	c.Assert(chosenCount(time.Minute) > 100, qt.IsTrue)
}

// A conversation returns to the endpoint that has its history cached, unless the
// queue there costs more than recomputing it.
func TestRouteReturnsToHistoryUnlessTheWaitCostsMore(t *testing.T) {
	c := qt.New(t)
	blocks := make([]engine.Block, 100)
	for i := range blocks {
		blocks[i] = engine.Block(i + 1)
	}
	call := route.Call{Service: "model", Blocks: blocks, PromptTokens: 3300, MaxTokens: 100}
	local := route.LocalState{
		Cached: func(i identity.Incarnation, _ []engine.Block) (unit.Tokens, float64) {
			if i == "i4" {
				return 3200, 1
			}
			return 0, 1
		},
		Holder: func([]engine.Block) (identity.Incarnation, bool) { return "i4", true },
	}
	config, list := deployment(10, "a", "b")
	random := rand.New(rand.NewPCG(1, 5))
	for range 100 {
		e, _ := pick(newTable(config, list, nil), call, local, random)
		c.Assert(e.Incarnation, qt.Equals, identity.Incarnation("i4"))
	}
	list[4].Load.Running, list[4].Load.Waiting, list[4].Load.WaitingTokens = 24, 30, 60_000
	for range 100 {
		e, _ := pick(newTable(config, list, nil), call, local, random)
		c.Assert(e.Incarnation, qt.Not(qt.Equals), identity.Incarnation("i4"))
	}
}

// All entry hosts send the same prefix to the same endpoint without coordination,
// and the same text of two organisations has no block in common.
func TestRouteHomesAgreeAndOrganisationsDoNotShare(t *testing.T) {
	c := qt.New(t)
	config, list := deployment(20, "a", "b")
	prompt := ""
	for i := range 700 {
		prompt += fmt.Sprintf("w%d ", i)
	}
	ours, theirs := engine.HashBlocks("ours", prompt), engine.HashBlocks("theirs", prompt)
	for i := range ours {
		c.Assert(theirs, qt.Not(qt.Contains), any(ours[i]))
	}
	homes := make(map[identity.Incarnation]bool)
	for host := range uint64(30) {
		e, _ := pick(newTable(config, list, nil), route.Call{Service: "model", Blocks: ours, PromptTokens: 700, MaxTokens: 50}, route.LocalState{}, rand.New(rand.NewPCG(host, 6)))
		homes[e.Incarnation] = true
	}
	c.Assert(homes, qt.HasLen, 1)
}

// A host prefers its own zone, spills to other zones when its own is overloaded,
// and uses its own alone when the other zones are leaving.
func TestRouteSpillsToOtherZonesAndServesItselfWhenAlone(t *testing.T) {
	c := qt.New(t)
	config, list := deployment(20, "a", "b")
	config.Links = []configuration.Link{{From: "a", To: "b", PricePerGigabyte: 20_000, OneWayLatency: configuration.Duration(10 * time.Millisecond)}}
	call := route.Call{Service: "model", PromptTokens: 200, MaxTokens: 100}
	chosenPerZone := func() map[identity.Zone]int {
		n, random, tbl := make(map[identity.Zone]int), rand.New(rand.NewPCG(1, 7)), newTable(config, list, nil)
		for range 400 {
			e, ok := pick(tbl, call, route.LocalState{}, random)
			c.Assert(ok, qt.IsTrue)
			n[e.Zone]++
		}
		return n
	}
	c.Assert(chosenPerZone()["a"] > 300, qt.IsTrue)
	for i := 0; i < len(list); i += 2 {
		list[i].Load.Running, list[i].Load.Waiting, list[i].Load.WaitingTokens = 24, 20, 20_000
	}
	c.Assert(chosenPerZone()["b"] > 300, qt.IsTrue)
	for i := 1; i < len(list); i += 2 {
		list[i].Leaving = true
	}
	c.Assert(chosenPerZone()["a"], qt.Equals, 400)
}

// When all endpoints of the other zones fail, calls stay in the host's own zone;
// another zone is used only for a call that failed on every local endpoint.
func TestRouteCutOffZoneServesItself(t *testing.T) {
	c := qt.New(t)
	config, list := deployment(18, "a", "b", "c")
	failing := func(i identity.Incarnation) bool {
		for _, e := range list {
			if e.Incarnation == i {
				return e.Zone != "a"
			}
		}
		return false
	}
	random := rand.New(rand.NewPCG(1, 8))
	table := newTable(config, list, failing)
	var ownZone []identity.Incarnation
	for _, e := range list {
		if e.Zone == "a" {
			ownZone = append(ownZone, e.Incarnation)
		}
	}
	for range 300 {
		e, ok := pick(table, route.Call{Service: "model", PromptTokens: 500, MaxTokens: 100, Blocks: []engine.Block{engine.Block(random.Uint64())}}, route.LocalState{}, random)
		c.Assert(ok, qt.IsTrue)
		c.Assert(e.Zone, qt.Equals, identity.Zone("a"))
	}
	e, ok := pick(table, route.Call{Service: "model", Tried: ownZone}, route.LocalState{}, random)
	c.Assert(ok, qt.IsTrue)
	c.Assert(e.Zone, qt.Not(qt.Equals), identity.Zone("a"))
}

// Checks on one seed: where another policy is within the latency target, so is
// this one; for perseid at no more than 0.75 of the cost of the cheapest such
// policy. For holloway, at most 0.3 of the tokens that least_outstanding
// recomputes, and in a reclaim wave no more than prefix_hash. BenchmarkPolicy
// reports the figures.
func TestRoutePolicyMeetsItsTargets(t *testing.T) {
	for _, w := range workloads {
		for _, fault := range []string{"none", "reclaim_wave"} {
			t.Run(w.name+"/"+fault, func(t *testing.T) {
				c := qt.New(t)
				outcomes := make(map[string]outcome)
				otherMeetsTarget, cheapestOther := false, 0.0
				for _, p := range policies {
					o := newSim(w, fault, p.make).outcome()
					outcomes[p.name] = o
					if p.name != "dandelionlift" && o.meetsTarget() {
						if !otherMeetsTarget || o.cost < cheapestOther {
							cheapestOther = o.cost
						}
						otherMeetsTarget = true
					}
				}
				ours := outcomes["dandelionlift"]
				c.Assert(!otherMeetsTarget || ours.meetsTarget(), qt.IsTrue, qt.Commentf("%+v", ours))
				if w.name == "perseid" {
					c.Assert(!otherMeetsTarget || ours.cost <= 0.75*cheapestOther, qt.IsTrue, qt.Commentf("%f of %f", ours.cost, cheapestOther))
					return
				}
				c.Assert(ours.recomputed <= 0.3*outcomes["least_outstanding"].recomputed, qt.IsTrue)
				if fault == "reclaim_wave" {
					c.Assert(ours.recomputed <= outcomes["prefix_hash"].recomputed, qt.IsTrue)
				}
			})
		}
	}
}

// TestRoutePolicyRecomputesNoMoreThanPrefixHash covers the faults without loss of
// caches; TestRoutePolicyMeetsItsTargets covers the reclaim wave.
func TestRoutePolicyRecomputesNoMoreThanPrefixHash(t *testing.T) {
	for _, fault := range []string{"none", "lagging_reports", "gaps"} {
		c := qt.New(t)
		ours := newSim(workloads[1], fault, policies[0].make).outcome()
		hash := newSim(workloads[1], fault, policies[4].make).outcome()
		c.Check(ours.recomputed <= hash.recomputed, qt.IsTrue, qt.Commentf("%s: %.1f against %.1f", fault, ours.recomputed, hash.recomputed))
	}
}
