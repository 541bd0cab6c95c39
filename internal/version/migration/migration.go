// Package migration estimates what it costs to move a service from one zone to
// another, before anything is done.
//
// # What moves
//
// Each endpoint of the service that stays in the old zone gets a successor of
// its class in the new one. Its cached prefixes are carried there as on a
// reclaim, by carry.Decide, within a window.
//
// # What is lost
//
// A cached token that is not carried is read again with the chance that its
// block is asked for again. Callers near the old zone pay the way to the new
// one on each request from then on.
package migration

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/carry"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Ask is what an estimate depends on.
type Ask struct {
	Snapshot *fleet.Snapshot
	Move     configuration.Move
	// Entries are what each source can export, without Reuse filled in. A
	// source that has no key here did not answer.
	Entries map[identity.Host][]carry.Entry
	// Window is how long caches are carried for.
	Window time.Duration
	// ExportPerSecond and ImportPerSecond are the rates of an endpoint.
	ExportPerSecond unit.Bytes
	ImportPerSecond unit.Bytes
	// TokenWorth is what one token that is not read again saves.
	TokenWorth unit.Money
	// PrefillPerSecond is how fast an endpoint reads a prompt.
	PrefillPerSecond unit.Tokens
}

// Cost is an estimate.
type Cost struct {
	// Endpoints are moved; Running requests are resumed elsewhere.
	Endpoints int
	Running   int
	// PriceBefore and PriceAfter are what the endpoints cost in an hour.
	PriceBefore unit.Money
	PriceAfter  unit.Money
	// Unpriced counts endpoints whose class has no price in the new zone.
	Unpriced int
	// Unknown counts endpoints that did not tell what they have cached.
	Unknown int
	// Cached tokens are at the sources, of which Carried are taken along.
	Cached  unit.Tokens
	Carried unit.Tokens
	Bytes   unit.Bytes
	// Volume is the price of Bytes on the link between the regions.
	Volume unit.Money
	// CarryTime is until the last byte is carried.
	CarryTime time.Duration
	// Recomputed is the expected number of tokens read again, and AtWorst that
	// with nothing carried.
	Recomputed unit.Tokens
	AtWorst    unit.Tokens
	// Added is what the way to the new region and back adds to the first token
	// of a caller near the old zone, and Reread what reading the largest
	// prefix that is left behind adds once.
	Added  time.Duration
	Reread time.Duration
	// Target is the service's latency target for a first token.
	Target time.Duration
}

// Risk grades what a cost does to the latency target.
type Risk string

// The risks: Low leaves three quarters of the target, High breaks it.
const (
	Low    Risk = "low"
	Medium Risk = "medium"
	High   Risk = "high"
)

// lowShare is the share of the target that may be used up at low risk.
const lowShare = 0.25

// Risk compares what is added to a first token with the target.
func (c Cost) Risk() Risk {
	share := float64(c.Added+c.Reread) / float64(max(c.Target, 1))
	switch {
	case share > 1:
		return High
	case share > lowShare:
		return Medium
	default:
		return Low
	}
}

// Estimate gives the cost of a move.
func Estimate(ask Ask) Cost {
	c := ask.Snapshot.Configuration
	service, _ := c.Service(ask.Move.Service)
	link := c.Link(c.Region(ask.Move.From), c.Region(ask.Move.To))
	cost := Cost{Target: time.Duration(service.FirstToken), Added: 2 * time.Duration(link.Latency)}
	for _, i := range ask.Snapshot.Serving(ask.Move.Service) {
		e := ask.Snapshot.Endpoints[i]
		if e.Zone == ask.Move.From && !e.Leaving {
			cost.Endpoints++
			cost.Running += e.Load.Running + e.Load.Waiting
			cost.addPrice(c, e, ask.Move.To)
			cost.addCache(ask, e, link)
		}
	}
	return cost
}

func (c *Cost) addPrice(declared configuration.Configuration, e fleet.Endpoint, to identity.Zone) {
	before, _ := declared.Price(e.Zone, e.Class)
	after, ok := declared.Price(to, e.Class)
	if !ok {
		c.Unpriced++
	}
	if e.Reclaimable {
		c.PriceBefore += before.Reclaimable
		c.PriceAfter += after.Reclaimable
		return
	}
	c.PriceBefore += before.OnDemand
	c.PriceAfter += after.OnDemand
}

// addCache decides what of one endpoint's cache is carried to its successor,
// which is empty.
func (c *Cost) addCache(ask Ask, e fleet.Endpoint, link configuration.Link) {
	listed, ok := ask.Entries[e.Host]
	if !ok {
		c.Unknown++
	}
	entries := carry.Estimate(listed)
	carried := make(map[carry.Block]bool)
	for _, step := range decide(ask, entries, link) {
		carried[step.Block] = true
		c.Bytes += step.Bytes
		c.Volume += unit.Money(float64(link.PerGigabyte) * float64(step.Bytes) / float64(unit.Gigabyte))
		c.CarryTime = max(c.CarryTime, step.End)
	}
	var recomputed, atWorst float64
	prefix := make(map[carry.Block]unit.Tokens)
	var longest unit.Tokens
	for _, entry := range entries {
		expected := float64(entry.Tokens) * entry.Reuse
		c.Cached += entry.Tokens
		atWorst += expected
		if carried[entry.Block] {
			c.Carried += entry.Tokens
			continue
		}
		recomputed += expected
		prefix[entry.Block] = prefix[entry.Parent] + entry.Tokens
		longest = max(longest, prefix[entry.Block])
	}
	c.Recomputed += unit.Tokens(recomputed)
	c.AtWorst += unit.Tokens(atWorst)
	reread := time.Duration(float64(longest) / float64(max(ask.PrefillPerSecond, 1)) * float64(time.Second))
	c.Reread = max(c.Reread, reread)
}

func decide(ask Ask, entries []carry.Entry, link configuration.Link) []carry.Step {
	var all unit.Bytes
	for _, entry := range entries {
		all += entry.Bytes
	}
	return carry.Decide(carry.Ask{
		Left: ask.Window, BytesPerSecond: ask.ExportPerSecond, TokenWorth: ask.TokenWorth, Entries: entries,
		Targets: []carry.Target{{
			Host: "successor", Headroom: all, BytesPerSecond: ask.ImportPerSecond, PricePerGigabyte: link.PerGigabyte,
		}},
	})
}
