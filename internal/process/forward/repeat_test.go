package forward_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const deadlyBody = "deadly"

// crashesOfACall and retriesOfACall are how many endpoints one request may crash, and how
// often it may be sent afterwards.
const crashesOfACall, retriesOfACall = 3, 3

// streamCall returns a resumable stream with a prompt part that many calls share.
func streamCall(organisation identity.Organisation, target, body string) *forward.Call {
	call := plainCall(organisation, target, body)
	call.Route = &catalogue.Route{Kind: catalogue.Stream, Resumable: true, Attempts: 2, LatencyTarget: time.Second}
	call.Service.Engine = &catalogue.Engine{Slots: 8, KVCapacity: 100_000}
	call.Parts = []balance.Part{{ID: sharedPart, Tokens: 100}, {ID: subjectPart, Tokens: 100}, {ID: 3, Tokens: 10}}
	return call
}

// incarnations returns the endpoints that there are.
func (env *testEnv) incarnations() map[identity.Incarnation]bool {
	list := make(map[identity.Incarnation]bool)
	for _, e := range env.endpoints {
		list[e.Incarnation] = true
	}
	return list
}

// A request that crashes each endpoint that runs it comes again and again, with the same
// organisation, target and body. It must not reach endpoint after endpoint, while sound
// requests with the same organisation, target and prompt parts are served.
func TestRepeatedCallThatCrashesEndpointsIsStopped(t *testing.T) {
	kinds := map[string]func(organisation identity.Organisation, target, body string) *forward.Call{"plain": plainCall, "stream": streamCall}
	for name, newCall := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var crashed crashList
			serve := func(w http.ResponseWriter, r *http.Request) {
				body := make([]byte, len(deadlyBody))
				if n, _ := r.Body.Read(body); string(body[:n]) == deadlyBody {
					crashed.add(identity.Host(r.Header.Get("Endpoint")))
					panic(http.ErrAbortHandler)
				}
				if name == "stream" {
					sendEvents(0, 3, true)(w, r)
				}
			}
			env := newTestEnv(c, slices.Repeat([]http.HandlerFunc{serve}, 12)...)
			env.forwarder.Protocol.AttemptHeader = func(_ *forward.Call, to fleet.Endpoint, _ time.Duration, _ int64) http.Header {
				return http.Header{"Endpoint": {string(to.Host)}}
			}
			send := func(call *forward.Call) *verdict.Error {
				_, failure := env.forwarder.Serve(context.Background(), httptest.NewRecorder(), call)
				return failure
			}
			for range 20 {
				c.Assert(send(newCall("o", "/a", deadlyBody)), qt.IsNotNil)
				failure := send(newCall("o", "/a", "sound"))
				c.Check(failure == nil, qt.IsTrue, qt.Commentf("sound call: %v", failure))
				env.restart(crashed.list())
				env.forwarder.Quarantine.RecordPresent(env.incarnations())
				env.forwarder.Quarantine.Decide(map[identity.Service]int{"s": len(env.endpoints)}, 0)
				time.Sleep(120 * time.Millisecond)
			}
			count := len(crashed.list())
			c.Check(count <= crashesOfACall+retriesOfACall, qt.IsTrue, qt.Commentf("%d endpoints crashed", count))
			failure := send(newCall("o", "/a", deadlyBody))
			c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
		})
	}
}

// A retry that found no endpoint reached none, but stayed charged to the retry budget, so
// that calls that could be retried failed.
func TestRetryWithoutEndpointCostsNoBudget(t *testing.T) {
	c := qt.New(t)
	var env *testEnv
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	// The host starts with half of 0.7 x 4 retries, for one call.
	env = newTestEnvWithBudget(c, retry.Limits{Slack: 4, Window: time.Hour}, refuse, answer("b"))
	refused := func(w http.ResponseWriter, r *http.Request) {
		env.balancer.SetEndpoints(nil)
		refuse(w, r)
	}
	leaving := httptest.NewServer(http.HandlerFunc(refused))
	c.Cleanup(leaving.Close)
	last := env.endpoints[0]
	last.Incarnation, last.Address = "last", netip.MustParseAddrPort(leaving.Listener.Addr().String())
	env.balancer.SetEndpoints([]fleet.Endpoint{last})
	_, failure := env.serveLong("1", catalogue.Idempotent, 2)
	c.Assert(failure, qt.IsNotNil)
	env.balancer.SetEndpoints(env.endpoints)
	got, failure := env.serveLong("2", catalogue.Idempotent, 2)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%+v", failure))
	c.Check(got.Body.String(), qt.Equals, "b")
	c.Check(env.receivers(), qt.Equals, "ab")
}
