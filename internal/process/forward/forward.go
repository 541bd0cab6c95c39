// Package forward sends calls to endpoints and passes their answers to the
// callers.
//
// # Attempts
//
// A call is retried only if it was certainly not executed or if its route allows it
// to be executed again. A retry is charged to the retry budget if an attempt has
// reached an endpoint before; the charge is returned if the retry does not reach
// one. So that a call can be retried, a short answer is buffered completely before
// it is passed on, a longer one up to maxBufferedBody, and a stream until its first
// event. Once a part of an answer has been passed on, only a stream is retried.
//
// An endpoint may begin to leave, or want no calls for a while, between its choice and
// the moment there is a connection to it. The call is then not sent, which is no attempt,
// and another endpoint is chosen.
//
// # Silence
//
// An endpoint that says nothing may have crashed, or may be sound and go on. A call that
// can be retried is given up at a silent endpoint after a while, but only once its retry
// is certain: another endpoint takes it and the retry budget has been charged. Until
// then, and without a retry, it waits until its deadline.
//
// # Streams
//
// Only complete events are passed on. If a resumable stream breaks off, it is
// resumed at another endpoint after the last event that was passed on. Software
// versions write different text, so only endpoints with the version that began the
// stream may go on with it. Repeated events are dropped; a missing event ends the
// attempt. So does any answer but a stream that goes on at the next event, as callers
// would find it in their stream. A resumed stream without a further event is complete
// only if its answer states its end.
package forward

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// maxSends is the maximum number of times that one call is sent, refused
	// attempts included.
	maxSends = 4
	// minTimeLeft is the remaining time below which no endpoint can answer.
	minTimeLeft = 5 * time.Millisecond
	// shortRetryAfter and longRetryAfter are the delays after which refused
	// callers should retry.
	shortRetryAfter = 200 * time.Millisecond
	longRetryAfter  = time.Second
)

// Forwarder forwards calls to endpoints. Create one with New.
type Forwarder struct {
	Protocol Protocol
	// OnExecuted is called once for each call that an endpoint started to execute.
	OnExecuted func(organisation identity.Organisation)
	// OnOffered is called one time for each call that is within its organisation's limit,
	// before it is sent or refused, with the prompt tokens expected to be uncached: all of
	// them if there is no endpoint for it.
	OnOffered func(c *Call, uncached unit.Tokens)
	// OnMisdirected is called with an endpoint whose address now belongs to another
	// one.
	OnMisdirected func(identity.Incarnation)
	Log           *slog.Logger
	// Quarantine holds the prompt parts and the calls that crash endpoints; calls with these
	// parts, and repeats of these calls, are refused.
	Quarantine *quarantine.Quarantine
	// Origin returns the service and software version at which the stream began that a call
	// resumes, or a refusal if it can't go on.
	Origin func(ctx context.Context, c *Call) (*catalogue.Service, identity.Software, *verdict.Error)
	// Confirm reports whether an endpoint is still the start that is known, with its software
	// version, over a connection that was opened at some time. A stream goes on nowhere else.
	Confirm func(ctx context.Context, c *Call, e fleet.Endpoint, opened time.Time) bool
	// OnUnreachable is called with an endpoint to which no connection could be opened.
	OnUnreachable func(identity.Incarnation)
	// OnDisconnected is called with an endpoint that broke off the connection of a call.
	OnDisconnected func(fleet.Endpoint)
	// OnStreamBegun is called with the endpoint that began a stream before its first event
	// is passed on. A resumed stream began earlier.
	OnStreamBegun func(c *Call, e fleet.Endpoint)
	// Advice holds what endpoints say of themselves. The balancer keeps to it.
	Advice *advice.Keeper
	// OnLeaving is called with an endpoint that says in an answer that it is leaving,
	// unless it has said so before.
	OnLeaving func(identity.Incarnation)

	pool     *endpoint.Pool
	balancer *balance.Balancer
	quota    *quota.Quota
	budget   *retry.Budget
	meter    *meter.Meter
}

