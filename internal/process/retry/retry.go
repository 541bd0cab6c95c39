// Package retry limits the number of retries.
//
// The limit applies to all entry hosts together and to any time window: a ratio of
// the calls to a service, plus a number of retries that is divided among the
// hosts. Retries by callers count as new calls.
package retry

import (
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Limits is the limit over all hosts.
type Limits struct {
	// Ratio is the fraction of the calls in a window that may be retried.
	Ratio float64
	// Slack is the number of additional retries in each window.
	Slack  float64
	Window time.Duration
}

// usedRatio is the fraction of the limit that is distributed, since hosts may
// disagree on their number for a moment and a call may count in the window in
// which it ends rather than arrives.
const usedRatio = 0.7

// Budget is the retry budget of one host. Create one with New.
type Budget struct {
	hostCount func() int

	mu       sync.Mutex
	limits   Limits
	services map[identity.Service]*tokenBucket
}

// tokenBucket holds the retries that may be made for a service now, up to capacity.
type tokenBucket struct {
	retries    float64
	refilledAt time.Time
	// callsPerSecond is the average rate of calls.
	callsPerSecond float64
}

// New returns the Budget of one host. hostCount returns the number of hosts, among
// which the slack is divided equally.
func New(limits Limits, hostCount func() int) *Budget {
	return &Budget{limits: limits, hostCount: hostCount, services: make(map[identity.Service]*tokenBucket)}
}

// SetLimits replaces the limits over all hosts.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// RecordCall records a caller's request, which adds a fraction of a retry to the
// budget.
func (b *Budget) RecordCall(now time.Time, service identity.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(now, service)
	t.retries = min(b.capacity(t), t.retries+b.limits.Ratio*usedRatio)
	t.callsPerSecond += 1 / b.limits.Window.Seconds()
}

// Take charges one retry and reports whether the budget sufficed.
func (b *Budget) Take(now time.Time, service identity.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(now, service)
	if t.retries < 1 {
		return false
	}
	t.retries--
	return true
}

// Return refunds the charge for an attempt that reached no endpoint.
func (b *Budget) Return(now time.Time, service identity.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(now, service)
	t.retries = min(b.capacity(t), t.retries+1)
}

// slackShare returns this host's part of the slack per window.
func (b *Budget) slackShare() float64 {
	return b.limits.Slack * usedRatio / float64(max(1, b.hostCount()))
}

// capacity returns the maximum content of a bucket: half of the host's retries per
// window. The other half of the slack is refilled during the window; calls refill
// their whole ratio.
func (b *Budget) capacity(t *tokenBucket) float64 {
	return max(1, (b.slackShare()+b.limits.Ratio*usedRatio*t.callsPerSecond*b.limits.Window.Seconds())/2)
}

func (b *Budget) bucket(now time.Time, service identity.Service) *tokenBucket {
	t := b.services[service]
	if t == nil {
		t = &tokenBucket{retries: b.slackShare() / 2, refilledAt: now}
		b.services[service] = t
		return t
	}
	windows := now.Sub(t.refilledAt).Seconds() / b.limits.Window.Seconds()
	t.callsPerSecond *= max(0, 1-windows)
	t.retries = min(b.capacity(t), t.retries+b.slackShare()/2*windows)
	t.refilledAt = now
	return t
}
