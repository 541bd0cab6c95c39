// Package replacement starts hosts to replace those that leave, and later swaps
// on-demand hosts for reclaimable ones.
//
// # One plan for each zone
//
// Only the entry host that holds the zone's lease orders hosts. It writes each
// intended order to the key-value service before it calls the cloud. The plan is
// one value for the whole zone, so that the loss of hundreds of hosts at once costs
// only a few writes, and a successor knows what its predecessor may have ordered.
//
// # Lost answers
//
// An order whose answer was lost may have started a host, which is looked for by
// its tag in the host list. The list lags, so the order is repeated only after
// maxListingDelay. If two hosts appear for one Need nevertheless, all but the first
// are ended.
//
// # Refusals
//
// After a refusal the next option is tried with a jittered back-off: other classes
// and other zones first, on-demand hosts last. Once onDemandReleaseDelay has passed
// without a notice, a reclaimable host is started for each on-demand host, which
// then leaves by a planned stop and is ended when it has no work.
package replacement

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	updateInterval = time.Second
	updateTimeout  = 20 * time.Second
	// maxListingDelay is how long a started host may be missing from the host list:
	// the longest start plus the lag of the list.
	maxListingDelay = 45 * time.Second
	minBackoff      = time.Second
	maxBackoff      = time.Minute
	// onDemandReleaseDelay is how long a zone must be without a notice before its
	// on-demand hosts are replaced.
	onDemandReleaseDelay = 5 * time.Minute
	// maxStarts bounds the hosts ordered in one update.
	maxStarts     = 16
	planKeyPrefix = "replacement/"
)

// Step is a step of a replacement, as recorded in the leaving host's history.
type Step string

// The steps.
const (
	StepOrdered  Step = "replacement_ordered"
	StepRefused  Step = "replacement_refused"
	StepStarted  Step = "replacement_started"
	StepReleased Step = "given_back"
)

// Replacement orders hosts for one zone.
type Replacement struct {
	Zone     identity.Zone
	Snapshot func() *fleet.Snapshot
	Cloud    cloud.Client
	KeyValue keyvalue.Client
	// Lease returns the fence of the zone's lease and reports whether this host
	// holds it. It is checked right before each order.
	Lease func() (identity.Fence, bool)
	// StopEndpoint starts the planned stop of an endpoint.
	StopEndpoint func(context.Context, identity.Host, identity.Incarnation)
	// RemoveMove removes a completed move from the configuration. It may be called
	// more than once for a move.
	RemoveMove func(context.Context, identity.Version)
	// OnStep is called for each step.
	OnStep func(step Step, n Need)
	Random *rand.Rand
	Log    *slog.Logger

	// plan is the zone's plan. stored is its encoded value and revision the revision
	// of that value as last read or written; zero means that it has to be read.
	plan     plan
	revision keyvalue.Revision
	stored   []byte
	// noticedAt is when this host last added a need for a leaving endpoint.
	noticedAt time.Time
	// stopSeenAt is when this host first saw an operator's stop.
	stopSeenAt  map[identity.Incarnation]time.Time
	moveRecords atomic.Pointer[[]MoveRecord]
}

// plan is the value stored in the key-value service.
type plan struct {
	Needs []Need       `json:"needs"`
	Moves []MoveRecord `json:"moves,omitempty"`
}

