package forward_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// An endpoint says in an answer that it is leaving, before the platform does: the calls
// after it must go elsewhere, and where there is no other endpoint they are refused.
func TestLeavingEndpointGetsNoFurtherCalls(t *testing.T) {
	c := qt.New(t)
	leaving := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Leaving", "1")
		fmt.Fprint(w, "a")
	}
	env := newTestEnv(c, leaving, answer("b"))
	var told []identity.Incarnation
	env.forwarder.OnLeaving = func(id identity.Incarnation) { told = append(told, id) }
	for range 10 {
		_, _, failure := env.serve(catalogue.Idempotent, false, 2)
		c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	}
	c.Check(env.receivers(), qt.Equals, "a"+strings.Repeat("b", 9))
	c.Check(told, qt.DeepEquals, []identity.Incarnation{"a"})

	env = newTestEnv(c, leaving)
	_, _, failure := env.serve(catalogue.Idempotent, false, 2)
	c.Assert(failure == nil, qt.IsTrue)
	_, _, failure = env.serve(catalogue.Idempotent, false, 2)
	c.Check(failure.Reason, qt.Equals, verdict.NoEndpoint)
	c.Check(env.receivers(), qt.Equals, "a")
}

// quietFor returns a handler that refuses calls and names a time.
func quietFor(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Quiet", text)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// An endpoint refuses a call and wants none for a while: neither further attempts nor
// other calls may go there, though nobody else can serve them.
func TestQuietEndpointGetsNoCalls(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, quietFor("1s"), answer("b"))
	for range 10 {
		got, _, failure := env.serve(catalogue.NonIdempotent, false, 1)
		c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		c.Assert(got.Body.String(), qt.Equals, "b")
	}
	c.Check(env.receivers(), qt.Equals, "a"+strings.Repeat("b", 10))

	env = newTestEnv(c, quietFor("800ms"), quietFor("2s"))
	for i := range 10 {
		_, _, failure := env.serve(catalogue.Idempotent, false, 2)
		c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
		if i > 0 {
			c.Check(failure.Reason, qt.Equals, verdict.EndpointQuiet)
			c.Check(failure.RetryAfter > 500*time.Millisecond && failure.RetryAfter <= 800*time.Millisecond, qt.IsTrue,
				qt.Commentf("told to come back after %v", failure.RetryAfter))
		}
	}
	c.Check(env.receivers(), qt.Equals, "ab")
}

// The address of an endpoint belongs to another one now, which says that it is leaving and
// wants no calls. That must not be held against the first.
func TestAdviceOfAnotherEndpointIsNotHeldAgainstTheFirst(t *testing.T) {
	c := qt.New(t)
	other := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Leaving", "1")
		w.Header().Set("Quiet", "5s")
		w.Header().Set("Limit", "0.1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	}
	env := newTestEnv(c, other, answer("b"))
	classify := env.forwarder.Protocol.Classify
	env.forwarder.Protocol.Classify = func(status int, h http.Header) forward.AnswerClass {
		if status == http.StatusMisdirectedRequest {
			return forward.Misdirected
		}
		return classify(status, h)
	}
	got, _, failure := env.serve(catalogue.NonIdempotent, false, 1)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	c.Assert(got.Body.String(), qt.Equals, "b")
	c.Assert(env.receivers(), qt.Equals, "ab")
	c.Check(env.forwarder.Advice.Leaving("a"), qt.IsFalse)
	c.Check(env.forwarder.Advice.Open(time.Now(), "a"), qt.IsTrue)
}

// While a call waits for a connection to an endpoint, that one refuses another call and
// wants none for a while, says that it is leaving, leaves or starts again. The call must
// go elsewhere, and its only retry, paid for before, is for the endpoint that gets it.
func TestCallThatWaitsForAConnectionIsNotSentToAnEndpointThatWantsNone(t *testing.T) {
	said := func(a advice.Advice) func(*testEnv, int) {
		return func(env *testEnv, i int) {
			env.forwarder.Advice.Record(time.Now(), env.endpoints[i].Incarnation, a, false, 0)
		}
	}
	for name, change := range map[string]func(env *testEnv, i int){
		"quiet":   said(advice.Advice{Quiet: time.Second}),
		"leaving": said(advice.Advice{Leaving: true}),
		"left": func(env *testEnv, i int) {
			list := slices.Clone(env.endpoints)
			list[i].Leaving = true
			env.balancer.SetEndpoints(list)
		},
		"restarted": func(env *testEnv, i int) {
			list := slices.Clone(env.endpoints)
			list[i].Incarnation += "@2"
			list[i].Leaving = true
			env.balancer.SetEndpoints(list)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			env := newTestEnvWithBudget(c, retry.Limits{Slack: 4, Window: time.Hour}, refuse, answer("b"), answer("c"))
			changed := ""
			env.onDial = func(address string) {
				for i := 1; i < len(env.endpoints) && changed == ""; i++ {
					if address == env.endpoints[i].Address.String() {
						changed = string(env.endpoints[i].Host)
						change(env, i)
					}
				}
			}
			got, _, failure := env.serve(catalogue.NonIdempotent, false, 1)
			c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
			other := strings.Trim("bc", changed)
			c.Check(got.Body.String(), qt.Equals, other)
			c.Check(env.receivers(), qt.Equals, "a"+other)
		})
	}
}
