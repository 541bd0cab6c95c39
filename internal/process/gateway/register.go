package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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
	// registrationTTL is how long a host stays in the store without a renewal. The
	// entry only lets starting hosts find it; reports tell which hosts are live.
	registrationTTL     = 60 * time.Second
	registrationRenewal = 20 * time.Second
	registrationRetry   = time.Second
	// restoredSpread is over how long, for each host, the hosts spread their
	// registrations in a restored store: 100 of them a second are a fraction of what
	// the store allows.
	restoredSpread = 10 * time.Millisecond
)

// runRegistration registers this host in the store and reads the addresses of others.
func (g *Gateway) runRegistration(ctx context.Context) error {
	othersKnown := false
	for ctx.Err() == nil {
		lease, err := g.register(ctx)
		if err == nil && !othersKnown {
			err = g.readOthers(ctx)
			othersKnown = err == nil
		}
		if err != nil {
			g.log.Info("host_not_registered", "error", err)
			pause.For(ctx, registrationRetry)
			continue
		}
		g.keepRegistered(ctx, lease)
	}
	return nil
}

// keepRegistered renews the registration until its lease has ended or the store was
// restored, which may have lost it.
func (g *Gateway) keepRegistered(ctx context.Context, lease keyvalue.LeaseID) {
	for {
		select {
		case <-time.After(registrationRenewal):
			if errors.Is(g.platform.Store.KeepAlive(ctx, lease), keyvalue.ErrNoLease) {
				return
			}
		case <-g.restored:
			if g.storeEra() == lease.Era {
				continue
			}
			pause.For(ctx, rand.N(restoredSpread*time.Duration(1+g.neighbours.HostCount(hostCountWindow))))
			return
		case <-ctx.Done():
			return
		}
	}
}

// register writes the host's key before it reads those of others, so that of two
// hosts that start at once at least one learns of the other.
func (g *Gateway) register(ctx context.Context) (keyvalue.LeaseID, error) {
	lease, err := g.platform.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return lease, err
	}
	_, err = g.platform.Store.Commit(ctx, keyvalue.Transaction{Writes: []keyvalue.Entry{
		{Key: hostsPrefix + g.self.Address.String(), Data: []byte(g.self.Zone), Lease: lease},
	}})
	return lease, err
}

// readOthers reads what the other hosts have written, once: later on their reports tell.
func (g *Gateway) readOthers(ctx context.Context) error {
	if err := g.readQuarantine(ctx); err != nil {
		return err
	}
	if _, err := g.readVersions(ctx); err != nil && !errors.Is(err, errVersionsUnreadable) {
		return err
	}
	listing, err := g.platform.Store.Range(ctx, hostsPrefix)
	if err != nil {
		return err
	}
	for _, v := range listing.Values {
		address, err := netip.ParseAddrPort(strings.TrimPrefix(v.Key, hostsPrefix))
		if err != nil {
			g.log.Warn("host_key_unreadable", "key", v.Key, "error", err)
			continue
		}
		g.neighbours.AddHosts(neighbour.KnownHost{Address: address, Zone: identity.Zone(v.Data)})
	}
	return nil
}

const (
	// copyPath serves this host's copy of a key prefix to neighbours.
	copyPath = "/copy"
	// copyInterval is the period of looking for neighbours with newer copies,
	// copyFailureDelay how long the store must have failed before one is used, and
	// copyTimeout the limit for fetching it.
	copyInterval     = 200 * time.Millisecond
	copyFailureDelay = 300 * time.Millisecond
	copyTimeout      = time.Second
	maxCopyBytes     = 8 << 20
	// watchCatchUpTimeout is how long a host that is behind relies on its own
	// watch. The store answers in milliseconds, a slow one in about sixty times as
	// long.
	watchCatchUpTimeout = 500 * time.Millisecond
)

// RegisterRoutes registers the handlers for neighbours.
func (g *Gateway) RegisterRoutes(router *mux.Router) {
	router.HandleFunc(copyPath, g.serveCopy).Methods(http.MethodGet)
}

func (g *Gateway) serveCopy(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	copied, ok := g.mirror.ChangesSince(query.Get("prefix"), keyvalue.Revision(after))
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A neighbour whose request fails asks another host.
	_ = json.NewEncoder(w).Encode(copied)
}

