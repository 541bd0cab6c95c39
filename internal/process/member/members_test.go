package member_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

var keys = peer.Keys{"key"}

// fleet runs entry hosts on an in-memory network.
type fleet struct {
	network *network.Network
	listed  []member.Peer
	hosts   []*host
}

type host struct {
	peer    member.Peer
	members *member.Members
	server  *http.Server
	cancel  context.CancelFunc
	group   *errgroup.Group
	// departures holds the times at which departures arrived from peers.
	departures map[identity.Incarnation]time.Time
	version    atomic.Uint64
	demand     atomic.Uint64
	// organisations is the number of organisations whose demand keeps changing.
	organisations atomic.Int64
	// stuck makes the host ignore later versions.
	stuck atomic.Bool
}

func newFleet(zones, perZone int) *fleet {
	f := &fleet{network: network.New()}
	for z := range zones {
		for i := range perZone {
			address := netip.AddrFrom4([4]byte{10, 0, byte(z), byte(i + 1)})
			f.listed = append(f.listed, member.Peer{
				Host:        identity.Host(fmt.Sprintf("z%d-entry-%d", z, i)),
				Incarnation: identity.Incarnation(fmt.Sprintf("%016x", z*1000+i)),
				Zone:        identity.Zone(fmt.Sprintf("z%d", z)),
				Address:     netip.AddrPortFrom(address, 8081),
			})
		}
	}
	for _, p := range f.listed {
		f.hosts = append(f.hosts, f.start(p))
		time.Sleep(37 * time.Millisecond) // Hosts send heartbeats at different times.
	}
	return f
}

func (f *fleet) start(p member.Peer) *host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{peer: p, members: member.New(p), cancel: cancel, group: new(errgroup.Group), departures: make(map[identity.Incarnation]time.Time)}
	h.members.OnDeparture = func(d member.Departure) { h.departures[d.Incarnation] = time.Now() }
	h.members.Version = func() (identity.Version, uint64) { return identity.Version(h.version.Load()), 0 }
	h.members.OnPeerVersion = func(_ netip.AddrPort, version identity.Version) {
		if !h.stuck.Load() {
			h.version.Store(max(h.version.Load(), uint64(version)))
		}
	}
	h.members.LocalDemand = func() []member.Demand {
		if n := h.organisations.Load(); n > 0 {
			return alternatingDemand(n)
		}
		if tokens := h.demand.Load(); tokens > 0 {
			return []member.Demand{{Organisation: "o", TokensPerSecond: tokens}}
		}
		return nil
	}
	h.members.Log = slog.New(slog.DiscardHandler)
	h.members.Listed = func() []member.Peer { return f.listed }
	h.members.NewClient = func() *http.Client { return peer.NewClient(keys, f.network.Dial(p.Address.Addr())) }
	router := peer.NewRouter()
	h.members.Mount(router)
	h.server = peer.NewServer(router, keys)
	l := f.network.Listen(p.Address)
	h.group.Go(func() error { return h.server.Serve(l) })
	h.group.Go(func() error { return h.members.Run(ctx) })
	return h
}

func (h *host) stop() {
	h.cancel()
	h.server.Close()
	_ = h.group.Wait()
}

func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.cancel()
	}
	for _, h := range f.hosts {
		h.stop()
	}
	time.Sleep(time.Minute) // Lets pending dials and handshakes finish.
}

// advance advances the virtual time.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func withFleet(t *testing.T, zones, perZone int, body func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(zones, perZone)
		defer f.stop()
		advance(10 * time.Second)
		for _, h := range f.hosts {
			qt.Assert(t, suspected(h.members.Live()), qt.HasLen, 0)
			qt.Assert(t, h.members.Live(), qt.HasLen, zones*perZone)
		}
		body(t, f)
	})
}

func suspected(live []member.Peer) []identity.Host {
	var list []identity.Host
	for _, p := range live {
		if p.Suspected {
			list = append(list, p.Host)
		}
	}
	return list
}

func findPeer(live []member.Peer, host identity.Host) (member.Peer, bool) {
	for _, p := range live {
		if p.Host == host {
			return p, true
		}
	}
	return member.Peer{}, false
}

func TestMemberDeathIsSuspectedThenRemoved(t *testing.T) {
	withFleet(t, 2, 8, func(t *testing.T, f *fleet) {
		dead := f.hosts[2]
		dead.stop()
		advance(8 * time.Second)
		qt.Assert(t, suspected(f.hosts[0].members.Live()), qt.DeepEquals, []identity.Host{dead.peer.Host})
		advance(8 * time.Second)
		for _, h := range f.hosts {
			_, known := findPeer(h.members.Live(), dead.peer.Host)
			qt.Check(t, known && h != dead, qt.IsFalse, qt.Commentf("%s", h.peer.Host))
		}
	})
}

// A departure reaches the hosts of the announcing host's zone within 3 s and those of
// all other zones within 5 s, by heartbeats alone.
func TestMemberLeavingReachesAll(t *testing.T) {
	withFleet(t, 16, 6, func(t *testing.T, f *fleet) {
		began := time.Now()
		leaving := member.Departure{Host: "engine-1", Incarnation: "e1", Deadline: began.Add(time.Minute).Truncate(time.Second)}
		qt.Assert(t, f.hosts[0].members.AnnounceDeparture(t.Context(), leaving), qt.IsNil)
		advance(9 * time.Second)
		for _, h := range f.hosts[1:] {
			limit := 5 * time.Second
			if h.peer.Zone == f.hosts[0].peer.Zone {
				limit = 3 * time.Second
			}
			took := h.departures["e1"].Sub(began)
			qt.Check(t, took >= 0 && took <= limit, qt.IsTrue, qt.Commentf("%s after %s", h.peer.Host, took))
		}
	})
}

