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
		LiveHosts: func() []identity.Host {
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

// Resumption describes an answer that moved from a leaving endpoint to another
// one and was completed there.
type Resumption struct {
	From fleet.Endpoint
	To   identity.Host
	// Tokens counts the tokens of the prompt. Recomputed is Tokens less the tokens that
	// To had cached, which may include some of the part already delivered.
	Tokens     unit.Tokens
	Recomputed unit.Tokens
}

// reportResumption calls OnResumed if the complete answer moved off a leaving
// endpoint.
func (s *Server) reportResumption(ctx context.Context, tracked trackedRequest, from, to fleet.Endpoint) {
	if s.OnResumed == nil || from.Host == "" {
		return
	}
	piece, err := tracked.answer.Wait(ctx)
	if err != nil {
		return
	}
	s.OnResumed(Resumption{
		From: from, To: to.Host, Tokens: piece.Usage.PromptTokens,
		Recomputed: piece.Usage.PromptTokens - piece.Usage.CachedTokens,
	})
}

// runReclaim carries the caches of leaving endpoints to others and records the
// answers that moved.
func runReclaim(lc fx.Lifecycle, l lifetime, r *reclaim.Reclaim, s *Server) {
	s.OnResumed = func(resumption Resumption) {
		r.Record.Add(reclaim.Event{
			At: time.Now(), Host: resumption.From.Host, Incarnation: resumption.From.Incarnation, Type: reclaim.StreamsResumed,
			Target: resumption.To, Count: 1, Tokens: resumption.Tokens, Recomputed: resumption.Recomputed,
		})
	}
	lc.Append(fx.StartHook(func(context.Context) error {
		l.group.Go(func() error { return r.Run(l.ctx) })
		return nil
	}))
}
