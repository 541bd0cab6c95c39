package migration_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/version/carry"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/migration"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

var config = configuration.Configuration{
	Version: 1,
	Zones:   []configuration.Zone{{ID: "a", Region: "north"}, {ID: "b", Region: "south"}},
	Services: []configuration.Service{{
		ID: "drafts", Kind: configuration.Model, FirstTokenTarget: configuration.Duration(time.Second),
	}},
	Prices: []configuration.Price{
		{Zone: "a", Class: "small", Reclaimable: 300, OnDemand: 1000}, {Zone: "b", Class: "small", Reclaimable: 200, OnDemand: 900},
	},
	Links: []configuration.Link{{
		From: "north", To: "south", PricePerGigabyte: 20_000, OneWayLatency: configuration.Duration(10 * time.Millisecond),
	}},
}

const blockBytes = 10 * unit.Megabyte

// prefixChain returns a chain of blocks that were all used often and recently.
func prefixChain(first carry.Block, blocks int) []carry.Entry {
	var list []carry.Entry
	parent := carry.Block(0)
	for i := range blocks {
		block := first + carry.Block(i)
		list = append(list, carry.Entry{Block: block, Parent: parent, Tokens: 64, Bytes: blockBytes, Hits: 8})
		parent = block
	}
	return list
}

func newInput(entries map[identity.Host][]carry.Entry) migration.Input {
	endpoints := []fleet.Endpoint{
		{Host: "a1", Service: "drafts", Zone: "a", Class: "small", Reclaimable: true, Load: fleet.Load{Running: 2, Waiting: 1}},
		{Host: "a2", Service: "drafts", Zone: "a", Class: "small"},
		{Host: "a3", Service: "drafts", Zone: "a", Class: "small", Leaving: true},
		{Host: "a4", Service: "other", Zone: "a", Class: "small"},
		{Host: "b1", Service: "drafts", Zone: "b", Class: "small"},
	}
	return migration.Input{
		Snapshot: fleet.New("e", "a", config, endpoints),
		Move:     configuration.Move{Service: "drafts", From: "a", To: "b"},
		Entries:  entries, Window: 10 * time.Second,
		ExportBytesPerSecond: 1000 * unit.Megabyte, ImportBytesPerSecond: 100 * unit.Megabyte,
		TokenValue: 25, PrefillTokensPerSecond: 8000,
	}
}

func TestCostOfMoveCountsWhatLeaves(t *testing.T) {
	c := quicktest.New(t)
	cost := migration.Estimate(newInput(map[identity.Host][]carry.Entry{"a1": prefixChain(100, 20), "a2": nil, "a3": prefixChain(500, 9)}))
	c.Assert(cost.Endpoints, quicktest.Equals, 2)
	c.Assert(cost.Running, quicktest.Equals, 3)
	c.Assert(cost.PriceBefore, quicktest.Equals, unit.Money(1300))
	c.Assert(cost.PriceAfter, quicktest.Equals, unit.Money(1100))
	c.Assert(cost.Unreported, quicktest.Equals, 0)
	c.Assert(cost.Cached, quicktest.Equals, unit.Tokens(20*64))
	// 200 MB fit into 10 s at the import rate of 100 MB/s.
	c.Assert(cost.Transferred, quicktest.Equals, cost.Cached)
	c.Assert(cost.Bytes, quicktest.Equals, 20*blockBytes)
	c.Assert(cost.TransferPrice, quicktest.Equals, unit.Money(4000))
	c.Assert(cost.TransferTime >= 2*time.Second && cost.TransferTime <= 10*time.Second, quicktest.IsTrue)
	c.Assert(cost.Recomputed, quicktest.Equals, unit.Tokens(0))
	c.Assert(cost.RecomputedWithoutTransfer > 0, quicktest.IsTrue)
	c.Assert(cost.AddedLatency, quicktest.Equals, 20*time.Millisecond)
	c.Assert(cost.Risk(), quicktest.Equals, migration.Low)
}

func TestCostOfMoveOverASlowLink(t *testing.T) {
	c := quicktest.New(t)
	input := newInput(map[identity.Host][]carry.Entry{"a1": prefixChain(100, 400), "a2": prefixChain(900, 3)})
	full := migration.Estimate(input)
	input.Window = time.Second
	limited := migration.Estimate(input)
	c.Assert(limited.Transferred < full.Transferred, quicktest.IsTrue)
	c.Assert(limited.Bytes <= 2*100*unit.Megabyte, quicktest.IsTrue)
	c.Assert(limited.Recomputed > full.Recomputed, quicktest.IsTrue)
	c.Assert(limited.Recomputed <= limited.RecomputedWithoutTransfer, quicktest.IsTrue)
	c.Assert(limited.Risk(), quicktest.Equals, migration.High)
	c.Assert(full.RecomputedWithoutTransfer, quicktest.Equals, limited.RecomputedWithoutTransfer)

	input.Entries = nil
	c.Assert(migration.Estimate(input).Unreported, quicktest.Equals, 2)
	input.Move.To = "c"
	c.Assert(migration.Estimate(input).Unpriced, quicktest.Equals, 2)
}
