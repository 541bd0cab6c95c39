package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/request/event"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

const (
	// shortAnswer is up to what size an answer is read whole before it is passed
	// on, so that one which is cut can be asked for again.
	shortAnswer = 64 << 10
	copyBuffer  = 16 << 10
)

var errSilent = errors.New("no progress")

// attempt makes one try at one endpoint.
func (k *work) attempt(ctx context.Context, choice balance.Choice) *verdict.Error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(k.silence(), func() { cancel(errSilent) })
	defer silence.Stop()
	use := k.f.balancer.Start(time.Now(), choice, k.ask)
	k.sends++
	result, failure := k.exchange(ctx, choice, use, silence)
	k.account(result)
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		result = balance.Abandoned
	}
	use.End(time.Now(), result)
	return failure
}

// silence is how long an attempt may take until its first progress.
func (k *work) silence() time.Duration {
	left := time.Until(k.Deadline)
	switch {
	case !k.Route.MayRepeat() || k.runs+1 >= k.Route.Attempts && !k.stream():
		return left
	case k.stream():
		return max(firstEventMost, 2*k.Route.Latency)
	default:
		return max(answerLeast, time.Duration(answerShare*float64(left)))
	}
}

// exchange sends the call and takes its answer.
func (k *work) exchange(ctx context.Context, choice balance.Choice, use *balance.Use, silence *time.Timer) (balance.Result, *verdict.Error) {
	request := endpoint.Request{
		Method: k.Method, Target: k.Target, Host: k.Host, Body: k.Body,
		Header: k.f.Protocol.Header(k.Call, choice.Endpoint, time.Until(k.Deadline), k.last),
		Once:   !k.Route.MayRepeat(),
		Mine:   func(h http.Header) bool { return k.f.Protocol.Mine(k.Call, h) },
	}
	answer, err := k.f.pool.Send(ctx, choice.Endpoint.Address, request)
	if err != nil {
		failure := verdict.Of(err)
		if failure.Verdict != verdict.NotRun {
			k.runs++
		}
		if failure.Reason == verdict.EndpointUnreachable {
			return balance.Unreachable, failure
		}
		return balance.Failed, failure
	}
	defer answer.Body.Close()
	if answer.New {
		k.f.meter.Counter("endpoint_connections_total").Inc()
	}
	switch k.f.Protocol.Judge(answer.Status, answer.Header) {
	case Refused:
		drain(answer)
		return balance.Full, refused(verdict.EndpointRefused, retrySoon)
	case Misdirected:
		drain(answer)
		k.f.Gone(choice.Endpoint.Incarnation)
		return balance.Failed, refused(verdict.AnswerMismatch, retrySoon)
	case Spoilt:
		k.runs++
		return balance.Failed, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, fmt.Sprintf("status %d", answer.Status))
	case Executed:
	}
	k.runs++
	if k.stream() && answer.Status == http.StatusOK {
		return k.events(answer, use, silence)
	}
	k.mark()
	use.Read()
	return k.plain(ctx, answer)
}

// drain reads a short answer to its end, so that its connection can be used again.
func drain(answer *endpoint.Answer) {
	// What can't be read leaves the connection unusable, which Close sees to.
	_, _ = io.CopyN(io.Discard, answer.Body, shortAnswer)
}

// short is an answer that was read whole.
type short struct {
	status int
	header http.Header
	body   []byte
}

func (s *short) write(w http.ResponseWriter) {
	head(w, s.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(s.body)))
	w.WriteHeader(s.status)
	// A caller that is gone can't be told.
	_, _ = w.Write(s.body)
}

// head sets the caller's header from an endpoint's.
func head(w http.ResponseWriter, header http.Header) {
	for name, values := range header {
		w.Header()[name] = values
	}
	if header.Get("Content-Type") == "" {
		// An explicit nil keeps net/http from guessing one.
		w.Header()["Content-Type"] = nil
	}
}

