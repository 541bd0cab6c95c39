package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// world is a forwarder before some endpoints, each an HTTP handler.
type world struct {
	forwarder *forward.Forwarder
	mu        sync.Mutex
	// runs are the requests that each endpoint was sent, in order.
	runs []string
}

func newWorld(c *qt.C, handlers ...http.HandlerFunc) *world {
	return newWorldWithin(c, retry.Limits{Ratio: 0.2, Slack: 100, Window: time.Second}, handlers...)
}

// newWorldWithin makes a world with a retry budget; a nil handler is an endpoint
// that crashed.
func newWorldWithin(c *qt.C, limits retry.Limits, handlers ...http.HandlerFunc) *world {
	w := new(world)
	b := balance.New("z", func(identity.Zone) identity.Region { return "r" })
	var list []fleet.Endpoint
	for i, handler := range handlers {
		name := string('a' + rune(i))
		server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
			w.mu.Lock()
			w.runs = append(w.runs, name)
			w.mu.Unlock()
			handler(out, in)
		}))
		c.Cleanup(server.Close)
		if handler == nil {
			server.Close()
		}
		// The first has the most places, and is chosen first.
		list = append(list, fleet.Endpoint{
			Host: identity.Host(name), Incarnation: identity.Incarnation(name), Service: "s", Zone: zoneOf(i), Slots: 8,
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	b.SetFleet(list)
	budget := retry.New(limits, func() int { return 1 })
	w.forwarder = forward.New(endpoint.New(new(errgroup.Group)), b, quota.New(time.Now()), budget, meter.New())
	w.forwarder.Protocol = forward.Protocol{
		Header: func(_ *forward.Call, _ fleet.Endpoint, _ time.Duration, last int64) http.Header {
			return http.Header{"Last": {strconv.FormatInt(last, 10)}}
		},
		Mine: func(*forward.Call, http.Header) bool { return true },
		Judge: func(status int, _ http.Header) forward.Standing {
			if status == http.StatusServiceUnavailable {
				return forward.Refused
			}
			return forward.Executed
		},
		Clean: func(h http.Header) http.Header { return h },
	}
	return w
}

// zoneOf puts all endpoints but the first in a zone farther away.
func zoneOf(i int) identity.Zone {
	if i == 0 {
		return "z"
	}
	return "far"
}

func (w *world) serve(kind catalogue.Kind, resumable bool, attempts int) (*httptest.ResponseRecorder, bool, *verdict.Error) {
	recorder := httptest.NewRecorder()
	now := time.Now()
	started, failure := w.forwarder.Serve(context.Background(), recorder, &forward.Call{
		ID: "1", Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: []byte("x"),
		Route:   &catalogue.Route{Kind: kind, Resumable: resumable, Attempts: attempts, Latency: time.Second},
		Service: &catalogue.Service{ID: "s"}, Arrived: now, Deadline: now.Add(2 * time.Second), LastEvent: -1,
	})
	return recorder, started, failure
}

func (w *world) sent() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.runs, "")
}

func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
}

func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

func fail(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Crash of many endpoints at once: connections that are refused are no retries, so
// that a host without any retry to spend still finds an endpoint that lives.
func TestEndpointsThatCannotBeReachedCostNoRetry(t *testing.T) {
	c := qt.New(t)
	w := newWorldWithin(c, retry.Limits{Window: time.Second}, nil, nil, answer("c"))
	got, _, failure := w.serve(catalogue.NotRepeatable, false, 1)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Assert(got.Body.String(), qt.Equals, "c")
	w = newWorldWithin(c, retry.Limits{Window: time.Second}, refuse, answer("b"))
	_, _, failure = w.serve(catalogue.NotRepeatable, false, 1)
	c.Assert(failure.Verdict, qt.Equals, verdict.NotRun, qt.Commentf("a refusal by an endpoint is charged"))
	c.Assert(w.sent(), qt.Equals, "a")
}

func TestARefusedCallGoesElsewhere(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, refuse, answer("b"))
	got, _, failure := w.serve(catalogue.NotRepeatable, false, 1)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(got.Body.String(), qt.Equals, "b")
	c.Assert(w.sent(), qt.Equals, "ab")
}

// A call that may not be repeated is sent once if it may have run.
func TestALostCallIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, hangUp, answer("b"))
	_, started, failure := w.serve(catalogue.NotRepeatable, false, 2)
	c.Assert(failure.Verdict, qt.Equals, verdict.MayHaveRun)
	c.Assert(started, qt.IsFalse)
	c.Assert(w.sent(), qt.Equals, "a")
}

// A refusal after an attempt that may have run does not say "not run".
func TestARefusalAfterALostAttemptPromisesNothing(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, hangUp, refuse)
	_, _, failure := w.serve(catalogue.Repeatable, false, 2)
	c.Assert(failure.Verdict, qt.Equals, verdict.MayHaveRun)
}

// Grey endpoint: its own error is passed on only if no other does better.
func TestARepeatableCallIsAskedAgainAfterAnError(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, fail, answer("b"))
	got, _, failure := w.serve(catalogue.Repeatable, false, 2)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(got.Body.String(), qt.Equals, "b")
	w = newWorld(c, fail, fail)
	got, _, failure = w.serve(catalogue.Repeatable, false, 2)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(got.Code, qt.Equals, http.StatusInternalServerError)
}

// Dark endpoint: a repeatable call does not spend all its time on it.
func TestASilentEndpointIsGivenUpInTime(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
	}, answer("b"))
	got, _, failure := w.serve(catalogue.Repeatable, false, 2)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(got.Body.String(), qt.Equals, "b")
}

// events writes events from one to another, and breaks off in the next.
func events(from, to int, whole bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		}
		if whole {
			return
		}
		fmt.Fprintf(w, "id: %d\nda", to+1)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		panic(http.ErrAbortHandler)
	}
}

func stream(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", i)
	}
	return text
}

func TestAStreamGoesOnElsewhere(t *testing.T) {
	c := qt.New(t)
	var last string
	w := newWorld(c, events(0, 4, false), func(w http.ResponseWriter, r *http.Request) {
		last = r.Header.Get("Last")
		// Two events come again.
		events(3, 9, true)(w, r)
	})
	got, _, failure := w.serve(catalogue.Stream, true, 2)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(last, qt.Equals, "4")
	c.Assert(got.Body.String(), qt.Equals, stream(0, 9))
}

func TestAMissingEventEndsTheStream(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, events(0, 4, false), events(7, 9, true))
	got, started, failure := w.serve(catalogue.Stream, true, 2)
	c.Assert(started, qt.IsTrue)
	c.Assert(failure != nil, qt.IsTrue)
	c.Assert(got.Body.String(), qt.Equals, stream(0, 4))
}

func TestAStreamThatMayNotBeResumedIsNotJoined(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, events(0, 4, false), events(5, 9, true))
	_, started, failure := w.serve(catalogue.Stream, false, 2)
	c.Assert(started, qt.IsTrue)
	c.Assert(failure != nil, qt.IsTrue)
	c.Assert(w.sent(), qt.Equals, "a")
}

func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c)
	_, _, failure := w.serve(catalogue.Repeatable, false, 2)
	c.Assert(failure.Verdict, qt.Equals, verdict.NotRun)
	c.Assert(failure.Reason, qt.Equals, verdict.NoEndpoint)
	c.Assert(failure.RetryAfter > 0, qt.IsTrue)
}
