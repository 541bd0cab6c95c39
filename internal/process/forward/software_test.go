package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// setSoftware sets the software versions of the endpoints, in their order.
func (env *testEnv) setSoftware(versions ...identity.Software) {
	for i, version := range versions {
		env.endpoints[i].Software = version
	}
	env.balancer.SetEndpoints(env.endpoints)
}

// Several software versions serve side by side, and most endpoints run another one than
// that which began a stream. Within an answer the stream must go on at its own version.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		env := newTestEnv(c, sendEvents(0, 4, false), sendEvents(5, 9, true), sendEvents(5, 9, true), sendEvents(5, 9, true), sendEvents(5, 9, true))
		env.setSoftware("v1", "v2", "v3", "v2", "v1")
		got, _, failure := env.serve(catalogue.Stream, true, 2)
		c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		c.Assert(got.Body.String(), qt.Equals, eventText(0, 9))
		c.Assert(env.receivers(), qt.Equals, "ae")
	}
}

// If no other endpoint runs the version that began a stream, it ends early: its caller can
// tell that from an answer, but not a text that two versions wrote.
func TestBrokenStreamDoesNotGoOnAtAnotherVersion(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, sendEvents(0, 4, false), sendEvents(5, 9, true), sendEvents(5, 9, true))
	env.setSoftware("v1", "v2", "")
	got, started, failure := env.serve(catalogue.Stream, true, 2)
	c.Assert(started, qt.IsTrue)
	c.Assert(failure != nil, qt.IsTrue)
	c.Assert(got.Body.String(), qt.Equals, eventText(0, 4))
	c.Assert(env.receivers(), qt.Not(qt.Contains), "b")
	c.Assert(env.receivers(), qt.Not(qt.Contains), "c")
}

// serveResumed serves a call that resumes a stream after an event.
func (env *testEnv) serveResumed(began identity.Software) (*httptest.ResponseRecorder, *verdict.Error) {
	env.forwarder.Origin = func(_ context.Context, c *forward.Call) (*catalogue.Service, identity.Software, *verdict.Error) {
		return c.Service, began, nil
	}
	call := streamCall("o", "/a", "x")
	call.LastEvent = 4
	got := httptest.NewRecorder()
	_, failure := env.forwarder.Serve(context.Background(), got, call)
	return got, failure
}

// A caller takes up a stream that broke off. Most endpoints run another version than the
// one that began it.
func TestResumedStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		env := newTestEnv(c, sendEvents(5, 9, true), sendEvents(5, 9, true), sendEvents(5, 9, true))
		env.setSoftware("v2", "v2", "v1")
		got, failure := env.serveResumed("v1")
		c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		c.Assert(got.Body.String(), qt.Equals, eventText(5, 9))
		c.Assert(env.receivers(), qt.Equals, "c")
	}
}

// If no endpoint is left of the version that began a stream, or its origin is not known,
// the call is refused, and nothing that could be joined to the stream is sent.
func TestResumedStreamOfAGoneVersionIsRefused(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, sendEvents(5, 9, true))
	env.setSoftware("v2")
	got, failure := env.serveResumed("v1")
	c.Assert(failure != nil, qt.IsTrue)
	c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
	c.Check(failure.Reason, qt.Equals, verdict.StreamVersionGone)
	c.Check(got.Body.String(), qt.Equals, "")
	c.Check(env.receivers(), qt.Equals, "")
}

// Only what began a stream is told, before the caller has any event of it.
func TestBegunStreamsAreTold(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, abort, sendEvents(0, 4, false), sendEvents(5, 9, true))
	env.setSoftware("v1", "v2", "v2")
	var begun []identity.Software
	env.forwarder.OnStreamBegun = func(_ *forward.Call, e fleet.Endpoint) { begun = append(begun, e.Software) }
	for range 10 {
		begun = nil
		if _, _, failure := env.serve(catalogue.Stream, true, 3); failure == nil {
			c.Check(begun, qt.HasLen, 1)
		}
	}
	_, failure := env.serveResumed("v2")
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	c.Check(begun, qt.HasLen, 1)
}

// A stream of which no event was passed on has no version yet.
func TestStreamThatHasNotBegunIsRetriedAtAnyVersion(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, abort, sendEvents(0, 4, true))
	env.setSoftware("v1", "v2")
	got, _, failure := env.serve(catalogue.Stream, true, 2)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(got.Body.String(), qt.Equals, eventText(0, 4))
}

// A stream that is silent for a while must not be cut if only endpoints with another
// software version are left to go on with it.
func TestSilentStreamIsNotCutWithoutAnotherEndpointOfItsVersion(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 3 {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			if i == 1 {
				time.Sleep(1700 * time.Millisecond)
			}
		}
	}, sendEvents(2, 9, true))
	env.setSoftware("v1", "v2")
	got, _, failure := env.serve(catalogue.Stream, true, 2)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	c.Assert(got.Body.String(), qt.Equals, eventText(0, 2))
}
