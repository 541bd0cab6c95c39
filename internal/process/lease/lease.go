// Package lease ensures that at most one host of a zone issues orders at a time.
// Orders state what endpoints must load and which hosts the cloud must start or
// release.
//
// # Validity
//
// A lease is a key that expires in the key-value service unless its holder
// writes it again. The holder counts the validity from before it sent the write
// and subtracts a margin, so it stops before the key expires even if the
// response is lost or late. Held reports whether the lease is held at the time of
// the call; earlier results must not be relied on.
//
// # Fencing
//
// The revision of the write that acquired the lease is its fencing token, which
// every order carries. Endpoints that ignore fencing tokens are protected by
// time: a new holder waits until no order of the previous holder can still be in
// flight. Orders state the desired result, so the holder can repeat them.
//
// # Clocks
//
// The lease ends as soon as either the monotonic or the wall clock passes its
// end, because the monotonic clock may stop while a host is suspended.
package lease

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// MaxOrderDuration is the maximum time for which an order may be in flight. The
// sender must not set a longer deadline, and a new holder waits for this long
// before it issues its first order.
const MaxOrderDuration = 5 * time.Second

const (
	// ttl is the time after which the key expires if it is not written again, and
	// expiryMargin is how much earlier its holder stops issuing orders.
	ttl          = 9 * time.Second
	expiryMargin = time.Second

	renewInterval   = 3 * time.Second
	acquireInterval = 2 * time.Second
	callTimeout     = 2 * time.Second
	releaseTimeout  = time.Second
)

// Lease is one host's view of one lease. Create one with New and call Run.
type Lease struct {
	KeyValue keyvalue.Client
	// Eligible reports whether this host may acquire the lease.
	Eligible func() bool
	Log      *slog.Logger

	key         string
	holder      []byte
	acquisition atomic.Pointer[acquisition]
}

// acquisition is the period for which this host holds the lease.
type acquisition struct {
	fence identity.Fence
	// validFrom and validUntil bound the time in which orders may be issued.
	validFrom, validUntil time.Time
}

// New returns a Lease on key that is held in the name of host and incarnation.
func New(kv keyvalue.Client, key string, host identity.Host, incarnation identity.Incarnation) *Lease {
	return &Lease{
		KeyValue: kv,
		Eligible: func() bool { return true },
		Log:      slog.Default(),
		key:      key,
		holder:   []byte(string(host) + " " + string(incarnation)),
	}
}

// ZoneKey returns the key of a zone's lease.
func ZoneKey(zone identity.Zone) string {
	return "lease/zone/" + string(zone)
}

// Held returns the fencing token for an order and reports whether an order may be
// issued now.
func (l *Lease) Held() (identity.Fence, bool) {
	a := l.acquisition.Load()
	if a == nil {
		return 0, false
	}
	now := time.Now()
	if now.Before(a.validFrom) || !now.Before(a.validUntil) || !now.Round(0).Before(a.validUntil.Round(0)) {
		return 0, false
	}
	return a.fence, true
}

// Run acquires and renews the lease until ctx ends, then releases it.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, ok := l.acquire(ctx)
		if ok {
			l.renewUntilLost(ctx, revision)
			continue
		}
		pause.For(ctx, withJitter(acquireInterval))
	}
	return nil
}

// acquire acquires the lease if no host holds it.
func (l *Lease) acquire(ctx context.Context) (keyvalue.Revision, bool) {
	if !l.Eligible() {
		return 0, false
	}
	if _, err := l.KeyValue.Get(ctx, l.key); !errors.Is(err, keyvalue.ErrAbsent) {
		return 0, false
	}
	sent := time.Now()
	value, err := l.write(ctx, 0, keyvalue.NewWriterToken())
	if err != nil {
		l.Log.Info("lease_not_acquired", "key", l.key, "error", err)
		return 0, false
	}
	fence := identity.Fence(value.Revision)
	l.acquisition.Store(&acquisition{fence: fence, validFrom: time.Now().Add(MaxOrderDuration), validUntil: sent.Add(ttl - expiryMargin)})
	l.Log.Info("lease_acquired", "key", l.key, "fence", fence)
	return value.Revision, true
}

// write retries writing the key until the outcome is definite or callTimeout has
// passed.
func (l *Lease) write(ctx context.Context, ifRevision keyvalue.Revision, writer string) (keyvalue.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.KeyValue.PutWithRetry(ctx, l.key, keyvalue.Put{
		Data: l.holder, IfRevision: ifRevision, WriterToken: writer, TTLMillis: ttl.Milliseconds(),
	})
}

// renewUntilLost renews the lease until it is lost, or releases it when ctx ends.
func (l *Lease) renewUntilLost(ctx context.Context, revision keyvalue.Revision) {
	// unconfirmed holds the writer tokens of renewals whose outcome is unknown.
	unconfirmed := make(map[string]bool)
	for {
		pause.For(ctx, withJitter(renewInterval))
		if ctx.Err() != nil {
			l.release(revision)
			return
		}
		writer, sent := keyvalue.NewWriterToken(), time.Now()
		value, err := l.write(ctx, revision, writer)
		switch {
		case err == nil:
			revision = value.Revision
			clear(unconfirmed)
			l.extend(sent)
		case errors.Is(err, keyvalue.ErrConflict) && unconfirmed[value.WriterToken]:
			// An earlier renewal took effect. The validity is not extended, because
			// the time at which that renewal was sent is not recorded.
			revision = value.Revision
		case errors.Is(err, keyvalue.ErrConflict):
			l.markLost("overwritten")
			return
		case errors.Is(err, keyvalue.ErrAmbiguous):
			unconfirmed[writer] = true
		}
		if l.expired() {
			l.markLost("lapsed")
			return
		}
	}
}

func (l *Lease) extend(sent time.Time) {
	a := *l.acquisition.Load()
	a.validUntil = sent.Add(ttl - expiryMargin)
	l.acquisition.Store(&a)
}

func (l *Lease) expired() bool {
	return !time.Now().Before(l.acquisition.Load().validUntil)
}

func (l *Lease) markLost(reason string) {
	l.acquisition.Store(nil)
	l.Log.Warn("lease_lost", "key", l.key, "why", reason)
}

// release ends the validity and then deletes the key.
func (l *Lease) release(revision keyvalue.Revision) {
	l.acquisition.Store(nil)
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := l.KeyValue.Put(ctx, l.key, keyvalue.Put{Delete: true, IfRevision: revision, WriterToken: keyvalue.NewWriterToken()})
	l.Log.Info("lease_released", "key", l.key, "error", err)
}

// withJitter returns a random duration between three quarters of interval and all
// of it.
func withJitter(interval time.Duration) time.Duration {
	return interval*3/4 + time.Duration(rand.Int64N(int64(interval/4)))
}