// runCopies catches up when a neighbour has a newer change than this host: from
// the store if it answers, or else from that neighbour.
func (g *Gateway) runCopies(ctx context.Context) error {
	client := &http.Client{Timeout: copyTimeout, Transport: &http.Transport{
		DialContext: endpoint.NewDialer().DialContext, DisableKeepAlives: true,
	}}
	behindSince := make(map[string]time.Time)
	for pause.For(ctx, copyInterval) {
		for _, prefix := range []string{g.platform.ConfigurationKey, g.platform.EndpointPrefix} {
			newest, ok := g.newestNeighbour(prefix)
			if !ok {
				delete(behindSince, prefix)
				continue
			}
			since, known := behindSince[prefix]
			if !known {
				since = time.Now()
				behindSince[prefix] = since
			}
			if known || !g.watchesStore() {
				g.catchUp(ctx, client, prefix, newest, time.Since(since))
			}
		}
	}
	return nil
}

// watchesStore reports whether this host watches the store itself. In a relayed fleet
// one relay of each zone does, so that the calls don't grow with the hosts; any other
// host does if no relay of its zone, or for a relay none before it, has recently
// reported that it watches the store.
func (g *Gateway) watchesStore() bool {
	if !g.neighbours.Relayed() {
		return true
	}
	relay := g.neighbours.IsRelay()
	for _, h := range *g.heardReports.Load() {
		if h.Hosts > 0 || !h.WatchesStore || h.Zone != g.self.Zone || time.Since(h.ReceivedAt) >= relayTimeout {
			continue
		}
		if !relay || h.Address.Compare(g.self.Address) < 0 {
			return false
		}
	}
	return true
}

// relayTimeout is how long a host without reports from its zone's relays waits
// before it watches the store itself.
const relayTimeout = 800 * time.Millisecond

// newestNeighbour returns the neighbour that knows the newest change of a prefix, if
// that is newer than this host's copy.
func (g *Gateway) newestNeighbour(prefix string) (neighbour.ReceivedReport, bool) {
	var newest neighbour.ReceivedReport
	revision := g.mirror.AsOf(prefix)
	for _, h := range *g.heardReports.Load() {
		if h.Revisions[prefix] > revision {
			newest, revision = h, h.Revisions[prefix]
		}
	}
	return newest, newest.Address.IsValid()
}

// catchUp merges the copy of source, a neighbour, if the store has not answered
// this host for copyFailureDelay, or if this host has no copy yet or does not watch
// the store. Otherwise, unless the store is failing, it restarts this host's watch.
// Each restart delays the detection of a store that does not answer, so a host that
// has been behind for watchCatchUpTimeout merges the copy, too.
func (g *Gateway) catchUp(ctx context.Context, client *http.Client, prefix string, source neighbour.ReceivedReport, behind time.Duration) {
	since, failing := g.mirror.FailingSince(prefix)
	switch {
	case failing && time.Since(since) >= copyFailureDelay, !g.mirror.Loaded(prefix), !g.watchesStore(), behind >= watchCatchUpTimeout:
		g.mergeCopy(ctx, client, prefix, source)
	case !failing:
		g.log.Info("watch_behind", "prefix", prefix, "as_of", g.mirror.AsOf(prefix), "told", source.Revisions[prefix], "by", source.Host)
		g.mirror.RestartWatch(prefix)
	}
}

func (g *Gateway) mergeCopy(ctx context.Context, client *http.Client, prefix string, source neighbour.ReceivedReport) {
	after := g.mirror.AsOf(prefix)
	if !g.mirror.Loaded(prefix) {
		after = 0
	}
	copied, err := fetchCopy(ctx, client, source.Address, prefix, after)
	if err != nil {
		g.log.Info("copy_not_taken", "prefix", prefix, "from", source.Host, "error", err)
		return
	}
	if g.mirror.Merge(copied) {
		g.log.Info("copy_taken", "prefix", prefix, "from", source.Host, "as_of", copied.AsOf)
	}
}

func fetchCopy(ctx context.Context, client *http.Client, from netip.AddrPort, prefix string, after keyvalue.Revision) (mirror.Copy, error) {
	var copied mirror.Copy
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}}
	address := "http://" + from.String() + copyPath + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return copied, err
	}
	response, err := client.Do(request)
	if err != nil {
		return copied, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return copied, fmt.Errorf("gateway: fetch copy from neighbour: status %d", response.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxCopyBytes)).Decode(&copied)
	return copied, err
}

// Listen opens the address for neighbours over TCP and UDP.
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
