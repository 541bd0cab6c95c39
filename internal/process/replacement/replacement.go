// Package replacement starts hosts in the place of those that leave, and gives
// back what was only taken for want of better.
//
// # One list for a zone
//
// The zone's lease holder alone orders hosts. What it means to ask the cloud for
// is written to the key-value service first, as one value for the whole zone, so
// that a wave of hundreds costs a few writes and a successor knows what its
// predecessor may have asked for.
//
// # Lost answers
//
// An attempt whose answer was lost may have started a host. It is looked for by
// its tag in the host list, which lags; only after settleAfter is the cloud
// asked again. Should two hosts of one need show up in spite of that, all but
// the first are ended.
//
// # Refusals
//
// A refused need goes on to the next option after a jittered pause: other
// classes, other zones, on demand last. A host on demand is given back once the
// wave is over: a reclaimable one is started, then the other leaves by a planned
// stop and is ended when it has no more work.
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
	lookEvery = time.Second
	askWithin = 20 * time.Second
	// settleAfter is how long a host that was started may be missing from the
	// host list: the longest start and the list's lag.
	settleAfter = 45 * time.Second
	firstPause  = time.Second
	mostPause   = time.Minute
	// calmAfter is how long a zone must be without a notice before hosts on
	// demand are given back.
	calmAfter  = 5 * time.Minute
	startsOnce = 16
	keys       = "replacement/"
)

// What tells of one step, for the record of the host that leaves.
type What string

// The steps.
const (
	WasAsked     What = "replacement_ordered"
	WasRefused   What = "replacement_refused"
	WasStarted   What = "replacement_started"
	WasGivenBack What = "given_back"
)

// Replacement orders hosts for one zone.
type Replacement struct {
	Zone     identity.Zone
	Snapshot func() *fleet.Snapshot
	Cloud    cloud.Client
	KeyValue keyvalue.Client
	// Lease is checked at the moment of each order.
	Lease func() (identity.Fence, bool)
	// Leave makes an endpoint leave by a planned stop.
	Leave func(context.Context, identity.Host, identity.Incarnation)
	// MoveDone takes a move that is done out of the configuration; it may be
	// called more than once.
	MoveDone func(context.Context, identity.Version)
	// Tell hears of each step.
	Tell   func(what What, n Need)
	Random *rand.Rand
	Log    *slog.Logger

	// plan is the zone's list as last read or written.
	plan     plan
	revision keyvalue.Revision
	stored   []byte
	// noticedAt is when the zone last had a new leaving endpoint.
	noticedAt time.Time
	// stopSeen is when an operator's stop was first seen here.
	stopSeen map[identity.Incarnation]time.Time
	moved    atomic.Pointer[[]Moved]
}

// plan is the value in the key-value service.
type plan struct {
	Needs []Need  `json:"needs"`
	Moves []Moved `json:"moves,omitempty"`
}

