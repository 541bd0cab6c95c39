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

func stored(from, to uint64) []engine.CacheEvent {
	var events []engine.CacheEvent
	for i := from; i <= to; i++ {
		events = append(events, engine.CacheEvent{Sequence: i, Stored: true, Block: engine.Block(i)})
	}
	return events
}

func TestRoutePrefixGapLowersTrustUntilResync(t *testing.T) {
	c := qt.New(t)
	x := prefix.New()
	x.Apply("i", stored(1, 10))
	blocks := []engine.Block{1, 2, 3, 99}
	held, trust := x.Cached("i", blocks)
	c.Assert(held, qt.Equals, 3*engine.BlockTokens)
	c.Assert(trust, qt.Equals, 1.0)
	x.Apply("i", stored(8, 10))
	_, trust = x.Cached("i", blocks)
	c.Assert(trust, qt.Equals, 1.0, qt.Commentf("a repeat is no gap"))
	x.Apply("i", stored(12, 500))
	_, after := x.Cached("i", blocks)
	c.Assert(after < trust, qt.IsTrue)
	x.Apply("i", stored(501, 900))
	_, later := x.Cached("i", blocks)
	c.Assert(later < trust, qt.IsTrue, qt.Commentf("events in order don't mend a gap"))
	x.Resync("i", 900, []engine.Block{1})
	held, trust = x.Cached("i", blocks)
	c.Assert(held, qt.Equals, engine.BlockTokens)
	c.Assert(trust, qt.Equals, 1.0)
	x.Keep(func(identity.Incarnation) bool { return false })
	_, trust = x.Cached("i", blocks)
	c.Assert(trust, qt.Equals, 0.0)
	_, found := x.Holder(blocks)
	c.Assert(found, qt.IsFalse)
	c.Assert(x.Blocks(), qt.Equals, 0)
}

func TestRoutePrefixHolderIsWhoStoredTheDeepestBlock(t *testing.T) {
	c := qt.New(t)
	x := prefix.New()
	x.Apply("a", stored(1, 4))
	x.Apply("b", stored(1, 2))
	holder, found := x.Holder([]engine.Block{1, 2, 3, 4, 5, 6})
	c.Assert(found, qt.IsTrue)
	c.Assert(holder, qt.Equals, identity.Incarnation("a"))
	x.Apply("a", []engine.CacheEvent{{Sequence: 5, Block: 3}, {Sequence: 6, Block: 4}})
	holder, _ = x.Holder([]engine.Block{1, 2, 3, 4, 5, 6})
	c.Assert(holder, qt.Equals, identity.Incarnation("b"))
}

// source is an engine whose events may be lost before they are asked for.
type source struct {
	sync.Mutex
	blocks   map[engine.Block]bool
	events   []engine.CacheEvent
	sequence uint64
	lists    int
}

func (s *source) change(random *rand.Rand) {
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

func (s *source) lose(all bool) {
	s.Lock()
	defer s.Unlock()
	if all {
		s.events = nil
	}
}

// Whatever events are lost, what is known is the truth again after a listing,
// and an endpoint that fails now and then doesn't hold up the others.
func TestRoutePrefixPollerFindsTheTruthAgain(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) { pollThroughGaps(qt.New(t), rand.New(rand.NewPCG(seed, 1))) })
	}
}

func pollThroughGaps(c *qt.C, random *rand.Rand) {
	engines := make(map[identity.Incarnation]*source)
	var sources []prefix.Source
	for i := range 6 {
		id := identity.Incarnation(fmt.Sprint(i))
		engines[id] = &source{blocks: make(map[engine.Block]bool)}
		sources = append(sources, prefix.Source{Incarnation: id})
	}
	x := prefix.New()
	p := &prefix.Poller{
		Index: x, Host: "h", Log: slog.New(slog.DiscardHandler), Count: func(unit.Bytes) {},
		Sources: func() []prefix.Source { return sources },
		Hosts:   func() []identity.Host { return []identity.Host{"h"} },
		Events: func(_ context.Context, of prefix.Source, after uint64) (engine.CacheEvents, unit.Bytes, error) {
			s := engines[of.Incarnation]
			s.Lock()
			defer s.Unlock()
			answer := engine.CacheEvents{Incarnation: of.Incarnation}
			for _, e := range s.events {
				if e.Sequence > after {
					answer.Events = append(answer.Events, e)
				}
			}
			return answer, 1, nil
		},
		Entries: func(_ context.Context, of prefix.Source) ([]engine.Block, error) {
			s := engines[of.Incarnation]
			s.Lock()
			defer s.Unlock()
			if s.lists++; s.lists%3 == 1 {
				return nil, errors.New("not now")
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
			s.change(random)
			s.lose(random.IntN(20) == 0)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, s := range engines {
		s.change(random)
	}
	time.Sleep(time.Minute)
	synctest.Wait()
	for id, s := range engines {
		for b := range engine.Block(200) {
			held, trust := x.Cached(id, []engine.Block{b})
			c.Assert(held > 0, qt.Equals, s.blocks[b], qt.Commentf("engine %s block %d", id, b))
			c.Assert(trust, qt.Equals, 1.0)
		}
		c.Assert(s.lists <= 10, qt.IsTrue, qt.Commentf("%d listings in 90 s", s.lists))
	}
	cancel()
	c.Assert(group.Wait(), qt.IsNil)
}

// Every endpoint has exactly the homes it should have, and a host that dies
// takes only its own from others.
func TestRoutePrefixHomes(t *testing.T) {
	c := qt.New(t)
	var hosts []identity.Host
	for i := range 24 {
		hosts = append(hosts, identity.Host(fmt.Sprintf("h%d", i)))
	}
	for e := range 750 {
		of := identity.Incarnation(fmt.Sprintf("e%d", e))
		homes := 0
		for _, h := range hosts {
			if !prefix.Home(h, hosts, of, 2) {
				continue
			}
			homes++
			if h != hosts[0] {
				c.Assert(prefix.Home(h, hosts[1:], of, 2), qt.IsTrue)
			}
		}
		c.Assert(homes, qt.Equals, 2)
	}
}
