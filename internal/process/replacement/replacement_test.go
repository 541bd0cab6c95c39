package replacement_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/replacement"
	"github.com/dandelionlift/dandelionlift/internal/standin/cloud"
	kvstandin "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

var configured = configuration.Configuration{
	Zones: []configuration.Zone{{ID: "a", Region: "r"}, {ID: "b", Region: "q"}},
	Prices: []configuration.Price{
		{Zone: "a", Class: "small", Reclaimable: 300, OnDemand: 1000},
		{Zone: "a", Class: "large", Reclaimable: 500, OnDemand: 1900},
		{Zone: "b", Class: "small", Reclaimable: 310, OnDemand: 1100},
	},
}

// world is a cloud with a host list that lags, and a key-value service.
type world struct {
	t       *testing.T
	cloud   *cloud.Cloud
	kv      *kvstandin.Service
	mu      sync.Mutex
	holder  int
	starts  int
	delay   time.Duration
	leaving map[identity.Host]bool
	busy    map[identity.Host]bool
	orders  configuration.Configuration
	done    []identity.Version
	last    *replacement.Replacement
	told    []replacement.What
	group   errgroup.Group
	cancel  context.CancelFunc
	ctx     context.Context
}

// handlerTransport serves in memory; a handler that aborts loses its answer.
type handlerTransport struct{ handler http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			response, err = nil, fmt.Errorf("connection lost")
		}
	}()
	answer := httptest.NewRecorder()
	h.handler.ServeHTTP(answer, r)
	return answer.Result(), r.Context().Err()
}

func newWorld(t *testing.T, services int) *world {
	w := &world{t: t, cloud: cloud.New(), kv: kvstandin.New(), leaving: make(map[identity.Host]bool), busy: make(map[identity.Host]bool), orders: configured}
	w.cloud.ListLag = 5 * time.Second
	w.cloud.Launch = func(s wire.Start) (wire.Host, error) {
		w.mu.Lock()
		w.starts++
		id := identity.Host(fmt.Sprint("spare-", w.starts))
		delay := w.delay
		w.delay = 0
		w.mu.Unlock()
		time.Sleep(3*time.Second + delay)
		return wire.Host{
			ID: id, Incarnation: identity.Incarnation(id), Zone: s.Zone, Class: s.Class, Reclaimable: s.Reclaimable,
			Service: s.Service, State: wire.Live, Tag: s.Tag,
		}, nil
	}
	for i := range services {
		id := identity.Host(fmt.Sprint("h", i))
		w.cloud.Add(wire.Host{ID: id, Incarnation: identity.Incarnation(id), Zone: "a", Class: "small", Reclaimable: true, Service: "s", State: wire.Live})
	}
	w.ctx, w.cancel = context.WithCancel(t.Context())
	return w
}

func (w *world) client() wire.Client {
	return wire.HTTP(netip.MustParseAddrPort("127.0.0.1:1"), &http.Client{Transport: handlerTransport{w.cloud.Handler()}})
}

func (w *world) list() []wire.Host {
	hosts, err := w.client().List(context.Background())
	qt.Check(w.t, err, qt.IsNil)
	return hosts
}

// spares counts the listed hosts that the system started.
func (w *world) spares() (reclaimable, onDemand int) {
	for _, h := range w.list() {
		switch {
		case !replacement.Ours(h):
		case h.Reclaimable:
			reclaimable++
		default:
			onDemand++
		}
	}
	return reclaimable, onDemand
}

func (w *world) snapshot() *fleet.Snapshot {
	var endpoints []fleet.Endpoint
	list := w.list()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range list {
		load := fleet.Load{At: time.Now()}
		if w.busy[h.ID] {
			load.Running = 1
		}
		endpoints = append(endpoints, fleet.Endpoint{
			Host: h.ID, Incarnation: h.Incarnation, Zone: h.Zone, Service: h.Service,
			Leaving: h.State == wire.Leaving || w.leaving[h.ID], Load: load,
		})
	}
	return fleet.New("", "a", w.orders, endpoints)
}