// New returns a Forwarder.
func New(pool *endpoint.Pool, b *balance.Balancer, q *quota.Quota, budget *retry.Budget, m *meter.Meter) *Forwarder {
	return &Forwarder{
		Origin: func(_ context.Context, c *Call) (*catalogue.Service, identity.Software, *verdict.Error) {
			return c.Service, "", nil
		},
		Confirm:       func(context.Context, *Call, fleet.Endpoint, time.Time) bool { return true },
		OnUnreachable: func(identity.Incarnation) {}, OnDisconnected: func(fleet.Endpoint) {},
		OnStreamBegun: func(*Call, fleet.Endpoint) {},
		OnExecuted:    func(identity.Organisation) {}, OnOffered: func(*Call, unit.Tokens) {}, OnMisdirected: func(identity.Incarnation) {}, OnLeaving: func(identity.Incarnation) {}, Log: slog.Default(),
		Quarantine: quarantine.New(), Advice: advice.New(limit.New()),
		pool: pool, balancer: b, quota: q, budget: budget, meter: m,
	}
}

// forwarding is the state of one call that is being forwarded.
type forwarding struct {
	*Call
	f *Forwarder
	w http.ResponseWriter
	// call describes the call to the balancer; endpoints already tried are avoided.
	call balance.Call
	// endpoint is that of the current attempt.
	endpoint fleet.Endpoint
	// shared lists the prompt's parts that other calls may have too.
	shared []quarantine.PartID
	// fingerprint is what the call has in common with its repeats.
	fingerprint quarantine.Fingerprint
	// sends counts the attempts, delivered those that may have reached an
	// endpoint, and runs those that may have been executed.
	sends, delivered, runs int
	// sentTo lists the addresses that the call was sent to. An answer can't tell which
	// attempt at one address it belongs to, other than by its connection.
	sentTo []netip.AddrPort
	// paid is set while the current attempt is charged to the retry budget. charged is set
	// from when the retry of a silent attempt is charged until it is made or not.
	paid, charged bool
	// overall is the verdict over all attempts so far.
	overall verdict.Verdict
	// started is set once status and header of an answer have been sent to the
	// caller.
	started bool
	// resumable is set while what has been sent to the caller is a stream that can go on
	// after lastEvent, the last event that was passed on.
	resumable bool
	lastEvent int64
	// answerDelimited is set if the answer of the current attempt states its own end.
	answerDelimited bool
	// advice is what the endpoint said of itself in its latest answer.
	advice advice.Advice
	// offered is set once OnOffered has been called.
	offered bool
	// counted is set once OnExecuted has been called.
	counted bool
	// errorAnswer is an endpoint's 5xx answer, passed on if all other attempts
	// fail.
	errorAnswer *bufferedAnswer
	// failures lists the failed attempts for the log.
	failures []string
}

// Serve forwards a call and its answer. It returns nil once the answer has been
// passed on completely. If a failure is returned with started set, it can only be
// signalled by closing the connection.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, c *Call) (started bool, failure *verdict.Error) {
	ctx, cancel := context.WithDeadlineCause(ctx, c.Deadline, errDeadline)
	defer cancel()
	software, failure := f.findOrigin(ctx, c)
	if failure != nil {
		return false, failure
	}
	f.budget.RecordCall(c.Arrived, c.Service.ID)
	shared := sharedParts(c.Parts)
	call := fingerprint(c)
	if failure := f.checkQuarantine(c.Service.ID, shared, call); failure != nil {
		return false, failure
	}
	if refusal, ok := f.admit(c); !ok {
		detail := fmt.Sprintf("%s: %.0f units, %.0f available, %.0f needed, %.0f per second", c.Organisation.ID, c.Units, refusal.Available, refusal.Needed, refusal.PerSecond)
		failure := verdict.New(verdict.NotRun, verdict.OrganisationLimit, detail)
		failure.RetryAfter = max(shortRetryAfter, refusal.Wait)
		return false, failure
	}
	k := &forwarding{
		Call: c, f: f, w: w, shared: shared, fingerprint: call, overall: verdict.NotRun, lastEvent: c.LastEvent,
		call: balance.Call{Service: c.Service, Parts: c.Parts, Prompt: c.Prompt, Output: c.Output, Software: software},
	}
	failure = k.run(ctx)
	if !k.counted && k.overall == verdict.NotRun && c.Organisation != nil {
		f.quota.Return(c.Organisation, c.Units)
	}
	return k.started, failure
}

// findOrigin returns the software version at which the stream began that a call resumes,
// or nil for another call. It sets the call's service to that of the stream.
func (f *Forwarder) findOrigin(ctx context.Context, c *Call) (*identity.Software, *verdict.Error) {
	if c.Route.Kind != catalogue.Stream || c.LastEvent < 0 {
		return nil, nil
	}
	service, software, failure := f.Origin(ctx, c)
	if failure != nil {
		return nil, failure
	}
	c.Service = service
	return &software, nil
}

