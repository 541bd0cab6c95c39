// Package admission decides whether a call may start, and when.
//
// # Slots
//
// Each service has slots on this host: its share of what the endpoints can run
// at once within the latency target. A call takes a slot, waits for one, or is
// refused at once when the wait would break the target. A refusal is NotRun.
//
// # Fairness
//
// Waiting calls are served by start-time fair queueing over organisations, by
// weight and tokens: an organisation gets what others leave, but no more than
// its share while they want theirs. Interactive calls go before batch calls,
// and a part of the slots is kept from batch calls altogether.
//
// # Limits
//
// An organisation's tokens a second hold over all entry hosts. Each host has a
// share that follows the demand which hosts tell each other; both sides of a
// share are what was told, so that shares add up to one. A host that hears
// nothing more keeps its last share.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Ask is one call that wants to start.
type Ask struct {
	Service      identity.Service
	Organisation identity.Organisation
	// Tokens are those of the prompt and the most that may be generated.
	Tokens unit.Tokens
	// Batch is a call that may wait.
	Batch bool
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
}

// Service is what admission needs to know of a service now.
type Service struct {
	// Slots is how many calls its endpoints can run within the target; zero
	// means that there is no endpoint, and calls pass to learn that.
	Slots int
	// Running and Waiting are what its endpoints report.
	Running, Waiting int
	// FirstToken is the latency target; zero means none.
	FirstToken time.Duration
	// CutOff tells that zones with endpoints of the service can't be reached.
	CutOff bool
}

// Organisation is what admission needs to know of an organisation now.
type Organisation struct {
	Weight float64
	// TokensPerSecond holds over all entry hosts; zero means unbounded.
	TokensPerSecond unit.Tokens
}

// Gate admits calls. Make one with New and call Run.
type Gate struct {
	mu    sync.Mutex
	state state
}

// New makes a Gate that looks services and organisations up as they are now.
func New(service func(identity.Service) Service, organisation func(identity.Organisation) Organisation) *Gate {
	return &Gate{state: newState(service, organisation)}
}

const (
	tickEvery = 100 * time.Millisecond
	// retryAfter is the least that a refused caller is told to wait.
	retryAfter = time.Second
)

// Admit waits for a slot. The caller calls release once, when the call ended.
func (g *Gate) Admit(ctx context.Context, ask Ask) (release func(), failure *verdict.Error) {
	g.mu.Lock()
	t, failure := g.state.arrive(time.Now(), ask)
	g.mu.Unlock()
	if failure != nil {
		return nil, failure
	}
	select {
	case <-t.done:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.decided {
		g.state.withdraw(t)
		return nil, verdict.New(verdict.NotRun, verdict.CallerGone, "gone while waiting to start")
	}
	if t.failure != nil {
		return nil, t.failure
	}
	return sync.OnceFunc(func() { g.release(t) }), nil
}

// Enter takes a slot at once, though there be none, for a call that was accepted
// before and must not be refused any more.
func (g *Gate) Enter(ask Ask) (release func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.state.enter(time.Now(), ask)
	return sync.OnceFunc(func() { g.release(t) })
}

func (g *Gate) release(t *ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.release(time.Now(), t)
}

// Run expires and admits what time alone decides, until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			g.mu.Lock()
			g.state.tick(now)
			g.mu.Unlock()
		case <-ctx.Done():
			return nil
		}
	}
}

// Waiting counts the calls of a service that wait for a slot.
func (g *Gate) Waiting(service identity.Service) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.state.services[service]; s != nil {
		return s.waiting()
	}
	return 0
}
