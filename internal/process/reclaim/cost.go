package reclaim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/version/carry"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/migration"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// prefillPerSecond is how fast an endpoint is taken to read a prompt.
	prefillPerSecond unit.Tokens = 8000
	asksAtOnce                   = 16
	costWithin                   = 3 * time.Second
)

// CostOfMove asks the endpoints of a move what they have cached, and estimates
// what the move would cost. Nothing is changed.
func (r *Reclaim) CostOfMove(ctx context.Context, move configuration.Move) migration.Cost {
	s := r.Snapshot()
	ask := migration.Ask{
		Snapshot: s, Move: move, Entries: make(map[identity.Host][]carry.Entry),
		Window: stopWindow, ExportPerSecond: exportPerSecond, ImportPerSecond: importPerSecond,
		TokenWorth: worth(s.Configuration, move.Service), PrefillPerSecond: prefillPerSecond,
	}
	ctx, cancel := context.WithTimeout(ctx, costWithin)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(asksAtOnce)
	for _, i := range s.Serving(move.Service) {
		e := s.Endpoints[i]
		if e.Zone != move.From || e.Leaving {
			continue
		}
		group.Go(func() error {
			listed, err := r.Engine.Entries(ctx, e.Address, e.Incarnation)
			if err != nil {
				r.Log.Warn("entries_unavailable", "endpoint", e.Host, "error", err)
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			ask.Entries[e.Host] = entries(listed.Entries)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		r.Log.Warn("entries_unavailable", "error", err)
	}
	return migration.Estimate(ask)
}
