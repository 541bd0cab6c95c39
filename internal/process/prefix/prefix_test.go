package prefix_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/prefix"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

func storedEvents(from, to uint64) []engine.CacheEvent {
	var events []engine.CacheEvent
	for i := from; i <= to; i++ {
		events = append(events, engine.CacheEvent{Sequence: i, Stored: true, Block: engine.Block(i)})
	}
	return events
}

func TestGapLowersTrustUntilResync(t *testing.T) {
	c := qt.New(t)
	x := prefix.New()
	x.Apply("i", storedEvents(1, 10))
	blocks := []engine.Block{1, 2, 3, 99}
	cached, trust := x.Cached("i", blocks)
	c.Assert(cached, qt.Equals, 3*engine.BlockTokens)
	c.Assert(trust, qt.Equals, 1.0)
	x.Apply("i", storedEvents(8, 10))
	_, trust = x.Cached("i", blocks)
	c.Assert(trust, qt.Equals, 1.0, qt.Commentf("repeated events are not a gap"))
	x.Apply("i", storedEvents(12, 500))
	_, after := x.Cached("i", blocks)
	c.Assert(after < trust, qt.IsTrue)
	x.Apply("i", storedEvents(501, 900))
	_, later := x.Cached("i", blocks)
	c.Assert(later < trust, qt.IsTrue, qt.Commentf("events in order after a gap do not restore trust"))
	x.Resync("i", 900, []engine.Block{1})
	cached, trust = x.Cached("i", blocks)
	c.Assert(cached, qt.Equals, engine.BlockTokens)
	c.Assert(trust, qt.Equals, 1.0)
	x.Retain(func(identity.Incarnation) bool { return false })
	_, trust = x.Cached("i", blocks)
	c.Assert(trust, qt.Equals, 0.0)
	_, found := x.Holder(blocks)
	c.Assert(found, qt.IsFalse)
	c.Assert(x.BlockCount(), qt.Equals, 0)
}

func TestHolderStoredLastKnownBlock(t *testing.T) {
	c := qt.New(t)
	x := prefix.New()
	x.Apply("a", storedEvents(1, 4))
	x.Apply("b", storedEvents(1, 2))
	holder, found := x.Holder([]engine.Block{1, 2, 3, 4, 5, 6})
	c.Assert(found, qt.IsTrue)
	c.Assert(holder, qt.Equals, identity.Incarnation("a"))
	x.Apply("a", []engine.CacheEvent{{Sequence: 5, Block: 3}, {Sequence: 6, Block: 4}})
	holder, _ = x.Holder([]engine.Block{1, 2, 3, 4, 5, 6})
	c.Assert(holder, qt.Equals, identity.Incarnation("b"))
}

// fakeEngine is an engine whose events may be lost before they are polled.
type fakeEngine struct {
	sync.Mutex
	blocks   map[engine.Block]bool
	events   []engine.CacheEvent
	sequence uint64
	listings int
}

func (s *fakeEngine) mutate(random *rand.Rand) {
	s.Lock()
	defer s.Unlock()
	s.sequence++
	block := engine.Block(random.IntN(200))
	event := engine.CacheEvent{Sequence: s.sequence, Stored: !s.blocks[block], Block: block}
	if event.Stored {
		s.blocks[block] = true
	} else {
		delete(s.blocks, block)
	}
	s.events = append(s.events, event)
}

func (s *fakeEngine) loseEvents(all bool) {
	s.Lock()
	defer s.Unlock()
	if all {
		s.events = nil
	}
}

// Whatever events are lost and although listings fail, the index matches the
// engines again after a listing, and an engine is listed seldom.
func TestPollerRecoversFromGaps(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) { pollThroughGaps(qt.New(t), rand.New(rand.NewPCG(seed, 1))) })
	}
}

func pollThroughGaps(c *qt.C, random *rand.Rand) {
	engines := make(map[identity.Incarnation]*fakeEngine)
	var sources []prefix.Source
	for i := range 6 {
		id := identity.Incarnation(fmt.Sprint(i))
		engines[id] = &fakeEngine{blocks: make(map[engine.Block]bool)}
		sources = append(sources, prefix.Source{Incarnation: id})
	}
	x := prefix.New()
	p := &prefix.Poller{
		Index: x, Host: "h", Log: slog.New(slog.DiscardHandler), CountBytes: func(unit.Bytes) {},
		Sources: func() []prefix.Source { return sources },
		Hosts:   func() []identity.Host { return []identity.Host{"h"} },
		FetchEvents: func(_ context.Context, source prefix.Source, after uint64) (engine.CacheEvents, unit.Bytes, error) {
			s := engines[source.Incarnation]
			s.Lock()
			defer s.Unlock()
			response := engine.CacheEvents{Incarnation: source.Incarnation}
			for _, e := range s.events {
				if e.Sequence > after {
					response.Events = append(response.Events, e)
				}
			}
			return response, 1, nil
		},
		FetchEntries: func(_ context.Context, source prefix.Source) ([]engine.Block, error) {
			s := engines[source.Incarnation]
			s.Lock()
			defer s.Unlock()
			if s.listings++; s.listings%3 == 1 {
				return nil, errors.New("listing unavailable")
			}
			var blocks []engine.Block
			for b := range s.blocks {
				blocks = append(blocks, b)
			}
			return blocks, nil
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error { return p.Run(ctx) })
	for range 300 {
		synctest.Wait()
		for _, s := range engines {
			s.mutate(random)
			s.loseEvents(random.IntN(20) == 0)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, s := range engines {
		s.mutate(random)
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	for id, s := range engines {
		for b := range engine.Block(200) {
			cached, trust := x.Cached(id, []engine.Block{b})
			c.Assert(cached > 0, qt.Equals, s.blocks[b], qt.Commentf("engine %s block %d", id, b))
			c.Assert(trust, qt.Equals, 1.0)
		}
		c.Assert(s.listings <= 10, qt.IsTrue, qt.Commentf("%d listings in 90 s", s.listings))
	}
	cancel()
	c.Assert(group.Wait(), qt.IsNil)
}

// Every endpoint is assigned to exactly n hosts, and when a host fails, no other
// host loses an endpoint.
func TestEndpointsAreAssignedToHosts(t *testing.T) {
	c := qt.New(t)
	var hosts []identity.Host
	for i := range 24 {
		hosts = append(hosts, identity.Host(fmt.Sprintf("h%d", i)))
	}
	for e := range 750 {
		incarnation := identity.Incarnation(fmt.Sprintf("e%d", e))
		pollers := 0
		for _, h := range hosts {
			if !prefix.IsAssigned(h, hosts, incarnation, 2) {
				continue
			}
			pollers++
			if h != hosts[0] {
				c.Assert(prefix.IsAssigned(h, hosts[1:], incarnation, 2), qt.IsTrue)
			}
		}
		c.Assert(pollers, qt.Equals, 2)
	}
}
