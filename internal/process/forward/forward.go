// Package forward takes calls to endpoints and their answers back.
//
// # Attempts
//
// A call is sent again only if it surely did not run, or if its route allows it
// to run again; each further sending is paid from the retry budget. Nothing of an
// answer reaches the caller before it is known to be passed on: a short one is
// read whole, a stream is held until its first event.
//
// # Streams
//
// Only whole events are passed on. A resumable stream that breaks off goes on at
// another endpoint behind the last event that was passed on; an event that comes
// again is dropped, and one that is missing ends the attempt.
package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// sendsMost bounds how often one call is sent, refusals included.
	sendsMost = 4
	// firstEventMost is how long a stream may go without its first event before it
	// is started elsewhere; callers give up after four objectives.
	firstEventMost = 2 * time.Second
	// eventMost is the same between events, of which callers bear eight pauses.
	eventMost = 1500 * time.Millisecond
	// answerShare is the part of the time left that a repeatable call waits for
	// one endpoint while another may still be asked.
	answerShare = 0.4
	answerLeast = 120 * time.Millisecond
	// shortestOffer is the time below which no endpoint can answer.
	shortestOffer = 5 * time.Millisecond
	// retrySoon and retryLate are the times after which refused callers return.
	retrySoon = 200 * time.Millisecond
	retryLate = time.Second
)

// Forwarder serves calls. Make one with New.
type Forwarder struct {
	Protocol Protocol
	// Began is told of each call that began to run.
	Began func(organisation identity.Organisation)
	// Asked is told of each call's work before it is sent or refused.
	Asked func(c *Call, uncached unit.Tokens)
	// Gone is told of an endpoint that another one has taken the address of.
	Gone func(identity.Incarnation)
	Log  *slog.Logger

	pool     *endpoint.Pool
	balancer *balance.Balancer
	quota    *quota.Quota
	budget   *retry.Budget
	meter    *meter.Meter
}

// New makes a Forwarder.
func New(pool *endpoint.Pool, b *balance.Balancer, q *quota.Quota, budget *retry.Budget, m *meter.Meter) *Forwarder {
	return &Forwarder{
		Began: func(identity.Organisation) {}, Asked: func(*Call, unit.Tokens) {}, Gone: func(identity.Incarnation) {}, Log: slog.Default(),
		pool: pool, balancer: b, quota: q, budget: budget, meter: m,
	}
}

// work is one call on its way.
type work struct {
	*Call
	f *Forwarder
	w http.ResponseWriter
	// ask is what the balancer is asked; tried endpoints are avoided.
	ask balance.Ask
	// sends counts sendings, reached those that an endpoint may have got, and runs
	// those that may have run.
	sends, reached, runs int
	// paid is set while the sending under way was paid from the retry budget.
	paid bool
	// before is the verdict over all attempts so far.
	before verdict.Verdict
	// started is set once the caller was sent the head of an answer.
	started bool
	// last is the last event that was passed on.
	last int64
	// began is set once the call was counted as run.
	began bool
	// kept is an endpoint's failure, passed on if no other attempt does better.
	kept *short
	// tried lists the attempts for the log.
	tried []string
}

// Serve answers a call. It gives nil once the whole answer was passed on. With
// started set, a failure can only be shown by ending the connection.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, c *Call) (started bool, failure *verdict.Error) {
	ctx, cancel := context.WithDeadlineCause(ctx, c.Deadline, errDeadline)
	defer cancel()
	f.budget.Called(c.Arrived, c.Service.ID)
	if wait, ok := f.admit(c); !ok {
		failure := verdict.New(verdict.NotRun, verdict.OrganisationLimit, string(c.Organisation.ID))
		failure.RetryAfter = max(retrySoon, wait)
		return false, failure
	}
	k := &work{
		Call: c, f: f, w: w, before: verdict.NotRun, last: c.LastEvent,
		ask: balance.Ask{Service: c.Service, Parts: c.Parts, Prompt: c.Prompt, Output: c.Output},
	}
	failure = k.run(ctx)
	if !k.began && k.before == verdict.NotRun && c.Organisation != nil {
		f.quota.Return(c.Organisation, c.Units)
	}
	return k.started, failure
}

var errDeadline = errors.New("deadline reached")

// admit charges the organisation's limit.
func (f *Forwarder) admit(c *Call) (wait time.Duration, ok bool) {
	if c.Organisation == nil {
		return 0, true
	}
	return f.quota.Take(c.Arrived, c.Organisation, c.Units)
}

