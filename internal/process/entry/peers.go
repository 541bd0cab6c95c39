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
	members.Connect = func() *http.Client { return peer.Connect(s.Peer.Keys, m.Dial("heartbeats")) }
	members.Listed = func() []member.Peer {
		var listed []member.Peer
		for _, h := range c.EntryHosts() {
			listed = append(listed, member.Peer{Host: h.ID, Zone: h.Zone, Address: h.Address})
		}
		return listed
	}
	members.Departed = func(d member.Departure) {
		c.Post(l.ctx, controller.LeavingSeen{Host: d.Host, Incarnation: d.Incarnation, Deadline: d.Deadline})
	}
	return members
}

const leavingEvery = 250 * time.Millisecond

// tellLeaving tells the peers of each endpoint that is seen to be leaving here,
// whatever it was learned from.
func tellLeaving(ctx context.Context, c *controller.Controller, members *member.Members) error {
	ticker := time.NewTicker(leavingEvery)
	defer ticker.Stop()
	var seen *fleet.Snapshot
	told := make(map[identity.Incarnation]time.Time)
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		snapshot := c.Snapshot()
		if snapshot == seen {
			continue
		}
		seen = snapshot
		told = tell(ctx, snapshot, told, members)
	}
}

// tell tells what is new since told, and gives what is told now.
func tell(
	ctx context.Context, snapshot *fleet.Snapshot, told map[identity.Incarnation]time.Time, members *member.Members,
) map[identity.Incarnation]time.Time {
	now := make(map[identity.Incarnation]time.Time)
	for _, e := range snapshot.Endpoints {
		if !e.Leaving {
			continue
		}
		now[e.Incarnation] = e.Deadline
		if deadline, ok := told[e.Incarnation]; ok && deadline.Equal(e.Deadline) {
			continue
		}
		d := member.Departure{Host: e.Host, Incarnation: e.Incarnation, Deadline: e.Deadline}
		if err := members.Leaving(ctx, d); err != nil {
			return told
		}
	}
	return now
}

// runPeers serves the peer listener, and closes it after the front.
func runPeers(
	lc fx.Lifecycle, l lifetime, s settings.Entry, router peer.Router,
	c *controller.Controller, members *member.Members, j *journal.Journal, front *Server,
) {
	members.Mount(router)
	j.Mount(router)
	front.MountPeers(router)
	server := peer.Server(router, s.Peer.Keys)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l.group.Go(func() error { return members.Run(l.ctx) })
			l.group.Go(func() error { return tellLeaving(l.ctx, c, members) })
			if !s.PeerListen.IsValid() {
				return nil
			}
			return listen(l.group, server, s.PeerListen)
		},
		OnStop: func(ctx context.Context) error {
			err := server.Shutdown(ctx)
			return errors.Join(err, server.Close())
		},
	})
}
