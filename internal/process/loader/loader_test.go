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

// world is engines of two services and a weight store that gives two loads a
// second.
type world struct {
	t        *testing.T
	handlers map[string]http.Handler
	clients  wire.Client
	mu       sync.Mutex
	fleet    []fleet.Endpoint
	version  string
	fence    identity.Fence
	// loads are the services of granted loads in order.
	loads []identity.Service
	group errgroup.Group
}

// RoundTrip serves in memory.
func (w *world) RoundTrip(r *http.Request) (*http.Response, error) {
	answer := httptest.NewRecorder()
	w.handlers[r.URL.Host].ServeHTTP(answer, r)
	return answer.Result(), r.Context().Err()
}

func newWorld(t *testing.T, engines int) *world {
	w := &world{t: t, handlers: make(map[string]http.Handler), version: "v2", fence: 1}
	w.clients = wire.Client{HTTP: &http.Client{Transport: w}}
	limit := store.Store{Limit: rate.NewLimiter(2, 1)}
	w.handlers[storeAddress] = limit.Handler()
	speed := engine.DefaultSpeed
	speed.ReportLag = 0
	for i := range engines {
		service := identity.Service([]string{"idle", "wanted"}[i%2])
		e := engine.New(service, identity.Incarnation(fmt.Sprint(i)), speed, engine.NewRecords())
		e.ChecksFence = i%4 < 2
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}), 1)
		w.handlers[address.String()] = e.Handler()
		w.fleet = append(w.fleet, fleet.Endpoint{
			Host: identity.Host(e.Incarnation), Incarnation: e.Incarnation, Address: address, Service: service, Zone: "a",
		})
	}
	return w
}

func (w *world) snapshot() *fleet.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	endpoints := make([]fleet.Endpoint, len(w.fleet))
	for i, e := range w.fleet {
		report, err := w.clients.Load(context.Background(), e.Address)
		qt.Check(w.t, err, qt.IsNil)
		e.Load = fleet.Load{At: time.Now(), ModelVersion: report.ModelVersion, Adapter: report.Adapter, Role: report.Role}
		if e.Service == "wanted" {
			e.Load.Waiting = 10
		}
		endpoints[i] = e
	}
	return fleet.New("", "a", configuration.Configuration{Services: []configuration.Service{
		{ID: "idle", Kind: configuration.Model, ModelVersion: w.version, Adapter: "x"},
		{ID: "wanted", Kind: configuration.Model, ModelVersion: w.version, Adapter: "x"},
	}}, endpoints)
}

// start runs the holder of one fence.
func (w *world) start(ctx context.Context, fence identity.Fence) {
	inner := weights.HTTP(netip.MustParseAddrPort(storeAddress), &http.Client{Transport: w})
	l := &loader.Loader{
		Zone: "a", Snapshot: w.snapshot, Engine: w.clients, Random: rand.New(rand.NewPCG(1, uint64(fence))),
		Log: slog.New(slog.DiscardHandler),
		Lease: func() (identity.Fence, bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			return fence, w.fence == fence
		},
		Weights: weights.Client{Versions: func(ctx context.Context, service identity.Service) (weights.Versions, error) {
			versions, err := inner.Versions(ctx, service)
			if err == nil {
				w.mu.Lock()
				defer w.mu.Unlock()
				w.loads = append(w.loads, service)
			}
			return versions, err
		}},
	}
	w.group.Go(func() error { return l.Run(ctx) })
}

func (w *world) loaded(version string) int {
	n := 0
	for _, e := range w.snapshot().Endpoints {
		if e.Load.ModelVersion == version {
			n++
		}
	}
	return n
}

// All endpoints load the configured version, at the store's rate, those in need
// first.
func TestReclaimLoadsUnderTheStoresRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 20)
		ctx, cancel := context.WithCancel(t.Context())
		w.start(ctx, 1)
		time.Sleep(time.Minute)
		qt.Check(t, w.loaded("v2"), qt.Equals, 20)
		qt.Check(t, w.loads, qt.HasLen, 20)
		for _, service := range w.loads[:5] {
			qt.Check(t, service, qt.Equals, identity.Service("wanted"))
		}
		cancel()
		qt.Check(t, w.group.Wait(), qt.IsNil)
	})
}

// Orders of an earlier holder that arrive late do not have the last word, also
// at endpoints that ignore fences.
func TestReclaimOldHolderDoesNotPrevail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 8)
		ctx, cancel := context.WithCancel(t.Context())
		w.start(ctx, 1)
		time.Sleep(30 * time.Second)
		w.mu.Lock()
		w.fence, w.version = 2, "v3"
		w.mu.Unlock()
		w.start(ctx, 2)
		// The late orders arrive between two looks of the new holder.
		time.Sleep(time.Minute + 250*time.Millisecond)
		qt.Check(t, w.loaded("v3"), qt.Equals, 8)
		for _, e := range w.fleet {
			late := wire.Order{Fence: 1, Incarnation: e.Incarnation, Model: e.Service, ModelVersion: "v2", Role: "mixed"}
			if err := w.clients.Order(ctx, e.Address, late); err != nil {
				qt.Check(t, err, qt.ErrorIs, wire.ErrStale)
			}
		}
		qt.Check(t, w.loaded("v2"), qt.Equals, 4)
		time.Sleep(time.Minute)
		qt.Check(t, w.loaded("v3"), qt.Equals, 8)
		cancel()
		qt.Check(t, w.group.Wait(), qt.IsNil)
	})
}
