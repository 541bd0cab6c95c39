package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/gateway"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// store holds values; its watches only look every few milliseconds.
type store struct {
	mu       sync.Mutex
	revision keyvalue.Revision
	values   map[string]keyvalue.Value
	down     bool
}

func (s *store) set(key, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.values[key] = keyvalue.Value{Key: key, Data: []byte(data), Revision: s.revision}
}

func (s *store) remove(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, key := range keys {
		delete(s.values, key)
	}
}

func (s *store) cut(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) list(_ context.Context, prefix string) (keyvalue.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return keyvalue.Listing{}, keyvalue.ErrUnavailable
	}
	listing := keyvalue.Listing{AsOf: s.revision}
	for key, v := range s.values {
		if strings.HasPrefix(key, prefix) {
			listing.Values = append(listing.Values, v)
		}
	}
	return listing, nil
}

// watch sends its reader back to the whole range once something changed.
func (s *store) watch(ctx context.Context, _ string, after keyvalue.Revision, _ time.Duration) (keyvalue.Changes, error) {
	for ctx.Err() == nil {
		s.mu.Lock()
		down, revision := s.down, s.revision
		s.mu.Unlock()
		if down {
			return keyvalue.Changes{}, keyvalue.ErrUnavailable
		}
		if revision > after {
			return keyvalue.Changes{}, keyvalue.ErrCompacted
		}
		time.Sleep(time.Millisecond)
	}
	return keyvalue.Changes{}, ctx.Err()
}

func (s *store) store() keyvalue.Store {
	return keyvalue.Store{
		Range: s.list, Changes: s.watch,
		Get: func(context.Context, string) (keyvalue.Value, error) {
			return keyvalue.Value{}, keyvalue.ErrUnavailable
		},
		Grant:  func(context.Context, time.Duration) (keyvalue.LeaseID, error) { return 1, nil },
		Keep:   func(context.Context, keyvalue.LeaseID) error { return nil },
		Commit: func(context.Context, keyvalue.Transaction) (keyvalue.Revision, error) { return 1, nil },
		End:    func(context.Context, keyvalue.LeaseID) error { return nil },
	}
}

const reappear = 400 * time.Millisecond

// start runs a gateway over a store with a configuration and three endpoints,
// whose entries are their states.
func start(t *testing.T) (*qt.C, *store, *gateway.Gateway) {
	c := qt.New(t)
	s := &store{revision: 1, values: make(map[string]keyvalue.Value)}
	s.set("configuration", "3")
	for i := range 3 {
		s.set(fmt.Sprint("endpoints/", i), "ready")
	}
	g, _ := launch(c, s.store())
	until(c, g, "ready ready ready")
	return c, s, g
}

// launch runs a gateway over a store, which answers its neighbours and knows of some.
func launch(c *qt.C, s keyvalue.Store, neighbours ...netip.AddrPort) (*gateway.Gateway, netip.AddrPort) {
	listener, conn, err := gateway.Listen(freeAddress(c))
	c.Assert(err, qt.IsNil)
	edge := gateway.Edge{
		Store: s, ConfigurationKey: "configuration", EndpointPrefix: "endpoints/",
		Catalogue: func(data []byte) (*catalogue.Catalogue, error) {
			version, err := strconv.ParseUint(string(data), 10, 64)
			return catalogue.New(catalogue.Catalogue{Version: identity.Version(version)}), err
		},
		Endpoint: func(key string, data []byte) (fleet.Endpoint, error) {
			if string(data) == "unreadable" {
				return fleet.Endpoint{}, errors.New("unreadable")
			}
			return fleet.Endpoint{
				Host: identity.Host(key), Incarnation: identity.Incarnation(key), Service: "s", Zone: "z", Slots: 1,
				Leaving: string(data) == "draining",
			}, nil
		},
	}
	place := gateway.Place{
		Host: "h", Zone: "z", Regions: map[identity.Zone]identity.Region{"z": "r"},
		Address: netip.MustParseAddrPort(conn.LocalAddr().String()), Seeds: neighbours,
	}
	bounds := gateway.Bounds{
		Lease: time.Minute, UsageWindow: time.Second, UsageLate: time.Second, Reappear: reappear,
		Retries: retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
	}
	g := gateway.New(place, bounds, edge, conn, meter.New(), slog.New(slog.DiscardHandler))
	router := mux.NewRouter()
	g.Routes(router)
	server := &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error { return g.Run(ctx) })
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	c.Cleanup(func() {
		cancel()
		server.Close()
		c.Check(group.Wait(), qt.IsNil)
	})
	return g, place.Address
}

