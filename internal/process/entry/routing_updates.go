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

// forgetInterval is how often records of dispatches to idle endpoints are
// dropped.
const forgetInterval = time.Minute

// newPrefixPoller makes the poller of the cache events of model endpoints, which are
// divided among the live entry hosts.
func newPrefixPoller(s *Server, entrySettings settings.Entry, c *controller.Controller, e engine.Client, members *member.Members, m *meter.Meter, log *slog.Logger) *prefix.Poller {
	events := m.Counter(`control_bytes_total{kind="cache_events"}`)
	return &prefix.Poller{
		Index:   s.routing.index,
		Host:    entrySettings.Host,
		Sources: func() []prefix.Source { return cacheSources(c.Snapshot()) },
		Hosts:   func() []identity.Host { return hostsOf(members.Live()) },
		FetchEvents: func(ctx context.Context, source prefix.Source, after uint64) (engine.CacheEvents, unit.Bytes, error) {
			return e.Events(ctx, source.Address, after)
		},
		FetchEntries: func(ctx context.Context, source prefix.Source) ([]engine.Block, error) {
			entries, err := e.Entries(ctx, source.Address, source.Incarnation)
			return blocksOf(entries), err
		},
		CountBytes: func(size unit.Bytes) { events.AddInt64(int64(size)) },
		Log:        log,
	}
}

// cacheSources lists the model endpoints that are not leaving.
func cacheSources(s *fleet.Snapshot) []prefix.Source {
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

// newAdmissionControl provides the server's admission controller.
func newAdmissionControl(s *Server) *admission.Controller { return s.routing.admissionControl }

// runRouting keeps the routing state that is not part of the snapshot up to
// date.
func runRouting(lc fx.Lifecycle, l lifetime, s *Server, p *prefix.Poller, c *controller.Controller, members *member.Members) {
	s.routing.hostCount = func() int { return len(members.Live()) }
	members.LocalDemand = func() []member.Demand { return advertisedDemand(s.routing.admissionControl.AdvertisedDemand()) }
	lc.Append(fx.Hook{OnStart: func(context.Context) error {
		l.group.Go(func() error { return p.Run(l.ctx) })
		l.group.Go(func() error { return s.routing.admissionControl.Run(l.ctx) })
		l.group.Go(func() error { return s.routing.maintain(l.ctx, c, members) })
		return nil
	}})
}

// advertisedDemand selects the demand that heartbeats carry: that of
// organisations.
func advertisedDemand(demands []admission.Demand) []member.Demand {
	var list []member.Demand
	for _, d := range demands {
		if d.Organisation != "" {
			list = append(list, member.Demand{Organisation: d.Organisation, TokensPerSecond: uint64(d.TokensPerSecond)})
		}
	}
	return list
}

// PeerDemands returns the demand that the other live hosts of self's zone advertise
// in heartbeats. A host that advertises none has no demand.
func PeerDemands(self member.Peer, live []member.Peer, demands []member.Demand) []admission.PeerDemand {
	var peers []admission.PeerDemand
	for _, p := range live {
		if p.Zone != self.Zone || p.Host == self.Host {
			continue
		}
		peerDemand := admission.PeerDemand{Host: p.Host}
		for _, d := range demands {
			if d.Host == p.Host {
				peerDemand.Demands = append(peerDemand.Demands, admission.Demand{
					Organisation: d.Organisation, TokensPerSecond: unit.Tokens(d.TokensPerSecond),
				})
			}
		}
		peers = append(peers, peerDemand)
	}
	return peers
}

// maintain updates the number of entry hosts and the demand of peers for
// admission, and drops records of idle endpoints, until ctx ends. The number comes
// from the host list, since a host that is cut off from its peers keeps that list.
func (r *routingState) maintain(ctx context.Context, c *controller.Controller, members *member.Members) error {
	ticker := time.NewTicker(hostPollInterval)
	defer ticker.Stop()
	lastForget := time.Now()
	for {
		select {
		case now := <-ticker.C:
			r.admissionControl.SetHostCount(len(c.EntryHosts()))
			if peers := PeerDemands(members.Self(), members.Live(), members.Demands()); len(peers) > 0 {
				r.admissionControl.SetPeerDemand(peers)
			}
			if now.Sub(lastForget) > forgetInterval {
				r.dispatches.EvictIdle(now)
				lastForget = now
			}
		case <-ctx.Done():
			return nil
		}
	}
}
