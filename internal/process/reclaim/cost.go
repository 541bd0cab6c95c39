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
	// prefillRate is the assumed prefill speed of an endpoint, per second.
	prefillRate           unit.Tokens = 8000
	maxConcurrentListings             = 16
	costTimeout                       = 3 * time.Second
)

// CostOfMove lists the cache entries of the endpoints that a move would stop and
// estimates the cost of the move. It changes nothing.
func (r *Reclaim) CostOfMove(ctx context.Context, move configuration.Move) migration.Cost {
	s := r.Snapshot()
	input := migration.Input{
		Snapshot: s, Move: move, Entries: make(map[identity.Host][]carry.Entry),
		Window: noDeadlineWindow, ExportBytesPerSecond: exportBandwidth, ImportBytesPerSecond: importBandwidth,
		TokenValue: tokenValue(s.Configuration, move.Service), PrefillTokensPerSecond: prefillRate,
	}
	ctx, cancel := context.WithTimeout(ctx, costTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentListings)
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
			input.Entries[e.Host] = convertEntries(listed.Entries)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		r.Log.Warn("entries_unavailable", "error", err)
	}
	return migration.Estimate(input)
}