// freeAddress finds an address that is free for both protocols.
func freeAddress(c *qt.C) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// seen tells what a gateway believes of the endpoints.
func seen(g *gateway.Gateway) string {
	var list []string
	for _, e := range g.Endpoints() {
		if e.Leaving {
			list = append(list, "leaving")
			continue
		}
		list = append(list, "ready")
	}
	return strings.Join(list, " ")
}

// until waits for what a gateway is to believe.
func until(c *qt.C, g *gateway.Gateway, want string) {
	c.Helper()
	for range 400 {
		if seen(g) == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("believes %q, not %q", seen(g), want)
}

func TestALeavingEndpointLeavesForGood(t *testing.T) {
	c, s, g := start(t)
	s.set("endpoints/1", "draining")
	until(c, g, "ready leaving ready")
	s.set("endpoints/1", "ready")
	s.set("endpoints/3", "ready")
	until(c, g, "ready leaving ready ready")
}

func TestARemovedEndpointIsNotUsed(t *testing.T) {
	c, s, g := start(t)
	s.remove("endpoints/1")
	until(c, g, "ready ready")
}

func TestAnEntryOfAnotherWriterNamesNoEndpoint(t *testing.T) {
	c, s, g := start(t)
	s.set("endpoints/1", "unreadable")
	until(c, g, "ready ready")
}

// Entries lapse while the store is away: they hold until live endpoints must be
// back, and no longer.
func TestEntriesThatLapsedInAnOutageHoldForAWhile(t *testing.T) {
	c, s, g := start(t)
	s.cut(true)
	time.Sleep(100 * time.Millisecond)
	s.remove("endpoints/0", "endpoints/1", "endpoints/2")
	s.cut(false)
	s.set("endpoints/3", "ready")
	until(c, g, "ready ready ready ready")
	s.set("endpoints/0", "ready")
	until(c, g, "ready ready")
}

// An endpoint that was leaving before the outage is not believed in again.
func TestALeavingEntryThatLapsedIsGone(t *testing.T) {
	c, s, g := start(t)
	s.set("endpoints/1", "draining")
	until(c, g, "ready leaving ready")
	s.cut(true)
	time.Sleep(100 * time.Millisecond)
	s.remove("endpoints/1")
	s.cut(false)
	until(c, g, "ready ready")
}

func TestAnOlderConfigurationIsNotPutInForce(t *testing.T) {
	c, s, g := start(t)
	c.Assert(g.Catalogue().Version, qt.Equals, identity.Version(3))
	s.set("configuration", "2")
	s.set("endpoints/3", "ready")
	until(c, g, "ready ready ready ready")
	c.Assert(g.Catalogue().Version, qt.Equals, identity.Version(3))
	s.set("configuration", "5")
	for range 400 {
		if g.Catalogue().Version == 5 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("version %d in force", g.Catalogue().Version)
}

// A host without a copy of the platform's data, or that stops, takes no callers.
// The store turns one host away without an answer, while its neighbour follows it: the
// host must not wait for its own watch again and again, as each start of it puts off
// the moment at which it is known to be silent.
func TestASilentWatchIsReplacedByANeighboursCopy(t *testing.T) {
	c := qt.New(t)
	s := &store{revision: 1, values: make(map[string]keyvalue.Value)}
	s.set("configuration", "3")
	silent := s.store()
	silent.Changes = func(ctx context.Context, _ string, _ keyvalue.Revision, wait time.Duration) (keyvalue.Changes, error) {
		select {
		case <-ctx.Done():
		case <-time.After(wait + time.Second):
		}
		return keyvalue.Changes{}, keyvalue.ErrUnavailable
	}
	near, address := launch(c, s.store())
	turnedAway, _ := launch(c, silent, address)
	inForce := func(g *gateway.Gateway, version identity.Version) bool {
		// A version must be in force within 2.5 s.
		for range 25 {
			if now := g.Catalogue(); now != nil && now.Version == version {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
		return false
	}
	c.Assert(inForce(near, 3) && inForce(turnedAway, 3), qt.IsTrue)
	time.Sleep(time.Second)
	s.set("configuration", "4")
	c.Assert(inForce(near, 4), qt.IsTrue)
	c.Assert(inForce(turnedAway, 4), qt.IsTrue)
}

func TestReadiness(t *testing.T) {
	c, _, g := start(t)
	for range 400 {
		if g.Ready() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(g.Ready(), qt.IsTrue)
	g.Drain()
	c.Assert(g.Ready(), qt.IsFalse)
}
