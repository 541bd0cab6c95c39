// Package lease lets one host of a zone give orders at a time.
//
// # How long
//
// A lease is a key that lapses at the service unless it is written again. Its
// holder counts from before it sent the write, less a margin, so it stops before
// the key lapses, whatever happened to the answer. Held says whether the lease is
// held at the moment of the call; what it said earlier counts for nothing.
//
// # Fencing
//
// The revision of the write that acquired the lease is its fence, which each
// order carries. Endpoints that ignore fences are protected by time: a new
// holder waits for longer than an order of the last one may be under way, and
// orders state what shall be, so that the holder can repeat them.
//
// # Clocks
//
// The lease ends when either the monotonic or the wall clock says so, because
// the monotonic one may stand still while a host is suspended.
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

// LongestDelivery is how long an order may be under way: whoever gives one sets
// no longer deadline, and a new holder waits as long.
const LongestDelivery = 5 * time.Second

const (
	// ttl is how long the key lives without another write, and margin how much
	// earlier its holder stops.
	ttl    = 9 * time.Second
	margin = time.Second

	renewEvery    = 3 * time.Second
	contendEvery  = 2 * time.Second
	callTimeout   = 2 * time.Second
	releaseWithin = time.Second
)

// Lease is one host's view of one lease. Make one with New and call Run.
type Lease struct {
	KeyValue keyvalue.Client
	// Contend tells whether this host may acquire the lease.
	Contend func() bool
	Log     *slog.Logger

	key    string
	holder []byte
	hold   atomic.Pointer[hold]
}

// hold is one acquisition.
type hold struct {
	fence identity.Fence
	// from and until bound the time in which orders may be given.
	from, until time.Time
}

// New makes a Lease under key for a process.
func New(kv keyvalue.Client, key string, host identity.Host, incarnation identity.Incarnation) *Lease {
	return &Lease{
		KeyValue: kv,
		Contend:  func() bool { return true },
		Log:      slog.Default(),
		key:      key,
		holder:   []byte(string(host) + " " + string(incarnation)),
	}
}

// ZoneKey is the key of a zone's lease.
func ZoneKey(zone identity.Zone) string {
	return "lease/zone/" + string(zone)
}

// Held gives the fence for an order, if one may be given right now.
func (l *Lease) Held() (identity.Fence, bool) {
	h := l.hold.Load()
	if h == nil {
		return 0, false
	}
	now := time.Now()
	if now.Before(h.from) || !now.Before(h.until) || !now.Round(0).Before(h.until.Round(0)) {
		return 0, false
	}
	return h.fence, true
}

// Run contends for the lease and renews it until ctx ends, then gives it back.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, ok := l.acquire(ctx)
		if ok {
			l.keep(ctx, revision)
			continue
		}
		pause.For(ctx, jittered(contendEvery))
	}
	return nil
}

// acquire takes the lease if nobody has it.
func (l *Lease) acquire(ctx context.Context) (keyvalue.Revision, bool) {
	if !l.Contend() {
		return 0, false
	}
	if _, err := l.KeyValue.Get(ctx, l.key); !errors.Is(err, keyvalue.ErrAbsent) {
		return 0, false
	}
	sent := time.Now()
	value, err := l.write(ctx, 0, keyvalue.NewWriter())
	if err != nil {
		l.Log.Info("lease_not_acquired", "key", l.key, "error", err)
		return 0, false
	}
	fence := identity.Fence(value.Revision)
	l.hold.Store(&hold{fence: fence, from: time.Now().Add(LongestDelivery), until: sent.Add(ttl - margin)})
	l.Log.Info("lease_acquired", "key", l.key, "fence", fence)
	return value.Revision, true
}

// write offers the key until the outcome is definite or callTimeout has passed.
func (l *Lease) write(ctx context.Context, at keyvalue.Revision, writer string) (keyvalue.Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.KeyValue.Settle(ctx, l.key, keyvalue.Put{
		Data: l.holder, IfRevision: at, Writer: writer, TTLMillis: ttl.Milliseconds(),
	})
}

// keep renews until the lease is lost or ctx ends.
func (l *Lease) keep(ctx context.Context, revision keyvalue.Revision) {
	// open holds the writers of renewals whose outcome is not known.
	open := make(map[string]bool)
	for {
		pause.For(ctx, jittered(renewEvery))
		if ctx.Err() != nil {
			l.release(revision)
			return
		}
		writer, sent := keyvalue.NewWriter(), time.Now()
		value, err := l.write(ctx, revision, writer)
		switch {
		case err == nil:
			revision = value.Revision
			clear(open)
			l.renewed(sent)
		case errors.Is(err, keyvalue.ErrConflict) && open[value.Writer]:
			// An earlier renewal took effect; its time is not known to be later
			// than what the hold says already.
			revision = value.Revision
		case errors.Is(err, keyvalue.ErrConflict):
			l.lose("overwritten")
			return
		case errors.Is(err, keyvalue.ErrAmbiguous):
			open[writer] = true
		}
		if l.over() {
			l.lose("lapsed")
			return
		}
	}
}

func (l *Lease) renewed(sent time.Time) {
	h := *l.hold.Load()
	h.until = sent.Add(ttl - margin)
	l.hold.Store(&h)
}

func (l *Lease) over() bool {
	return !time.Now().Before(l.hold.Load().until)
}

func (l *Lease) lose(why string) {
	l.hold.Store(nil)
	l.Log.Warn("lease_lost", "key", l.key, "why", why)
}

// release stops giving orders first and deletes the key then.
func (l *Lease) release(revision keyvalue.Revision) {
	l.hold.Store(nil)
	ctx, cancel := context.WithTimeout(context.Background(), releaseWithin)
	defer cancel()
	_, err := l.KeyValue.Put(ctx, l.key, keyvalue.Put{Delete: true, IfRevision: revision, Writer: keyvalue.NewWriter()})
	l.Log.Info("lease_released", "key", l.key, "error", err)
}

// jittered draws from three quarters to all of a pause.
func jittered(pause time.Duration) time.Duration {
	return pause*3/4 + time.Duration(rand.Int64N(int64(pause/4)))
}