// start runs holder number n, which holds the lease while holder is n.
func (w *world) start(n int) {
	transport := &http.Transport{}
	transport.RegisterProtocol("http", handlerTransport{w.kv.Handler()})
	r := &replacement.Replacement{
		Zone: "a", Snapshot: w.snapshot, Cloud: w.client(),
		KeyValue: keyvalue.HTTP(netip.MustParseAddrPort("127.0.0.1:2"), transport),
		Lease: func() (identity.Fence, bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return identity.Fence(w.holder), w.holder == n
		},
		Leave: func(_ context.Context, host identity.Host, _ identity.Incarnation) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.leaving[host] = true
		},
		MoveDone: func(_ context.Context, number identity.Version) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.done = append(w.done, number)
			w.orders = w.orders.WithoutMove(number)
		},
		Tell: func(what replacement.What, _ replacement.Need) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.told = append(w.told, what)
		},
		Random: rand.New(rand.NewPCG(uint64(n), 1)), Log: slog.New(slog.DiscardHandler),
	}
	w.last = r
	w.group.Go(func() error { return r.Run(w.ctx) })
}

func (w *world) order(change func(*configuration.Configuration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = w.orders.Clone()
	change(&w.orders)
}

func (w *world) setBusy(host identity.Host, busy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy[host] = busy
}

// inZone lists the hosts of a zone that are listed and that nobody took back.
func (w *world) inZone(zone identity.Zone) (hosts []identity.Host) {
	for _, h := range w.list() {
		if h.Zone == zone && h.State != wire.Leaving {
			hosts = append(hosts, h.ID)
		}
	}
	return hosts
}

func (w *world) hold(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holder = n
}

func (w *world) stop() {
	w.cancel()
	qt.Check(w.t, w.group.Wait(), qt.IsNil)
}

func (w *world) reclaim(zone identity.Zone) {
	w.cloud.Reclaim(cloud.Reclaim{Zone: zone, NoticeMillis: 30_000})
}

func TestReclaimWaveIsReplacedOnceEach(t *testing.T) {
	for _, lose := range []int{0, 1, 2} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 20)
			w.cloud.SetFaults(cloud.Faults{LoseAnswerEvery: lose})
			w.hold(1)
			w.start(1)
			w.reclaim("a")
			time.Sleep(4 * time.Minute)
			reclaimable, onDemand := w.spares()
			qt.Check(t, reclaimable, qt.Equals, 20, qt.Commentf("every %d. answer lost", lose))
			qt.Check(t, onDemand, qt.Equals, 0)
			qt.Check(t, w.starts, qt.Equals, 20, qt.Commentf("every %d. answer lost", lose))
			w.stop()
		})
	}
}

// The holder changes every few seconds while answers are lost and one order
// reaches the cloud minutes late; in the end each need has one host.
func TestReclaimReplacedOnceAcrossHolders(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			w := newWorld(t, 10)
			w.cloud.SetFaults(cloud.Faults{LoseAnswerEvery: 3})
			w.kv.SetFaults(kvstandin.Faults{LoseAnswerEvery: 4})
			w.delay = 2 * time.Minute
			for n := 1; n <= 3; n++ {
				w.start(n)
			}
			w.reclaim("a")
			for range 20 {
				w.hold(1 + random.IntN(3))
				time.Sleep(time.Duration(random.IntN(15_000)) * time.Millisecond)
			}
			time.Sleep(5 * time.Minute)
			reclaimable, onDemand := w.spares()
			qt.Check(t, reclaimable+onDemand, qt.Equals, 10, qt.Commentf("seed %d, started %d", seed, w.starts))
			w.stop()
		})
	}
}

