package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/request/event"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
)

const (
	// maxBufferedBody is the maximum size in bytes of an answer that is buffered
	// completely before it is passed on, so that the call can be retried if the
	// answer is truncated.
	maxBufferedBody = 64 << 10
	copyBufferSize  = 16 << 10
)

// attempt sends the call to one endpoint.
func (k *forwarding) attempt(ctx context.Context, choice balance.Choice) *verdict.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	k.sends++
	k.endpoint = choice.Endpoint
	outstanding := k.f.balancer.Start(time.Now(), choice, k.call)
	watch := k.watchSilence(cancel, outstanding)
	result, failure := k.exchange(ctx, choice, outstanding, watch)
	k.charged = watch.end()
	if notPermitted(failure) {
		// Not an attempt: its charge to the retry budget holds for the next one.
		k.sends--
		k.returnCharge()
		outstanding.End(time.Now(), balance.Abandoned)
		return failure
	}
	k.settleBudget(result)
	if result == balance.Unreachable {
		k.f.Quarantine.RecordDown(choice.Endpoint.Incarnation)
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errNoProgress) {
		result = balance.Abandoned
	}
	outstanding.End(time.Now(), result)
	return failure
}

// notPermitted reports whether a call was not sent since its endpoint, by the time there
// was a connection, had begun to leave or wanted no calls.
func notPermitted(failure *verdict.Error) bool {
	return failure != nil && errors.Is(failure, endpoint.ErrNotPermitted)
}

// exchange sends the call and passes its answer on.
func (k *forwarding) exchange(ctx context.Context, choice balance.Choice, outstanding *balance.OutstandingCall, watch *silenceWatch) (balance.Result, *verdict.Error) {
	request := endpoint.Request{
		Method: k.Method, Target: k.Target, Host: k.Host, Body: k.Body,
		Header:        k.f.Protocol.AttemptHeader(k.Call, choice.Endpoint, time.Until(k.Deadline), k.lastEvent),
		NonIdempotent: !k.Route.Retryable(),
		NewConnection: k.ID == "" || slices.Contains(k.sentTo, choice.Endpoint.Address),
		Owner:         func(h http.Header) endpoint.Owner { return k.f.Protocol.Owner(k.Call, h) },
		Permitted: func(opened time.Time) bool {
			return k.f.balancer.Permits(time.Now(), choice.Endpoint) && k.confirm(ctx, choice.Endpoint, opened)
		},
	}
	k.sentTo = append(k.sentTo, choice.Endpoint.Address)
	sentAt := time.Now()
	answer, err := k.f.pool.Send(ctx, choice.Endpoint.Address, request)
	if err != nil {
		failure := verdict.FromError(err)
		if failure.Verdict != verdict.NotRun {
			k.runs++
		}
		if failure.Reason == verdict.EndpointUnreachable {
			if ctx.Err() == nil {
				k.f.OnUnreachable(choice.Endpoint.Incarnation)
			}
			return balance.Unreachable, failure
		}
		return balance.Failed, failure
	}
	defer answer.Body.Close()
	k.answerDelimited = answer.Delimited
	k.recordAdvice(choice, answer, time.Since(sentAt))
	if answer.OpenedConnection {
		k.f.meter.Counter("endpoint_connections_total").Inc()
	}
	switch k.f.Protocol.Classify(answer.Status, answer.Header) {
	case Refused:
		drain(answer)
		return balance.Full, refused(verdict.EndpointRefused, shortRetryAfter)
	case Misdirected:
		drain(answer)
		k.f.OnMisdirected(choice.Endpoint.Incarnation)
		return balance.Failed, refused(verdict.AnswerMismatch, shortRetryAfter)
	case Unusable:
		k.runs++
		return balance.Failed, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, fmt.Sprintf("status %d", answer.Status))
	case Executed:
	}
	k.runs++
	if k.isStream() && answer.Status == http.StatusOK {
		return k.forwardEvents(ctx, answer, outstanding, watch)
	}
	if k.started {
		// Nothing but the stream's continuation may follow what the caller has got.
		return balance.Failed, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, fmt.Sprintf("status %d within a stream", answer.Status))
	}
	k.countExecuted()
	outstanding.RecordAnswer(time.Now())
	return k.forwardAnswer(ctx, answer, watch)
}

