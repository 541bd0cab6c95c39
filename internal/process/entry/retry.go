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
	// retryBurst is the initial and the largest budget of a service.
	retryBurst = 50.0
	// retryRefillPerSecond lets a waiting retry proceed even if no call succeeds.
	retryRefillPerSecond = 1.0
	retryBackoffBase     = 25 * time.Millisecond
	retryBackoffMax      = time.Second
	retryBudgetWait      = 10 * time.Second
)

// retryBudgets holds the retry budget of each service, which grows by a share of
// its successful calls.
type retryBudgets struct {
	mu        sync.Mutex
	byService map[identity.Service]*retryBudget
}

// retryBudget is the number of retries that a service may make, up to retryBurst.
type retryBudget struct {
	remaining float64
	updatedAt time.Time
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{byService: make(map[identity.Service]*retryBudget)}
}

// refill returns the budget of a service, refilled for the time that has passed.
// The caller holds mu.
func (r *retryBudgets) refill(service identity.Service) *retryBudget {
	now := time.Now()
	budget, ok := r.byService[service]
	if !ok {
		budget = &retryBudget{remaining: retryBurst, updatedAt: now}
		r.byService[service] = budget
	}
	budget.remaining = min(retryBurst, budget.remaining+retryRefillPerSecond*now.Sub(budget.updatedAt).Seconds())
	budget.updatedAt = now
	return budget
}

func (r *retryBudgets) recordSuccess(service identity.Service, share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.refill(service)
	budget.remaining = min(retryBurst, budget.remaining+share)
}

// spend takes one retry from the budget, or reports false if none is left.
func (r *retryBudgets) spend(service identity.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.refill(service)
	if budget.remaining < 1 {
		return false
	}
	budget.remaining--
	return true
}

// retryShare returns the number of retries that each successful call of a service
// adds to its budget.
func (s *Server) retryShare(service identity.Service) float64 {
	found, _ := s.Snapshot().Configuration.Service(service)
	return found.RetryShare
}

// awaitRetry counts the reason of a failure and waits until the call may be retried.
// If it may not, it returns the error to answer with. A call whose endpoint is leaving
// moves at once and takes nothing from the budget, since the system itself ended the
// attempt.
func (s *Server) awaitRetry(ctx context.Context, c call.Call, failure *verdict.Error, attempts int) *verdict.Error {
	s.Meter.Retried(failure.Reason)
	if failure.Reason == verdict.EndpointLeaving {
		return nil
	}
	began := time.Now()
	for !s.retryBudgets.spend(c.Service) {
		if time.Since(began) > retryBudgetWait || !pause.For(ctx, retryBackoff(attempts)) {
			return verdict.Wrap(failure.Verdict, verdict.RetryBudget, failure)
		}
	}
	if !pause.For(ctx, retryBackoff(attempts)) {
		return failure
	}
	return nil
}

// retryBackoff returns a random pause between zero and a bound that doubles with
// each attempt.
func retryBackoff(attempts int) time.Duration {
	bound := min(retryBackoffMax, retryBackoffBase<<min(attempts, 10))
	return rand.N(bound)
}

// deadlineOf returns the deadline from the caller's header, or zero without one.
func deadlineOf(r *http.Request, now time.Time) (time.Time, *verdict.Error) {
	text := r.Header.Get(engine.DeadlineHeader)
	if text == "" {
		return time.Time{}, nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return time.Time{}, verdict.New(verdict.NotRun, verdict.BadRequest, engine.DeadlineHeader+" must be a positive number of milliseconds")
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}
