package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/process/mirror"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// hostTTL is how long a host stays in the store without a renewal. It only
	// has to be found by hosts that start; who lives is told by reports.
	hostTTL      = 60 * time.Second
	hostKeep     = 20 * time.Second
	registerSoon = time.Second
)

// runRegister names this host in the store, and learns of the others there.
func (g *Gateway) runRegister(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, err := g.register(ctx)
		if err != nil {
			g.log.Info("host_not_registered", "error", err)
			pause.For(ctx, registerSoon)
			continue
		}
		for pause.For(ctx, hostKeep) {
			if errors.Is(g.edge.Store.Keep(ctx, lease), keyvalue.ErrNoLease) {
				break
			}
		}
	}
	return nil
}

// register writes the host's key before it reads those of others, so that of
// two hosts that start at once at least one learns of the other.
func (g *Gateway) register(ctx context.Context) (keyvalue.LeaseID, error) {
	lease, err := g.edge.Store.Grant(ctx, hostTTL)
	if err != nil {
		return 0, err
	}
	_, err = g.edge.Store.Commit(ctx, keyvalue.Transaction{Writes: []keyvalue.Entry{
		{Key: hostsPrefix + g.place.Address.String(), Data: []byte(g.place.Zone), Lease: lease},
	}})
	if err != nil {
		return 0, err
	}
	listing, err := g.edge.Store.Range(ctx, hostsPrefix)
	if err != nil {
		return 0, err
	}
	for _, v := range listing.Values {
		address, err := netip.ParseAddrPort(strings.TrimPrefix(v.Key, hostsPrefix))
		if err != nil {
			g.log.Warn("host_key_unreadable", "key", v.Key, "error", err)
			continue
		}
		g.neighbours.Know(neighbour.Known{Address: address, Zone: identity.Zone(v.Data)})
	}
	return lease, nil
}

const (
	// copyPath is where neighbours get a host's copy of a prefix.
	copyPath = "/copy"
	// copyEvery is the period of looking for newer copies, copyAfter how long
	// the store must have been away, and copyWithin bounds a call.
	copyEvery  = 200 * time.Millisecond
	copyAfter  = 300 * time.Millisecond
	copyWithin = time.Second
	copyMost   = 8 << 20
	// watchWithin is how long a host that is behind leaves it to its own watch: the
	// store answers in milliseconds, and a slow one some sixty times later.
	watchWithin = 500 * time.Millisecond
)

// Routes serves neighbours.
func (g *Gateway) Routes(router *mux.Router) {
	router.HandleFunc(copyPath, g.serveCopy).Methods(http.MethodGet)
}

func (g *Gateway) serveCopy(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	copied, ok := g.mirror.Since(query.Get("prefix"), keyvalue.Revision(after))
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A neighbour that went away asks another one.
	_ = json.NewEncoder(w).Encode(copied)
}

// runCopies catches up with neighbours that know of changes which this host
// does not: from the store again if it answers, or else from a neighbour.
func (g *Gateway) runCopies(ctx context.Context) error {
	client := &http.Client{Timeout: copyWithin, Transport: &http.Transport{
		DialContext: endpoint.Dialer().DialContext, DisableKeepAlives: true,
	}}
	behind := make(map[string]time.Time)
	for pause.For(ctx, copyEvery) {
		for _, prefix := range []string{g.edge.ConfigurationKey, g.edge.EndpointPrefix} {
			h, ok := g.newer(prefix)
			if !ok {
				delete(behind, prefix)
				continue
			}
			since, known := behind[prefix]
			if !known {
				since = time.Now()
				behind[prefix] = since
			}
			if known || !g.watches() {
				g.catchUp(ctx, client, prefix, h, time.Since(since))
			}
		}
	}
	return nil
}

// watches tells whether this host follows the store itself: relays do, and every
// host that hears of no relay's copy.
func (g *Gateway) watches() bool {
	if g.neighbours.Relay() {
		return true
	}
	relays := 0
	for _, h := range *g.live.Load() {
		if h.Relay && h.Zone == g.place.Zone && time.Since(h.At) < relayWithin {
			relays++
		}
	}
	return relays == 0
}

// relayWithin is after how long without a word of its zone's relays a host
// follows the store itself.
const relayWithin = 800 * time.Millisecond

// newer finds the neighbour that knows of the newest change of a prefix, if this
// host has not got so far.
func (g *Gateway) newer(prefix string) (neighbour.Heard, bool) {
	var best neighbour.Heard
	own := g.mirror.AsOf(prefix)
	for _, h := range *g.live.Load() {
		if h.Revisions[prefix] > own {
			best, own = h, h.Revisions[prefix]
		}
	}
	return best, best.Address.IsValid()
}

// catchUp starts the own watch anew, or takes the neighbour's copy if the store
// fails this host. Each start puts off the moment at which a silent store is known,
// so that having been behind for a while counts as such a failure.
func (g *Gateway) catchUp(ctx context.Context, client *http.Client, prefix string, h neighbour.Heard, behind time.Duration) {
	since, failing := g.mirror.Failing(prefix)
	switch {
	case failing && time.Since(since) >= copyAfter, !g.mirror.Loaded(prefix), !g.watches(), behind >= watchWithin:
		g.takeCopy(ctx, client, prefix, h)
	case !failing:
		g.log.Info("watch_behind", "prefix", prefix, "as_of", g.mirror.AsOf(prefix), "told", h.Revisions[prefix], "by", h.Host)
		g.mirror.Again(prefix)
	}
}

func (g *Gateway) takeCopy(ctx context.Context, client *http.Client, prefix string, h neighbour.Heard) {
	after := g.mirror.AsOf(prefix)
	if !g.mirror.Loaded(prefix) {
		after = 0
	}
	copied, err := fetch(ctx, client, h.Address, prefix, after)
	if err != nil {
		g.log.Info("copy_not_taken", "prefix", prefix, "from", h.Host, "error", err)
		return
	}
	if g.mirror.Adopt(copied) {
		g.log.Info("copy_taken", "prefix", prefix, "from", h.Host, "as_of", copied.AsOf)
	}
}

func fetch(ctx context.Context, client *http.Client, from netip.AddrPort, prefix string, after keyvalue.Revision) (mirror.Copy, error) {
	var copied mirror.Copy
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}}
	target := "http://" + from.String() + copyPath + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return copied, err
	}
	response, err := client.Do(request)
	if err != nil {
		return copied, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return copied, fmt.Errorf("gateway: copy: status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, copyMost)).Decode(&copied)
	return copied, err
}

// Listen opens the address for neighbours.
func Listen(address netip.AddrPort) (net.Listener, net.PacketConn, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, nil, err
	}
	packets, err := net.ListenPacket("udp", address.String())
	if err != nil {
		return nil, nil, errors.Join(err, listener.Close())
	}
	return listener, packets, nil
}
