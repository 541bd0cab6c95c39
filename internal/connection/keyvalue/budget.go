package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
)

// What the service takes, of which the system uses half at most.
const (
	serviceReads  = 2000.0
	serviceWrites = 400.0
	usedShare     = 0.5
)

const (
	// commandReads and commandWrites bound one host's calls for operators'
	// commands, whose rate does not grow with the hosts.
	commandReads  = 24.0
	commandWrites = 12.0

	relaysPerZone = 2
	// burst is how many seconds' worth of calls may come at once.
	burst     = 2.0
	leastCall = 2

	// longestWait is how long a call waits for its turn.
	longestWait = 2 * time.Second

	// outageFirst and outageMost bound the pause after failed calls.
	outageFirst = 250 * time.Millisecond
	outageMost  = 4 * time.Second
)

// Rates are calls a second.
type Rates struct {
	Reads  float64
	Writes float64
}

// Duty is what a host does beside what all hosts do.
type Duty struct {
	// Hosts and Zones are how many live.
	Hosts int
	Zones int
	// Relay hosts watch for their zone, and Holder writes for it.
	Relay  bool
	Holder bool
}

// Share gives one host's part of half the service's rates: half of that goes
// to all hosts alike, half to the zones' relays and lease holders.
func Share(d Duty) Rates {
	hosts, zones := float64(max(1, d.Hosts)), float64(max(1, d.Zones))
	reads, writes := serviceReads*usedShare/2, serviceWrites*usedShare/2
	r := Rates{Reads: reads / hosts, Writes: writes / hosts}
	if d.Relay {
		r.Reads += reads / zones / relaysPerZone
	}
	if d.Holder {
		r.Writes += writes / zones
	}
	return r
}

// CommandRates bounds what one host does for operators.
func CommandRates() Rates {
	return Rates{Reads: commandReads, Writes: commandWrites}
}

// Budget bounds the calls of one host. After failed calls it lets none through
// for a jittered, growing pause, so that hosts don't come back together when
// an outage ends. Make one with NewBudget.
type Budget struct {
	// Count is told of each call and each refusal.
	Count func(kind, outcome string)

	rates         func() Rates
	reads, writes *rate.Limiter

	mu sync.Mutex
	// failing is the pause that grows while calls fail, and nil otherwise.
	failing *backoff.ExponentialBackOff
	closed  time.Time
}

// The kinds of call and their outcomes.
const (
	Read       = "read"
	Write      = "write"
	Made       = "made"
	OverBudget = "budget"
	BackingOff = "backing_off"
)

// NewBudget makes a Budget whose rates may change at any time.
func NewBudget(rates func() Rates) *Budget {
	return &Budget{
		Count:  func(string, string) {},
		rates:  rates,
		reads:  rate.NewLimiter(0, leastCall),
		writes: rate.NewLimiter(0, leastCall),
	}
}

// Limit makes a Client whose calls are paid from b. A watch is paid as a read.
func (b *Budget) Limit(c Client) Client {
	return Client{
		Get: func(ctx context.Context, key string) (Value, error) {
			if err := b.take(ctx, Read); err != nil {
				return Value{}, err
			}
			value, err := c.Get(ctx, key)
			return value, b.outcome(err)
		},
		Put: func(ctx context.Context, key string, put Put) (Value, error) {
			if err := b.take(ctx, Write); err != nil {
				return Value{}, err
			}
			value, err := c.Put(ctx, key, put)
			return value, b.outcome(err)
		},
		Watch: func(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error) {
			if err := b.take(ctx, Read); err != nil {
				return Value{}, err
			}
			value, err := c.Watch(ctx, key, after, wait)
			return value, b.outcome(err)
		},
		List: func(ctx context.Context, prefix string) ([]Value, error) {
			if err := b.take(ctx, Read); err != nil {
				return nil, err
			}
			values, err := c.List(ctx, prefix)
			return values, b.outcome(err)
		},
	}
}

// take pays for one call, after a short wait if need be.
func (b *Budget) take(ctx context.Context, kind string) error {
	if left := b.pause(); left > 0 {
		b.Count(kind, BackingOff)
		return fmt.Errorf("%w: asked again in %s", ErrUnavailable, left)
	}
	reservation := b.reserve(kind)
	wait := reservation.Delay()
	if wait > longestWait {
		reservation.Cancel()
		b.Count(kind, OverBudget)
		return ErrBudget
	}
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			reservation.Cancel()
			return fmt.Errorf("%w: %w", ErrBudget, ctx.Err())
		}
	}
	b.Count(kind, Made)
	return nil
}

func (b *Budget) reserve(kind string) *rate.Reservation {
	rates := b.rates()
	limiter, perSecond := b.reads, rates.Reads
	if kind == Write {
		limiter, perSecond = b.writes, rates.Writes
	}
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(max(leastCall, int(burst*perSecond)))
	return limiter.Reserve()
}

func (b *Budget) pause() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Until(b.closed)
}

// outcome lengthens the pause after a failed call and ends it after another.
func (b *Budget) outcome(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous)
	switch {
	case failed && errors.Is(err, context.Canceled):
		// The caller gave up; that says nothing of the service.
	case failed:
		if b.failing == nil {
			b.failing = newPause(outageFirst, outageMost)
		}
		b.closed = time.Now().Add(b.failing.NextBackOff())
	default:
		b.failing = nil
		b.closed = time.Time{}
	}
	return err
}
