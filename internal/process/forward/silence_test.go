package forward_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
)

// sendEventsWithPause returns a handler that writes events 0 to 2, is silent for longer
// than a stream that can be resumed waits for an event, and writes events 3 to 5.
func sendEventsWithPause() http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sendEvents(0, 2, true)(w, r)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(1700 * time.Millisecond)
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
			env := newTestEnvWithBudget(c, test.budget, sendEventsWithPause(), sendEvents(3, 5, true))
			got, _, failure := env.serve(catalogue.Stream, true, test.attempts)
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

// A silent stream that can be resumed goes on at another endpoint.
func TestSilentStreamIsResumed(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, sendEventsWithPause(), sendEvents(3, 5, true))
	got, _, failure := env.serve(catalogue.Stream, true, 2)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Assert(got.Body.String(), qt.Equals, eventText(0, 5))
	c.Assert(env.receivers(), qt.Equals, "ab")
}