// Run goes on until ctx ends.
func (r *Replacement) Run(ctx context.Context) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		if err := r.step(ctx); err != nil {
			r.Log.Warn("replacement_failed", "error", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// step compares what is needed with what there is, writes down what it will
// ask for, and asks.
func (r *Replacement) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
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
	r.notice(now, s)
	r.move(now, s)
	if err := r.stops(ctx, now, s); err != nil {
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
	r.conclude(ctx, now, s)
	moves := slices.Clone(r.plan.Moves)
	r.moved.Store(&moves)
	ask := r.choose(now, s)
	if err := r.store(ctx); err != nil {
		return err
	}
	return r.ask(ctx, ask)
}

// load reads the zone's list.
func (r *Replacement) load(ctx context.Context) error {
	value, err := r.KeyValue.Get(ctx, keys+string(r.Zone))
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

// store writes the list if it changed; another holder's write makes this one
// read anew.
func (r *Replacement) store(ctx context.Context) error {
	data, err := json.Marshal(r.plan)
	if err != nil || string(data) == string(r.stored) {
		return err
	}
	put := keyvalue.Put{Data: data, IfRevision: r.revision}
	value, err := r.KeyValue.Settle(ctx, keys+string(r.Zone), put)
	if err != nil {
		r.revision = 0
		return err
	}
	r.revision, r.stored = value.Revision, data
	return nil
}

// notice adds a need for each endpoint of the zone that began to leave, unless
// it leaves because its own replacement is there.
func (r *Replacement) notice(now time.Time, s *fleet.Snapshot) {
	for _, e := range s.Endpoints {
		known := func(n Need) bool { return n.For == e.Incarnation || n.GivesBack == e.Host }
		if !e.Leaving || e.Zone != r.Zone || stopped(s.Configuration, e) || slices.ContainsFunc(r.plan.Needs, known) {
			continue
		}
		r.noticedAt = now
		r.plan.Needs = append(r.plan.Needs, Need{For: e.Incarnation, Service: e.Service, State: Wanted, Due: now})
	}
}

// reconcile matches needs with the host list by their tags.
func (r *Replacement) reconcile(ctx context.Context, now time.Time, s *fleet.Snapshot, listed []cloud.Host) error {
	if err := r.endDoubles(ctx, listed); err != nil {
		return err
	}
	var kept []Need
	for _, n := range r.plan.Needs {
		hosts := n.hosts(listed)
		if len(hosts) > 0 && n.State != Started {
			n.State, n.Host = Started, hosts[0].ID
			r.Tell(WasStarted, n)
		}
		if n.State == Asked && now.Sub(n.AskedAt) > settleAfter {
			n.State, n.Due = Wanted, now
		}
		dropped, err := r.cancelled(ctx, s, &n, listed)
		if err != nil {
			return err
		}
		done, err := r.giveBack(ctx, now, s, &n, listed)
		if err != nil {
			return err
		}
		if !done && !dropped {
			kept = append(kept, n)
		}
	}
	r.plan.Needs = kept
	r.swap(now, listed)
	return nil
}

// endDoubles ends all but the first host of each need, also where the need is
// long met: a paused holder's order may reach the cloud late.
func (r *Replacement) endDoubles(ctx context.Context, listed []cloud.Host) error {
	for _, h := range listed {
		if !Ours(h) || h.Zone != r.Zone && !r.needs(h) {
			continue
		}
		all := Need{For: needOf(h)}.hosts(listed)
		if all[0].ID == h.ID || h.State == cloud.Leaving {
			continue
		}
		r.Log.Warn("host_started_twice", "endpoint", h.ID, "tag", h.Tag)
		if err := r.end(ctx, h.ID); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replacement) needs(h cloud.Host) bool {
	return slices.ContainsFunc(r.plan.Needs, func(n Need) bool { return n.For == needOf(h) })
}

// giveBack ends the host on demand that a started need makes superfluous, and
// reports whether the need has no further use.
func (r *Replacement) giveBack(ctx context.Context, now time.Time, s *fleet.Snapshot, n *Need, listed []cloud.Host) (bool, error) {
	if n.State != Started {
		return false, nil
	}
	alive := func(id identity.Host) bool {
		return slices.ContainsFunc(listed, func(h cloud.Host) bool { return h.ID == id })
	}
	if n.GivesBack == "" || !alive(n.GivesBack) {
		gone := !alive(n.Host) && now.Sub(n.AskedAt) > settleAfter
		left := !slices.ContainsFunc(s.Endpoints, func(e fleet.Endpoint) bool { return e.Incarnation == n.For })
		return gone || (left && (n.Option.Reclaimable || n.Move != 0) && now.Sub(n.AskedAt) > 2*settleAfter), nil
	}
	fresh, ok := s.Find(n.Host)
	old, listedToo := s.Find(n.GivesBack)
	if !ok || fresh.Load.At.IsZero() || !listedToo {
		return false, nil
	}
	if _, pending := s.Configuration.Move(n.Move); n.Move != 0 && !pending && !old.Leaving {
		return false, nil
	}
	r.Leave(ctx, old.Host, old.Incarnation)
	if n.LeftAt.IsZero() {
		n.LeftAt = now
	}
	if !old.Leaving || !idle(old, n.LeftAt.Add(stopTakes)) {
		return false, nil
	}
	if err := r.end(ctx, n.GivesBack); err != nil || n.Ended {
		return false, err
	}
	n.Ended = true
	r.account(now, *n)
	r.Tell(WasGivenBack, *n)
	return false, nil
}

// swap asks for a reclaimable host in the place of each one on demand, once the
// wave is over.
func (r *Replacement) swap(now time.Time, listed []cloud.Host) {
	if now.Sub(r.noticedAt) < calmAfter {
		return
	}
	for _, n := range slices.Clone(r.plan.Needs) {
		swapped := func(other Need) bool { return other.GivesBack == n.Host }
		if n.State != Started || n.Option.Reclaimable || n.Move != 0 || slices.ContainsFunc(r.plan.Needs, swapped) {
			continue
		}
		for _, h := range listed {
			if h.ID == n.Host {
				r.plan.Needs = append(r.plan.Needs, Need{
					For: h.Incarnation, Service: n.Service, State: Wanted, Due: now, GivesBack: n.Host,
				})
			}
		}
	}
}

// choose marks what to ask for now.
func (r *Replacement) choose(now time.Time, s *fleet.Snapshot) []int {
	options := Options(s.Configuration, r.Zone)
	var ask []int
	for i := range r.plan.Needs {
		n := &r.plan.Needs[i]
		if n.State != Wanted || now.Before(n.Due) || len(options) == 0 || len(ask) == startsOnce {
			continue
		}
		usable := usable(*n, options)
		if len(usable) == 0 {
			continue
		}
		n.Option = usable[n.Refusals%len(usable)]
		n.State, n.AskedAt = Asked, now
		n.Attempt++
		ask = append(ask, i)
	}
	return ask
}

// ask starts what was written down, as long as the lease holds.
func (r *Replacement) ask(ctx context.Context, ask []int) error {
	results := make([]error, len(ask))
	hosts := make([]cloud.Host, len(ask))
	var group errgroup.Group
	for k, i := range ask {
		n := r.plan.Needs[i]
		if _, ok := r.Lease(); !ok {
			r.revision = 0
			break
		}
		r.Tell(WasAsked, n)
		group.Go(func() error {
			hosts[k], results[k] = r.Cloud.Start(ctx, cloud.Start{
				Tag: n.tag(), Zone: n.Option.Zone, Class: n.Option.Class, Reclaimable: n.Option.Reclaimable, Service: n.Service,
			})
			return nil
		})
	}
	err := group.Wait()
	now := time.Now()
	for k, i := range ask {
		n := &r.plan.Needs[i]
		switch {
		case errors.Is(results[k], cloud.ErrRefused):
			n.State, n.Due = Wanted, now.Add(r.pause(n.Refusals))
			n.Refusals++
			r.Tell(WasRefused, *n)
		case results[k] != nil:
			r.Log.Warn("start_answer_lost", "tag", n.tag(), "error", results[k])
		case hosts[k].ID != "":
			n.State, n.Host = Started, hosts[k].ID
			r.Tell(WasStarted, *n)
		}
	}
	return err
}

// pause grows with refusals and is drawn from half to one and a half of its size.
func (r *Replacement) pause(refusals int) time.Duration {
	pause := min(mostPause, firstPause<<min(refusals, 10))
	return pause/2 + time.Duration(r.Random.Int64N(int64(pause)))
}

// end gives a host back while the lease holds.
func (r *Replacement) end(ctx context.Context, host identity.Host) error {
	if _, ok := r.Lease(); !ok {
		r.revision = 0
		return errors.New("lease lapsed")
	}
	return r.Cloud.End(ctx, host)
}
