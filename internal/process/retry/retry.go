// Package retry bounds how often calls are sent a second time.
//
// The bound holds over all entry hosts in any window: a part of the calls for a
// service, and a number that is divided among the hosts. Callers' own retries are
// new calls.
package retry

import (
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Limits is the bound over all hosts.
type Limits struct {
	// Ratio is the part of the calls in a window that may be sent again.
	Ratio float64
	// Slack may be sent again besides, in each window.
	Slack  float64
	Window time.Duration
}

// used is the part of the bound that is given out: hosts may disagree on their
// number for a moment, and arrivals count where they end.
const used = 0.7

// Budget is one host's part. Make one with New.
type Budget struct {
	hosts func() int

	mu       sync.Mutex
	limits   Limits
	services map[identity.Service]*account
}

// account holds what one service's calls have earned; it never exceeds a window's.
type account struct {
	tokens float64
	at     time.Time
	// rate is the mean of calls a second.
	rate float64
}

// New makes a Budget that is divided among hosts().
func New(limits Limits, hosts func() int) *Budget {
	return &Budget{limits: limits, hosts: hosts, services: make(map[identity.Service]*account)}
}

// SetLimits replaces the bound over all hosts.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// Called counts a caller's request, which earns a part of a retry.
func (b *Budget) Called(now time.Time, service identity.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	a.tokens = min(b.most(a), a.tokens+b.limits.Ratio*used)
	a.rate += 1 / b.limits.Window.Seconds()
}

// Take pays for sending a call again.
func (b *Budget) Take(now time.Time, service identity.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// Return gives back what was taken for a sending that reached no endpoint.
func (b *Budget) Return(now time.Time, service identity.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service)
	a.tokens = min(b.most(a), a.tokens+1)
}

// share is what one host may send again in a window besides the ratio.
func (b *Budget) share() float64 { return b.limits.Slack * used / float64(max(1, b.hosts())) }

// most is what an account can hold: half of a window's share at once, as the
// other half is refilled within the window.
func (b *Budget) most(a *account) float64 {
	return max(1, (b.share()+b.limits.Ratio*used*a.rate*b.limits.Window.Seconds())/2)
}

func (b *Budget) account(now time.Time, service identity.Service) *account {
	a := b.services[service]
	if a == nil {
		a = &account{tokens: b.share() / 2, at: now}
		b.services[service] = a
		return a
	}
	passed := now.Sub(a.at).Seconds() / b.limits.Window.Seconds()
	a.rate *= max(0, 1-passed)
	a.tokens = min(b.most(a), a.tokens+b.share()/2*passed)
	a.at = now
	return a
}
