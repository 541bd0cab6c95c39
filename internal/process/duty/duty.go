// Package duty elects one entry host as the leader, which alone performs the duties
// that are due once for the whole system.
//
// # Lease
//
// The leader holds a key in the store under a lease. It counts the lease from the
// moment before it sent the last renewal, and ends its term a margin earlier, by
// both the monotonic and the wall clock, so that it stops acting before the key
// expires even if it was suspended. If the store was restored from a copy without the
// lease, the leader takes the key again under a new one within its term, and makes no
// calls meanwhile.
//
// # Fences
//
// The revision of the leader's last write of the key is the fence that its calls
// carry. After a call that got no answer the leader writes the key again: its next
// calls carry a higher fence, so the unanswered one can't take effect after them.
// Fences of a restored store are higher than all before.
//
// # Taking over
//
// A host that lost the leadership, or that has just started, waits before it acts:
// first CallTimeout, within which its last call may still arrive, then a lease's
// duration. So no host acts, is replaced and acts again within a lease's duration.
//
// A restored store may lack the key of a leader that still acts. So a host that takes
// the key also waits until a lease's duration after it first learned of the store's
// era: by then every term of an earlier era has ended, as none was renewed after the
// restoration. Until its own term ends, that leader can take the key again without a
// wait.
package duty

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// expiryMargin is how long before its lease expires the leader stops making
	// calls: those in flight have that long to arrive before another host can take
	// over. One that arrives later still has a lower fence than the calls of the
	// next leader.
	expiryMargin = 700 * time.Millisecond
	// CallTimeout is the time limit of each call that the leader makes. It is shorter
	// than a lease. A call may arrive up to this long after it was sent.
	CallTimeout = 1200 * time.Millisecond
	// renewalsPerLease is how many times a lease is renewed within its duration.
	renewalsPerLease = 4
	// rankDelay is how much longer each further candidate waits before it tries to
	// become the leader.
	rankDelay = 400 * time.Millisecond
	// pollInterval is the period of checking whether there is a leader.
	pollInterval = 400 * time.Millisecond
	// retakeInterval is the period of trying to take the key again after a restoration,
	// often enough for several tries within a term.
	retakeInterval = 200 * time.Millisecond
	// resignTimeout is the time limit for ending the lease when the leader stops.
	resignTimeout = 500 * time.Millisecond
)

// Elector is one host's part in the election. Create one with New and call Run.
type Elector struct {
	// HasOtherLeader reports whether another host recently reported that it is the
	// leader.
	HasOtherLeader func() bool
	// Rank returns this host's position among the candidates, from zero.
	Rank func() int
	Log  *slog.Logger

	store keyvalue.Store
	key   string
	owner identity.Incarnation
	ttl   time.Duration
	// earliestStart is when this host may act as the leader at the earliest.
	earliestStart time.Time
	term          atomic.Pointer[term]
	raiseFence    chan struct{}
	latestEra     atomic.Pointer[seenEra]
	// eraRose holds an event if latestEra has changed since maintain last read it.
	eraRose chan struct{}
}

// seenEra is an era of the store, and when this host first learned of it. Nothing
// precedes era zero, so it needs no time. It is immutable.
type seenEra struct {
	era   keyvalue.Era
	since time.Time
}

// term is one term of leadership. It is immutable.
type term struct {
	lease    keyvalue.LeaseID
	revision keyvalue.Revision
	start    time.Time
	expiry   time.Time
}

// New returns an Elector that elects the leader by key, under a lease that lasts
// ttl.
func New(store keyvalue.Store, key string, inc identity.Incarnation, ttl time.Duration) *Elector {
	e := &Elector{
		HasOtherLeader: func() bool { return false }, Rank: func() int { return 0 }, Log: slog.Default(),
		store: store, key: key, owner: inc, ttl: ttl,
		earliestStart: time.Now().Add(ttl + CallTimeout), raiseFence: make(chan struct{}, 1), eraRose: make(chan struct{}, 1),
	}
	e.latestEra.Store(new(seenEra))
	return e
}

// ObserveEra records that this host has seen an era of the store. The sooner it learns
// of one, the sooner it may act in it.
func (e *Elector) ObserveEra(era keyvalue.Era) {
	next := &seenEra{era: era, since: time.Now()}
	for latest := e.latestEra.Load(); era > latest.era; latest = e.latestEra.Load() {
		if !e.latestEra.CompareAndSwap(latest, next) {
			continue
		}
		select {
		case e.eraRose <- struct{}{}:
		default:
		}
	}
}

