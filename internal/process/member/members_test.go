package member_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
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

// fleet is entry hosts on an in-memory network.
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
}

func newFleet(zones, each int) *fleet {
	f := &fleet{network: network.New()}
	for z := range zones {
		for i := range each {
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
	}
	return f
}

func (f *fleet) start(p member.Peer) *host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{peer: p, members: member.New(p), cancel: cancel, group: new(errgroup.Group)}
	h.members.Log = slog.New(slog.DiscardHandler)
	h.members.Listed = func() []member.Peer { return f.listed }
	h.members.Connect = func() *http.Client { return peer.Connect(keys, f.network.Dial(p.Address.Addr())) }
	router := peer.NewRouter()
	h.members.Mount(router)
	h.server = peer.Server(router, keys)
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
}

func TestMemberDeathIsSuspectedThenRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 3)
		defer f.stop()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		for _, h := range f.hosts {
			qt.Assert(t, h.members.Live(), qt.HasLen, 3)
		}
		f.hosts[2].stop()
		time.Sleep(7 * time.Second)
		synctest.Wait()
		live := f.hosts[0].members.Live()
		qt.Assert(t, live, qt.HasLen, 3)
		qt.Assert(t, live[2].Suspected, qt.IsTrue)
		time.Sleep(8 * time.Second)
		synctest.Wait()
		qt.Assert(t, f.hosts[0].members.Live(), qt.HasLen, 2)
	})
}
