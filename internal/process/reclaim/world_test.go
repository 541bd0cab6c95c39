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

var errLost = errors.New("connection lost")

// world is a few engines and a key-value service that several hosts reach.
type world struct {
	t        *testing.T
	mu       sync.Mutex
	handlers map[string]http.Handler
	engines  map[identity.Host]*engine.Engine
	fleet    []fleet.Endpoint
	live     []identity.Host
	kv       *keyvalue.Service
	// imports counts by target address and path.
	imports map[string]int
	group   errgroup.Group
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, kv: keyvalue.New(), handlers: make(map[string]http.Handler),
		engines: make(map[identity.Host]*engine.Engine), imports: make(map[string]int),
	}
	w.handlers[keyValueAddress] = w.kv.Handler()
	return w
}

// endpoint adds an engine that transfers one block in 20 ms.
func (w *world) endpoint(host identity.Host, zone identity.Zone, capacity unit.Tokens) {
	speed := engine.DefaultSpeed
	speed.CacheTokens = capacity
	speed.TransferPerSecond = 256 * unit.Megabyte
	e := engine.New("s", identity.Incarnation(host), speed, engine.NewRecords())
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(len(w.fleet) + 1)}), 1)
	w.handlers[address.String()] = e.Handler()
	w.engines[host] = e
	w.fleet = append(w.fleet, fleet.Endpoint{
		Host: host, Incarnation: e.Incarnation, Address: address, Service: "s", Zone: zone,
		Load: fleet.Load{CacheCapacity: capacity},
	})
}

func (w *world) update(host identity.Host, change func(*fleet.Endpoint)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]fleet.Endpoint, len(w.fleet))
	copy(list, w.fleet)
	for i := range list {
		if list[i].Host == host {
			change(&list[i])
		}
	}
	w.fleet = list
}

func (w *world) leave(host identity.Host, notice time.Duration) {
	deadline := time.Now().Add(notice)
	w.update(host, func(e *fleet.Endpoint) { e.Leaving, e.Deadline = true, deadline })
}

// remove takes a host off the list and off the network.
func (w *world) remove(host identity.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rest []fleet.Endpoint
	for _, e := range w.fleet {
		if e.Host == host {
			delete(w.handlers, e.Address.String())
			continue
		}
		rest = append(rest, e)
	}
	w.fleet = rest
}

func (w *world) find(host identity.Host) fleet.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.fleet {
		if e.Host == host {
			return e
		}
	}
	return fleet.Endpoint{}
}

func (w *world) snapshot() *fleet.Snapshot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fleet.New("", "a", configuration.Configuration{
		Zones:    []configuration.Zone{{ID: "a", Region: "r"}, {ID: "b", Region: "r"}},
		Services: []configuration.Service{{ID: "s", Kind: configuration.Model}},
	}, w.fleet)
}

func (w *world) setLive(hosts ...identity.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.live = hosts
}

// entry is one entry host's reclaim and the transport that may end it.
type entry struct {
	*reclaim.Reclaim
	w      *world
	cancel context.CancelFunc
	mu     sync.Mutex
	calls  int
	// killAt ends the host at that call: before it takes effect, or after.
	killAt    int
	killAfter bool
	ended     bool
}

func (w *world) start(host identity.Host) *entry {
	e := &entry{w: w}
	client := &http.Client{Transport: e}
	platform := &http.Transport{}
	platform.RegisterProtocol("http", e)
	e.Reclaim = &reclaim.Reclaim{
		Host: host, Snapshot: w.snapshot, Engine: wire.Client{HTTP: client},
		KeyValue: kv.HTTP(netip.MustParseAddrPort(keyValueAddress), platform),
		Record:   new(reclaim.Record), Log: slog.New(slog.DiscardHandler),
		Live: func() []identity.Host {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.live
		},
	}
	ctx, cancel := context.WithCancel(w.t.Context())
	e.cancel = cancel
	w.group.Go(func() error { return e.Run(ctx) })
	return e
}

// RoundTrip serves a call in memory, unless the host has ended.
func (e *entry) RoundTrip(r *http.Request) (*http.Response, error) {
	e.mu.Lock()
	e.calls++
	kill := e.calls == e.killAt
	e.ended = e.ended || (kill && !e.killAfter)
	ended := e.ended
	e.mu.Unlock()
	if ended {
		e.cancel()
		return nil, errLost
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	response, err := e.w.serve(r)
	if kill {
		e.mu.Lock()
		e.ended = true
		e.mu.Unlock()
		e.cancel()
		return nil, errLost
	}
	return response, err
}

func (w *world) serve(r *http.Request) (*http.Response, error) {
	w.mu.Lock()
	handler, ok := w.handlers[r.URL.Host]
	if ok && r.Method == http.MethodPut && r.URL.Host != keyValueAddress {
		w.imports[r.URL.Host+r.URL.Path]++
	}
	w.mu.Unlock()
	if !ok {
		return nil, errLost
	}
	answer := httptest.NewRecorder()
	if !answered(handler, answer, r) {
		return nil, errLost
	}
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return answer.Result(), nil
}

// answered is false when the handler cut the connection.
func answered(handler http.Handler, w http.ResponseWriter, r *http.Request) (ok bool) {
	defer func() {
		switch cut := recover().(type) {
		case nil:
		case error:
			ok = !errors.Is(cut, http.ErrAbortHandler)
		default:
			panic(cut)
		}
	}()
	handler.ServeHTTP(w, r)
	return true
}

// fill gives an engine prefixes of some blocks each.
func (w *world) fill(host identity.Host, first wire.Block, prefixes, blocks int) {
	for range prefixes {
		parent := wire.Block(0)
		for range blocks {
			body, err := json.Marshal(wire.Entry{ID: first.ID(), Organisation: "o", Block: first, Parent: parent})
			if err != nil {
				w.t.Fatal(err)
			}
			path := fmt.Sprintf("http://%s%s/%s", w.find(host).Address, wire.EntriesPath, first.ID())
			request, err := http.NewRequest(http.MethodPut, path, io.NopCloser(bytes.NewReader(body)))
			if err != nil {
				w.t.Fatal(err)
			}
			response, err := w.serve(request)
			if err != nil {
				w.t.Fatal(err)
			}
			response.Body.Close()
			parent = first
			first++
		}
	}
	clear(w.imports)
}

// held lists the blocks of an engine that a request could use: those with all
// before them; and how many it has in all.
func (w *world) held(host identity.Host) (usable map[wire.Block]bool, all int) {
	answer := httptest.NewRecorder()
	w.engines[host].Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, wire.EntriesPath, nil))
	var list wire.Entries
	if err := json.Unmarshal(answer.Body.Bytes(), &list); err != nil {
		w.t.Fatal(err)
	}
	parents := make(map[wire.Block]wire.Block)
	for _, e := range list.Entries {
		parents[e.Block] = e.Parent
	}
	usable = make(map[wire.Block]bool)
	for b := range parents {
		at, ok := b, true
		for at != 0 && ok {
			at, ok = parents[at]
		}
		usable[b] = ok
	}
	return usable, len(parents)
}
