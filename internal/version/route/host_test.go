package route_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// fakeHost is an entry host with its own, delayed view of the engines.
type fakeHost struct {
	index        int
	region       string
	snapshot     *fleet.Snapshot
	outstanding  []int
	rounds       int
	random       *rand.Rand
	lastSequence []uint64
	nextResync   []time.Duration
	reports      []fleet.Load
}

func simTime(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// poll fetches the engines' load reports and cache events, delayed or incomplete
// as the fault requires.
func (s *sim) poll(h *fakeHost) {
	every := pollEvery
	if s.fault == "lagging_reports" {
		every *= 5
	}
	for i, e := range s.engines {
		if len(e.history) > 0 {
			h.reports[i] = e.history[0]
			h.reports[i].ReceivedAt = simTime(s.now)
		}
		if s.policy.cacheEvents == nil || (s.fault == "gaps" && h.random.Float64() < 0.3) {
			h.lastSequence[i] = e.sequence
			s.scheduleResync(h, i)
			continue
		}
		from := len(e.events) - int(e.sequence-min(e.sequence, h.lastSequence[i]))
		newEvents := e.events[max(0, from):]
		h.lastSequence[i] = e.sequence
		incarnation := e.endpoint.Incarnation
		s.schedule(s.now+time.Second, func() { s.policy.cacheEvents(h, i, incarnation, newEvents) })
	}
	s.refreshSnapshot(h)
	s.schedule(s.now+every, func() { s.poll(h) })
}

// scheduleResync lists all cached blocks of an engine some time after an event gap,
// at most once per resyncEvery.
func (s *sim) scheduleResync(h *fakeHost, i int) {
	if s.policy.resync == nil || s.now < h.nextResync[i] {
		return
	}
	h.nextResync[i] = s.now + resyncEvery
	s.schedule(s.now+resyncEvery/2, func() {
		e := s.engines[i]
		var blocks []engine.Block
		for b := range e.cached {
			blocks = append(blocks, b)
		}
		s.policy.resync(h, e.endpoint.Incarnation, e.sequence, blocks)
	})
}

// refreshSnapshot rebuilds a host's snapshot. Leaving endpoints are known without
// delay.
func (s *sim) refreshSnapshot(h *fakeHost) {
	list := make([]fleet.Endpoint, 0, len(s.engines))
	for i, e := range s.engines {
		if e.gone {
			continue
		}
		seen := e.endpoint
		seen.Load = h.reports[i]
		if seen.Load.ReceivedAt.Before(seen.FirstSeen) {
			seen.Load = fleet.Load{}
		}
		list = append(list, seen)
	}
	h.snapshot = fleet.New(identity.Host(fmt.Sprintf("h%d", h.index)), identity.Zone(h.region+"-a"), s.config, list)
}

// recordReports adds a load report to each engine's history, whose oldest report is
// the one that hosts see.
func (s *sim) recordReports() {
	lag := reportLag
	if s.fault == "lagging_reports" {
		lag = 3 * time.Second
	}
	for _, e := range s.engines {
		load := fleet.Load{
			ReceivedAt: simTime(s.now), Running: len(e.running), Waiting: len(e.waiting),
			CachedTokens: unit.Tokens(e.lru.Len()) * engine.BlockTokens, CacheCapacity: cacheBlocks * engine.BlockTokens,
		}
		for _, r := range append(e.running, e.waiting...) {
			load.WaitingTokens += unit.Tokens(max(0, r.pendingPrefill))
		}
		e.history = append(e.history, load)
		for len(e.history) > 1 && !e.history[1].ReceivedAt.After(simTime(s.now-lag)) {
			e.history = e.history[1:]
		}
	}
	s.schedule(s.now+100*time.Millisecond, s.recordReports)
}