// run makes attempts until one succeeds or none is left.
func (k *work) run(ctx context.Context) *verdict.Error {
	for {
		choice, failure := k.choose(ctx)
		if failure != nil {
			return k.finish(ctx, failure)
		}
		failure = k.attempt(ctx, choice)
		if failure == nil {
			k.f.Log.Info("call_answered", "request", k.ID, "route", k.Route.Name, "endpoint", choice.Endpoint.Incarnation,
				"expected_wait", choice.Wait, "uncached", choice.Uncached, "attempts", k.tried, "last_event", k.last,
				"after", time.Since(k.Arrived))
			return nil
		}
		k.tried = append(k.tried, string(choice.Endpoint.Incarnation)+" "+string(failure.Reason)+" "+failure.Verdict.String())
		if failure.Verdict != verdict.NotRun {
			k.before = verdict.MayHaveRun
		}
		if !k.again(ctx, failure) {
			return k.finish(ctx, failure)
		}
		k.f.meter.Retried(failure.Reason)
		k.ask.Avoid = append(k.ask.Avoid, choice.Endpoint.Incarnation)
	}
}

// choose finds an endpoint, or refuses the call where none can serve it in time.
func (k *work) choose(ctx context.Context) (balance.Choice, *verdict.Error) {
	if ctx.Err() != nil || time.Until(k.Deadline) < shortestOffer {
		return balance.Choice{}, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "")
	}
	choice, found := k.f.balancer.Choose(time.Now(), k.ask)
	if !found && len(k.ask.Avoid) > 0 {
		k.ask.Avoid = nil
		choice, found = k.f.balancer.Choose(time.Now(), k.ask)
	}
	if !found {
		return choice, refused(verdict.NoEndpoint, retryLate)
	}
	if k.sends == 0 {
		k.f.Asked(k.Call, choice.Uncached)
	}
	if k.sends == 0 && !choice.Idle && choice.Wait > k.patience() {
		return choice, refused(verdict.TargetOutOfReach, max(retrySoon, choice.Wait-k.patience()))
	}
	return choice, nil
}

func refused(reason verdict.Reason, after time.Duration) *verdict.Error {
	failure := verdict.New(verdict.NotRun, reason, "")
	failure.RetryAfter = after
	return failure
}

// patience is the wait beyond which an answer in time is out of reach. More
// urgent calls push into longer queues.
func (k *work) patience() time.Duration {
	if k.Route.Latency == 0 {
		return time.Until(k.Deadline)
	}
	return time.Duration(float64(k.Route.Latency) * (patienceUrgent - patienceStep*float64(min(k.Urgency, patienceSteps))))
}

const (
	// patienceUrgent and patienceStep set the expected wait, as a part of the
	// objective, up to which calls are sent on.
	patienceUrgent = 1.1
	patienceStep   = 0.15
	patienceSteps  = 4
)

// again tells whether a failed call can be sent once more, and pays for it.
func (k *work) again(ctx context.Context, failure *verdict.Error) bool {
	if ctx.Err() != nil || k.sends >= sendsMost || time.Until(k.Deadline) < shortestOffer {
		return false
	}
	if failure.Verdict != verdict.NotRun && (!k.Route.MayRepeat() || k.runs >= k.Route.Attempts) {
		return false
	}
	return k.pay()
}

// pay charges the retry budget for sending a call again, unless no endpoint got it.
func (k *work) pay() bool {
	if k.reached == 0 {
		return true
	}
	k.paid = k.f.budget.Take(time.Now(), k.Service.ID)
	if !k.paid {
		k.f.meter.Refused(verdict.RetryBudget)
	}
	return k.paid
}

// account notes whether a sending reached its endpoint; one that did not is not
// charged.
func (k *work) account(result balance.Result) {
	switch {
	case result != balance.Unreachable:
		k.reached++
	case k.paid:
		k.f.budget.Return(time.Now(), k.Service.ID)
	}
	k.paid = false
}

// finish ends a call without success: with an endpoint's failure that was kept,
// or with the failure of the last attempt under the verdict over all.
func (k *work) finish(ctx context.Context, failure *verdict.Error) *verdict.Error {
	if k.kept != nil && !k.started {
		k.kept.write(k.w)
		return nil
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) {
		failure = verdict.Wrap(failure.Verdict, verdict.CallerGone, context.Cause(ctx))
	}
	if errors.Is(context.Cause(ctx), errDeadline) {
		failure = verdict.Wrap(failure.Verdict, verdict.DeadlineExceeded, errDeadline)
	}
	failure = failure.After(k.before)
	k.f.Log.Warn("call_failed",
		"request", k.ID, "route", k.Route.Name, "service", k.Service.ID, "reason", failure.Reason, "verdict", failure.Verdict,
		"attempts", k.tried, "started", k.started, "last_event", k.last, "after", time.Since(k.Arrived), "error", failure.Why())
	return failure
}

// mark counts the call as run, once.
func (k *work) mark() {
	if k.began {
		return
	}
	k.began = true
	if k.Organisation != nil {
		k.f.Began(k.Organisation.ID)
	}
}

// stream tells whether the call is answered by events.
func (k *work) stream() bool { return k.Route.Kind == catalogue.Stream }
