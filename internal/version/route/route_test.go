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

var at = simTime(time.Hour)

// deployment is n endpoints of "model" over zones, all reported quiet.
func deployment(n int, zones ...identity.Zone) (configuration.Configuration, []fleet.Endpoint) {
	c := configuration.Configuration{Version: 1, Services: []configuration.Service{{
		ID: "model", Kind: configuration.Model, CostWeight: 5e5, RecomputeWeight: 0.5,
		FirstToken: configuration.Duration(1300 * time.Millisecond),
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
			Load: fleet.Load{At: at, Running: 5, CacheCapacity: 60_000},
		})
	}
	return c, list
}

func table(c configuration.Configuration, list []fleet.Endpoint, failing func(identity.Incarnation) bool) *route.Table {
	return route.New(fleet.New("h", list[0].Zone, c, list), nil, at, failing)
}

func pick(t *route.Table, ask route.Ask, know route.Knowledge, random *rand.Rand) (fleet.Endpoint, bool) {
	var d route.Decision
	if !t.Choose(&ask, &know, at, random, &d) {
		return fleet.Endpoint{}, false
	}
	return t.Find(&d), true
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
		tbl := table(config, list, nil)
		for range 20 {
			e, ok := pick(tbl, route.Ask{Service: "model", Tried: tried, Blocks: []engine.Block{engine.Block(random.Uint64())}}, route.Knowledge{}, random)
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
		share := random.Float64()
		bad := make(map[identity.Incarnation]bool)
		for _, e := range list {
			bad[e.Incarnation] = random.Float64() < share
		}
		tbl := table(config, list, func(i identity.Incarnation) bool { return bad[i] })
		kept := make(map[identity.Zone]int)
		left := 0
		for _, i := range tbl.Serving("model") {
			kept[list[i].Zone]++
			left++
		}
		c.Assert(left*3 >= len(list)*2, qt.IsTrue, qt.Commentf("kept %d of %d", left, len(list)))
		for _, e := range list {
			c.Assert(kept[e.Zone] > 0, qt.IsTrue, qt.Commentf("zone %s is empty", e.Zone))
		}
	}
	config, list := deployment(9, "a", "b", "c")
	tbl := table(config, list, func(i identity.Incarnation) bool { return i == "i4" })
	c.Assert(tbl.Serving("model"), qt.HasLen, 8)
}

// One endpoint was quiet when it reported last; 40 hosts with that report must
// not all send there.
func TestRouteDoesNotHerd(t *testing.T) {
	c := qt.New(t)
	config, list := deployment(20, "a")
	for i := range list {
		list[i].Load.Running = 9
	}
	list[7].Load.Running = 0
	sent := 0
	for host := range uint64(40) {
		e, _ := pick(table(config, list, nil), route.Ask{Service: "model", PromptTokens: 100, MaxTokens: 100}, route.Knowledge{Hosts: 40}, rand.New(rand.NewPCG(host, 3)))
		if e.Incarnation == "i7" {
			sent++
		}
	}
	c.Assert(sent < 20, qt.IsTrue, qt.Commentf("%d of 40 hosts", sent))
}

func TestRouteStartsNewEndpointsSlowly(t *testing.T) {
	c := qt.New(t)
	share := func(age time.Duration) int {
		config, list := deployment(4, "a")
		list[2].Load.Running, list[2].Since = 0, at.Add(-age)
		n, random, tbl := 0, rand.New(rand.NewPCG(1, 4)), table(config, list, nil)
		for range 400 {
			e, _ := pick(tbl, route.Ask{Service: "model", PromptTokens: 500, MaxTokens: 100}, route.Knowledge{}, random)
			if e.Incarnation == "i2" {
				n++
			}
		}
		return n
	}
	c.Assert(share(time.Second) < share(9*time.Second), qt.IsTrue)
	c.Assert(share(time.Minute) > 100, qt.IsTrue)
}

// A conversation goes back to where its history is, unless the queue there
// costs more than reading it again.
func TestRouteReturnsToHistoryUnlessTheWaitCostsMore(t *testing.T) {
	c := qt.New(t)
	blocks := make([]engine.Block, 100)
	for i := range blocks {
		blocks[i] = engine.Block(i + 1)
	}
	ask := route.Ask{Service: "model", Blocks: blocks, PromptTokens: 3300, MaxTokens: 100}
	know := route.Knowledge{
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
		e, _ := pick(table(config, list, nil), ask, know, random)
		c.Assert(e.Incarnation, qt.Equals, identity.Incarnation("i4"))
	}
	list[4].Load.Running, list[4].Load.Waiting, list[4].Load.WaitingTokens = 24, 30, 60_000
	for range 100 {
		e, _ := pick(table(config, list, nil), ask, know, random)
		c.Assert(e.Incarnation, qt.Not(qt.Equals), identity.Incarnation("i4"))
	}
}