// Fence returns the fence for a leader's call, and whether this host may make one now.
func (e *Elector) Fence() (identity.Fence, bool) {
	t := e.term.Load()
	if t == nil || !t.valid(time.Now()) || time.Now().Before(t.start) || e.outdated(t) {
		return 0, false
	}
	return identity.Fence(t.revision), true
}

func (t *term) valid(now time.Time) bool {
	return now.Before(t.expiry) && now.Round(0).Before(t.expiry.Round(0))
}

// outdated reports whether the store was restored after it granted the lease of t.
func (e *Elector) outdated(t *term) bool { return t.lease.Era < e.latestEra.Load().era }

// RaiseFence requests a higher fence because a call got no answer.
func (e *Elector) RaiseFence() {
	select {
	case e.raiseFence <- struct{}{}:
	default:
	}
}

// Run makes this host the leader when there is none, and keeps it the leader as
// long as possible, until ctx ends.
func (e *Elector) Run(ctx context.Context) error {
	vacantSince := time.Time{}
	for pause.For(ctx, pollInterval) {
		if e.HasOtherLeader() {
			vacantSince = time.Time{}
			continue
		}
		if vacantSince.IsZero() {
			vacantSince = time.Now()
		}
		if time.Since(vacantSince) < time.Duration(e.Rank())*rankDelay {
			continue
		}
		if t := e.acquire(ctx); t != nil {
			e.maintain(ctx, t)
		}
		vacantSince = time.Time{}
	}
	return nil
}