var errDeadline = errors.New("deadline reached")

// admit charges the call to the organisation's limit.
func (f *Forwarder) admit(c *Call) (quota.Refusal, bool) {
	if c.Organisation == nil {
		return quota.Refusal{}, true
	}
	return f.quota.Take(c.Arrived, c.Organisation, c.Units)
}

// run makes attempts until one succeeds or no further one is allowed.
func (k *forwarding) run(ctx context.Context) *verdict.Error {
	for {
		choice, failure := k.choose(ctx)
		if failure != nil {
			k.returnPaid()
			return k.fail(ctx, failure)
		}
		sentAt := time.Now()
		failure = k.attempt(ctx, choice)
		if failure == nil {
			k.returnCharge()
			k.recordAnswer(choice, time.Since(sentAt))
			k.f.Log.Info("call_answered", "request", k.ID, "route", k.Route.Name, "endpoint", choice.Endpoint.Incarnation,
				"software", choice.Endpoint.Software, "resumes", k.Resumes, "expected_wait", choice.Wait, "uncached", choice.Uncached, "attempts", k.failures, "last_event", k.lastEvent,
				"limited", k.advice.Limited, "limit", k.advice.PerSecond, "after", time.Since(k.Arrived))
			return nil
		}
		if notPermitted(failure) {
			k.f.meter.Retried(failure.Reason)
			k.call.Avoid = append(k.call.Avoid, choice.Endpoint.Incarnation)
			continue
		}
		k.failures = append(k.failures, string(choice.Endpoint.Incarnation)+" "+string(choice.Endpoint.Software)+" "+string(failure.Reason)+" "+failure.Verdict.String())
		if endpoint.Disconnected(failure) {
			k.f.Quarantine.RecordCrash(k.quarantineAttempt(choice, time.Since(sentAt)))
			k.f.OnDisconnected(choice.Endpoint)
			k.f.Log.Warn("connection_lost", "request", k.ID, "route", k.Route.Name, "endpoint", choice.Endpoint.Incarnation,
				"fingerprint", k.fingerprint, "parts", partIDs(k.Parts), "last_event", k.lastEvent, "sent_before", time.Since(sentAt))
		}
		if failure.Verdict != verdict.NotRun {
			k.overall = verdict.MayHaveRun
		}
		if !k.canRetry(ctx, failure) {
			return k.fail(ctx, failure)
		}
		k.f.meter.Retried(failure.Reason)
		k.call.Avoid = append(k.call.Avoid, choice.Endpoint.Incarnation)
	}
}

// partIDs returns the ids of a prompt's parts as in the callers' headers.
func partIDs(parts []balance.Part) []string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = strconv.FormatUint(part.ID, 16)
	}
	return ids
}

// choose returns an endpoint, or a refusal if none can serve the call in time.
func (k *forwarding) choose(ctx context.Context) (balance.Choice, *verdict.Error) {
	if ctx.Err() != nil || time.Until(k.Deadline) < minTimeLeft {
		return balance.Choice{}, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "")
	}
	if failure := k.f.checkQuarantine(k.Service.ID, k.shared, k.fingerprint); failure != nil {
		return balance.Choice{}, failure
	}
	choice, found := k.f.balancer.Choose(time.Now(), k.call)
	if !found && len(k.call.Avoid) > 0 {
		k.call.Avoid = nil
		choice, found = k.f.balancer.Choose(time.Now(), k.call)
	}
	k.recordOffered(choice, found)
	if !found {
		return choice, k.noEndpoint()
	}
	if k.sends == 0 && !choice.LightlyLoaded && choice.Wait > k.maxWait() {
		return choice, refused(verdict.TargetOutOfReach, max(shortRetryAfter, choice.Wait-k.maxWait()))
	}
	return choice, nil
}

// noEndpoint returns the refusal of a call that no endpoint of the service may get now.
func (k *forwarding) noEndpoint() *verdict.Error {
	limited, quiet := k.f.balancer.Closed(time.Now(), k.Service.ID)
	switch {
	case limited:
		return refused(verdict.EndpointLimit, longRetryAfter)
	case quiet > 0:
		return refused(verdict.EndpointQuiet, max(shortRetryAfter, quiet))
	case len(k.call.Unconfirmed) > 0:
		return refused(verdict.StreamOriginUnknown, longRetryAfter)
	case k.call.Software != nil && !k.f.balancer.Serves(k.Service.ID, *k.call.Software):
		return refused(verdict.StreamVersionGone, 0)
	default:
		return refused(verdict.NoEndpoint, longRetryAfter)
	}
}