// Run orders and ends hosts until ctx ends.
func (r *Replacement) Run(ctx context.Context) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		if err := r.update(ctx); err != nil {
			r.Log.Warn("replacement_failed", "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// update updates the needs from the snapshot and the host list, ends hosts that are
// no longer wanted, stores the plan, and then sends the orders that are due.
func (r *Replacement) update(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	if _, ok := r.Lease(); !ok {
		r.revision = 0
		return nil
	}
	if r.revision == 0 {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	now := time.Now()
	s := r.Snapshot()
	r.addNeeds(now, s)
	r.addMoveNeeds(now, s)
	if err := r.endStopped(ctx, now, s); err != nil {
		return err
	}
	if len(r.plan.Needs) == 0 && len(r.plan.Moves) == 0 {
		return nil
	}
	listed, err := r.Cloud.List(ctx)
	if err != nil {
		return err
	}
	if err := r.reconcile(ctx, now, s, listed); err != nil {
		return err
	}
	r.finishMoves(ctx, now, s)
	moves := slices.Clone(r.plan.Moves)
	r.moveRecords.Store(&moves)
	orders := r.markOrders(now, s)
	if err := r.store(ctx); err != nil {
		return err
	}
	return r.startHosts(ctx, orders)
}

// load reads the zone's plan.
func (r *Replacement) load(ctx context.Context) error {
	value, err := r.KeyValue.Get(ctx, planKeyPrefix+string(r.Zone))
	r.plan, r.stored = plan{}, nil
	if errors.Is(err, keyvalue.ErrAbsent) {
		return nil
	}
	if err != nil {
		return err
	}
	r.revision, r.stored = value.Revision, value.Data
	return json.Unmarshal(value.Data, &r.plan)
}

// store writes the plan if it changed. After an error, such as a conflict with
// another holder's write, the next update reads the plan again.
func (r *Replacement) store(ctx context.Context) error {
	data, err := json.Marshal(r.plan)
	if err != nil || string(data) == string(r.stored) {
		return err
	}
	put := keyvalue.Put{Data: data, IfRevision: r.revision}
	value, err := r.KeyValue.PutWithRetry(ctx, planKeyPrefix+string(r.Zone), put)
	if err != nil {
		r.revision = 0
		return err
	}
	r.revision, r.stored = value.Revision, data
	return nil
}

// addNeeds adds a need for each endpoint of the zone that has begun to leave,
// except those stopped by operators and those that leave because their
// replacement has started.
func (r *Replacement) addNeeds(now time.Time, s *fleet.Snapshot) {
	for _, e := range s.Endpoints {
		known := func(n Need) bool { return n.LeavingIncarnation == e.Incarnation || n.ReplacedHost == e.Host }
		if !e.Leaving || e.Zone != r.Zone || stopped(s.Configuration, e) || slices.ContainsFunc(r.plan.Needs, known) {
			continue
		}
		r.noticedAt = now
		r.plan.Needs = append(r.plan.Needs, Need{LeavingIncarnation: e.Incarnation, Service: e.Service, State: Wanted, Due: now})
	}
}

// reconcile updates the needs from the host list, matching hosts by their tags.
func (r *Replacement) reconcile(ctx context.Context, now time.Time, s *fleet.Snapshot, listed []cloud.Host) error {
	if err := r.endDuplicates(ctx, listed); err != nil {
		return err
	}
	var remaining []Need
	for _, n := range r.plan.Needs {
		hosts := n.hosts(listed)
		if len(hosts) > 0 && n.State != Started {
			n.State, n.Host = Started, hosts[0].ID
			r.OnStep(StepStarted, n)
		}
		if n.State == Ordered && now.Sub(n.OrderedAt) > maxListingDelay {
			n.State, n.Due = Wanted, now
		}
		dropped, err := r.cancelNeed(ctx, s, &n, listed)
		if err != nil {
			return err
		}
		done, err := r.endReplaced(ctx, now, s, &n, listed)
		if err != nil {
			return err
		}
		if !done && !dropped {
			remaining = append(remaining, n)
		}
	}
	r.plan.Needs = remaining
	r.replaceOnDemand(now, listed)
	return nil
}

// endDuplicates ends all but the first host of each need. It includes needs that
// were dropped long ago, since the order of a paused holder may reach the cloud
// late.
func (r *Replacement) endDuplicates(ctx context.Context, listed []cloud.Host) error {
	for _, h := range listed {
		if !IsManaged(h) || h.Zone != r.Zone && !r.hasNeed(h) {
			continue
		}
		all := Need{LeavingIncarnation: incarnationOf(h)}.hosts(listed)
		if all[0].ID == h.ID || h.State == cloud.Leaving {
			continue
		}
		r.Log.Warn("host_started_twice", "endpoint", h.ID, "tag", h.Tag)
		if err := r.endHost(ctx, h.ID); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replacement) hasNeed(h cloud.Host) bool {
	return slices.ContainsFunc(r.plan.Needs, func(n Need) bool { return n.LeavingIncarnation == incarnationOf(h) })
}

// endReplaced stops and ends the need's ReplacedHost, if any, once the new host is
// ready. It reports whether the need can be dropped.
func (r *Replacement) endReplaced(ctx context.Context, now time.Time, s *fleet.Snapshot, n *Need, listed []cloud.Host) (bool, error) {
	if n.State != Started {
		return false, nil
	}
	isListed := func(id identity.Host) bool {
		return slices.ContainsFunc(listed, func(h cloud.Host) bool { return h.ID == id })
	}
	if n.ReplacedHost == "" || !isListed(n.ReplacedHost) {
		newHostGone := !isListed(n.Host) && now.Sub(n.OrderedAt) > maxListingDelay
		oldGone := !slices.ContainsFunc(s.Endpoints, func(e fleet.Endpoint) bool { return e.Incarnation == n.LeavingIncarnation })
		return newHostGone || (oldGone && (n.Option.Reclaimable || n.Move != 0) && now.Sub(n.OrderedAt) > 2*maxListingDelay), nil
	}
	replacement, replacementKnown := s.Find(n.Host)
	old, oldKnown := s.Find(n.ReplacedHost)
	if !replacementKnown || replacement.Load.ReceivedAt.IsZero() || !oldKnown {
		return false, nil
	}
	if _, pending := s.Configuration.Move(n.Move); n.Move != 0 && !pending && !old.Leaving {
		return false, nil
	}
	r.StopEndpoint(ctx, old.Host, old.Incarnation)
	if n.LeftAt.IsZero() {
		n.LeftAt = now
	}
	if !old.Leaving || !idle(old, n.LeftAt.Add(cacheTransferTime)) {
		return false, nil
	}
	if err := r.endHost(ctx, n.ReplacedHost); err != nil || n.ReplacedHostEnded {
		return false, err
	}
	n.ReplacedHostEnded = true
	r.addCost(now, *n)
	r.OnStep(StepReleased, *n)
	return false, nil
}

// replaceOnDemand adds a need for a reclaimable host in place of each on-demand
// host, once onDemandReleaseDelay has passed without a notice.
func (r *Replacement) replaceOnDemand(now time.Time, listed []cloud.Host) {
	if now.Sub(r.noticedAt) < onDemandReleaseDelay {
		return
	}
	for _, n := range slices.Clone(r.plan.Needs) {
		replaces := func(other Need) bool { return other.ReplacedHost == n.Host }
		if n.State != Started || n.Option.Reclaimable || n.Move != 0 || slices.ContainsFunc(r.plan.Needs, replaces) {
			continue
		}
		for _, h := range listed {
			if h.ID == n.Host {
				r.plan.Needs = append(r.plan.Needs, Need{
					LeavingIncarnation: h.Incarnation, Service: n.Service, State: Wanted, Due: now, ReplacedHost: n.Host,
				})
			}
		}
	}
}

// markOrders marks the needs whose hosts are to be ordered now and returns their
// indexes.
func (r *Replacement) markOrders(now time.Time, s *fleet.Snapshot) []int {
	options := Options(s.Configuration, r.Zone)
	var orders []int
	for i := range r.plan.Needs {
		n := &r.plan.Needs[i]
		if n.State != Wanted || now.Before(n.Due) || len(options) == 0 || len(orders) == maxStarts {
			continue
		}
		usable := usableOptions(*n, options)
		if len(usable) == 0 {
			continue
		}
		n.Option = usable[n.Refusals%len(usable)]
		n.State, n.OrderedAt = Ordered, now
		n.Attempt++
		orders = append(orders, i)
	}
	return orders
}

// startHosts sends the orders that were stored, as long as this host holds the
// lease.
func (r *Replacement) startHosts(ctx context.Context, orders []int) error {
	results := make([]error, len(orders))
	hosts := make([]cloud.Host, len(orders))
	var group errgroup.Group
	for k, i := range orders {
		n := r.plan.Needs[i]
		if _, ok := r.Lease(); !ok {
			r.revision = 0
			break
		}
		r.OnStep(StepOrdered, n)
		group.Go(func() error {
			hosts[k], results[k] = r.Cloud.Start(ctx, cloud.StartRequest{
				Tag: n.tag(), Zone: n.Option.Zone, Class: n.Option.Class, Reclaimable: n.Option.Reclaimable, Service: n.Service,
			})
			return nil
		})
	}
	err := group.Wait()
	now := time.Now()
	for k, i := range orders {
		n := &r.plan.Needs[i]
		switch {
		case errors.Is(results[k], cloud.ErrRefused):
			n.State, n.Due = Wanted, now.Add(r.backoff(n.Refusals))
			n.Refusals++
			r.OnStep(StepRefused, *n)
		case results[k] != nil:
			r.Log.Warn("start_answer_lost", "tag", n.tag(), "error", results[k])
		case hosts[k].ID != "":
			n.State, n.Host = Started, hosts[k].ID
			r.OnStep(StepStarted, *n)
		}
	}
	return err
}

// backoff returns a delay that doubles with each refusal up to maxBackoff, with a
// jitter of half to one and a half times.
func (r *Replacement) backoff(refusals int) time.Duration {
	backoff := min(maxBackoff, minBackoff<<min(refusals, 10))
	return backoff/2 + time.Duration(r.Random.Int64N(int64(backoff)))
}

// endHost ends a host if this host still holds the lease.
func (r *Replacement) endHost(ctx context.Context, host identity.Host) error {
	if _, ok := r.Lease(); !ok {
		r.revision = 0
		return errors.New("zone lease lapsed")
	}
	return r.Cloud.Terminate(ctx, host)
}
