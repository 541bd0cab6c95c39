package route_test

import (
	"container/list"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
)

type fakeEngine struct {
	endpoint         fleet.Endpoint
	region           string
	hourlyPrice      float64
	running, waiting []*request
	stepping         bool
	gone             bool
	paidUntil        time.Duration
	paid             time.Duration
	cached           map[engine.Block]*list.Element
	lru              *list.List
	events           []engine.CacheEvent
	sequence         uint64
	history          []fleet.Load
}

func (e *fakeEngine) reset() {
	e.cached, e.lru = make(map[engine.Block]*list.Element), list.New()
	e.running, e.waiting, e.events, e.sequence = nil, nil, nil, 0
}

func (e *fakeEngine) logEvent(block engine.Block, stored bool) {
	e.sequence++
	e.events = append(e.events, engine.CacheEvent{Sequence: e.sequence, Stored: stored, Block: block, Tokens: engine.BlockTokens})
}

func (e *fakeEngine) store(blocks []engine.Block) {
	for _, b := range blocks {
		if held, ok := e.cached[b]; ok {
			e.lru.MoveToFront(held)
			continue
		}
		e.cached[b] = e.lru.PushFront(b)
		e.logEvent(b, true)
	}
	for e.lru.Len() > cacheBlocks {
		oldest := e.lru.Remove(e.lru.Back()).(engine.Block)
		delete(e.cached, oldest)
		e.logEvent(oldest, false)
	}
}

// fillBatch moves waiting requests into the running batch, interactive ones first.
func (s *sim) fillBatch(e *fakeEngine) {
	for len(e.running) < batchSize && len(e.waiting) > 0 {
		next := 0
		for next < len(e.waiting)-1 && e.waiting[next].batch {
			next++
		}
		if e.waiting[next].batch {
			next = 0
		}
		r := e.waiting[next]
		e.waiting = append(e.waiting[:next], e.waiting[next+1:]...)
		hits := 0
		for hits < len(r.blocks) && e.cached[r.blocks[hits]] != nil {
			e.lru.MoveToFront(e.cached[r.blocks[hits]])
			hits++
		}
		for _, b := range r.blocks[hits:] {
			if s.seenBlocks[b] && s.now > warmUp {
				s.result.recomputed += int(engine.BlockTokens)
			}
			s.seenBlocks[b] = true
		}
		r.pendingPrefill = max(1, r.prompt()-hits*int(engine.BlockTokens))
		r.prefilling = true
		e.running = append(e.running, r)
	}
}

func (s *sim) step(e *fakeEngine) {
	s.fillBatch(e)
	if len(e.running) == 0 || e.gone {
		e.stepping = false
		return
	}
	e.stepping = true
	budget := stepTokens
	var ready []*request
	for _, r := range e.running {
		prefilled := min(budget, r.pendingPrefill)
		r.pendingPrefill -= prefilled
		budget -= prefilled
		if r.pendingPrefill == 0 {
			ready = append(ready, r)
		}
	}
	duration := stepBase + time.Duration(len(e.running)-1)*stepPerRequest + time.Duration(stepTokens-budget)*time.Second/prefillRate
	end := s.now + duration
	e.paid += end + idleRelease - max(e.paidUntil, s.now)
	e.paidUntil = end + idleRelease
	incarnation := e.endpoint.Incarnation
	s.schedule(end, func() {
		if e.gone || e.endpoint.Incarnation != incarnation {
			return
		}
		for _, r := range ready {
			s.emitToken(e, r)
		}
		s.step(e)
	})
}

func (s *sim) emitToken(e *fakeEngine, r *request) {
	at := s.now + callerLatency
	if r.crossRegion {
		at += regionLatency
	}
	r.generated++
	if r.prefilling {
		r.prefilling = false
		e.store(r.blocks)
	}
	switch {
	case r.firstToken == 0:
		r.firstToken = at
	case r.arrived > warmUp && !r.batch:
		s.result.tokenGapHistogram[min(len(s.result.tokenGapHistogram)-1, int((at-r.lastToken)/time.Millisecond))]++
	}
	r.lastToken = at
	if r.generated < r.output {
		return
	}
	for i, other := range e.running {
		if other == r {
			e.running = append(e.running[:i], e.running[i+1:]...)
			break
		}
	}
	s.finish(e, r)
}