// acquire writes the key if it is absent. It returns nil if this host did not become
// the leader.
func (e *Elector) acquire(ctx context.Context) *term {
	value, err := e.store.Get(ctx, e.key)
	if err == nil {
		e.ObserveEra(value.Revision.Era())
	}
	if !errors.Is(err, keyvalue.ErrAbsent) {
		return nil
	}
	t, err := e.take(ctx, 0)
	if err != nil {
		e.Log.Info("duty_not_taken", "error", err)
		return nil
	}
	t.start = later(time.Now(), later(e.earliestStart, e.latestEra.Load().since.Add(e.ttl)))
	e.term.Store(t)
	e.Log.Info("duty_taken", "fence", t.revision, "acts_from", time.Until(t.start))
	return t
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// take writes the key under a new lease if its revision is current. It returns a term
// without a start.
func (e *Elector) take(ctx context.Context, current keyvalue.Revision) (*term, error) {
	for {
		sent := time.Now()
		lease, err := e.store.Grant(ctx, e.ttl)
		if err != nil {
			return nil, fmt.Errorf("grant lease: %w", err)
		}
		e.ObserveEra(lease.Era)
		revision, err := e.writeKey(ctx, lease, current)
		if err != nil {
			return nil, fmt.Errorf("write key: %w", err)
		}
		e.ObserveEra(revision.Era())
		if revision.Era() == lease.Era {
			return &term{lease: lease, revision: revision, expiry: sent.Add(e.ttl - expiryMargin)}, nil
		}
		// The store was restored in between, so the key is under the lease that now has
		// this number, which may be another host's.
		current = revision
	}
}

// writeKey sets the key if its revision is current. If the outcome is unknown, it reads
// the key to find out.
func (e *Elector) writeKey(ctx context.Context, lease keyvalue.LeaseID, current keyvalue.Revision) (keyvalue.Revision, error) {
	revision, err := e.store.Commit(ctx, keyvalue.Transaction{
		Conditions: []keyvalue.Condition{{Key: e.key, Revision: current}},
		Writes:     []keyvalue.Entry{{Key: e.key, Data: e.data(lease), Lease: lease}},
	})
	if !errors.Is(err, keyvalue.ErrAmbiguous) {
		return revision, err
	}
	value, getErr := e.store.Get(ctx, e.key)
	if getErr == nil && bytes.Equal(value.Data, e.data(lease)) && value.Revision > current {
		return value.Revision, nil
	}
	return 0, errors.Join(err, getErr)
}

// data returns what this host writes to the key. It names the lease, so that an earlier
// write that takes effect late is not taken for one under the lease that is renewed.
func (e *Elector) data(lease keyvalue.LeaseID) []byte {
	return fmt.Appendf(e.ownPrefix(), "%d/%d", lease.Era, lease.Number)
}

// ownPrefix returns what the data of this host's writes begins with.
func (e *Elector) ownPrefix() []byte { return fmt.Appendf(nil, "%s ", e.owner) }

// maintain renews the lease and raises the fence on request, until the lease is lost
// or ctx ends.
func (e *Elector) maintain(ctx context.Context, t *term) {
	interval := e.ttl / renewalsPerLease
	for {
		select {
		case <-time.After(interval):
			t = e.renewLease(ctx, t)
		case <-e.raiseFence:
			t = e.rewriteKey(ctx, t)
		case <-e.eraRose:
			if e.outdated(t) {
				t = e.retake(ctx, t)
			}
		case <-ctx.Done():
			e.resign(t)
			return
		}
		if t == nil || !t.valid(time.Now()) {
			e.endTerm()
			return
		}
	}
}

// renewLease renews the lease. It returns nil if the lease has ended.
func (e *Elector) renewLease(ctx context.Context, t *term) *term {
	sent := time.Now()
	renewCtx, cancel := context.WithDeadline(ctx, t.expiry)
	defer cancel()
	err := e.store.KeepAlive(renewCtx, t.lease)
	if errors.Is(err, keyvalue.ErrRestored) {
		return e.retake(ctx, t)
	}
	if errors.Is(err, keyvalue.ErrNoLease) {
		return nil
	}
	if err != nil {
		e.Log.Info("duty_not_renewed", "fence", t.revision, "left", time.Until(t.expiry), "error", err)
		return t
	}
	if sent.Before(t.start) && !e.holdsKey(renewCtx, t) {
		return nil
	}
	next := *t
	next.expiry = sent.Add(e.ttl - expiryMargin)
	e.term.Store(&next)
	return &next
}

// holdsKey reports whether the key is as t wrote it. Another host's write that was on its
// way when the store was restored may have replaced it, if its condition held by number
// alone.
func (e *Elector) holdsKey(ctx context.Context, t *term) bool {
	value, err := e.store.Get(ctx, e.key)
	return err == nil && value.Revision == t.revision || err != nil && !errors.Is(err, keyvalue.ErrAbsent)
}

// rewriteKey writes the key again for a higher fence. No call may be made until that is
// done.
func (e *Elector) rewriteKey(ctx context.Context, t *term) *term {
	e.term.Store(nil)
	writeCtx, cancel := context.WithDeadline(ctx, t.expiry)
	defer cancel()
	revision, err := e.writeKey(writeCtx, t.lease, t.revision)
	if errors.Is(err, keyvalue.ErrRestored) || err == nil && revision.Era() != t.lease.Era {
		return e.retake(ctx, t)
	}
	if err != nil {
		e.Log.Info("fence_not_raised", "fence", t.revision, "error", err)
		return nil
	}
	next := *t
	next.revision = revision
	e.term.Store(&next)
	e.Log.Info("fence_raised", "fence", revision)
	return &next
}

// retake takes the key under a new lease after the store was restored, if it is absent
// or this host's. No call may be made until that is done. Until t expires, no other host
// acts in the era that follows, so this one then goes on without a wait. In a still later
// era it has to wait: another host may have taken the key in the era between.
func (e *Elector) retake(ctx context.Context, t *term) *term {
	e.term.Store(nil)
	ctx, cancel := context.WithDeadline(ctx, t.expiry)
	defer cancel()
	for {
		next, err := e.takeOwn(ctx)
		if err == nil && t.valid(time.Now()) {
			next.start = t.start
			if next.lease.Era != t.lease.Era+1 {
				next.start = later(t.start, e.latestEra.Load().since.Add(e.ttl+CallTimeout))
			}
			e.term.Store(next)
			e.Log.Info("duty_retaken", "fence", next.revision, "before", t.revision, "acts_from", time.Until(next.start))
			return next
		}
		e.Log.Info("duty_not_retaken", "fence", t.revision, "left", time.Until(t.expiry), "error", err)
		// An ambiguous write may take effect later, under a lease that is not renewed.
		if err == nil || errors.Is(err, errOtherOwner) || errors.Is(err, keyvalue.ErrAmbiguous) || !pause.For(ctx, retakeInterval) {
			return nil
		}
	}
}

// errOtherOwner says that the key is another host's.
var errOtherOwner = errors.New("duty: another host holds the key")

// takeOwn takes the key if it is absent or this host's.
func (e *Elector) takeOwn(ctx context.Context) (*term, error) {
	value, err := e.store.Get(ctx, e.key)
	if errors.Is(err, keyvalue.ErrAbsent) {
		return e.take(ctx, 0)
	}
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	if !bytes.HasPrefix(value.Data, e.ownPrefix()) {
		return nil, errOtherOwner
	}
	return e.take(ctx, value.Revision)
}

// endTerm stops acting and delays this host's next term.
func (e *Elector) endTerm() {
	e.term.Store(nil)
	e.earliestStart = time.Now().Add(e.ttl + CallTimeout)
	e.Log.Warn("duty_lost")
}

// resign stops acting and then ends the lease.
func (e *Elector) resign(t *term) {
	e.term.Store(nil)
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	e.Log.Info("duty_given_back", "fence", t.revision, "error", e.store.Revoke(ctx, t.lease))
}