// confirm reports whether a stream may go on at an endpoint of its software version. If
// not, the endpoint is not chosen again.
func (k *forwarding) confirm(ctx context.Context, e fleet.Endpoint, opened time.Time) bool {
	if k.call.Software == nil || k.lastEvent < 0 || k.f.Confirm(ctx, k.Call, e, opened) {
		return true
	}
	k.call.Unconfirmed = append(k.call.Unconfirmed, e.Incarnation)
	return false
}

// recordAdvice records what an endpoint says of itself, unless another one has answered.
func (k *forwarding) recordAdvice(choice balance.Choice, answer *endpoint.Answer, sentBefore time.Duration) {
	class := k.f.Protocol.Classify(answer.Status, answer.Header)
	if class == Misdirected {
		k.advice = advice.Advice{}
		return
	}
	k.advice = k.f.Protocol.Advice(answer.Status, answer.Header)
	id := choice.Endpoint.Incarnation
	change := k.f.Advice.Record(time.Now(), id, k.advice, class == Executed, sentBefore)
	id = change.Endpoint
	if change.Limit {
		k.f.Log.Info("endpoint_limit", "endpoint", id, "limited", k.advice.Limited, "per_second", k.advice.PerSecond, "request", k.ID)
	}
	if change.Quiet {
		k.f.meter.Counter("endpoint_quiet_total").Inc()
		k.f.Log.Info("endpoint_quiet", "endpoint", id, "for", k.f.Advice.ClosedFor(time.Now(), id), "named", k.advice.Quiet, "request", k.ID)
	}
	if change.Leaving {
		k.f.meter.Counter("endpoint_leaving_answers_total").Inc()
		k.f.OnLeaving(id)
	}
}

// drain reads a short answer to its end, so that its connection can be reused.
func drain(answer *endpoint.Answer) {
	// On a read error Close discards the connection.
	_, _ = io.CopyN(io.Discard, answer.Body, maxBufferedBody)
}

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (s *bufferedAnswer) write(w http.ResponseWriter) {
	copyHeader(w, s.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(s.body)
}

// copyHeader copies the header of an endpoint's answer to w.
func copyHeader(w http.ResponseWriter, header http.Header) {
	for name, values := range header {
		w.Header()[name] = values
	}
	if header.Get("Content-Type") == "" {
		// An explicit nil keeps net/http from guessing one.
		w.Header()["Content-Type"] = nil
	}
}

// forwardAnswer passes an answer on. Short answers are buffered completely first.
func (k *forwarding) forwardAnswer(ctx context.Context, answer *endpoint.Answer, watch *silenceWatch) (balance.Result, *verdict.Error) {
	data, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBody+1))
	if err != nil {
		return balance.Failed, k.interrupted(ctx, err)
	}
	result := balance.Succeeded
	if answer.Status >= http.StatusInternalServerError {
		result = balance.Failed
	}
	header := k.f.Protocol.CallerHeader(answer.Header)
	if len(data) > maxBufferedBody {
		if !watch.stop() {
			return balance.Failed, k.interrupted(ctx, errNoProgress)
		}
		return k.streamAnswer(ctx, answer, header, data)
	}
	whole := &bufferedAnswer{status: answer.Status, header: header, body: data}
	if result == balance.Failed && k.Route.Retryable() {
		k.errorAnswer = whole
		return result, verdict.New(verdict.MayHaveRun, verdict.EndpointLost, fmt.Sprintf("status %d", answer.Status))
	}
	whole.write(k.w)
	return result, nil
}

