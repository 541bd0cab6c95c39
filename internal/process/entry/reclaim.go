package entry

import (
	"context"
	"log/slog"
	"time"

	"go.uber.org/fx"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/reclaim"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
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

// Resumption is an answer that began at an endpoint that left and ended at
// another one.
type Resumption struct {
	From fleet.Endpoint
	To   identity.Host
	// Tokens counts those of the prompt and the part delivered, Recomputed
	// those of them that To had to read again.
	Tokens     unit.Tokens
	Recomputed unit.Tokens
}

// resumed tells of a whole answer that left an endpoint on its way.
func (s *Server) resumed(ctx context.Context, w work, left, to fleet.Endpoint) {
	if s.Resumed == nil || left.Host == "" {
		return
	}
	whole, err := w.answer.Wait(ctx)
	if err != nil {
		return
	}
	s.Resumed(Resumption{
		From: left, To: to.Host, Tokens: whole.Usage.PromptTokens,
		Recomputed: whole.Usage.PromptTokens - whole.Usage.CachedTokens,
	})
}

// runReclaim sees leaving endpoints off until everything ends.
func runReclaim(lc fx.Lifecycle, l lifetime, r *reclaim.Reclaim, s *Server) {
	s.Resumed = func(m Resumption) {
		r.Record.Add(reclaim.Event{
			At: time.Now(), Host: m.From.Host, Incarnation: m.From.Incarnation, What: reclaim.Resumed,
			Target: m.To, Count: 1, Tokens: m.Tokens, Recomputed: m.Recomputed,
		})
	}
	lc.Append(fx.StartHook(func(context.Context) error {
		l.group.Go(func() error { return r.Run(l.ctx) })
		return nil
	}))
}
