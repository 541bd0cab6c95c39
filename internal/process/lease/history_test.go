package lease_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/lease"
	standin "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

var serviceAddress = netip.MustParseAddrPort("10.9.0.1:7001")

const (
	hosts    = 3
	seeds    = 12
	runFor   = 4 * time.Minute
	settleIn = time.Minute
)

// order is one order, as an endpoint received it.
type order struct {
	host  int
	fence identity.Fence
	taken bool
}

// endpoint obeys orders; one that checks refuses those with an old fence.
type endpoint struct {
	mu      sync.Mutex
	checks  bool
	highest identity.Fence
	last    order
	ops     []porcupine.Operation
	clock   int64
}

func (e *endpoint) take(o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.taken = !e.checks || o.fence >= e.highest
	if o.taken {
		e.highest, e.last = max(e.highest, o.fence), o
	}
	e.clock += 2
	e.ops = append(e.ops, porcupine.Operation{ClientId: o.host, Input: o, Call: e.clock, Return: e.clock + 1})
}

// orders is the history at one endpoint: whoever holds a fence gives all orders
// of it, and none with a lower one is obeyed after it.
var orders = porcupine.Model{
	Init: func() interface{} { return order{host: -1} },
	Step: func(state, input, _ interface{}) (bool, interface{}) {
		before, now := state.(order), input.(order)
		if !now.taken {
			return now.fence < before.fence, before
		}
		return now.fence > before.fence || (now.fence == before.fence && now.host == before.host), now
	},
}

// scene is hosts that contend for one lease and order two endpoints about.
type scene struct {
	network            *network.Network
	service            *standin.Service
	checking, ignoring endpoint
	mu                 sync.Mutex
	// holders is who could give orders at each instant.
	holders map[time.Time]map[int]bool
	// lastHeld is who did last.
	lastHeld int
	ordered  int
}

// held is a host's way to ask for its fence.
type held func() (identity.Fence, bool)

// give gives orders until ctx ends. The order may be under way for as long as
// an order may, and the host may be paused before it sends, which only endpoints
// that check withstand at once.
func (s *scene) give(ctx context.Context, group *errgroup.Group, host int, fence held, r *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+r.IntN(400)) * time.Millisecond)
		f, ok := fence()
		if !ok {
			continue
		}
		s.note(host)
		delay := time.Duration(r.Int64N(int64(lease.LongestDelivery)))
		paused := time.Duration(0)
		if r.IntN(20) == 0 && ctx.Err() == nil {
			paused = 20 * time.Second
		}
		group.Go(func() error {
			time.Sleep(delay)
			s.ignoring.take(order{host: host, fence: f})
			time.Sleep(paused)
			s.checking.take(order{host: host, fence: f})
			return nil
		})
	}
}

func (s *scene) note(host int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.holders[now] == nil {
		s.holders[now] = make(map[int]bool)
	}
	s.holders[now][host] = true
	s.lastHeld = host
	s.ordered++
}

// trouble draws one fault after the other.
func (s *scene) trouble(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		s.service.SetFaults(standin.Faults{})
		s.network.SetRule(nil)
		switch r.IntN(5) {
		case 0:
			s.service.SetFaults(standin.Faults{LoseAnswerEvery: 1 + r.IntN(2)})
		case 1:
			s.service.SetFaults(standin.Faults{Down: true})
		case 2:
			s.service.SetFaults(standin.Faults{LateMillis: int64(r.IntN(9000))})
		case 3:
			cut := address(r.IntN(hosts)).Addr()
			s.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: from == cut || to == cut} })
		}
		select {
		case <-time.After(time.Duration(1+r.IntN(25)) * time.Second):
		case <-ctx.Done():
		}
	}
	s.service.SetFaults(standin.Faults{})
	s.network.SetRule(nil)
}

func address(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(host + 1)}), 1)
}

// play runs one seed. spoil changes how a host asks for its fence.
func play(t *testing.T, seed uint64, spoil func(held) held) *scene {
	s := &scene{network: network.New(), service: standin.New(), holders: make(map[time.Time]map[int]bool)}
	s.checking.checks = true
	synctest.Test(t, func(t *testing.T) {
		server := &http.Server{Handler: s.service.Handler()}
		s.network = network.New()
		s.service = standin.New()
		l := s.network.Listen(serviceAddress)
		var group, orders errgroup.Group
		group.Go(func() error { return server.Serve(l) })
		ctx, cancel := context.WithCancel(context.Background())
		troubled, calm := context.WithTimeout(ctx, runFor)
		defer calm()
		for i := range hosts {
			transport := &http.Transport{DialContext: s.network.Dial(address(i).Addr())}
			own := lease.New(keyvalue.HTTP(serviceAddress, transport), lease.ZoneKey("z"), identity.Host(fmt.Sprint(i)), "i")
			own.Log = slog.New(slog.DiscardHandler)
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			group.Go(func() error { defer transport.CloseIdleConnections(); return own.Run(ctx) })
			group.Go(func() error { s.give(ctx, &orders, i, spoil(own.Held), r); return nil })
		}
		s.trouble(troubled, rand.New(rand.NewPCG(seed, 99)))
		time.Sleep(settleIn)
		cancel()
		server.Close()
		_ = group.Wait()
		_ = orders.Wait()
		time.Sleep(time.Minute) // Late writes and dials end.
	})
	return s
}

// faults lists what was wrong in a run.
func (s *scene) faults() []string {
	var list []string
	if !porcupine.CheckOperations(orders, s.checking.ops) {
		list = append(list, "orders interleave at the endpoint that checks")
	}
	if !porcupine.CheckOperations(orders, s.ignoring.ops) {
		list = append(list, "orders interleave at the endpoint that ignores fences")
	}
	if s.ignoring.last.host != s.lastHeld {
		list = append(list, "the endpoint that ignores fences does not end as the last holder said")
	}
	for _, at := range s.holders {
		if len(at) > 1 {
			list = append(list, "two hosts gave orders at one instant")
			break
		}
	}
	return list
}

func sound(h held) held { return h }

func TestHistoryOfLeases(t *testing.T) {
	for seed := range uint64(seeds) {
		s := play(t, seed, sound)
		qt.Check(t, s.faults(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
		qt.Check(t, s.ordered > 50, qt.IsTrue, qt.Commentf("seed %d: %d orders", seed, s.ordered))
	}
}

// A host that checked its lease once goes on after it has lapsed.
func TestHistoryCatchesLeaseCheckedAtStartOnly(t *testing.T) {
	checkedOnce := func(h held) held {
		var fence identity.Fence
		return func() (identity.Fence, bool) {
			if fence == 0 {
				fence, _ = h()
			}
			return fence, fence != 0
		}
	}
	caught := false
	for seed := uint64(0); seed < seeds && !caught; seed++ {
		caught = len(play(t, seed, checkedOnce).faults()) > 0
	}
	qt.Assert(t, caught, qt.IsTrue)
}
