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

// Limits of the service, and the share of them that all hosts together may use.
const (
	serviceReadsPerSecond  = 2000.0
	serviceWritesPerSecond = 400.0
	maxServiceShare        = 0.5
)

const (
	// commandReadsPerSecond and commandWritesPerSecond limit one host's calls for
	// operators' commands, whose rate does not grow with the number of hosts.
	commandReadsPerSecond  = 24.0
	commandWritesPerSecond = 12.0

	relaysPerZone = 2
	// burstSeconds is the size of a burst, in seconds of the sustained rate.
	burstSeconds  = 2.0
	minBurstCalls = 2

	// maxBudgetWait is the maximum time a call waits for the rate limiter.
	maxBudgetWait = 2 * time.Second

	// outageInitialBackoff and outageMaxBackoff limit the backoff after failed calls.
	outageInitialBackoff = 250 * time.Millisecond
	outageMaxBackoff     = 4 * time.Second
)

// Rates are limits in calls per second.
type Rates struct {
	Reads  float64
	Writes float64
}

// HostRole describes the roles of a host that determine its share of the calls.
type HostRole struct {
	// HostCount and ZoneCount are the numbers of live hosts and zones.
	HostCount int
	ZoneCount int
	// A Relay watches the service on behalf of its zone. The LeaseHolder, which
	// holds the zone's lease, writes on behalf of the zone.
	Relay       bool
	LeaseHolder bool
}

// HostRates returns one host's call rates. Of the rates that the system may use, one
// half is split evenly among all hosts, the other among the zones' relays (reads)
// and lease holders (writes).
func HostRates(role HostRole) Rates {
	hosts, zones := float64(max(1, role.HostCount)), float64(max(1, role.ZoneCount))
	reads, writes := serviceReadsPerSecond*maxServiceShare/2, serviceWritesPerSecond*maxServiceShare/2
	r := Rates{Reads: reads / hosts, Writes: writes / hosts}
	if role.Relay {
		r.Reads += reads / zones / relaysPerZone
	}
	if role.LeaseHolder {
		r.Writes += writes / zones
	}
	return r
}

// CommandRates returns the limits of one host's calls for operators' commands.
func CommandRates() Rates {
	return Rates{Reads: commandReadsPerSecond, Writes: commandWritesPerSecond}
}

// Budget limits the call rate of one host. After a failed call it rejects calls
// for a jittered, exponentially growing time, so that hosts don't all retry at
// once when an outage ends. Create one with NewBudget.
type Budget struct {
	// OnCall is called for each call that is made or rejected, but not for one
	// whose context ends while it waits.
	OnCall func(kind, outcome string)

	rates         func() Rates
	reads, writes *rate.Limiter

	mu sync.Mutex
	// outageBackoff is set while calls fail.
	outageBackoff *backoff.ExponentialBackOff
	blockedUntil  time.Time
}

// The kinds of call and their outcomes.
const (
	Read       = "read"
	Write      = "write"
	Made       = "made"
	OverBudget = "budget"
	BackingOff = "backing_off"
)

// NewBudget returns a Budget. It calls rates before each call, so that the limits
// may change at any time.
func NewBudget(rates func() Rates) *Budget {
	return &Budget{
		OnCall: func(string, string) {},
		rates:  rates,
		reads:  rate.NewLimiter(0, minBurstCalls),
		writes: rate.NewLimiter(0, minBurstCalls),
	}
}

// Limit returns a Client whose calls are limited by b. A watch counts as a read.
func (b *Budget) Limit(c Client) Client {
	return Client{
		Get: func(ctx context.Context, key string) (Value, error) {
			if err := b.acquire(ctx, Read); err != nil {
				return Value{}, err
			}
			value, err := c.Get(ctx, key)
			return value, b.recordOutcome(err)
		},
		Put: func(ctx context.Context, key string, put Put) (Value, error) {
			if err := b.acquire(ctx, Write); err != nil {
				return Value{}, err
			}
			value, err := c.Put(ctx, key, put)
			return value, b.recordOutcome(err)
		},
		Watch: func(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error) {
			if err := b.acquire(ctx, Read); err != nil {
				return Value{}, err
			}
			value, err := c.Watch(ctx, key, after, wait)
			return value, b.recordOutcome(err)
		},
		List: func(ctx context.Context, prefix string) ([]Value, error) {
			if err := b.acquire(ctx, Read); err != nil {
				return nil, err
			}
			values, err := c.List(ctx, prefix)
			return values, b.recordOutcome(err)
		},
	}
}

// acquire takes one call from the budget, waiting up to maxBudgetWait.
func (b *Budget) acquire(ctx context.Context, kind string) error {
	if remaining := b.backoffRemaining(); remaining > 0 {
		b.OnCall(kind, BackingOff)
		return fmt.Errorf("%w: backing off, next call allowed in %s", ErrUnavailable, remaining)
	}
	reservation := b.reserve(kind)
	wait := reservation.Delay()
	if wait > maxBudgetWait {
		reservation.Cancel()
		b.OnCall(kind, OverBudget)
		return ErrOverBudget
	}
	if wait > 0 {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			reservation.Cancel()
			return fmt.Errorf("%w: %w", ErrOverBudget, ctx.Err())
		}
	}
	b.OnCall(kind, Made)
	return nil
}

func (b *Budget) reserve(kind string) *rate.Reservation {
	rates := b.rates()
	limiter, perSecond := b.reads, rates.Reads
	if kind == Write {
		limiter, perSecond = b.writes, rates.Writes
	}
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(max(minBurstCalls, int(burstSeconds*perSecond)))
	return limiter.Reserve()
}

func (b *Budget) backoffRemaining() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Until(b.blockedUntil)
}

// recordOutcome extends the backoff after a failed call and resets it after any
// other call, except that a call cancelled by its caller changes nothing. It
// returns err.
func (b *Budget) recordOutcome(err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous)
	switch {
	case failed && errors.Is(err, context.Canceled):
		// The caller cancelled the call; the service may be healthy.
	case failed:
		if b.outageBackoff == nil {
			b.outageBackoff = newBackoff(outageInitialBackoff, outageMaxBackoff)
		}
		b.blockedUntil = time.Now().Add(b.outageBackoff.NextBackOff())
	default:
		b.outageBackoff = nil
		b.blockedUntil = time.Time{}
	}
	return err
}