func (k *forwarding) recordOffered(choice balance.Choice, found bool) {
	switch {
	case k.offered:
		return
	case found:
		k.f.OnOffered(k.Call, choice.Uncached)
	default:
		k.f.OnOffered(k.Call, k.Prompt)
	}
	k.offered = true
}

func refused(reason verdict.Reason, retryAfter time.Duration) *verdict.Error {
	failure := verdict.New(verdict.NotRun, reason, "")
	failure.RetryAfter = retryAfter
	return failure
}

// maxWait returns the longest expected wait with which a call is still sent. It is
// longer for more urgent calls, so that they are admitted to longer queues.
func (k *forwarding) maxWait() time.Duration {
	if k.Route.LatencyTarget == 0 {
		return time.Until(k.Deadline)
	}
	return time.Duration(float64(k.Route.LatencyTarget) * (maxWaitUrgent - maxWaitStep*float64(min(k.Priority, maxWaitSteps))))
}

const (
	// maxWaitUrgent is the maximum expected wait of the most urgent calls as a
	// multiple of the latency target. It decreases by maxWaitStep per priority
	// level below the most urgent, at most maxWaitSteps times.
	maxWaitUrgent = 1.1
	maxWaitStep   = 0.15
	maxWaitSteps  = 4
)

// canRetry reports whether a failed call may be sent again, and charges the retry
// budget if so.
func (k *forwarding) canRetry(ctx context.Context, failure *verdict.Error) bool {
	defer k.returnCharge()
	if ctx.Err() != nil || k.sends >= maxSends || time.Until(k.Deadline) < minTimeLeft || k.started && !k.resumable {
		return false
	}
	if failure.Verdict != verdict.NotRun && (!k.Route.Retryable() || k.runs >= k.Route.Attempts) {
		return false
	}
	return k.payRetry()
}

// payRetry charges a retry to the retry budget, unless no attempt has reached an
// endpoint yet.
func (k *forwarding) payRetry() bool {
	if k.delivered == 0 {
		return true
	}
	if k.charged {
		k.paid, k.charged = true, false
		return true
	}
	k.paid = k.f.budget.Take(time.Now(), k.Service.ID)
	if !k.paid {
		k.f.meter.Refused(verdict.RetryBudget)
	}
	return k.paid
}

// settleBudget records whether an attempt reached its endpoint. If it did not, its
// charge to the retry budget is returned.
func (k *forwarding) settleBudget(result balance.Result) {
	if result == balance.Unreachable {
		k.returnPaid()
		return
	}
	k.delivered++
	k.paid = false
}

// returnPaid returns the charge for an attempt that has not reached an endpoint.
func (k *forwarding) returnPaid() {
	if k.paid {
		k.f.budget.Return(time.Now(), k.Service.ID)
		k.paid = false
	}
}

// fail ends a call that did not succeed. It passes on an endpoint's error answer
// if there is one, or returns the failure of the last attempt with the verdict
// over all attempts.
func (k *forwarding) fail(ctx context.Context, failure *verdict.Error) *verdict.Error {
	if k.errorAnswer != nil && !k.started {
		k.errorAnswer.write(k.w)
		return nil
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline) {
		failure = verdict.Wrap(failure.Verdict, verdict.CallerGone, context.Cause(ctx))
	}
	if errors.Is(context.Cause(ctx), errDeadline) {
		failure = verdict.Wrap(failure.Verdict, verdict.DeadlineExceeded, errDeadline)
	}
	failure = failure.WithEarlier(k.overall)
	k.f.Log.Warn("call_failed",
		"request", k.ID, "route", k.Route.Name, "service", k.Service.ID, "reason", failure.Reason, "verdict", failure.Verdict,
		"resumes", k.Resumes, "attempts", k.failures, "started", k.started, "last_event", k.lastEvent, "after", time.Since(k.Arrived), "error", failure.CauseText())
	return failure
}

// countExecuted counts the call as executed, once.
func (k *forwarding) countExecuted() {
	if k.counted {
		return
	}
	k.counted = true
	if k.Organisation != nil {
		k.f.OnExecuted(k.Organisation.ID)
	}
}

// isStream reports whether the answer is a stream of events.
func (k *forwarding) isStream() bool { return k.Route.Kind == catalogue.Stream }
