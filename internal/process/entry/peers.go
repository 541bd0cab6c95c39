package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

func newMembers(l lifetime, s settings.Entry, c *controller.Controller, m *meter.Meter, log *slog.Logger) *member.Members {
	members := member.New(member.Peer{
		Host: s.Host, Incarnation: identity.NewIncarnation(), Zone: s.Zone, Address: s.PeerListen,
	})
	members.Log = log
	members.NewClient = func() *http.Client { return peer.NewClient(s.Peer.Keys, m.Dial("heartbeats")) }
	members.Listed = func() []member.Peer {
		var listed []member.Peer
		for _, h := range c.EntryHosts() {
			listed = append(listed, member.Peer{Host: h.ID, Zone: h.Zone, Address: h.Address})
		}
		return listed
	}
	members.OnDeparture = func(d member.Departure) {
		c.Post(l.ctx, controller.LeavingUpdate{Host: d.Host, Incarnation: d.Incarnation, Deadline: d.Deadline})
	}
	return members
}

const leavingPollInterval = 250 * time.Millisecond

// broadcastLeaving announces to peers each endpoint that this host knows to be
// leaving, whatever the source.
func broadcastLeaving(ctx context.Context, c *controller.Controller, members *member.Members) error {
	ticker := time.NewTicker(leavingPollInterval)
	defer ticker.Stop()
	var last *fleet.Snapshot
	announced := make(map[identity.Incarnation]time.Time)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		snapshot := c.Snapshot()
		if snapshot == last {
			continue
		}
		last = snapshot
		announced = broadcastChanges(ctx, snapshot, announced, members)
	}
}

// broadcastChanges announces to peers the leaving endpoints that are not in announced
// or have another deadline there. It returns the deadlines announced so far, or
// announced itself after an error, so that the changes are announced again.
func broadcastChanges(
	ctx context.Context, snapshot *fleet.Snapshot, announced map[identity.Incarnation]time.Time, members *member.Members,
) map[identity.Incarnation]time.Time {
	leaving := make(map[identity.Incarnation]time.Time)
	for _, e := range snapshot.Endpoints {
		if !e.Leaving {
			continue
		}
		leaving[e.Incarnation] = e.Deadline
		if deadline, ok := announced[e.Incarnation]; ok && deadline.Equal(e.Deadline) {
			continue
		}
		departure := member.Departure{Host: e.Host, Incarnation: e.Incarnation, Deadline: e.Deadline}
		if err := members.AnnounceDeparture(ctx, departure); err != nil {
			return announced
		}
	}
	return leaving
}

// runPeers serves the peer listener, which is closed after the public one.
func runPeers(
	lc fx.Lifecycle, l lifetime, s settings.Entry, router peer.Router,
	c *controller.Controller, members *member.Members, j *journal.Journal, entryServer *Server,
) {
	members.Mount(router)
	j.Mount(router)
	entryServer.MountHandover(router)
	peerServer := peer.NewServer(router, s.Peer.Keys)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l.group.Go(func() error { return members.Run(l.ctx) })
			l.group.Go(func() error { return broadcastLeaving(l.ctx, c, members) })
			if !s.PeerListen.IsValid() {
				return nil
			}
			return listen(l.group, peerServer, s.PeerListen)
		},
		OnStop: func(ctx context.Context) error {
			err := peerServer.Shutdown(ctx)
			return errors.Join(err, peerServer.Close())
		},
	})
}
