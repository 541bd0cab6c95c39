package entry

import (
	"context"
	"log/slog"

	"go.uber.org/fx"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/reclaim"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

func newReclaim(
	s settings.Entry, c *controller.Controller, members *member.Members, e engine.Client, kv keyvalue.Client, log *slog.Logger,
) *reclaim.Reclaim {
	return &reclaim.Reclaim{
		Host:     s.Host,
		Snapshot: c.Snapshot,
		Live: func() []identity.Host {
			var hosts []identity.Host
			for _, p := range members.Live() {
				if p.Zone == s.Zone {
					hosts = append(hosts, p.Host)
				}
			}
			return hosts
		},
		Engine:   e,
		KeyValue: kv,
		Record:   new(reclaim.Record),
		Log:      log,
	}
}

// runReclaim sees leaving endpoints off until everything ends.
func runReclaim(lc fx.Lifecycle, l life, r *reclaim.Reclaim) {
	lc.Append(fx.StartHook(func(context.Context) error {
		l.group.Go(func() error { return r.Run(l.ctx) })
		return nil
	}))
}
