package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// longPause is longer than a stream that can be resumed waits for an event.
const longPause = 2700 * time.Millisecond

// sendEventsWithPause returns a handler that writes events 0 to 2, is silent for a while
// and writes events 3 to 5.
func sendEventsWithPause(pause time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sendEvents(0, 2, true)(w, r)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(pause)
		sendEvents(3, 5, true)(w, r)
	}
}

// An endpoint that is silent for a while, since it preempts the call, must not cost the
// caller its answer: a stream that can't be resumed at another endpoint is not cut.
func TestSilentStreamIsNotCutWithoutAnotherAttempt(t *testing.T) {
	for _, test := range []struct {
		name     string
		attempts int
		budget   retry.Limits
	}{
		{"last attempt", 1, retry.Limits{Ratio: 0.2, Slack: 100, Window: time.Second}},
		{"no retry budget", 2, retry.Limits{Window: time.Second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnvWithBudget(c, test.budget, sendEventsWithPause(longPause), sendEvents(3, 5, true))
			got, failure := env.serveLong("1", catalogue.Stream, test.attempts)
			c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
			c.Assert(got.Body.String(), qt.Equals, eventText(0, 5))
			c.Assert(env.receivers(), qt.Equals, "a")
		})
	}
}

// The same holds before the first event of the last endpoint at which a stream is
// resumed, which may be busy with the streams of all that have left.
func TestResumedStreamWaitsForItsLastEndpoint(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, sendEvents(0, 2, false), func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2200 * time.Millisecond)
		sendEvents(3, 5, true)(w, r)
	})
	recorder, now := httptest.NewRecorder(), time.Now()
	_, failure := env.forwarder.Serve(t.Context(), recorder, &forward.Call{
		ID: "1", Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: []byte("x"),
		Route:   &catalogue.Route{Kind: catalogue.Stream, Resumable: true, Attempts: 2, LatencyTarget: time.Second},
		Service: &catalogue.Service{ID: "s"}, Arrived: now, Deadline: now.Add(5 * time.Second), LastEvent: -1,
	})
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Assert(recorder.Body.String(), qt.Equals, eventText(0, 5))
}

// A sound endpoint may say nothing for a second or so, as when its path is cut for a
// moment, which must not cost a second run. Where callers wait for longer, so may it.
func TestStreamWaitsThroughShortSilence(t *testing.T) {
	for _, test := range []struct{ pause, latencyTarget, interval time.Duration }{
		{time.Second, 100 * time.Millisecond, 0},
		{1700 * time.Millisecond, 1500 * time.Millisecond, 0},
		{1700 * time.Millisecond, 0, 750 * time.Millisecond},
	} {
		t.Run(test.pause.String(), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			env := newTestEnv(c, silentFor(test.pause, sendEventsWithPause(test.pause)), sendEvents(0, 5, true))
			recorder, now := httptest.NewRecorder(), time.Now()
			_, failure := env.forwarder.Serve(context.Background(), recorder, &forward.Call{
				ID: "1", Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: []byte("x"),
				Route:   &catalogue.Route{Kind: catalogue.Stream, Resumable: true, Attempts: 2, LatencyTarget: test.latencyTarget, EventIntervalTarget: test.interval},
				Service: &catalogue.Service{ID: "s"}, Arrived: now, Deadline: now.Add(8 * time.Second), LastEvent: -1,
			})
			c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
			c.Assert(recorder.Body.String(), qt.Equals, eventText(0, 5))
			c.Assert(env.receivers(), qt.Equals, "a")
		})
	}
}

// A silent stream that can be resumed goes on at another endpoint.
func TestSilentStreamIsResumed(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, sendEventsWithPause(longPause), sendEvents(3, 5, true))
	got, failure := env.serveLong("1", catalogue.Stream, 2)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Assert(got.Body.String(), qt.Equals, eventText(0, 5))
	c.Assert(env.receivers(), qt.Equals, "ab")
}

// silentFor returns a handler that says nothing for a while before it answers.
func silentFor(pause time.Duration, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		then(w, r)
	}
}

