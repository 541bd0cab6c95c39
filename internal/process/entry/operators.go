package entry

import (
	"context"
	"log/slog"

	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/operator"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

func newOperator(
	s settings.Entry, c *controller.Controller, server *Server, j *journal.Journal, members *member.Members, log *slog.Logger,
) operator.Operator {
	return operator.Operator{
		Snapshot: c.Snapshot,
		Work:     server.Work,
		Tokens:   s.Operator.Tokens,
		Propose:  j.Propose,
		History:  j.History,
		StopHost: func(ctx context.Context, stop configuration.Stop) error {
			c.Post(ctx, controller.LeavingSeen{Host: stop.Host, Incarnation: stop.Incarnation})
			return nil
		},
		EntryHosts: func() []operator.EntryHost {
			var hosts []operator.EntryHost
			for _, p := range members.Live() {
				hosts = append(hosts, operator.EntryHost{Host: p.Host, Zone: p.Zone, Address: p.Address})
			}
			return hosts
		},
		Log: log,
	}
}
