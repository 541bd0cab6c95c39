// Package admission implements admission control: it decides whether a call may
// start, and when.
//
// # Slots
//
// Each service has a number of concurrency slots on this host: its share of the
// calls that the endpoints can run at once within the latency target. A call takes
// a slot, waits for one, or is refused at once if the expected wait exceeds the
// longest one allowed: half of the first-token target (a second if there is none)
// for an interactive call, a minute for a batch call, and never beyond the caller's
// deadline. A call that has waited that long is refused, too. A refused call has
// the verdict NotRun.
//
// # Fairness
//
// Waiting calls are served by start-time fair queueing over organisations, by
// weight and tokens: an organisation may use capacity that others leave idle, but
// no more than its fair share while others have calls waiting. Interactive calls
// take precedence over batch calls, and some slots are reserved for them.
//
// # Limits
//
// An organisation's limit in tokens per second applies across all entry hosts.
// Each host enforces a share of it in proportion to its demand, which hosts
// advertise to each other. A share is computed from advertised values only, its
// own included, so that all hosts' shares add up to one, but for the minimum
// share of hosts with little demand. A host that no longer receives reports keeps
// its last share.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Call describes a call that requests admission.
type Call struct {
	Service      identity.Service
	Organisation identity.Organisation
	// Tokens counts those of the prompt and the maximum to generate.
	Tokens unit.Tokens
	// Batch marks a call that tolerates queueing.
	Batch bool
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Service is the current state of a service.
type Service struct {
	// Slots is how many calls its endpoints can run within the target. If there
	// are no endpoints it is zero, and calls are admitted so that routing reports
	// the missing endpoint.
	Slots int
	// Running and Waiting are as reported by its endpoints.
	Running, Waiting int
	// FirstTokenTarget is the target latency of the first token; zero means none.
	FirstTokenTarget time.Duration
	// HasUnreachableZone reports whether zones with endpoints of the service are
	// unreachable.
	HasUnreachableZone bool
}

// Organisation is the current configuration of an organisation.
type Organisation struct {
	Weight float64
	// TokensPerSecond is the limit across all entry hosts; zero means unlimited.
	TokensPerSecond unit.Tokens
}

// Controller controls admission. Create one with New and call Run.
type Controller struct {
	mu    sync.Mutex
	state state
}

// New returns a Controller that looks up the current service and organisation state
// with the given functions.
func New(service func(identity.Service) Service, organisation func(identity.Organisation) Organisation) *Controller {
	return &Controller{state: newState(service, organisation)}
}

const (
	tickInterval = 100 * time.Millisecond
	// minRetryAfter is the minimum retry delay sent with a refusal.
	minRetryAfter = time.Second
)

// Admit waits for a slot. The caller must call release when the call has ended;
// further calls of release have no effect.
func (c *Controller) Admit(ctx context.Context, call Call) (release func(), failure *verdict.Error) {
	c.mu.Lock()
	t, failure := c.state.arrive(time.Now(), call)
	c.mu.Unlock()
	if failure != nil {
		return nil, failure
	}
	select {
	case <-t.done:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.decided {
		c.state.withdraw(t)
		return nil, verdict.New(verdict.NotRun, verdict.CallerGone, "caller disconnected while waiting for admission")
	}
	if t.failure != nil {
		return nil, t.failure
	}
	return sync.OnceFunc(func() { c.release(t) }), nil
}

// AdmitAccepted takes a slot at once, even if none is free, for a call that was already
// accepted and may no longer be refused.
func (c *Controller) AdmitAccepted(call Call) (release func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.state.forceAdmit(time.Now(), call)
	return sync.OnceFunc(func() { c.release(t) })
}

func (c *Controller) release(t *ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.release(time.Now(), t)
}

// Run expires waiting calls and refreshes the slots periodically until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.mu.Lock()
			c.state.tick(now)
			c.mu.Unlock()
		case <-ctx.Done():
			return nil
		}
	}
}

// Waiting returns the number of a service's calls that wait for a slot.
func (c *Controller) Waiting(service identity.Service) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.state.services[service]; s != nil {
		return s.waiting()
	}
	return 0
}
