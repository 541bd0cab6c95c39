// Package migration estimates the cost of moving a service from one zone to
// another, without changing anything.
//
// # What moves
//
// Each endpoint of the service in the old zone that is not leaving is replaced by
// one of the same class in the new zone. Its cached prefixes are transferred to
// the replacement within a time window; carry.Decide selects them, as when a host
// is taken back.
//
// # What is lost
//
// A cached token that is not transferred must be recomputed if its block is
// requested again, which is estimated as a probability. After the move, each
// request of a caller near the old zone has the additional latency to the new one.
package migration

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/carry"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Input is the input of Estimate.
type Input struct {
	Snapshot *fleet.Snapshot
	Move     configuration.Move
	// Entries are the cache entries that each source can export, without
	// ReuseProbability set. A source that did not respond has no key.
	Entries map[identity.Host][]carry.Entry
	// Window limits the duration of the cache transfer.
	Window time.Duration
	// ExportBytesPerSecond and ImportBytesPerSecond are the transfer rates of an
	// endpoint.
	ExportBytesPerSecond unit.Bytes
	ImportBytesPerSecond unit.Bytes
	// TokenValue is the saving per token that need not be recomputed.
	TokenValue unit.Money
	// PrefillTokensPerSecond is the prefill rate of an endpoint.
	PrefillTokensPerSecond unit.Tokens
}

// Cost is the estimated cost of a move.
type Cost struct {
	// Endpoints is the number of endpoints moved. Running is the number of their
	// requests, running or waiting, which must resume elsewhere.
	Endpoints int
	Running   int
	// PriceBefore and PriceAfter are the endpoints' prices per hour.
	PriceBefore unit.Money
	PriceAfter  unit.Money
	// Unpriced counts endpoints whose class has no price in the new zone.
	Unpriced int
	// Unreported counts endpoints that did not report their cache entries.
	Unreported int
	// Cached is the number of tokens cached at the sources, Transferred the
	// number of those transferred, and Bytes their size.
	Cached      unit.Tokens
	Transferred unit.Tokens
	Bytes       unit.Bytes
	// TransferPrice is the price of Bytes on the link between the regions.
	TransferPrice unit.Money
	// TransferTime is the time until the last transfer ends.
	TransferTime time.Duration
	// Recomputed is the expected number of tokens to recompute,
	// RecomputedWithoutTransfer the same if nothing is transferred.
	Recomputed                unit.Tokens
	RecomputedWithoutTransfer unit.Tokens
	// AddedLatency is the round trip to the new region, which delays each first
	// token of a caller near the old zone. RecomputeTime is the one-time delay to
	// recompute the longest prefix that is not transferred.
	AddedLatency  time.Duration
	RecomputeTime time.Duration
	// FirstTokenTarget is the service's latency target for a first token.
	FirstTokenTarget time.Duration
}

// Risk grades the effect of a move on the latency target.
type Risk string

// The risks: at Low, at least three quarters of the target remain; at High, it is
// exceeded.
const (
	Low    Risk = "low"
	Medium Risk = "medium"
	High   Risk = "high"
)

// lowRiskShare is the share of the target that low risk may consume.
const lowRiskShare = 0.25

// Risk returns the risk of the latency that the move adds to a first token.
func (c Cost) Risk() Risk {
	share := float64(c.AddedLatency+c.RecomputeTime) / float64(max(c.FirstTokenTarget, 1))
	switch {
	case share > 1:
		return High
	case share > lowRiskShare:
		return Medium
	default:
		return Low
	}
}

// Estimate returns the cost of a move.
func Estimate(input Input) Cost {
	config := input.Snapshot.Configuration
	service, _ := config.Service(input.Move.Service)
	link := config.Link(config.Region(input.Move.From), config.Region(input.Move.To))
	cost := Cost{FirstTokenTarget: time.Duration(service.FirstTokenTarget), AddedLatency: 2 * time.Duration(link.OneWayLatency)}
	for _, i := range input.Snapshot.Serving(input.Move.Service) {
		e := input.Snapshot.Endpoints[i]
		if e.Zone == input.Move.From && !e.Leaving {
			cost.Endpoints++
			cost.Running += e.Load.Running + e.Load.Waiting
			cost.addPrice(config, e, input.Move.To)
			cost.addCache(input, e, link)
		}
	}
	return cost
}

func (c *Cost) addPrice(config configuration.Configuration, e fleet.Endpoint, to identity.Zone) {
	before, _ := config.Price(e.Zone, e.Class)
	after, ok := config.Price(to, e.Class)
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

// addCache adds the transfer of one endpoint's cache to its replacement, whose
// cache is empty, and the recomputation of what is not transferred.
func (c *Cost) addCache(input Input, e fleet.Endpoint, link configuration.Link) {
	reported, ok := input.Entries[e.Host]
	if !ok {
		c.Unreported++
	}
	entries := carry.EstimateReuse(reported)
	transferred := make(map[carry.Block]bool)
	for _, transfer := range planTransfers(input, entries, link) {
		transferred[transfer.Block] = true
		c.Bytes += transfer.Bytes
		c.TransferPrice += unit.Money(float64(link.PricePerGigabyte) * float64(transfer.Bytes) / float64(unit.Gigabyte))
		c.TransferTime = max(c.TransferTime, transfer.End)
	}
	var recomputed, withoutTransfer float64
	prefixTokens := make(map[carry.Block]unit.Tokens)
	var longest unit.Tokens
	for _, entry := range entries {
		expected := float64(entry.Tokens) * entry.ReuseProbability
		c.Cached += entry.Tokens
		withoutTransfer += expected
		if transferred[entry.Block] {
			c.Transferred += entry.Tokens
			continue
		}
		recomputed += expected
		prefixTokens[entry.Block] = prefixTokens[entry.Parent] + entry.Tokens
		longest = max(longest, prefixTokens[entry.Block])
	}
	c.Recomputed += unit.Tokens(recomputed)
	c.RecomputedWithoutTransfer += unit.Tokens(withoutTransfer)
	recomputeTime := time.Duration(float64(longest) / float64(max(input.PrefillTokensPerSecond, 1)) * float64(time.Second))
	c.RecomputeTime = max(c.RecomputeTime, recomputeTime)
}

func planTransfers(input Input, entries []carry.Entry, link configuration.Link) []carry.Transfer {
	var total unit.Bytes
	for _, entry := range entries {
		total += entry.Bytes
	}
	return carry.Decide(carry.Input{
		TimeLeft: input.Window, BytesPerSecond: input.ExportBytesPerSecond, TokenValue: input.TokenValue, Entries: entries,
		Targets: []carry.Target{{
			Host: "successor", Headroom: total, BytesPerSecond: input.ImportBytesPerSecond, PricePerGigabyte: link.PricePerGigabyte,
		}},
	})
}
