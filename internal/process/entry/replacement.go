package entry

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/fx"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/weights"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/process/lease"
	"github.com/dandelionlift/dandelionlift/internal/process/loader"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/reclaim"
	"github.com/dandelionlift/dandelionlift/internal/process/replacement"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

func newReplacement(
	s settings.Entry, c *controller.Controller, api cloud.Client, kv keyvalue.Client, j *journal.Journal,
	zoneLease *lease.Lease, r *reclaim.Reclaim, log *slog.Logger,
) *replacement.Replacement {
	return &replacement.Replacement{
		Zone: s.Zone, Snapshot: c.Snapshot, Cloud: api, KeyValue: kv, Lease: zoneLease.Held, Log: log, Random: newRandom(),
		StopEndpoint: func(ctx context.Context, host identity.Host, incarnation identity.Incarnation) {
			c.Post(ctx, controller.LeavingUpdate{Host: host, Incarnation: incarnation})
		},
		RemoveMove: func(ctx context.Context, move identity.Version) {
			if err := concludeMove(ctx, j, move); err != nil {
				log.Warn("move_not_concluded", "move", move, "error", err)
			}
		},
		OnStep: func(event replacement.Step, need replacement.Need) {
			log.Info(string(event), "for", need.LeavingIncarnation, "attempt", need.Attempt, "endpoint", need.Host, "zone", need.Option.Zone,
				"class", need.Option.Class, "reclaimable", need.Option.Reclaimable, "move", need.Move)
			r.Record.Add(reclaim.Event{
				At: time.Now(), Host: replacedHost(c, need), Incarnation: need.LeavingIncarnation, Type: reclaim.EventType(event), Target: need.Host,
				Count: need.Attempt, TransferCost: need.Option.Price, Note: string(need.Option.Zone) + " " + string(need.Option.Class),
			})
		},
	}
}

// replacedHost returns the host of need.LeavingIncarnation, or need.ReplacedHost if
// that host is no longer known.
func replacedHost(c *controller.Controller, need replacement.Need) identity.Host {
	for _, e := range c.Snapshot().Endpoints {
		if e.Incarnation == need.LeavingIncarnation {
			return e.Host
		}
	}
	return need.ReplacedHost
}

// concludeMove removes a move from the configuration. The command's id is derived
// from the move's, which makes repeats harmless.
func concludeMove(ctx context.Context, j *journal.Journal, move identity.Version) error {
	_, err := j.Propose(ctx, journal.Proposal{
		Command:  identity.Command(fmt.Sprintf("move-%d-done", move)),
		Operator: "system",
		Line:     fmt.Sprintf("move %d done", move),
		Change: func(c configuration.Configuration) (configuration.Configuration, error) {
			return c.WithoutMove(move), nil
		},
	})
	return err
}

func newLoader(
	s settings.Entry, c *controller.Controller, e engine.Client, zoneLease *lease.Lease, m *meter.Meter, log *slog.Logger,
) *loader.Loader {
	storeClient := &http.Client{Transport: platformTransport(m, "weights"), Timeout: weightStoreTimeout}
	return &loader.Loader{
		Zone: s.Zone, Snapshot: c.Snapshot, Lease: zoneLease.Held, Weights: weights.HTTP(s.Platform.Weights, storeClient),
		Engine: e, Random: newRandom(), Log: log,
	}
}

const weightStoreTimeout = 5 * time.Second

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// runReplacement starts the goroutines that order replacement hosts and model
// loads.
func runReplacement(lc fx.Lifecycle, l lifetime, r *replacement.Replacement, modelLoader *loader.Loader) {
	lc.Append(fx.StartHook(func(context.Context) error {
		l.group.Go(func() error { return r.Run(l.ctx) })
		l.group.Go(func() error { return modelLoader.Run(l.ctx) })
		return nil
	}))
}
