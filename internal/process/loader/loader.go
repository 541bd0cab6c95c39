// Package loader orders endpoints to load the model version and adapter that
// their service is configured with.
//
// # Desired state
//
// An order states all that an endpoint should have loaded. The zone's lease
// holder compares it with the endpoint's report and sends it until the two
// agree. Each order carries the lease's fencing token. Endpoints that check it
// refuse an order of an earlier holder. At the others such an order may take effect
// until the present holder finds it in the endpoint's report and sends its own
// order again. A new holder sends its first order only after any order of its
// predecessor that is still in flight has timed out.
//
// # The weight store's rate
//
// Each load first queries the weight store, whose rate limit all zones share. A
// zone that is refused waits for the time that the store returns, with jitter.
// The order of the endpoints follows need: first those of the service with the
// most running and waiting requests per endpoint that has already loaded.
package loader

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/weights"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	checkInterval = 500 * time.Millisecond
	// orderTimeout bounds the delivery of one order, including the query to the
	// weight store.
	orderTimeout = 5 * time.Second
	// maxReportLag is how long an endpoint's report may lag behind an order before
	// the order is sent again.
	maxReportLag = 5 * time.Second
	// roleMixed is the role of an engine that does both prefill and decoding.
	roleMixed = "mixed"
)

// Loader sends load orders in one zone.
type Loader struct {
	Zone     identity.Zone
	Snapshot func() *fleet.Snapshot
	// Lease returns the fencing token and whether this host holds the lease. It is
	// checked immediately before each order.
	Lease   func() (identity.Fence, bool)
	Weights weights.Client
	Engine  engine.Client
	Random  *rand.Rand
	Log     *slog.Logger

	fence identity.Fence
	// fenceSeenAt is when this host first saw its current fencing token.
	fenceSeenAt  time.Time
	backoffUntil time.Time
	orderedAt    map[identity.Incarnation]time.Time
}

// Run checks the endpoints periodically until ctx ends.
func (l *Loader) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		l.step(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// step sends orders until the store's rate limit is reached or none is left.
func (l *Loader) step(ctx context.Context) {
	fence, ok := l.Lease()
	now := time.Now()
	if !ok || fence != l.fence {
		l.fence, l.fenceSeenAt, l.orderedAt = fence, now, make(map[identity.Incarnation]time.Time)
	}
	if !ok || now.Sub(l.fenceSeenAt) < orderTimeout || now.Before(l.backoffUntil) {
		return
	}
	s := l.Snapshot()
	for _, e := range Outdated(s, l.Zone) {
		if at, sent := l.orderedAt[e.Incarnation]; sent && !e.Load.ReceivedAt.After(at.Add(maxReportLag)) {
			continue
		}
		if !l.orderLoad(ctx, s.Configuration, e) {
			return
		}
	}
}

// orderLoad queries the weight store and then sends the order. It returns false
// if no further orders should be sent in this step.
func (l *Loader) orderLoad(ctx context.Context, c configuration.Configuration, e fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	// The query counts as the load at the store's rate limit; its result is not needed.
	_, err := l.Weights.Versions(ctx, e.Service)
	var rateLimited *weights.RateLimitedError
	if errors.As(err, &rateLimited) {
		l.backoffUntil = time.Now().Add(rateLimited.RetryAfter/2 + time.Duration(l.Random.Int64N(int64(rateLimited.RetryAfter))))
		return false
	}
	if err != nil {
		l.Log.Warn("weights_unavailable", "service", e.Service, "error", err)
		return false
	}
	fence, ok := l.Lease()
	if !ok || fence != l.fence {
		return false
	}
	service, _ := c.Service(e.Service)
	l.orderedAt[e.Incarnation] = time.Now()
	err = l.Engine.SendOrder(ctx, e.Address, newOrder(service, e, fence))
	l.Log.Info("load_ordered", "endpoint", e.Host, "incarnation", e.Incarnation, "version", service.ModelVersion,
		"adapter", service.Adapter, "fence", fence, "error", err)
	return !errors.Is(err, engine.ErrStaleFence)
}

func newOrder(s configuration.Service, e fleet.Endpoint, fence identity.Fence) engine.Order {
	return engine.Order{
		Fence: fence, Incarnation: e.Incarnation, Model: s.ID, ModelVersion: s.ModelVersion, Adapter: s.Adapter, Role: roleMixed,
	}
}

// Outdated returns the endpoints of a zone whose report differs from what they should
// have loaded, those of the service with the highest need first.
func Outdated(s *fleet.Snapshot, zone identity.Zone) []fleet.Endpoint {
	var outdated []fleet.Endpoint
	need := make(map[identity.Service]float64)
	for _, service := range s.Configuration.Services {
		if service.Kind != configuration.Model {
			continue
		}
		requests, loaded := 0, 0
		for _, i := range s.Serving(service.ID) {
			e := s.Endpoints[i]
			if e.Zone != zone || e.Leaving || e.Load.ReceivedAt.IsZero() {
				continue
			}
			requests += e.Load.Running + e.Load.Waiting
			if isLoaded(service, e) {
				loaded++
			} else {
				outdated = append(outdated, e)
			}
		}
		need[service.ID] = float64(requests+1) / float64(loaded+1)
	}
	slices.SortStableFunc(outdated, func(a, b fleet.Endpoint) int {
		return cmp.Or(cmp.Compare(need[b.Service], need[a.Service]), cmp.Compare(a.Host, b.Host))
	})
	return outdated
}

func isLoaded(s configuration.Service, e fleet.Endpoint) bool {
	return e.Load.ModelVersion == s.ModelVersion && e.Load.Adapter == s.Adapter && e.Load.Role == roleMixed
}
