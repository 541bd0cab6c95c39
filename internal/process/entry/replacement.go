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
	zone *lease.Lease, leaving *reclaim.Reclaim, log *slog.Logger,
) *replacement.Replacement {
	return &replacement.Replacement{
		Zone: s.Zone, Snapshot: c.Snapshot, Cloud: api, KeyValue: kv, Lease: zone.Held, Log: log, Random: newRandom(),
		Leave: func(ctx context.Context, host identity.Host, incarnation identity.Incarnation) {
			c.Post(ctx, controller.LeavingSeen{Host: host, Incarnation: incarnation})
		},
		MoveDone: func(ctx context.Context, number identity.Version) {
			if err := moveDone(ctx, j, number); err != nil {
				log.Warn("move_not_concluded", "move", number, "error", err)
			}
		},
		Tell: func(what replacement.What, n replacement.Need) {
			log.Info(string(what), "for", n.For, "attempt", n.Attempt, "endpoint", n.Host, "zone", n.Option.Zone,
				"class", n.Option.Class, "reclaimable", n.Option.Reclaimable, "move", n.Move)
			leaving.Record.Add(reclaim.Event{
				At: time.Now(), Host: leaver(c, n), Incarnation: n.For, What: reclaim.What(what), Target: n.Host,
				Count: n.Attempt, Paid: n.Option.Price, Note: string(n.Option.Zone) + " " + string(n.Option.Class),
			})
		},
	}
}

// leaver names the host whose incarnation a need is for.
func leaver(c *controller.Controller, n replacement.Need) identity.Host {
	for _, e := range c.Snapshot().Endpoints {
		if e.Incarnation == n.For {
			return e.Host
		}
	}
	return n.GivesBack
}

// moveDone takes a move out of the configuration. The command's id is made of
// the move's, so that a repeat is harmless.
func moveDone(ctx context.Context, j *journal.Journal, number identity.Version) error {
	_, err := j.Propose(ctx, journal.Proposal{
		Command:  identity.Command(fmt.Sprintf("move-%d-done", number)),
		Operator: "system",
		Line:     fmt.Sprintf("move %d done", number),
		Change: func(c configuration.Configuration) (configuration.Configuration, error) {
			return c.WithoutMove(number), nil
		},
	})
	return err
}

func newLoader(
	s settings.Entry, c *controller.Controller, e engine.Client, zone *lease.Lease, m *meter.Meter, log *slog.Logger,
) *loader.Loader {
	store := &http.Client{Transport: platformTransport(m, "weights"), Timeout: storeTimeout}
	return &loader.Loader{
		Zone: s.Zone, Snapshot: c.Snapshot, Lease: zone.Held, Weights: weights.HTTP(s.Platform.Weights, store),
		Engine: e, Random: newRandom(), Log: log,
	}
}

const storeTimeout = 5 * time.Second

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// runReplacement orders hosts and loads until everything ends.
func runReplacement(lc fx.Lifecycle, l lifetime, r *replacement.Replacement, loads *loader.Loader) {
	lc.Append(fx.StartHook(func(context.Context) error {
		l.group.Go(func() error { return r.Run(l.ctx) })
		l.group.Go(func() error { return loads.Run(l.ctx) })
		return nil
	}))
}
