package reclaim_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/engine"
	kv "github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/reclaim"
	"github.com/dandelionlift/dandelionlift/internal/standin/engine"
	"github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const keyValueAddress = "127.0.0.1:1"

var errConnectionLost = errors.New("connection lost")

// cluster is a set of engines and a key-value service, reached in memory by
// several entry hosts.
type cluster struct {
	t         *testing.T
	mu        sync.Mutex
	handlers  map[string]http.Handler
	engines   map[identity.Host]*engine.Engine
	endpoints []fleet.Endpoint
	live      []identity.Host
	kv        *keyvalue.Service
	// imports counts the PUT calls by target address and path.
	imports map[string]int
	group   errgroup.Group
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t: t, kv: keyvalue.New(), handlers: make(map[string]http.Handler),
		engines: make(map[identity.Host]*engine.Engine), imports: make(map[string]int),
	}
	c.handlers[keyValueAddress] = c.kv.Handler()
	return c
}

// addEndpoint adds an engine that needs 20 ms to export one entry.
func (c *cluster) addEndpoint(host identity.Host, zone identity.Zone, capacity unit.Tokens) {
	speed := engine.DefaultSpeed
	speed.CacheTokens = capacity
	speed.TransferBytesPerSecond = 256 * unit.Megabyte
	e := engine.New("s", identity.Incarnation(host), speed, engine.NewRecords())
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(len(c.endpoints) + 1)}), 1)
	c.handlers[address.String()] = e.Handler()
	c.engines[host] = e
	c.endpoints = append(c.endpoints, fleet.Endpoint{
		Host: host, Incarnation: e.Incarnation, Address: address, Service: "s", Zone: zone,
		Load: fleet.Load{CacheCapacity: capacity},
	})
}

func (c *cluster) update(host identity.Host, change func(*fleet.Endpoint)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]fleet.Endpoint, len(c.endpoints))
	copy(list, c.endpoints)
	for i := range list {
		if list[i].Host == host {
			change(&list[i])
		}
	}
	c.endpoints = list
}

func (c *cluster) announceLeave(host identity.Host, notice time.Duration) {
	deadline := time.Now().Add(notice)
	c.update(host, func(e *fleet.Endpoint) { e.Leaving, e.Deadline = true, deadline })
}

// remove drops a host from the endpoints and the network.
func (c *cluster) remove(host identity.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rest []fleet.Endpoint
	for _, e := range c.endpoints {
		if e.Host == host {
			delete(c.handlers, e.Address.String())
			continue
		}
		rest = append(rest, e)
	}
	c.endpoints = rest
}

func (c *cluster) findEndpoint(host identity.Host) fleet.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints {
		if e.Host == host {
			return e
		}
	}
	return fleet.Endpoint{}
}

func (c *cluster) snapshot() *fleet.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fleet.New("", "a", configuration.Configuration{
		Zones:    []configuration.Zone{{ID: "a", Region: "r"}, {ID: "b", Region: "r"}},
		Services: []configuration.Service{{ID: "s", Kind: configuration.Model}},
	}, c.endpoints)
}

func (c *cluster) setLive(hosts ...identity.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.live = hosts
}

// entryHost runs Reclaim on one entry host. As its HTTP transport, it can kill the
// host at a chosen call.
type entryHost struct {
	*reclaim.Reclaim
	network *cluster
	cancel  context.CancelFunc
	mu      sync.Mutex
	calls   int
	// killAt is the number of the call at which the host is killed: before the
	// call takes effect, or after if killAfter is set.
	killAt    int
	killAfter bool
	killed    bool
}