// streamAnswer passes on a long answer whose first bytes have been read.
func (k *forwarding) streamAnswer(ctx context.Context, answer *endpoint.Answer, header http.Header, first []byte) (balance.Result, *verdict.Error) {
	copyHeader(k.w, header)
	if answer.Length >= 0 {
		k.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	k.started = true
	k.w.WriteHeader(answer.Status)
	rest := io.MultiReader(bytes.NewReader(first), answer.Body)
	if _, err := io.CopyBuffer(k.w, rest, make([]byte, copyBufferSize)); err != nil {
		return balance.Failed, k.interrupted(ctx, err)
	}
	return balance.Succeeded, nil
}

// interrupted returns the failure of an answer that ended early.
func (k *forwarding) interrupted(ctx context.Context, err error) *verdict.Error {
	if errors.Is(context.Cause(ctx), errNoProgress) {
		return verdict.Wrap(verdict.MayHaveRun, verdict.EndpointSilent, err)
	}
	return verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
}

// forwardEvents passes a stream on, event by event.
func (k *forwarding) forwardEvents(ctx context.Context, answer *endpoint.Answer, outstanding *balance.OutstandingCall, watch *silenceWatch) (balance.Result, *verdict.Error) {
	// continued is false until a resumed stream goes on at the event after the last.
	continued := k.lastEvent < 0
	if mediaType, _, _ := mime.ParseMediaType(answer.Header.Get("Content-Type")); !continued && mediaType != eventStreamType {
		return balance.Failed, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "resumed with "+strconv.Quote(mediaType))
	}
	reader := event.NewReader(answer.Body)
	for first := true; ; first = false {
		if !first && k.retriesLeft(k.runs) {
			watch.restart(k.silenceLimit())
		}
		e, err := reader.Next()
		if errors.Is(err, io.EOF) && k.lastEvent >= 0 && (continued || answer.Delimited) {
			return balance.Succeeded, k.endStream(answer)
		}
		if err != nil {
			return balance.Failed, k.interrupted(ctx, err)
		}
		k.recordProgress(outstanding)
		if !watch.stop() {
			return balance.Failed, k.interrupted(ctx, errNoProgress)
		}
		if e.ID >= 0 && e.ID <= k.lastEvent || !continued && e.Comment {
			continue
		}
		if e.ID != k.lastEvent+1 && (!continued || k.started && e.ID >= 0) {
			return balance.Failed, verdict.New(verdict.MayHaveRun, verdict.AnswerGap, fmt.Sprintf("event %d after %d", e.ID, k.lastEvent))
		}
		continued = true
		k.bindToSoftware()
		if err := k.writeEvent(answer, e); err != nil {
			return balance.Abandoned, verdict.Wrap(verdict.MayHaveRun, verdict.CallerGone, err)
		}
	}
}

// bindToSoftware makes a stream go on only at the software version that begins it.
func (k *forwarding) bindToSoftware() {
	if k.call.Software != nil {
		return
	}
	software := k.endpoint.Software
	k.call.Software = &software
	if k.Route.Resumable {
		k.f.OnStreamBegun(k.Call, k.endpoint)
	}
}

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

// recordProgress records that an event arrived.
func (k *forwarding) recordProgress(outstanding *balance.OutstandingCall) {
	k.countExecuted()
	if ratio := outstanding.RecordEvent(time.Now()); ratio > 0 {
		k.f.meter.Histogram("first_event_expected_ratio").Update(ratio)
	}
}

// writeEvent writes one event to the caller, preceded by the answer's status and
// header if it is the first.
func (k *forwarding) writeEvent(answer *endpoint.Answer, e event.Event) error {
	if !k.started {
		k.writeHead(answer)
	}
	if _, err := k.w.Write(e.Bytes); err != nil {
		return err
	}
	if e.ID >= 0 {
		k.lastEvent = e.ID
	}
	// After an event without a number, no endpoint can be told where to go on.
	k.resumable = e.ID >= 0 || e.Comment && k.resumable
	return http.NewResponseController(k.w).Flush()
}

func (k *forwarding) writeHead(answer *endpoint.Answer) {
	copyHeader(k.w, k.f.Protocol.CallerHeader(answer.Header))
	k.w.WriteHeader(answer.Status)
	k.started, k.resumable = true, true
	k.f.meter.Histogram("first_event_seconds").UpdateDuration(k.Arrived)
}

// endStream completes a stream that the endpoint has ended. If a resumed stream
// had no further event, it writes the status and header.
func (k *forwarding) endStream(answer *endpoint.Answer) *verdict.Error {
	if !k.started {
		k.writeHead(answer)
	}
	return nil
}