// All hosts send one prefix to one place without telling each other, and two
// organisations' same text has no block in common.
func TestRouteHomesAgreeAndOrganisationsDoNotShare(t *testing.T) {
	c := qt.New(t)
	config, list := deployment(20, "a", "b")
	prompt := ""
	for i := range 700 {
		prompt += fmt.Sprintf("w%d ", i)
	}
	ours, theirs := engine.Blocks("ours", prompt), engine.Blocks("theirs", prompt)
	for i := range ours {
		c.Assert(theirs, qt.Not(qt.Contains), any(ours[i]))
	}
	homes := make(map[identity.Incarnation]bool)
	for host := range uint64(30) {
		e, _ := pick(table(config, list, nil), route.Ask{Service: "model", Blocks: ours, PromptTokens: 700, MaxTokens: 50}, route.Knowledge{}, rand.New(rand.NewPCG(host, 6)))
		homes[e.Incarnation] = true
	}
	c.Assert(homes, qt.HasLen, 1)
}

// The own zone goes first, others take what it can't, and a zone whose other
// zones are all gone serves itself.
func TestRouteSpillsToOtherZonesAndServesItselfWhenAlone(t *testing.T) {
	c := qt.New(t)
	config, list := deployment(20, "a", "b")
	config.Links = []configuration.Link{{From: "a", To: "b", PerGigabyte: 20_000, Latency: configuration.Duration(10 * time.Millisecond)}}
	ask := route.Ask{Service: "model", PromptTokens: 200, MaxTokens: 100}
	share := func() map[identity.Zone]int {
		n, random, tbl := make(map[identity.Zone]int), rand.New(rand.NewPCG(1, 7)), table(config, list, nil)
		for range 400 {
			e, ok := pick(tbl, ask, route.Knowledge{}, random)
			c.Assert(ok, qt.IsTrue)
			n[e.Zone]++
		}
		return n
	}
	c.Assert(share()["a"] > 300, qt.IsTrue)
	for i := 0; i < len(list); i += 2 {
		list[i].Load.Running, list[i].Load.Waiting, list[i].Load.WaitingTokens = 24, 20, 20_000
	}
	c.Assert(share()["b"] > 300, qt.IsTrue)
	for i := 1; i < len(list); i += 2 {
		list[i].Leaving = true
	}
	c.Assert(share()["a"], qt.Equals, 400)
}

// A zone that is cut off from the others, whose endpoints all fail, sends nothing
// there any more but what its own endpoints can't take after they failed too.
func TestRouteCutOffZoneServesItself(t *testing.T) {
	c := qt.New(t)
	config, list := deployment(18, "a", "b", "c")
	cut := func(i identity.Incarnation) bool {
		for _, e := range list {
			if e.Incarnation == i {
				return e.Zone != "a"
			}
		}
		return false
	}
	random := rand.New(rand.NewPCG(1, 8))
	tbl := table(config, list, cut)
	var own []identity.Incarnation
	for _, e := range list {
		if e.Zone == "a" {
			own = append(own, e.Incarnation)
		}
	}
	for range 300 {
		e, ok := pick(tbl, route.Ask{Service: "model", PromptTokens: 500, MaxTokens: 100, Blocks: []engine.Block{engine.Block(random.Uint64())}}, route.Knowledge{}, random)
		c.Assert(ok, qt.IsTrue)
		c.Assert(e.Zone, qt.Equals, identity.Zone("a"))
	}
	e, ok := pick(tbl, route.Ask{Service: "model", Tried: own}, route.Knowledge{}, random)
	c.Assert(ok, qt.IsTrue)
	c.Assert(e.Zone, qt.Not(qt.Equals), identity.Zone("a"))
}

// The targets of the users' letter, on one seed: see BenchmarkPolicy.
func TestRoutePolicyMeetsItsTargets(t *testing.T) {
	for _, w := range workloads {
		for _, fault := range []string{"none", "reclaim_wave"} {
			t.Run(w.name+"/"+fault, func(t *testing.T) {
				c := qt.New(t)
				outcomes := make(map[string]outcome)
				reached, cheapest := false, 0.0
				for _, p := range policies {
					o := newSim(w, fault, p.make).outcome()
					outcomes[p.name] = o
					if p.name != "dandelionlift" && o.met() {
						if !reached || o.cost < cheapest {
							cheapest = o.cost
						}
						reached = true
					}
				}
				ours := outcomes["dandelionlift"]
				c.Assert(!reached || ours.met(), qt.IsTrue, qt.Commentf("%+v", ours))
				if w.name == "perseid" {
					c.Assert(!reached || ours.cost <= 0.75*cheapest, qt.IsTrue, qt.Commentf("%f of %f", ours.cost, cheapest))
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

// TestRoutePolicyRecomputesNoMoreThanPrefixHash asks it where no cache is lost;
// for the reclaim wave the test above does.
func TestRoutePolicyRecomputesNoMoreThanPrefixHash(t *testing.T) {
	for _, fault := range []string{"none", "lagging_reports", "gaps"} {
		c := qt.New(t)
		ours := newSim(workloads[1], fault, policies[0].make).outcome()
		hash := newSim(workloads[1], fault, policies[4].make).outcome()
		c.Check(ours.recomputed <= hash.recomputed, qt.IsTrue, qt.Commentf("%s: %.1f against %.1f", fault, ours.recomputed, hash.recomputed))
	}
}