// Packet loss in one direction between two hosts prevents new connections and stalls
// open ones. The hosts must not be suspected, because other hosts pass on their
// heartbeats.
func TestMemberOneWayLossDoesNotFlap(t *testing.T) {
	withFleet(t, 1, 8, func(t *testing.T, f *fleet) {
		a, b := f.hosts[0].peer.Address.Addr(), f.hosts[1].peer.Address.Addr()
		f.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: from == a && to == b} })
		for range 240 {
			advance(250 * time.Millisecond)
			for _, h := range f.hosts {
				qt.Assert(t, suspected(h.members.Live()), qt.HasLen, 0)
				qt.Assert(t, h.members.Live(), qt.HasLen, 8)
			}
		}
	})
}

// All open connections stall for good at the same time, while new ones work. No
// host may be suspected.
func TestMemberSilentConnectionsDoNotFlap(t *testing.T) {
	withFleet(t, 2, 6, func(t *testing.T, f *fleet) {
		f.network.SetRule(func(netip.Addr, netip.Addr) network.Path { return network.Path{Lost: true} })
		advance(1100 * time.Millisecond)
		f.network.SetRule(nil)
		for range 120 {
			advance(250 * time.Millisecond)
			for _, h := range f.hosts {
				qt.Assert(t, suspected(h.members.Live()), qt.HasLen, 0)
				qt.Assert(t, h.members.Live(), qt.HasLen, 12)
			}
		}
	})
}

func TestMemberRestartIsANewIncarnation(t *testing.T) {
	withFleet(t, 2, 6, func(t *testing.T, f *fleet) {
		old := f.hosts[3]
		old.stop()
		restarted := old.peer
		restarted.Incarnation = "ffffffffffffffff"
		f.hosts[3] = f.start(restarted)
		advance(10 * time.Second)
		for _, h := range f.hosts {
			p, ok := findPeer(h.members.Live(), restarted.Host)
			qt.Check(t, ok && !p.Suspected, qt.IsTrue)
			qt.Check(t, p.Incarnation, qt.Equals, restarted.Incarnation)
		}
	})
}

// A new host on the address of a stopped one must not keep the stopped host alive.
func TestMemberNewHostOnAnOldAddress(t *testing.T) {
	withFleet(t, 1, 6, func(t *testing.T, f *fleet) {
		old := f.hosts[3]
		old.stop()
		other := member.Peer{Host: "z0-other", Incarnation: "0e", Zone: "z0", Address: old.peer.Address}
		f.hosts[3] = f.start(other)
		advance(16 * time.Second)
		for _, h := range f.hosts {
			_, oldLives := findPeer(h.members.Live(), old.peer.Host)
			qt.Check(t, oldLives, qt.IsFalse)
			p, ok := findPeer(h.members.Live(), "z0-other")
			qt.Check(t, ok && !p.Suspected, qt.IsTrue)
		}
	})
}

func TestMemberPartitionBetweenZonesHeals(t *testing.T) {
	withFleet(t, 3, 4, func(t *testing.T, f *fleet) {
		inCutZone := func(a netip.Addr) bool { return a.As4()[2] == 0 }
		f.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: inCutZone(from) != inCutZone(to)} })
		advance(40 * time.Second)
		for _, h := range f.hosts {
			want := 4
			if !inCutZone(h.peer.Address.Addr()) {
				want = 8
			}
			qt.Check(t, h.members.Live(), qt.HasLen, want, qt.Commentf("%s", h.peer.Host))
			qt.Check(t, suspected(h.members.Live()), qt.HasLen, 0)
		}
		f.network.SetRule(nil)
		advance(10 * time.Second)
		for _, h := range f.hosts {
			qt.Check(t, h.members.Live(), qt.HasLen, 12, qt.Commentf("%s", h.peer.Host))
		}
	})
}

// The versions that members have in force and the organisations' demand reach the
// other hosts.
func TestMemberVersionsAndDemandReachPeers(t *testing.T) {
	withFleet(t, 2, 4, func(t *testing.T, f *fleet) {
		for _, h := range f.hosts {
			h.version.Store(7)
		}
		f.hosts[5].stuck.Store(true)
		f.hosts[5].version.Store(6)
		f.hosts[1].demand.Store(500)
		advance(8 * time.Second)
		for _, h := range f.hosts {
			behind := 0
			for _, c := range h.members.Confirmations() {
				if c.Version < 7 {
					qt.Check(t, c.Host, qt.Equals, f.hosts[5].peer.Host)
					behind++
				}
			}
			qt.Check(t, behind, qt.Equals, 1, qt.Commentf("%s", h.peer.Host))
		}
		qt.Check(t, f.hosts[0].members.Demands(), qt.DeepEquals, []member.Demand{{Host: f.hosts[1].peer.Host, Organisation: "o", TokensPerSecond: 500}})
	})
}