func (c *cluster) startEntry(host identity.Host) *entryHost {
	e := &entryHost{network: c}
	client := &http.Client{Transport: e}
	keyValueTransport := &http.Transport{}
	keyValueTransport.RegisterProtocol("http", e)
	e.Reclaim = &reclaim.Reclaim{
		Host: host, Snapshot: c.snapshot, Engine: wire.Client{HTTP: client},
		KeyValue: kv.HTTP(netip.MustParseAddrPort(keyValueAddress), keyValueTransport),
		Record:   new(reclaim.Record), Log: slog.New(slog.DiscardHandler),
		LiveHosts: func() []identity.Host {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.live
		},
	}
	ctx, cancel := context.WithCancel(c.t.Context())
	e.cancel = cancel
	c.group.Go(func() error { return e.Run(ctx) })
	return e
}

// RoundTrip serves a call in memory, unless the host was killed.
func (e *entryHost) RoundTrip(r *http.Request) (*http.Response, error) {
	e.mu.Lock()
	e.calls++
	kill := e.calls == e.killAt
	e.killed = e.killed || (kill && !e.killAfter)
	killed := e.killed
	e.mu.Unlock()
	if killed {
		e.cancel()
		return nil, errConnectionLost
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	response, err := e.network.serve(r)
	if kill {
		e.mu.Lock()
		e.killed = true
		e.mu.Unlock()
		e.cancel()
		return nil, errConnectionLost
	}
	return response, err
}

func (c *cluster) serve(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	handler, ok := c.handlers[r.URL.Host]
	if ok && r.Method == http.MethodPut && r.URL.Host != keyValueAddress {
		c.imports[r.URL.Host+r.URL.Path]++
	}
	c.mu.Unlock()
	if !ok {
		return nil, errConnectionLost
	}
	answer := httptest.NewRecorder()
	if !serveUnlessAborted(handler, answer, r) {
		return nil, errConnectionLost
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return answer.Result(), nil
}

// serveUnlessAborted reports whether the handler answered, that is, didn't abort
// the connection.
func serveUnlessAborted(handler http.Handler, w http.ResponseWriter, r *http.Request) (ok bool) {
	defer func() {
		switch reason := recover().(type) {
		case nil:
		case error:
			ok = !errors.Is(reason, http.ErrAbortHandler)
		default:
			panic(reason)
		}
	}()
	handler.ServeHTTP(w, r)
	return true
}

// fillCache imports prefixes into an engine, each a chain of the given number of
// blocks. The blocks are numbered from first.
func (c *cluster) fillCache(host identity.Host, first wire.Block, prefixes, blocks int) {
	for range prefixes {
		parent := wire.Block(0)
		for range blocks {
			body, err := json.Marshal(wire.Entry{ID: first.ID(), Organisation: "o", Block: first, Parent: parent})
			if err != nil {
				c.t.Fatal(err)
			}
			path := fmt.Sprintf("http://%s%s/%s", c.findEndpoint(host).Address, wire.EntriesPath, first.ID())
			request, err := http.NewRequest(http.MethodPut, path, io.NopCloser(bytes.NewReader(body)))
			if err != nil {
				c.t.Fatal(err)
			}
			response, err := c.serve(request)
			if err != nil {
				c.t.Fatal(err)
			}
			response.Body.Close()
			parent = first
			first++
		}
	}
	clear(c.imports)
}

// cachedBlocks returns the blocks of an engine that a request could use, which are
// those whose ancestors are all cached, and the number of all its blocks.
func (c *cluster) cachedBlocks(host identity.Host) (usable map[wire.Block]bool, all int) {
	answer := httptest.NewRecorder()
	c.engines[host].Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, wire.EntriesPath, nil))
	var list wire.Entries
	if err := json.Unmarshal(answer.Body.Bytes(), &list); err != nil {
		c.t.Fatal(err)
	}
	parents := make(map[wire.Block]wire.Block)
	for _, e := range list.Entries {
		parents[e.Block] = e.Parent
	}
	usable = make(map[wire.Block]bool)
	for b := range parents {
		ancestor, ok := b, true
		for ancestor != 0 && ok {
			ancestor, ok = parents[ancestor]
		}
		usable[b] = ok
	}
	return usable, len(parents)
}
