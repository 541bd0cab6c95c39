// Package loader has endpoints load the model version and adapter that their
// service is configured with.
//
// # Desired state
//
// An order states all that an endpoint should have loaded. The zone's lease
// holder compares it with what the endpoint reports and sends it until the two
// agree. An order with an old fence is refused by endpoints that check; at the
// others it may win for a moment, until the holder sees the report and sends
// its own again. A new holder waits out orders that its predecessor may still
// have under way before it sends its first.
//
// # The weight store's rate
//
// Each load asks the store first. All zones share its rate; one that is refused
// waits as long as the store says, with jitter. The endpoints that are needed
// most come first: those of the service with the most waiting for each endpoint
// that already serves.
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
	lookEvery = 500 * time.Millisecond
	// orderWithin bounds the delivery of one order.
	orderWithin = 5 * time.Second
	// againAfter is how long an endpoint's report may lag behind an order.
	againAfter = 5 * time.Second
	mixed      = "mixed"
)

// Loader orders loads in one zone.
type Loader struct {
	Zone     identity.Zone
	Snapshot func() *fleet.Snapshot
	// Lease is checked at the moment of each order.
	Lease   func() (identity.Fence, bool)
	Weights weights.Client
	Engine  engine.Client
	Random  *rand.Rand
	Log     *slog.Logger

	fence identity.Fence
	// since is when this host first saw its fence.
	since   time.Time
	waits   time.Time
	ordered map[identity.Incarnation]time.Time
}

// Run goes on until ctx ends.
func (l *Loader) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
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

// step loads endpoints until the store's rate is used up or none is left.
func (l *Loader) step(ctx context.Context) {
	fence, ok := l.Lease()
	now := time.Now()
	if !ok || fence != l.fence {
		l.fence, l.since, l.ordered = fence, now, make(map[identity.Incarnation]time.Time)
	}
	if !ok || now.Sub(l.since) < orderWithin || now.Before(l.waits) {
		return
	}
	s := l.Snapshot()
	for _, e := range Due(s, l.Zone) {
		if at, sent := l.ordered[e.Incarnation]; sent && !e.Load.At.After(at.Add(againAfter)) {
			continue
		}
		if !l.load(ctx, s.Configuration, e) {
			return
		}
	}
}

// load takes one load from the store's rate and sends the order; false means to
// stop for now.
func (l *Loader) load(ctx context.Context, c configuration.Configuration, e fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, orderWithin)
	defer cancel()
	_, err := l.Weights.Versions(ctx, e.Service)
	var limited *weights.Limited
	if errors.As(err, &limited) {
		l.waits = time.Now().Add(limited.After/2 + time.Duration(l.Random.Int64N(int64(limited.After))))
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
	l.ordered[e.Incarnation] = time.Now()
	err = l.Engine.Order(ctx, e.Address, order(service, e, fence))
	l.Log.Info("load_ordered", "endpoint", e.Host, "incarnation", e.Incarnation, "version", service.ModelVersion,
		"adapter", service.Adapter, "fence", fence, "error", err)
	return !errors.Is(err, engine.ErrStale)
}

func order(s configuration.Service, e fleet.Endpoint, fence identity.Fence) engine.Order {
	return engine.Order{
		Fence: fence, Incarnation: e.Incarnation, Model: s.ID, ModelVersion: s.ModelVersion, Adapter: s.Adapter, Role: mixed,
	}
}

// Due lists the endpoints of a zone that report something else than they should
// have loaded, those of the service in most need first.
func Due(s *fleet.Snapshot, zone identity.Zone) []fleet.Endpoint {
	var due []fleet.Endpoint
	need := make(map[identity.Service]float64)
	for _, service := range s.Configuration.Services {
		if service.Kind != configuration.Model {
			continue
		}
		waiting, serving := 0, 0
		for _, i := range s.Serving(service.ID) {
			e := s.Endpoints[i]
			if e.Zone != zone || e.Leaving || e.Load.At.IsZero() {
				continue
			}
			waiting += e.Load.Running + e.Load.Waiting
			if loaded(service, e) {
				serving++
			} else {
				due = append(due, e)
			}
		}
		need[service.ID] = float64(waiting+1) / float64(serving+1)
	}
	slices.SortStableFunc(due, func(a, b fleet.Endpoint) int {
		return cmp.Or(cmp.Compare(need[b.Service], need[a.Service]), cmp.Compare(a.Host, b.Host))
	})
	return due
}

func loaded(s configuration.Service, e fleet.Endpoint) bool {
	return e.Load.ModelVersion == s.ModelVersion && e.Load.Adapter == s.Adapter && e.Load.Role == mixed
}
