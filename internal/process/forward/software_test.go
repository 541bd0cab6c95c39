package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
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
