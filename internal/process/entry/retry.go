package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// retryBurst is what a service may spend at once; it starts with it.
	retryBurst = 50.0
	// retryTrickle refills a second, so that a waiting retry gets its turn.
	retryTrickle = 1.0
	retryBase    = 25 * time.Millisecond
	retryMost    = time.Second
	retryWait    = 10 * time.Second
)

// retries is the retry budget of each service: a share of its successes.
type retries struct {
	mu       sync.Mutex
	accounts map[identity.Service]*account
}

// account holds how many retries a service may make, up to retryBurst.
type account struct {
	left float64
	at   time.Time
}

func newRetries() *retries {
	return &retries{accounts: make(map[identity.Service]*account)}
}

// of gives the account of a service as of now; mu is held.
func (r *retries) of(service identity.Service) *account {
	now := time.Now()
	a, ok := r.accounts[service]
	if !ok {
		a = &account{left: retryBurst, at: now}
		r.accounts[service] = a
	}
	a.left = min(retryBurst, a.left+retryTrickle*now.Sub(a.at).Seconds())
	a.at = now
	return a
}

func (r *retries) succeeded(service identity.Service, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.of(service)
	a.left = min(retryBurst, a.left+share)
}

// spend takes one retry from the budget, or reports false.
func (r *retries) spend(service identity.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.of(service)
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

// share gives the share of successes that a service may spend on retries.
func (s *Server) share(service identity.Service) float64 {
	found, _ := s.Snapshot().Configuration.Service(service)
	return found.RetryShare
}

// retry waits until the call may be tried again, and counts why. A call whose
// endpoint leaves moves at once and is not paid for: the system ordered it.
func (s *Server) retry(ctx context.Context, c call.Call, failure *verdict.Error, attempts int) *verdict.Error {
	s.Meter.Retried(failure.Reason)
	if failure.Reason == verdict.EndpointLeaving {
		return nil
	}
	began := time.Now()
	for !s.retries.spend(c.Service) {
		if time.Since(began) > retryWait || !pause.For(ctx, jitter(attempts)) {
			return verdict.Wrap(failure.Verdict, verdict.RetryBudget, failure)
		}
	}
	if !pause.For(ctx, jitter(attempts)) {
		return failure
	}
	return nil
}

// jitter draws a pause from zero to a bound that doubles with each attempt.
func jitter(attempts int) time.Duration {
	bound := min(retryMost, retryBase<<min(attempts, 10))
	return rand.N(bound)
}

// deadlineOf reads how long the caller waits; without a header it is zero.
func deadlineOf(r *http.Request, now time.Time) (time.Time, *verdict.Error) {
	text := r.Header.Get(engine.DeadlineHeader)
	if text == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return time.Time{}, verdict.New(verdict.NotRun, verdict.BadRequest, engine.DeadlineHeader+" must be a positive number")
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}
