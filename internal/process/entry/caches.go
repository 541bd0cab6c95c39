package entry

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/admission"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/prefix"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// forgetEvery is how often dispatches to endpoints long gone are forgotten.
const forgetEvery = time.Minute

// newPoller follows the caches of the endpoints that are this host's to ask.
func newPoller(s *Server, given settings.Entry, c *controller.Controller, e engine.Client, members *member.Members, m *meter.Meter, log *slog.Logger) *prefix.Poller {
	events := m.Counter(`control_bytes_total{kind="cache_events"}`)
	return &prefix.Poller{
		Index:   s.router.index,
		Host:    given.Host,
		Sources: func() []prefix.Source { return sources(c.Snapshot()) },
		Hosts:   func() []identity.Host { return hostsOf(members.Live()) },
		Events: func(ctx context.Context, of prefix.Source, after uint64) (engine.CacheEvents, unit.Bytes, error) {
			return e.Events(ctx, of.Address, after)
		},
		Entries: func(ctx context.Context, of prefix.Source) ([]engine.Block, error) {
			entries, err := e.Entries(ctx, of.Address, of.Incarnation)
			return blocksOf(entries), err
		},
		Count: func(size unit.Bytes) { events.AddInt64(int64(size)) },
		Log:   log,
	}
}

// sources lists the model endpoints that stay.
func sources(s *fleet.Snapshot) []prefix.Source {
	var list []prefix.Source
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		service, ok := s.Configuration.Service(e.Service)
		if !ok || service.Kind != configuration.Model || e.Leaving {
			continue
		}
		list = append(list, prefix.Source{Incarnation: e.Incarnation, Address: e.Address})
	}
	return list
}

func hostsOf(live []member.Peer) []identity.Host {
	hosts := make([]identity.Host, 0, len(live))
	for _, p := range live {
		hosts = append(hosts, p.Host)
	}
	return hosts
}

func blocksOf(entries engine.Entries) []engine.Block {
	blocks := make([]engine.Block, 0, len(entries.Entries))
	for _, entry := range entries.Entries {
		blocks = append(blocks, entry.Block)
	}
	return blocks
}

// newGate gives the heartbeats what tells and hears demand.
func newGate(s *Server) *admission.Gate { return s.router.gate }

// runRouting keeps what routing knows beside the snapshot.
func runRouting(lc fx.Lifecycle, l lifetime, s *Server, p *prefix.Poller, c *controller.Controller, members *member.Members) {
	s.router.hosts = func() int { return len(members.Live()) }
	members.Demand = func() []member.Demand { return told(s.router.gate.Demand()) }
	lc.Append(fx.Hook{OnStart: func(context.Context) error {
		l.group.Go(func() error { return p.Run(l.ctx) })
		l.group.Go(func() error { return s.router.gate.Run(l.ctx) })
		l.group.Go(func() error { return s.router.tend(l.ctx, c, members) })
		return nil
	}})
}

// told is what heartbeats carry of a host's demand: that of organisations.
func told(demands []admission.Demand) []member.Demand {
	var list []member.Demand
	for _, d := range demands {
		if d.Organisation != "" {
			list = append(list, member.Demand{Organisation: d.Organisation, TokensPerSecond: uint64(d.TokensPerSecond)})
		}
	}
	return list
}

// Heard is the demand of the other live hosts of self's zone, whose heartbeats
// carry it; a host that told none wants nothing.
func Heard(self member.Peer, live []member.Peer, demands []member.Demand) []admission.PeerDemand {
	var peers []admission.PeerDemand
	for _, p := range live {
		if p.Zone != self.Zone || p.Host == self.Host {
			continue
		}
		heard := admission.PeerDemand{Host: p.Host}
		for _, d := range demands {
			if d.Host == p.Host {
				heard.Demands = append(heard.Demands, admission.Demand{
					Organisation: d.Organisation, TokensPerSecond: unit.Tokens(d.TokensPerSecond),
				})
			}
		}
		peers = append(peers, heard)
	}
	return peers
}

// tend follows the number of entry hosts by the host list, which a host that is
// cut off keeps, and forgets endpoints long gone, until ctx ends.
func (r *router) tend(ctx context.Context, c *controller.Controller, members *member.Members) error {
	ticker := time.NewTicker(hostsEvery)
	defer ticker.Stop()
	forgotten := time.Now()
	for {
		select {
		case now := <-ticker.C:
			r.gate.SetHosts(len(c.EntryHosts()))
			if peers := Heard(members.Self(), members.Live(), members.Demands()); len(peers) > 0 {
				r.gate.SetPeers(peers)
			}
			if now.Sub(forgotten) > forgetEvery {
				r.book.Forget(now)
				forgotten = now
			}
		case <-ctx.Done():
			return nil
		}
	}
}
