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
	hosts          = 3
	seeds          = 12
	faultDuration  = 4 * time.Minute
	settleDuration = time.Minute
)

// order is an order received by an endpoint.
type order struct {
	host     int
	fence    identity.Fence
	accepted bool
}

// endpoint accepts orders. If it checks fencing tokens, it rejects orders with a
// lower token than the highest it has accepted.
type endpoint struct {
	mu           sync.Mutex
	checksFence  bool
	highestFence identity.Fence
	lastOrder    order
	ops          []porcupine.Operation
	clock        int64
}

func (e *endpoint) receive(o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.accepted = !e.checksFence || o.fence >= e.highestFence
	if o.accepted {
		e.highestFence, e.lastOrder = max(e.highestFence, o.fence), o
	}
	e.clock += 2
	e.ops = append(e.ops, porcupine.Operation{ClientId: o.host, Input: o, Call: e.clock, Return: e.clock + 1})
}

// orderModel models the orders at one endpoint: all orders with the same fencing
// token come from the same host, and after a token no lower one is accepted.
var orderModel = porcupine.Model{
	Init: func() interface{} { return order{host: -1} },
	Step: func(state, input, _ interface{}) (bool, interface{}) {
		last, next := state.(order), input.(order)
		if !next.accepted {
			return next.fence < last.fence, last
		}
		return next.fence > last.fence || (next.fence == last.fence && next.host == last.host), next
	},
}

// simulation runs hosts that compete for one lease and send orders to two
// endpoints, one that checks fencing tokens and one that ignores them.
type simulation struct {
	network            *network.Network
	service            *standin.Service
	checking, ignoring endpoint
	mu                 sync.Mutex
	// holders are the hosts that issued an order, by the instant of issue.
	holders map[time.Time]map[int]bool
	// lastHolder is the host that issued the last order.
	lastHolder int
	orderCount int
}

// heldFunc is the type of Lease.Held.
type heldFunc func() (identity.Fence, bool)

// sendOrders sends orders until ctx ends. An order is in flight for up to
// lease.MaxOrderDuration. Some orders reach the endpoint that checks fencing tokens
// 20 s later still, as if the host had been paused before it sent them. The other
// endpoint is not protected from such orders and gets none.
func (s *simulation) sendOrders(ctx context.Context, group *errgroup.Group, host int, leaseHeld heldFunc, r *rand.Rand) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(200+r.IntN(400)) * time.Millisecond)
		token, ok := leaseHeld()
		if !ok {
			continue
		}
		s.recordHolder(host)
		delay := time.Duration(r.Int64N(int64(lease.MaxOrderDuration)))
		pauseTime := time.Duration(0)
		if r.IntN(20) == 0 && ctx.Err() == nil {
			pauseTime = 20 * time.Second
		}
		group.Go(func() error {
			time.Sleep(delay)
			s.ignoring.receive(order{host: host, fence: token})
			time.Sleep(pauseTime)
			s.checking.receive(order{host: host, fence: token})
			return nil
		})
	}
}

func (s *simulation) recordHolder(host int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.holders[now] == nil {
		s.holders[now] = make(map[int]bool)
	}
	s.holders[now][host] = true
	s.lastHolder = host
	s.orderCount++
}

// injectFaults injects one random fault after the other until ctx ends.
func (s *simulation) injectFaults(ctx context.Context, r *rand.Rand) {
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
			isolated := address(r.IntN(hosts)).Addr()
			s.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: from == isolated || to == isolated} })
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

// simulate runs one seed. wrap replaces the function with which a host asks for
// its fencing token.
func simulate(t *testing.T, seed uint64, wrap func(heldFunc) heldFunc) *simulation {
	s := &simulation{network: network.New(), service: standin.New(), holders: make(map[time.Time]map[int]bool)}
	s.checking.checksFence = true
	synctest.Test(t, func(t *testing.T) {
		// The server keeps the service created above. The one created below, on which
		// injectFaults sets faults, receives no calls.
		server := &http.Server{Handler: s.service.Handler()}
		s.network = network.New()
		s.service = standin.New()
		l := s.network.Listen(serviceAddress)
		var group, orders errgroup.Group
		group.Go(func() error { return server.Serve(l) })
		ctx, cancel := context.WithCancel(context.Background())
		faultCtx, stopFaults := context.WithTimeout(ctx, faultDuration)
		defer stopFaults()
		for i := range hosts {
			transport := &http.Transport{DialContext: s.network.Dial(address(i).Addr())}
			hostLease := lease.New(keyvalue.HTTP(serviceAddress, transport), lease.ZoneKey("z"), identity.Host(fmt.Sprint(i)), "i")
			hostLease.Log = slog.New(slog.DiscardHandler)
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			group.Go(func() error { defer transport.CloseIdleConnections(); return hostLease.Run(ctx) })
			group.Go(func() error { s.sendOrders(ctx, &orders, i, wrap(hostLease.Held), r); return nil })
		}
		s.injectFaults(faultCtx, rand.New(rand.NewPCG(seed, 99)))
		time.Sleep(settleDuration)
		cancel()
		server.Close()
		_ = group.Wait()
		_ = orders.Wait()
		time.Sleep(time.Minute) // Lets delayed writes and dials finish.
	})
	return s
}

// violations lists the properties that a run violated.
func (s *simulation) violations() []string {
	var list []string
	if !porcupine.CheckOperations(orderModel, s.checking.ops) {
		list = append(list, "orders of different holders interleave at the endpoint that checks fencing tokens")
	}
	if !porcupine.CheckOperations(orderModel, s.ignoring.ops) {
		list = append(list, "orders of different holders interleave at the endpoint that ignores fencing tokens")
	}
	if s.ignoring.lastOrder.host != s.lastHolder {
		list = append(list, "the last order at the endpoint that ignores fencing tokens is not from the last holder")
	}
	for _, hosts := range s.holders {
		if len(hosts) > 1 {
			list = append(list, "two hosts issued orders at the same instant")
			break
		}
	}
	return list
}

func unmodified(held heldFunc) heldFunc { return held }

func TestHistoryOfLeases(t *testing.T) {
	for seed := range uint64(seeds) {
		s := simulate(t, seed, unmodified)
		qt.Check(t, s.violations(), qt.HasLen, 0, qt.Commentf("seed %d", seed))
		qt.Check(t, s.orderCount > 50, qt.IsTrue, qt.Commentf("seed %d: %d orders", seed, s.orderCount))
	}
}

// A host that checks its lease only once keeps issuing orders after the lease has
// expired. The checks of TestHistoryOfLeases must detect that.
func TestHistoryCatchesLeaseCheckedAtStartOnly(t *testing.T) {
	checkOnce := func(held heldFunc) heldFunc {
		var fence identity.Fence
		return func() (identity.Fence, bool) {
			if fence == 0 {
				fence, _ = held()
			}
			return fence, fence != 0
		}
	}
	caught := false
	for seed := uint64(0); seed < seeds && !caught; seed++ {
		caught = len(simulate(t, seed, checkOnce).violations()) > 0
	}
	qt.Assert(t, caught, qt.IsTrue)
}