// serveLong makes a call that has 6 s.
func (env *testEnv) serveLong(id string, kind catalogue.Kind, attempts int) (*httptest.ResponseRecorder, *verdict.Error) {
	recorder, now := httptest.NewRecorder(), time.Now()
	_, failure := env.forwarder.Serve(context.Background(), recorder, &forward.Call{
		ID: identity.Request(id), Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: []byte("x"),
		Route:   &catalogue.Route{Kind: kind, Resumable: kind == catalogue.Stream, Attempts: attempts, LatencyTarget: time.Second},
		Service: &catalogue.Service{ID: "s"}, Arrived: now, Deadline: now.Add(6 * time.Second), LastEvent: -1,
	})
	return recorder, failure
}

// When an endpoint falls silent under many streams and goes on, the budget suffices to
// resume few of them. The others must not be cut on the chance that it does.
func TestSilentStreamsShareTheRetryBudget(t *testing.T) {
	c := qt.New(t)
	// The host starts with half of 0.7 x 4 retries, for one stream.
	env := newTestEnvWithBudget(c, retry.Limits{Slack: 4, Window: time.Hour}, sendEventsWithPause(longPause), sendEvents(3, 5, true))
	const streams = 6
	var answers [streams]*httptest.ResponseRecorder
	var failures [streams]*verdict.Error
	var group sync.WaitGroup
	for i := range streams {
		group.Go(func() { answers[i], failures[i] = env.serveLong(strconv.Itoa(i), catalogue.Stream, 2) })
	}
	group.Wait()
	for i := range streams {
		c.Check(failures[i] == nil, qt.IsTrue, qt.Commentf("stream %d: %+v", i, failures[i]))
		c.Check(answers[i].Body.String(), qt.Equals, eventText(0, 5))
	}
	c.Assert(len(env.receivers()) <= streams+1, qt.IsTrue, qt.Commentf("received by %s", env.receivers()))
}

// A call whose endpoint is silent for a while must not fail with time left because it
// can't be sent again: there is no retry budget, no attempt left or no other endpoint.
func TestSilentCallWaitsWithoutAnotherAttempt(t *testing.T) {
	enough, none := retry.Limits{Ratio: 0.2, Slack: 100, Window: time.Second}, retry.Limits{Window: time.Second}
	for _, test := range []struct {
		name     string
		kind     catalogue.Kind
		attempts int
		budget   retry.Limits
		others   []http.HandlerFunc
	}{
		{"stream, no budget", catalogue.Stream, 2, none, []http.HandlerFunc{sendEvents(0, 5, true)}},
		{"stream, last attempt", catalogue.Stream, 1, enough, []http.HandlerFunc{sendEvents(0, 5, true)}},
		{"stream, only endpoint", catalogue.Stream, 2, enough, nil},
		{"answer, no budget", catalogue.Idempotent, 2, none, []http.HandlerFunc{answer("b")}},
		{"answer, last attempt", catalogue.Idempotent, 1, enough, []http.HandlerFunc{answer("b")}},
		{"answer, only endpoint", catalogue.Idempotent, 2, enough, nil},
		{"answer that runs once", catalogue.NonIdempotent, 2, enough, []http.HandlerFunc{answer("b")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			first, want := silentFor(longPause, answer("a")), "a"
			if test.kind == catalogue.Stream {
				first, want = silentFor(longPause, sendEvents(0, 5, true)), eventText(0, 5)
			}
			env := newTestEnvWithBudget(c, test.budget, append([]http.HandlerFunc{first}, test.others...)...)
			got, failure := env.serveLong("1", test.kind, test.attempts)
			c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
			c.Assert(got.Body.String(), qt.Equals, want)
			c.Assert(env.receivers(), qt.Equals, "a")
		})
	}
}

// A long answer of which a part has been passed on can't be retried. It must not be cut
// because it takes longer than an attempt that can.
func TestSilenceInLongAnswerIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	begin, rest := strings.Repeat("a", 80<<10), strings.Repeat("b", 1<<10)
	env := newTestEnv(c, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(begin)+len(rest)))
		fmt.Fprint(w, begin)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(longPause)
		fmt.Fprint(w, rest)
	}, answer("b"))
	got, failure := env.serveLong("1", catalogue.Idempotent, 2)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Assert(got.Body.String() == begin+rest, qt.IsTrue, qt.Commentf("%d bytes", got.Body.Len()))
	c.Assert(env.receivers(), qt.Equals, "a")
}

