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
	price            float64
	running, waiting []*request
	stepping         bool
	gone             bool
	paidUntil        time.Duration
	paid             time.Duration
	cached           map[engine.Block]*list.Element
	order            *list.List
	log              []engine.CacheEvent
	sequence         uint64
	history          []fleet.Load
}

func (e *fakeEngine) reset() {
	e.cached, e.order = make(map[engine.Block]*list.Element), list.New()
	e.running, e.waiting, e.log, e.sequence = nil, nil, nil, 0
}

func (e *fakeEngine) note(block engine.Block, stored bool) {
	e.sequence++
	e.log = append(e.log, engine.CacheEvent{Sequence: e.sequence, Stored: stored, Block: block, Tokens: engine.BlockTokens})
}

func (e *fakeEngine) store(blocks []engine.Block) {
	for _, b := range blocks {
		if held, ok := e.cached[b]; ok {
			e.order.MoveToFront(held)
			continue
		}
		e.cached[b] = e.order.PushFront(b)
		e.note(b, true)
	}
	for e.order.Len() > cacheBlocks {
		oldest := e.order.Remove(e.order.Back()).(engine.Block)
		delete(e.cached, oldest)
		e.note(oldest, false)
	}
}

// start moves waiting requests into the batch, interactive ones first.
func (s *sim) start(e *fakeEngine) {
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
			e.order.MoveToFront(e.cached[r.blocks[hits]])
			hits++
		}
		for _, b := range r.blocks[hits:] {
			if s.seen[b] && s.now > warmUp {
				s.result.recomputed += int(engine.BlockTokens)
			}
			s.seen[b] = true
		}
		r.toRead = max(1, r.prompt()-hits*int(engine.BlockTokens))
		r.reading = true
		e.running = append(e.running, r)
	}
}

func (s *sim) step(e *fakeEngine) {
	s.start(e)
	if len(e.running) == 0 || e.gone {
		e.stepping = false
		return
	}
	e.stepping = true
	left := stepTokens
	var emits []*request
	for _, r := range e.running {
		read := min(left, r.toRead)
		r.toRead -= read
		left -= read
		if r.toRead == 0 {
			emits = append(emits, r)
		}
	}
	took := stepBase + time.Duration(len(e.running)-1)*stepEach + time.Duration(stepTokens-left)*time.Second/prefillRate
	end := s.now + took
	e.paid += end + handBack - max(e.paidUntil, s.now)
	e.paidUntil = end + handBack
	incarnation := e.endpoint.Incarnation
	s.at(end, func() {
		if e.gone || e.endpoint.Incarnation != incarnation {
			return
		}
		for _, r := range emits {
			s.emit(e, r)
		}
		s.step(e)
	})
}

func (s *sim) emit(e *fakeEngine, r *request) {
	at := s.now + callerLatency
	if r.remote {
		at += regionLatency
	}
	r.generated++
	if r.reading {
		r.reading = false
		e.store(r.blocks)
	}
	switch {
	case r.firstToken == 0:
		r.firstToken = at
	case r.arrived > warmUp && !r.batch:
		s.result.gaps[min(len(s.result.gaps)-1, int((at-r.lastToken)/time.Millisecond))]++
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
