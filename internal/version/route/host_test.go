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

// fakeHost is one entry host with its own late view of the engines.
type fakeHost struct {
	index       int
	region      string
	snapshot    *fleet.Snapshot
	outstanding []int
	turn        int
	random      *rand.Rand
	seenEvents  []uint64
	resyncAt    []time.Duration
	reports     []fleet.Load
}

func simTime(d time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(d) }

// poll refreshes a host's view; reports are as old as the fault makes them.
func (s *sim) poll(h *fakeHost) {
	every := pollEvery
	if s.fault == "lagging_reports" {
		every *= 5
	}
	for i, e := range s.engines {
		if len(e.history) > 0 {
			h.reports[i] = e.history[0]
			h.reports[i].At = simTime(s.now)
		}
		if s.policy.cacheEvents == nil || (s.fault == "gaps" && h.random.Float64() < 0.3) {
			h.seenEvents[i] = e.sequence
			s.resync(h, i)
			continue
		}
		from := len(e.log) - int(e.sequence-min(e.sequence, h.seenEvents[i]))
		batch := e.log[max(0, from):]
		h.seenEvents[i] = e.sequence
		incarnation := e.endpoint.Incarnation
		s.at(s.now+time.Second, func() { s.policy.cacheEvents(h, i, incarnation, batch) })
	}
	s.look(h)
	s.at(s.now+every, func() { s.poll(h) })
}

// resync reads all that an engine holds, seldom, some time after a gap.
func (s *sim) resync(h *fakeHost, i int) {
	if s.policy.resync == nil || s.now < h.resyncAt[i] {
		return
	}
	h.resyncAt[i] = s.now + resyncEvery
	s.at(s.now+resyncEvery/2, func() {
		e := s.engines[i]
		var blocks []engine.Block
		for b := range e.cached {
			blocks = append(blocks, b)
		}
		s.policy.resync(h, e.endpoint.Incarnation, e.sequence, blocks)
	})
}

// look rebuilds a host's snapshot; who is leaving is known at once.
func (s *sim) look(h *fakeHost) {
	list := make([]fleet.Endpoint, 0, len(s.engines))
	for i, e := range s.engines {
		if e.gone {
			continue
		}
		seen := e.endpoint
		seen.Load = h.reports[i]
		if seen.Load.At.Before(seen.Since) {
			seen.Load = fleet.Load{}
		}
		list = append(list, seen)
	}
	h.snapshot = fleet.New(identity.Host(fmt.Sprintf("h%d", h.index)), identity.Zone(h.region+"-a"), s.config, list)
}

// record lets each engine keep a report, of which the oldest is shown.
func (s *sim) record() {
	lag := reportLag
	if s.fault == "lagging_reports" {
		lag = 3 * time.Second
	}
	for _, e := range s.engines {
		load := fleet.Load{
			At: simTime(s.now), Running: len(e.running), Waiting: len(e.waiting),
			CachedTokens: unit.Tokens(e.order.Len()) * engine.BlockTokens, CacheCapacity: cacheBlocks * engine.BlockTokens,
		}
		for _, r := range append(e.running, e.waiting...) {
			load.WaitingTokens += unit.Tokens(max(0, r.toRead))
		}
		e.history = append(e.history, load)
		for len(e.history) > 1 && !e.history[1].At.After(simTime(s.now-lag)) {
			e.history = e.history[1:]
		}
	}
	s.at(s.now+100*time.Millisecond, s.record)
}