// slowReader is a caller that reads nothing for a while before the given event.
type slowReader struct {
	*httptest.ResponseRecorder
	before string
	pause  time.Duration
}

func (r slowReader) Write(data []byte) (int, error) {
	if strings.Contains(string(data), r.before) {
		time.Sleep(r.pause)
	}
	return r.ResponseRecorder.Write(data)
}

// While a caller doesn't read, no event of a sound endpoint can be passed on. It must not
// count as silence of the endpoint, which would be given up.
func TestSlowReaderIsNoSilence(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, func(w http.ResponseWriter, r *http.Request) {
		sendEventsWithPause(time.Second)(w, r)
	}, sendEvents(3, 5, true))
	reader := slowReader{httptest.NewRecorder(), "id: 2\n", longPause}
	now := time.Now()
	_, failure := env.forwarder.Serve(t.Context(), reader, &forward.Call{
		ID: "1", Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: []byte("x"),
		Route:   &catalogue.Route{Kind: catalogue.Stream, Resumable: true, Attempts: 2, LatencyTarget: time.Second},
		Service: &catalogue.Service{ID: "s"}, Arrived: now, Deadline: now.Add(8 * time.Second), LastEvent: -1,
	})
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Assert(reader.Body.String(), qt.Equals, eventText(0, 5))
	c.Assert(env.receivers(), qt.Equals, "a")
}

// After an event without a number no endpoint can go on with a stream, so that a silence
// after it must not cut the stream.
func TestSilenceAfterEventWithoutNumberIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, func(w http.ResponseWriter, r *http.Request) {
		sendEvents(0, 2, true)(w, r)
		fmt.Fprint(w, "data: x\n\n")
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(longPause)
		sendEvents(3, 5, true)(w, r)
	}, sendEvents(3, 5, true))
	got, failure := env.serveLong("1", catalogue.Stream, 2)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Assert(got.Body.String(), qt.Equals, eventText(0, 2)+"data: x\n\n"+eventText(3, 5))
	c.Assert(env.receivers(), qt.Equals, "a")
}

// Silence is no crash. It must be told apart from a broken connection in the log, and be
// no evidence against the calls that an endpoint had.
func TestSilenceIsLoggedAndIsNoCrash(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	env := newTestEnv(c, sendEventsWithPause(longPause), sendEvents(3, 5, true))
	env.forwarder.Log = slog.New(slog.NewTextHandler(&log, nil))
	_, failure := env.serveLong("1", catalogue.Stream, 2)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Check(log.String(), qt.Contains, "endpoint_silent")
	c.Check(strings.Contains(log.String(), "endpoint_lost"), qt.IsFalse)
	c.Check(env.forwarder.Quarantine.Evidence(true).Crashes, qt.HasLen, 0)
}

// Where a release has begun, a silent endpoint may be the only one of its version. A call
// without a part of its answer must go on at another version, not wait for its deadline.
func TestSilentCallGoesOnAtAnotherVersion(t *testing.T) {
	for _, kind := range []catalogue.Kind{catalogue.Idempotent, catalogue.Stream} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			first, second, want := answer("a"), answer("b"), "b"
			if kind == catalogue.Stream {
				first, second, want = sendEvents(0, 5, true), sendEvents(0, 5, true), eventText(0, 5)
			}
			env := newTestEnv(c, silentFor(5*time.Second, first), second)
			env.setSoftware("v2", "v1")
			got, failure := env.serveLong("1", kind, 2)
			c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
			c.Assert(got.Body.String(), qt.Equals, want)
			c.Assert(env.receivers(), qt.Equals, "ab")
		})
	}
}

// Where all other endpoints may not begin streams yet, a silent stream without an event
// must not be given up: no endpoint would take it.
func TestSilentStreamIsNotGivenUpForHeldEndpoints(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, silentFor(longPause, sendEvents(0, 5, true)), sendEvents(0, 5, true))
	env.endpoints[1].Held = true
	env.balancer.SetEndpoints(env.endpoints)
	got, failure := env.serveLong("1", catalogue.Stream, 2)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Assert(got.Body.String(), qt.Equals, eventText(0, 5))
	c.Assert(env.receivers(), qt.Equals, "a")
}
