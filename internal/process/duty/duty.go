// Package duty lets one entry host at a time act for all.
//
// # Holding
//
// The duty is a key under a lease of the store. Its holder counts from before it
// sent the last renewal, less a margin, by the monotonic and the wall clock, so
// that it stops before the key is gone, also after it was suspended.
//
// # Fences
//
// The revision of the write that took the key is the fence. After a call of
// which no answer came the holder writes the key again: its next calls carry a
// higher fence, and the lost one can't take effect after them.
//
// # Turns
//
// A host that held the duty, or that has just started, waits for as long as a
// lease lasts after its last call can have arrived before it acts again, so that it
// can't act around another holder.
package duty

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// margin is how much earlier than its lease the holder stops: a call may be
	// under way for as long.
	margin = 700 * time.Millisecond
	// CallWithin bounds each call that is made under the duty, less than a lease
	// lasts. A call that was sent may arrive as late.
	CallWithin = 1200 * time.Millisecond
	// renewals is how often a lease is renewed in its time.
	renewals = 4
	// stagger is the time between the candidates' turns.
	stagger = 400 * time.Millisecond
	// lookEvery is the period of looking whether somebody holds the duty.
	lookEvery = 400 * time.Millisecond
	// endWithin bounds the call that gives the duty back at a stop.
	endWithin = 500 * time.Millisecond
)

// Duty is one host's view. Make one with New and call Run.
type Duty struct {
	// Elsewhere tells that another host said lately that it holds the duty.
	Elsewhere func() bool
	// Rank is this host's place among the candidates, from zero.
	Rank func() int
	Log  *slog.Logger

	store  keyvalue.Store
	key    string
	holder []byte
	ttl    time.Duration
	// earliest is when this host may act at the soonest.
	earliest time.Time
	hold     atomic.Pointer[hold]
	renew    chan struct{}
}

// hold is one acquisition; immutable.
type hold struct {
	lease    keyvalue.LeaseID
	revision keyvalue.Revision
	from     time.Time
	until    time.Time
}

// New makes a Duty under key, whose lease lasts ttl.
func New(store keyvalue.Store, key string, inc identity.Incarnation, ttl time.Duration) *Duty {
	return &Duty{
		Elsewhere: func() bool { return false }, Rank: func() int { return 0 }, Log: slog.Default(),
		store: store, key: key, holder: []byte(inc), ttl: ttl,
		earliest: time.Now().Add(ttl + CallWithin), renew: make(chan struct{}, 1),
	}
}

// Fence gives the fence for a call, if one may be made right now.
func (d *Duty) Fence() (identity.Fence, bool) {
	h := d.hold.Load()
	if h == nil || !h.valid(time.Now()) || time.Now().Before(h.from) {
		return 0, false
	}
	return identity.Fence(h.revision), true
}

func (h *hold) valid(now time.Time) bool {
	return now.Before(h.until) && now.Round(0).Before(h.until.Round(0))
}

// Unanswered tells that a call got no answer: the fence must rise.
func (d *Duty) Unanswered() {
	select {
	case d.renew <- struct{}{}:
	default:
	}
}

// Run takes the duty when nobody has it, and keeps it until ctx ends.
func (d *Duty) Run(ctx context.Context) error {
	vacant := time.Time{}
	for pause.For(ctx, lookEvery) {
		if d.Elsewhere() {
			vacant = time.Time{}
			continue
		}
		if vacant.IsZero() {
			vacant = time.Now()
		}
		if time.Since(vacant) < time.Duration(d.Rank())*stagger {
			continue
		}
		if h := d.take(ctx); h != nil {
			d.keep(ctx, h)
		}
		vacant = time.Time{}
	}
	return nil
}

// take writes the key if it is absent.
func (d *Duty) take(ctx context.Context) *hold {
	if _, err := d.store.Get(ctx, d.key); !errors.Is(err, keyvalue.ErrAbsent) {
		return nil
	}
	sent := time.Now()
	lease, err := d.store.Grant(ctx, d.ttl)
	if err != nil {
		d.Log.Info("duty_not_taken", "step", "lease", "error", err)
		return nil
	}
	revision, err := d.write(ctx, lease, 0)
	if err != nil {
		d.Log.Info("duty_not_taken", "step", "key", "error", err)
		return nil
	}
	from := time.Now()
	if from.Before(d.earliest) {
		from = d.earliest
	}
	h := &hold{lease: lease, revision: revision, from: from, until: sent.Add(d.ttl - margin)}
	d.hold.Store(h)
	d.Log.Info("duty_taken", "fence", revision, "acts_from", time.Until(from))
	return h
}

// write sets the key; after a lost answer it looks what came of it.
func (d *Duty) write(ctx context.Context, lease keyvalue.LeaseID, at keyvalue.Revision) (keyvalue.Revision, error) {
	revision, err := d.store.Commit(ctx, keyvalue.Transaction{
		Conditions: []keyvalue.Condition{{Key: d.key, Revision: at}},
		Writes:     []keyvalue.Entry{{Key: d.key, Data: d.holder, Lease: lease}},
	})
	if !errors.Is(err, keyvalue.ErrAmbiguous) {
		return revision, err
	}
	value, again := d.store.Get(ctx, d.key)
	if again == nil && string(value.Data) == string(d.holder) && value.Revision > at {
		return value.Revision, nil
	}
	return 0, errors.Join(err, again)
}

// keep renews the lease until it is lost or ctx ends.
func (d *Duty) keep(ctx context.Context, h *hold) {
	every := d.ttl / renewals
	for {
		select {
		case <-time.After(every):
			h = d.renewed(ctx, h)
		case <-d.renew:
			h = d.raised(ctx, h)
		case <-ctx.Done():
			d.giveBack(h)
			return
		}
		if h == nil || !h.valid(time.Now()) {
			d.lose()
			return
		}
	}
}

// renewed keeps the lease; nil tells that it has ended.
func (d *Duty) renewed(ctx context.Context, h *hold) *hold {
	sent := time.Now()
	ctx, cancel := context.WithDeadline(ctx, h.until)
	defer cancel()
	err := d.store.Keep(ctx, h.lease)
	if errors.Is(err, keyvalue.ErrNoLease) {
		return nil
	}
	if err != nil {
		d.Log.Info("duty_not_renewed", "fence", h.revision, "left", time.Until(h.until), "error", err)
		return h
	}
	next := *h
	next.until = sent.Add(d.ttl - margin)
	d.hold.Store(&next)
	return &next
}

// raised writes the key again for a higher fence. Until that is done no call is
// made.
func (d *Duty) raised(ctx context.Context, h *hold) *hold {
	d.hold.Store(nil)
	ctx, cancel := context.WithDeadline(ctx, h.until)
	defer cancel()
	revision, err := d.write(ctx, h.lease, h.revision)
	if err != nil {
		d.Log.Info("fence_not_raised", "fence", h.revision, "error", err)
		return nil
	}
	next := *h
	next.revision = revision
	d.hold.Store(&next)
	d.Log.Info("fence_raised", "fence", revision)
	return &next
}

func (d *Duty) lose() {
	d.hold.Store(nil)
	d.earliest = time.Now().Add(d.ttl + CallWithin)
	d.Log.Warn("duty_lost")
}

// giveBack stops acting first and ends the lease then.
func (d *Duty) giveBack(h *hold) {
	d.hold.Store(nil)
	ctx, cancel := context.WithTimeout(context.Background(), endWithin)
	defer cancel()
	d.Log.Info("duty_given_back", "fence", h.revision, "error", d.store.End(ctx, h.lease))
}
