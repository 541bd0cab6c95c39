package loader_test

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
	"golang.org/x/time/rate"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/weights"
	"github.com/dandelionlift/dandelionlift/internal/process/loader"
	"github.com/dandelionlift/dandelionlift/internal/standin/engine"
	store "github.com/dandelionlift/dandelionlift/internal/standin/weights"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const storeAddress = "127.0.0.1:1"

// cluster is the engines of two services and a weight store that grants two
// loads a second.
type cluster struct {
	t        *testing.T
	handlers map[string]http.Handler
	client   wire.Client
	mu       sync.Mutex
	fleet    []fleet.Endpoint
	version  string
	fence    identity.Fence
	// granted lists the services of granted loads in order.
	granted []identity.Service
	group   errgroup.Group
}

// RoundTrip calls the handlers in memory.
func (c *cluster) RoundTrip(r *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	c.handlers[r.URL.Host].ServeHTTP(recorder, r)
	return recorder.Result(), r.Context().Err()
}

func newCluster(t *testing.T, engines int) *cluster {
	c := &cluster{t: t, handlers: make(map[string]http.Handler), version: "v2", fence: 1}
	c.client = wire.Client{HTTP: &http.Client{Transport: c}}
	weightStore := store.Store{Limit: rate.NewLimiter(2, 1)}
	c.handlers[storeAddress] = weightStore.Handler()
	speed := engine.DefaultSpeed
	speed.ReportLag = 0
	for i := range engines {
		service := identity.Service([]string{"idle", "wanted"}[i%2])
		e := engine.New(service, identity.Incarnation(fmt.Sprint(i)), speed, engine.NewRecords())
		e.ChecksFence = i%4 < 2
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 1)
		c.handlers[address.String()] = e.Handler()
		c.fleet = append(c.fleet, fleet.Endpoint{
			Host: identity.Host(e.Incarnation), Incarnation: e.Incarnation, Address: address, Service: service, Zone: "a",
		})
	}
	return c
}

func (c *cluster) snapshot() *fleet.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	endpoints := make([]fleet.Endpoint, len(c.fleet))
	for i, e := range c.fleet {
		report, err := c.client.Load(context.Background(), e.Address)
		qt.Check(c.t, err, qt.IsNil)
		e.Load = fleet.Load{ReceivedAt: time.Now(), ModelVersion: report.ModelVersion, Adapter: report.Adapter, Role: report.Role}
		if e.Service == "wanted" {
			e.Load.Waiting = 10
		}
		endpoints[i] = e
	}
	return fleet.New("", "a", configuration.Configuration{Services: []configuration.Service{
		{ID: "idle", Kind: configuration.Model, ModelVersion: c.version, Adapter: "x"},
		{ID: "wanted", Kind: configuration.Model, ModelVersion: c.version, Adapter: "x"},
	}}, endpoints)
}

// start runs a Loader that holds the lease while fence is current.
func (c *cluster) start(ctx context.Context, fence identity.Fence) {
	inner := weights.HTTP(netip.MustParseAddrPort(storeAddress), &http.Client{Transport: c})
	l := &loader.Loader{
		Zone: "a", Snapshot: c.snapshot, Engine: c.client, Random: rand.New(rand.NewPCG(1, uint64(fence))),
		Log: slog.New(slog.DiscardHandler),
		Lease: func() (identity.Fence, bool) {
			c.mu.Lock()
			defer c.mu.Unlock()
			return fence, c.fence == fence
		},
		Weights: weights.Client{Versions: func(ctx context.Context, service identity.Service) (weights.Versions, error) {
			versions, err := inner.Versions(ctx, service)
			if err == nil {
				c.mu.Lock()
				defer c.mu.Unlock()
				c.granted = append(c.granted, service)
			}
			return versions, err
		}},
	}
	c.group.Go(func() error { return l.Run(ctx) })
}

func (c *cluster) countLoaded(version string) int {
	n := 0
	for _, e := range c.snapshot().Endpoints {
		if e.Load.ModelVersion == version {
			n++
		}
	}
	return n
}

// All endpoints load the configured version within the store's rate limit, those
// of the service with the highest need first.
func TestLoaderKeepsTheStoresRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 20)
		ctx, cancel := context.WithCancel(t.Context())
		c.start(ctx, 1)
		time.Sleep(time.Minute)
		qt.Check(t, c.countLoaded("v2"), qt.Equals, 20)
		qt.Check(t, c.granted, qt.HasLen, 20)
		for _, service := range c.granted[:5] {
			qt.Check(t, service, qt.Equals, identity.Service("wanted"))
		}
		cancel()
		qt.Check(t, c.group.Wait(), qt.IsNil)
	})
}

// Late orders of an earlier lease holder are corrected, also at endpoints that
// ignore fencing tokens.
func TestLoaderCorrectsOrdersOfAnOldHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8)
		ctx, cancel := context.WithCancel(t.Context())
		c.start(ctx, 1)
		time.Sleep(30 * time.Second)
		c.mu.Lock()
		c.fence, c.version = 2, "v3"
		c.mu.Unlock()
		c.start(ctx, 2)
		// The late orders arrive between two checks of the new holder.
		time.Sleep(time.Minute + 250*time.Millisecond)
		qt.Check(t, c.countLoaded("v3"), qt.Equals, 8)
		for _, e := range c.fleet {
			late := wire.Order{Fence: 1, Incarnation: e.Incarnation, Model: e.Service, ModelVersion: "v2", Role: "mixed"}
			if err := c.client.SendOrder(ctx, e.Address, late); err != nil {
				qt.Check(t, err, qt.ErrorIs, wire.ErrStaleFence)
			}
		}
		qt.Check(t, c.countLoaded("v2"), qt.Equals, 4)
		time.Sleep(time.Minute)
		qt.Check(t, c.countLoaded("v3"), qt.Equals, 8)
		cancel()
		qt.Check(t, c.group.Wait(), qt.IsNil)
	})
}