// plain passes an answer on, whole where it is short.
func (k *work) plain(ctx context.Context, answer *endpoint.Answer) (balance.Result, *verdict.Error) {
	data, err := io.ReadAll(io.LimitReader(answer.Body, shortAnswer+1))
	if err != nil {
		return balance.Failed, k.cut(ctx, err)
	}
	result := balance.Succeeded
	if answer.Status >= http.StatusInternalServerError {
		result = balance.Failed
	}
	header := k.f.Protocol.Clean(answer.Header)
	if len(data) > shortAnswer {
		return k.long(ctx, answer, header, data)
	}
	whole := &short{status: answer.Status, header: header, body: data}
	if result == balance.Failed && k.Route.MayRepeat() {
		k.kept = whole
		return result, verdict.New(verdict.MayHaveRun, verdict.EndpointLost, fmt.Sprintf("status %d", answer.Status))
	}
	whole.write(k.w)
	return result, nil
}

// long streams an answer whose first bytes were read.
func (k *work) long(ctx context.Context, answer *endpoint.Answer, header http.Header, first []byte) (balance.Result, *verdict.Error) {
	head(k.w, header)
	if answer.Length >= 0 {
		k.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	k.started = true
	k.w.WriteHeader(answer.Status)
	rest := io.MultiReader(bytes.NewReader(first), answer.Body)
	if _, err := io.CopyBuffer(k.w, rest, make([]byte, copyBuffer)); err != nil {
		return balance.Failed, k.cut(ctx, err)
	}
	return balance.Succeeded, nil
}

// cut is the failure of an answer that ended early.
func (k *work) cut(ctx context.Context, err error) *verdict.Error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return verdict.Wrap(verdict.MayHaveRun, verdict.EndpointSilent, err)
	}
	return verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
}

// events passes a stream on, event by event.
func (k *work) events(answer *endpoint.Answer, use *balance.Use, silence *time.Timer) (balance.Result, *verdict.Error) {
	reader := event.New(answer.Body)
	for {
		e, err := reader.Next()
		if errors.Is(err, io.EOF) && k.last >= 0 {
			return balance.Succeeded, k.end(answer)
		}
		if err != nil {
			return balance.Failed, verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
		}
		k.progress(use, silence)
		if e.ID >= 0 && e.ID <= k.last {
			continue
		}
		if k.started && e.ID >= 0 && e.ID != k.last+1 {
			return balance.Failed, verdict.New(verdict.MayHaveRun, verdict.AnswerGap, fmt.Sprintf("event %d after %d", e.ID, k.last))
		}
		if err := k.pass(answer, e); err != nil {
			return balance.Abandoned, verdict.Wrap(verdict.MayHaveRun, verdict.CallerGone, err)
		}
	}
}

// progress notes that an event came.
func (k *work) progress(use *balance.Use, silence *time.Timer) {
	k.mark()
	use.Read()
	if k.Route.MayRepeat() {
		silence.Reset(eventMost)
		return
	}
	silence.Stop()
}

// pass writes one event to the caller, after the head if it is the first.
func (k *work) pass(answer *endpoint.Answer, e event.Event) error {
	if !k.started {
		k.start(answer)
	}
	if _, err := k.w.Write(e.Bytes); err != nil {
		return err
	}
	if e.ID >= 0 {
		k.last = e.ID
	}
	return http.NewResponseController(k.w).Flush()
}

func (k *work) start(answer *endpoint.Answer) {
	head(k.w, k.f.Protocol.Clean(answer.Header))
	k.w.WriteHeader(answer.Status)
	k.started = true
	k.f.meter.Histogram("first_event_seconds").UpdateDuration(k.Arrived)
}

// end finishes a stream whose endpoint ended it. A stream without any event is
// passed on as it is.
func (k *work) end(answer *endpoint.Answer) *verdict.Error {
	if !k.started {
		k.start(answer)
	}
	return nil
}
