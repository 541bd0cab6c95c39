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

var initialConfiguration = configuration.Configuration{
	Zones: []configuration.Zone{{ID: "a", Region: "r"}, {ID: "b", Region: "q"}},
	Prices: []configuration.Price{
		{Zone: "a", Class: "small", Reclaimable: 300, OnDemand: 1000},
		{Zone: "a", Class: "large", Reclaimable: 500, OnDemand: 1900},
		{Zone: "b", Class: "small", Reclaimable: 310, OnDemand: 1100},
	},
}

// cluster is a cloud whose host list lags, and a key-value service.
type cluster struct {
	t              *testing.T
	cloud          *cloud.Cloud
	kv             *kvstandin.Service
	mu             sync.Mutex
	leaseHolder    int
	starts         int
	nextStartDelay time.Duration
	leaving        map[identity.Host]bool
	busy           map[identity.Host]bool
	config         configuration.Configuration
	movesDone      []identity.Version
	latest         *replacement.Replacement
	steps          []replacement.Step
	group          errgroup.Group
	cancel         context.CancelFunc
	ctx            context.Context
}

// handlerTransport serves calls in memory. If the handler aborts, the answer is
// lost.
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

func newCluster(t *testing.T, hosts int) *cluster {
	c := &cluster{t: t, cloud: cloud.New(), kv: kvstandin.New(), leaving: make(map[identity.Host]bool), busy: make(map[identity.Host]bool), config: initialConfiguration}
	c.cloud.ListLag = 5 * time.Second
	c.cloud.Launch = func(request wire.StartRequest) (wire.Host, error) {
		c.mu.Lock()
		c.starts++
		id := identity.Host(fmt.Sprint("spare-", c.starts))
		delay := c.nextStartDelay
		c.nextStartDelay = 0
		c.mu.Unlock()
		time.Sleep(3*time.Second + delay)
		return wire.Host{
			ID: id, Incarnation: identity.Incarnation(id), Zone: request.Zone, Class: request.Class, Reclaimable: request.Reclaimable,
			Service: request.Service, State: wire.Live, Tag: request.Tag,
		}, nil
	}
	for i := range hosts {
		id := identity.Host(fmt.Sprint("h", i))
		c.cloud.Add(wire.Host{ID: id, Incarnation: identity.Incarnation(id), Zone: "a", Class: "small", Reclaimable: true, Service: "s", State: wire.Live})
	}
	c.ctx, c.cancel = context.WithCancel(t.Context())
	return c
}

func (c *cluster) client() wire.Client {
	return wire.HTTP(netip.MustParseAddrPort("127.0.0.1:1"), &http.Client{Transport: handlerTransport{c.cloud.Handler()}})
}

func (c *cluster) list() []wire.Host {
	hosts, err := c.client().List(context.Background())
	qt.Check(c.t, err, qt.IsNil)
	return hosts
}

// countStarted returns the number of listed hosts that the system started.
func (c *cluster) countStarted() (reclaimable, onDemand int) {
	for _, h := range c.list() {
		switch {
		case !replacement.IsManaged(h):
		case h.Reclaimable:
			reclaimable++
		default:
			onDemand++
		}
	}
	return reclaimable, onDemand
}

func (c *cluster) snapshot() *fleet.Snapshot {
	var endpoints []fleet.Endpoint
	list := c.list()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range list {
		load := fleet.Load{ReceivedAt: time.Now()}
		if c.busy[h.ID] {
			load.Running = 1
		}
		endpoints = append(endpoints, fleet.Endpoint{
			Host: h.ID, Incarnation: h.Incarnation, Zone: h.Zone, Service: h.Service,
			Leaving: h.State == wire.Leaving || c.leaving[h.ID], Load: load,
		})
	}
	return fleet.New("", "a", c.config, endpoints)
}

