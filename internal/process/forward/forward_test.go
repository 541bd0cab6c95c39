package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
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
	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// testEnv is a forwarder with some endpoints, each implemented by an HTTP handler.
type testEnv struct {
	forwarder *forward.Forwarder
	balancer  *balance.Balancer
	endpoints []fleet.Endpoint
	mu        sync.Mutex
	// onDial, if set, is called with each address before a connection is opened.
	onDial func(address string)
	// received lists the endpoints in the order in which they received requests.
	received []string
}

func newTestEnv(c *qt.C, handlers ...http.HandlerFunc) *testEnv {
	return newTestEnvWithBudget(c, retry.Limits{Ratio: 0.2, Slack: 100, Window: time.Second}, handlers...)
}

// newTestEnvWithBudget returns a testEnv with a retry budget; a nil handler stands
// for a crashed endpoint.
func newTestEnvWithBudget(c *qt.C, limits retry.Limits, handlers ...http.HandlerFunc) *testEnv {
	env := new(testEnv)
	said := advice.New(limit.New())
	b := balance.New("z", func(identity.Zone) identity.Region { return "r" }, balance.WithAdvice(said))
	var list []fleet.Endpoint
	for i, handler := range handlers {
		name := string('a' + rune(i))
		server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
			env.mu.Lock()
			env.received = append(env.received, name)
			env.mu.Unlock()
			handler(out, in)
		}))
		c.Cleanup(server.Close)
		if handler == nil {
			server.Close()
		}
		// All but the first are in another zone, so that the first is chosen first.
		list = append(list, fleet.Endpoint{
			Host: identity.Host(name), Incarnation: identity.Incarnation(name), Service: "s", Zone: zoneOf(i), Slots: 8,
			Address: netip.MustParseAddrPort(server.Listener.Addr().String()),
		})
	}
	b.SetEndpoints(list)
	env.balancer, env.endpoints = b, list
	budget := retry.New(limits, func() int { return 1 })
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if env.onDial != nil {
			env.onDial(address)
		}
		return endpoint.NewDialer().DialContext(ctx, network, address)
	}
	env.forwarder = forward.New(endpoint.New(new(errgroup.Group), endpoint.WithDial(dial)), b, quota.New(time.Now()), budget, meter.New())
	env.forwarder.Advice = said
	env.forwarder.Protocol = forward.Protocol{
		AttemptHeader: func(_ *forward.Call, _ fleet.Endpoint, _ time.Duration, last int64) http.Header {
			return http.Header{"Last": {strconv.FormatInt(last, 10)}}
		},
		Owner: func(*forward.Call, http.Header) endpoint.Owner { return endpoint.ThisRequest },
		Classify: func(status int, _ http.Header) forward.AnswerClass {
			if status == http.StatusServiceUnavailable {
				return forward.Refused
			}
			return forward.Executed
		},
		Advice: func(_ int, h http.Header) advice.Advice {
			perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64)
			quiet, _ := time.ParseDuration(h.Get("Quiet"))
			return advice.Advice{PerSecond: perSecond, Limited: err == nil, Leaving: h.Get("Leaving") != "", Quiet: quiet}
		},
		CallerHeader: func(h http.Header) http.Header { return h },
	}
	return env
}

// zoneOf puts all endpoints but the first in another zone than the forwarder's.
func zoneOf(i int) identity.Zone {
	if i == 0 {
		return "z"
	}
	return "far"
}

func (env *testEnv) serve(kind catalogue.Kind, resumable bool, attempts int) (*httptest.ResponseRecorder, bool, *verdict.Error) {
	recorder := httptest.NewRecorder()
	now := time.Now()
	started, failure := env.forwarder.Serve(context.Background(), recorder, &forward.Call{
		ID: "1", Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: []byte("x"),
		Route:   &catalogue.Route{Kind: kind, Resumable: resumable, Attempts: attempts, LatencyTarget: time.Second},
		Service: &catalogue.Service{ID: "s"}, Arrived: now, Deadline: now.Add(2 * time.Second), LastEvent: -1,
	})
	return recorder, started, failure
}

func (env *testEnv) receivers() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return strings.Join(env.received, "")
}

func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
}

