package entry

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"go.uber.org/fx"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

func newMembers(s settings.Entry, c *controller.Controller, log *slog.Logger) *member.Members {
	members := member.New(member.Peer{
		Host: s.Host, Incarnation: identity.NewIncarnation(), Zone: s.Zone, Address: s.PeerListen,
	})
	members.Log = log
	members.Connect = func() *http.Client { return peer.Connect(s.Peer.Keys, nil) }
	members.Listed = func() []member.Peer {
		var listed []member.Peer
		for _, h := range c.EntryHosts() {
			listed = append(listed, member.Peer{Host: h.ID, Zone: h.Zone, Address: h.Address})
		}
		return listed
	}
	return members
}

// runPeers serves the peer listener, and closes it after the front.
func runPeers(lc fx.Lifecycle, l life, s settings.Entry, router peer.Router, members *member.Members, front *Server) {
	members.Mount(router)
	front.MountPeers(router)
	server := peer.Server(router, s.Peer.Keys)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l.group.Go(func() error { return members.Run(l.ctx) })
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