// start runs entry host n, which holds the lease while leaseHolder is n.
func (c *cluster) start(n int) {
	transport := &http.Transport{}
	transport.RegisterProtocol("http", handlerTransport{c.kv.Handler()})
	r := &replacement.Replacement{
		Zone: "a", Snapshot: c.snapshot, Cloud: c.client(),
		KeyValue: keyvalue.HTTP(netip.MustParseAddrPort("127.0.0.1:2"), transport),
		Lease: func() (identity.Fence, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return identity.Fence(c.leaseHolder), c.leaseHolder == n
		},
		StopEndpoint: func(_ context.Context, host identity.Host, _ identity.Incarnation) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.leaving[host] = true
		},
		RemoveMove: func(_ context.Context, number identity.Version) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.movesDone = append(c.movesDone, number)
			c.config = c.config.WithoutMove(number)
		},
		OnStep: func(step replacement.Step, _ replacement.Need) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.steps = append(c.steps, step)
		},
		Random: rand.New(rand.NewPCG(uint64(n), 1)), Log: slog.New(slog.DiscardHandler),
	}
	c.latest = r
	c.group.Go(func() error { return r.Run(c.ctx) })
}

func (c *cluster) configure(change func(*configuration.Configuration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = c.config.Clone()
	change(&c.config)
}

func (c *cluster) setBusy(host identity.Host, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy[host] = busy
}

// remainingHosts returns the listed hosts of a zone that are not being reclaimed.
func (c *cluster) remainingHosts(zone identity.Zone) (hosts []identity.Host) {
	for _, h := range c.list() {
		if h.Zone == zone && h.State != wire.Leaving {
			hosts = append(hosts, h.ID)
		}
	}
	return hosts
}

func (c *cluster) setLeaseHolder(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaseHolder = n
}

func (c *cluster) stop() {
	c.cancel()
	qt.Check(c.t, c.group.Wait(), qt.IsNil)
}

func (c *cluster) reclaim(zone identity.Zone) {
	c.cloud.Reclaim(cloud.Reclaim{Zone: zone, NoticeMillis: 30_000})
}

func TestReclaimWaveIsReplacedOnceEach(t *testing.T) {
	for _, loseEvery := range []int{0, 1, 2} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 20)
			c.cloud.SetFaults(cloud.Faults{LoseAnswerEvery: loseEvery})
			c.setLeaseHolder(1)
			c.start(1)
			c.reclaim("a")
			time.Sleep(4 * time.Minute)
			reclaimable, onDemand := c.countStarted()
			qt.Check(t, reclaimable, qt.Equals, 20, qt.Commentf("LoseAnswerEvery %d", loseEvery))
			qt.Check(t, onDemand, qt.Equals, 0)
			qt.Check(t, c.starts, qt.Equals, 20, qt.Commentf("LoseAnswerEvery %d", loseEvery))
			c.stop()
		})
	}
}

// The lease holder changes every few seconds, answers are lost, and one order takes
// effect two minutes late. In the end each need must have exactly one host.
func TestReclaimReplacedOnceAcrossHolders(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			c := newCluster(t, 10)
			c.cloud.SetFaults(cloud.Faults{LoseAnswerEvery: 3})
			c.kv.SetFaults(kvstandin.Faults{LoseAnswerEvery: 4})
			c.nextStartDelay = 2 * time.Minute
			for n := 1; n <= 3; n++ {
				c.start(n)
			}
			c.reclaim("a")
			for range 20 {
				c.setLeaseHolder(1 + random.IntN(3))
				time.Sleep(time.Duration(random.IntN(15_000)) * time.Millisecond)
			}
			time.Sleep(5 * time.Minute)
			reclaimable, onDemand := c.countStarted()
			qt.Check(t, reclaimable+onDemand, qt.Equals, 10, qt.Commentf("seed %d, started %d", seed, c.starts))
			c.stop()
		})
	}
}

// While all zones refuse reclaimable hosts, on-demand hosts are started. They are
// replaced by reclaimable ones later.
func TestReclaimRefusedTakesOnDemandAndGivesItBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		c.cloud.SetFaults(cloud.Faults{RefuseZones: []identity.Zone{"a", "b"}})
		c.setLeaseHolder(1)
		c.start(1)
		c.reclaim("a")
		time.Sleep(2 * time.Minute)
		reclaimable, onDemand := c.countStarted()
		qt.Check(t, []int{reclaimable, onDemand}, qt.DeepEquals, []int{0, 5})
		c.cloud.SetFaults(cloud.Faults{})
		time.Sleep(20 * time.Minute)
		reclaimable, onDemand = c.countStarted()
		qt.Check(t, []int{reclaimable, onDemand}, qt.DeepEquals, []int{5, 0})
		qt.Check(t, c.starts, qt.Equals, 10)
		c.stop()
	})
}

func TestReclaimOrdersNothingWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5)
		c.start(1)
		c.reclaim("a")
		time.Sleep(5 * time.Minute)
		qt.Check(t, c.starts, qt.Equals, 0)
		c.stop()
	})
}

var moveToB = configuration.Move{Number: 7, Service: "s", From: "a", To: "b"}

// A move starts the new endpoints first, ends an old one only when its work is
// done, and records its cost.
func TestMoveWaitsForWorkAndKeepsItsCost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.cloud.SetFaults(cloud.Faults{LoseAnswerEvery: 2})
		c.setLeaseHolder(1)
		c.start(1)
		c.setBusy("h1", true)
		c.configure(func(config *configuration.Configuration) { config.Moves = append(config.Moves, moveToB) })
		time.Sleep(5 * time.Minute)
		qt.Check(t, c.remainingHosts("a"), qt.DeepEquals, []identity.Host{"h1"})
		qt.Check(t, c.remainingHosts("b"), qt.HasLen, 3)
		qt.Check(t, c.movesDone, qt.HasLen, 0)
		c.setBusy("h1", false)
		time.Sleep(2 * time.Minute)
		qt.Check(t, c.remainingHosts("a"), qt.HasLen, 0)
		qt.Check(t, c.remainingHosts("b"), qt.HasLen, 3)
		qt.Check(t, c.movesDone, qt.DeepEquals, []identity.Version{7})
		moveRecords := c.latest.Moves()
		qt.Assert(t, moveRecords, qt.HasLen, 1)
		qt.Check(t, moveRecords[0].Endpoints, qt.Equals, 3)
		qt.Check(t, int(moveRecords[0].PriceAfter), qt.Equals, 3*310)
		// Two old endpoints ran beside their replacements for about a minute, the busy
		// one for five.
		qt.Check(t, moveRecords[0].OverlapCost > 25 && moveRecords[0].OverlapCost < 60, qt.IsTrue, qt.Commentf("%d", moveRecords[0].OverlapCost))
		c.stop()
	})
}

// Whenever a move is cancelled, each endpoint ends up in exactly one zone.
func TestMoveCancelledAtAnyTime(t *testing.T) {
	for after := time.Duration(0); after < 20*time.Second; after += 490 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 2)
			c.cloud.SetFaults(cloud.Faults{LoseAnswerEvery: 2})
			c.setLeaseHolder(1)
			c.start(1)
			c.configure(func(config *configuration.Configuration) { config.Moves = append(config.Moves, moveToB) })
			time.Sleep(after)
			c.configure(func(config *configuration.Configuration) { *config = config.WithoutMove(7) })
			time.Sleep(4 * time.Minute)
			a, b := c.remainingHosts("a"), c.remainingHosts("b")
			qt.Check(t, len(a)+len(b), qt.Equals, 2, qt.Commentf("after %v: %v %v", after, a, b))
			for _, host := range a {
				qt.Check(t, c.leaving[host], qt.IsFalse, qt.Commentf("after %v: %v", after, host))
			}
			c.stop()
		})
	}
}

func TestMovePlannedStopWaitsForWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2)
		c.setLeaseHolder(1)
		c.start(1)
		c.setBusy("h0", true)
		c.mu.Lock()
		c.leaving["h0"] = true
		c.mu.Unlock()
		c.configure(func(config *configuration.Configuration) {
			config.Stops = append(config.Stops, configuration.Stop{Host: "h0", Incarnation: "h0"})
		})
		time.Sleep(10 * time.Minute)
		qt.Check(t, c.remainingHosts("a"), qt.HasLen, 2)
		c.setBusy("h0", false)
		time.Sleep(time.Minute)
		qt.Check(t, c.remainingHosts("a"), qt.DeepEquals, []identity.Host{"h1"})
		qt.Check(t, c.starts, qt.Equals, 0)
		c.stop()
	})
}