func refuse(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

func fail(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Refused connections are not charged as retries, so that a host with an exhausted
// retry budget still finds a live endpoint when many have crashed at once.
func TestUnreachableEndpointsAreNotCharged(t *testing.T) {
	c := qt.New(t)
	env := newTestEnvWithBudget(c, retry.Limits{Window: time.Second}, nil, nil, answer("c"))
	got, _, failure := env.serve(catalogue.NonIdempotent, false, 1)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Assert(got.Body.String(), qt.Equals, "c")
	env = newTestEnvWithBudget(c, retry.Limits{Window: time.Second}, refuse, answer("b"))
	_, _, failure = env.serve(catalogue.NonIdempotent, false, 1)
	c.Assert(failure.Verdict, qt.Equals, verdict.NotRun, qt.Commentf("a refusal by an endpoint is charged"))
	c.Assert(env.receivers(), qt.Equals, "a")
}

func TestRefusedCallIsSentToAnotherEndpoint(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, refuse, answer("b"))
	got, _, failure := env.serve(catalogue.NonIdempotent, false, 1)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(got.Body.String(), qt.Equals, "b")
	c.Assert(env.receivers(), qt.Equals, "ab")
}

// A non-idempotent call that may have been executed is not retried.
func TestNonIdempotentCallIsNotRetried(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, abort, answer("b"))
	_, started, failure := env.serve(catalogue.NonIdempotent, false, 2)
	c.Assert(failure.Verdict, qt.Equals, verdict.MayHaveRun)
	c.Assert(started, qt.IsFalse)
	c.Assert(env.receivers(), qt.Equals, "a")
}

// A refusal after an attempt that may have been executed must not be reported as
// "not run".
func TestRefusalAfterLostAttemptMayHaveRun(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, abort, refuse)
	_, _, failure := env.serve(catalogue.Idempotent, false, 2)
	c.Assert(failure.Verdict, qt.Equals, verdict.MayHaveRun)
}

// An endpoint's error answer is passed on only if no other attempt succeeds.
func TestIdempotentCallIsRetriedAfterError(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, fail, answer("b"))
	got, _, failure := env.serve(catalogue.Idempotent, false, 2)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(got.Body.String(), qt.Equals, "b")
	env = newTestEnv(c, fail, fail)
	got, _, failure = env.serve(catalogue.Idempotent, false, 2)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(got.Code, qt.Equals, http.StatusInternalServerError)
}

// An idempotent call does not spend all of its time on an unresponsive endpoint.
func TestUnresponsiveEndpointTimesOut(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			<-r.Context().Done()
		}
	}, answer("b"))
	got, _, failure := env.serve(catalogue.Idempotent, false, 2)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(got.Body.String(), qt.Equals, "b")
}

// sendEvents returns a handler that writes the given range of events and, unless
// complete, breaks off within the next one.
func sendEvents(from, to int, complete bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := from; i <= to; i++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		}
		if complete {
			return
		}
		fmt.Fprintf(w, "id: %d\nda", to+1)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		panic(http.ErrAbortHandler)
	}
}

func eventText(from, to int) string {
	text := ""
	for i := from; i <= to; i++ {
		text += fmt.Sprintf("id: %d\ndata: x\n\n", i)
	}
	return text
}

func TestStreamResumesAtAnotherEndpoint(t *testing.T) {
	c := qt.New(t)
	var lastEvent string
	env := newTestEnv(c, sendEvents(0, 4, false), func(w http.ResponseWriter, r *http.Request) {
		lastEvent = r.Header.Get("Last")
		// Events 3 and 4 are repeated.
		sendEvents(3, 9, true)(w, r)
	})
	got, _, failure := env.serve(catalogue.Stream, true, 2)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(lastEvent, qt.Equals, "4")
	c.Assert(got.Body.String(), qt.Equals, eventText(0, 9))
}

func TestEventGapEndsStream(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, sendEvents(0, 4, false), sendEvents(7, 9, true))
	got, started, failure := env.serve(catalogue.Stream, true, 2)
	c.Assert(started, qt.IsTrue)
	c.Assert(failure != nil, qt.IsTrue)
	c.Assert(got.Body.String(), qt.Equals, eventText(0, 4))
}

func TestNonResumableStreamIsNotResumed(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, sendEvents(0, 4, false), sendEvents(5, 9, true))
	_, started, failure := env.serve(catalogue.Stream, false, 2)
	c.Assert(started, qt.IsTrue)
	c.Assert(failure != nil, qt.IsTrue)
	c.Assert(env.receivers(), qt.Equals, "a")
}

// Demand is what callers offer: if calls that find no endpoint did not count, the orders
// for endpoints would fall when there are too few.
func TestCallWithoutEndpointCountsAsDemand(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c)
	offered := 0
	env.forwarder.OnOffered = func(*forward.Call, unit.Tokens) { offered++ }
	_, _, failure := env.serve(catalogue.Idempotent, false, 2)
	c.Assert(failure.Reason, qt.Equals, verdict.NoEndpoint)
	c.Assert(offered, qt.Equals, 1)
}

func TestCallWithoutEndpointIsRefused(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c)
	_, _, failure := env.serve(catalogue.Idempotent, false, 2)
	c.Assert(failure.Verdict, qt.Equals, verdict.NotRun)
	c.Assert(failure.Reason, qt.Equals, verdict.NoEndpoint)
	c.Assert(failure.RetryAfter > 0, qt.IsTrue)
}