// Refused everywhere, hosts on demand are taken last and given back after.
func TestReclaimRefusedTakesOnDemandAndGivesItBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		w.cloud.SetFaults(cloud.Faults{RefuseZones: []identity.Zone{"a", "b"}})
		w.hold(1)
		w.start(1)
		w.reclaim("a")
		time.Sleep(2 * time.Minute)
		reclaimable, onDemand := w.spares()
		qt.Check(t, []int{reclaimable, onDemand}, qt.DeepEquals, []int{0, 5})
		w.cloud.SetFaults(cloud.Faults{})
		time.Sleep(20 * time.Minute)
		reclaimable, onDemand = w.spares()
		qt.Check(t, []int{reclaimable, onDemand}, qt.DeepEquals, []int{5, 0})
		qt.Check(t, w.starts, qt.Equals, 10)
		w.stop()
	})
}

func TestReclaimOrdersNothingWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 5)
		w.start(1)
		w.reclaim("a")
		time.Sleep(5 * time.Minute)
		qt.Check(t, w.starts, qt.Equals, 0)
		w.stop()
	})
}

var toB = configuration.Move{Number: 7, Service: "s", From: "a", To: "b"}

// A move starts anew there first, lets work finish, ends here, and tells what
// it took.
func TestMoveWaitsForWorkAndKeepsItsCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3)
		w.cloud.SetFaults(cloud.Faults{LoseAnswerEvery: 2})
		w.hold(1)
		w.start(1)
		w.setBusy("h1", true)
		w.order(func(c *configuration.Configuration) { c.Moves = append(c.Moves, toB) })
		time.Sleep(5 * time.Minute)
		qt.Check(t, w.inZone("a"), qt.DeepEquals, []identity.Host{"h1"})
		qt.Check(t, w.inZone("b"), qt.HasLen, 3)
		qt.Check(t, w.done, qt.HasLen, 0)
		w.setBusy("h1", false)
		time.Sleep(2 * time.Minute)
		qt.Check(t, w.inZone("a"), qt.HasLen, 0)
		qt.Check(t, w.inZone("b"), qt.HasLen, 3)
		qt.Check(t, w.done, qt.DeepEquals, []identity.Version{7})
		moved := w.last.Moves()
		qt.Assert(t, moved, qt.HasLen, 1)
		qt.Check(t, moved[0].Endpoints, qt.Equals, 3)
		qt.Check(t, int(moved[0].PriceAfter), qt.Equals, 3*310)
		// Two were doubled for a minute or so, the busy one for five.
		qt.Check(t, moved[0].Doubled > 25 && moved[0].Doubled < 60, qt.IsTrue, qt.Commentf("%d", moved[0].Doubled))
		w.stop()
	})
}

// Whenever a move is cancelled, each endpoint ends up in one place.
func TestMoveCancelledAtAnyTime(t *testing.T) {
	for after := time.Duration(0); after < 20*time.Second; after += 490 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 2)
			w.cloud.SetFaults(cloud.Faults{LoseAnswerEvery: 2})
			w.hold(1)
			w.start(1)
			w.order(func(c *configuration.Configuration) { c.Moves = append(c.Moves, toB) })
			time.Sleep(after)
			w.order(func(c *configuration.Configuration) { *c = c.WithoutMove(7) })
			time.Sleep(4 * time.Minute)
			a, b := w.inZone("a"), w.inZone("b")
			qt.Check(t, len(a)+len(b), qt.Equals, 2, qt.Commentf("after %v: %v %v", after, a, b))
			for _, host := range a {
				qt.Check(t, w.leaving[host], qt.IsFalse, qt.Commentf("after %v: %v", after, host))
			}
			w.stop()
		})
	}
}

func TestMovePlannedStopWaitsForWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		w.hold(1)
		w.start(1)
		w.setBusy("h0", true)
		w.mu.Lock()
		w.leaving["h0"] = true
		w.mu.Unlock()
		w.order(func(c *configuration.Configuration) {
			c.Stops = append(c.Stops, configuration.Stop{Host: "h0", Incarnation: "h0"})
		})
		time.Sleep(10 * time.Minute)
		qt.Check(t, w.inZone("a"), qt.HasLen, 2)
		w.setBusy("h0", false)
		time.Sleep(time.Minute)
		qt.Check(t, w.inZone("a"), qt.DeepEquals, []identity.Host{"h1"})
		qt.Check(t, w.starts, qt.Equals, 0)
		w.stop()
	})
}
