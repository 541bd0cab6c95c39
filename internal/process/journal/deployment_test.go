package journal_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	standin "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

var serviceAddress = netip.MustParseAddrPort("10.9.0.1:7001")

const (
	testZones    = 2
	hostsPerZone = 3
)

// deployment runs journals and a key-value service on an in-memory network.
type deployment struct {
	network *network.Network
	service *standin.Service
	server  *http.Server
	group   errgroup.Group
	hosts   []*host
	// wrapClient, if not nil, wraps each host's client of the service.
	wrapClient func(keyvalue.Client) keyvalue.Client
}

// host is one journal with its peer listener.
type host struct {
	journal   *journal.Journal
	kv        keyvalue.Client
	address   netip.AddrPort
	server    *http.Server
	transport *http.Transport
	cancel    context.CancelFunc
	group     *errgroup.Group
	// refused counts the versions that the host refused to adopt.
	refused atomic.Int64
}

func newDeployment(wrapClient func(keyvalue.Client) keyvalue.Client) *deployment {
	d := &deployment{network: network.New(), service: standin.New(), wrapClient: wrapClient}
	d.server = &http.Server{Handler: d.service.Handler()}
	l := d.network.Listen(serviceAddress)
	d.group.Go(func() error { return d.server.Serve(l) })
	for i := range testZones * hostsPerZone {
		d.hosts = append(d.hosts, d.start(i/hostsPerZone, i%hostsPerZone))
	}
	return d
}

// start starts a host. The first two hosts of a zone are its relays, and each host
// learns the versions of the others every second.
func (d *deployment) start(zone, i int) *host {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(zone), byte(i + 1)}), 8081)
	transport := &http.Transport{DialContext: d.network.Dial(address.Addr())}
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{address: address, transport: transport, cancel: cancel, group: new(errgroup.Group)}
	h.kv = keyvalue.HTTP(serviceAddress, transport)
	if d.wrapClient != nil {
		h.kv = d.wrapClient(h.kv)
	}
	h.journal = journal.New(h.kv)
	h.journal.Log = slog.New(slog.DiscardHandler)
	h.journal.IsRelay = func() bool { return i < 2 }
	h.journal.NewClient = func() *http.Client { return peer.NewClient(peer.Keys{"key"}, d.network.Dial(address.Addr())) }
	h.journal.OnRefused = func(journal.RefusalReason) { h.refused.Add(1) }
	router := peer.NewRouter()
	h.journal.Mount(router)
	h.server = peer.NewServer(router, peer.Keys{"key"})
	h.group.Go(func() error { return h.server.Serve(d.network.Listen(address)) })
	h.group.Go(func() error { return h.journal.Run(ctx) })
	h.group.Go(func() error { return d.gossip(ctx, h) })
	return h
}

// gossip stands in for the heartbeats by which entry hosts learn each other's
// versions: every second it notifies h of the versions of the other hosts that it
// can reach in both directions.
func (d *deployment) gossip(ctx context.Context, h *host) error {
	for ctx.Err() == nil {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
		for _, other := range d.hosts {
			if other == h || d.network.Partitioned(h.address.Addr(), other.address.Addr()) {
				continue
			}
			version, _ := other.journal.Version()
			h.journal.NotifyVersion(other.address, version)
		}
	}
	return nil
}

func (h *host) stop() {
	h.cancel()
	h.server.Close()
	_ = h.group.Wait()
	h.transport.CloseIdleConnections()
}

func (d *deployment) stop() {
	for _, h := range d.hosts {
		h.cancel()
	}
	for _, h := range d.hosts {
		h.stop()
	}
	d.server.Close()
	_ = d.group.Wait()
	time.Sleep(time.Minute) // Lets delayed writes and dials finish.
}

// bootstrap retries Bootstrap until the first version is written.
func (h *host) bootstrap(ctx context.Context) {
	for h.journal.Bootstrap(ctx, configuration.Configuration{}) != nil {
		time.Sleep(time.Second)
	}
}

func (h *host) version() identity.Version {
	version, _ := h.journal.Version()
	return version
}

func addZone(id identity.Zone) func(configuration.Configuration) (configuration.Configuration, error) {
	return func(c configuration.Configuration) (configuration.Configuration, error) {
		c.Zones = append(c.Zones, configuration.Zone{ID: id, Region: "r"})
		return c, nil
	}
}

func proposal(i int) journal.Proposal {
	return journal.Proposal{
		Command: identity.Command(fmt.Sprint("c", i)), Operator: "amal", Line: fmt.Sprint("add zone ", i),
		Change: addZone(identity.Zone(fmt.Sprint("z", i))),
	}
}
