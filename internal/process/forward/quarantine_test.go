package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	sharedPart, subjectPart, deadlyPart = 1, 2, 666
	// crashesBorne is how many endpoints a part may crash, and lateSends how many of its
	// calls may be sent afterwards.
	crashesBorne, lateSends = 5, 3
)

// serveParts serves a resumable stream whose prompt consists of the given parts, and
// reports whether it was answered.
func (env *testEnv) serveParts(ids ...uint64) (failure *verdict.Error) {
	var parts []balance.Part
	for _, id := range ids {
		parts = append(parts, balance.Part{ID: id, Tokens: 100})
	}
	now := time.Now()
	_, failure = env.forwarder.Serve(context.Background(), httptest.NewRecorder(), &forward.Call{
		ID: "1", Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: []byte("x"),
		Route:   &catalogue.Route{Kind: catalogue.Stream, Resumable: true, Attempts: 2, LatencyTarget: time.Second},
		Service: &catalogue.Service{ID: "s", Engine: &catalogue.Engine{Slots: 8, KVCapacity: 100_000}},
		Parts:   parts, Arrived: now, Deadline: now.Add(2 * time.Second), LastEvent: -1,
	})
	return failure
}

// crashList lists the hosts of crashed endpoints, once for each crash.
type crashList struct {
	mu    sync.Mutex
	hosts []identity.Host
}

func (l *crashList) add(host identity.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = append(l.hosts, host)
}

func (l *crashList) list() []identity.Host {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.hosts)
}

// restart gives each endpoint the incarnation that follows its crashes.
func (env *testEnv) restart(crashed []identity.Host) {
	for i := range env.endpoints {
		e := &env.endpoints[i]
		lives := 0
		for _, host := range crashed {
			if host == e.Host {
				lives++
			}
		}
		e.Incarnation = identity.Incarnation(fmt.Sprintf("%s@%d", e.Host, lives))
	}
	env.balancer.SetEndpoints(env.endpoints)
}

// Calls with a prompt part that crashes every endpoint must not be sent to one
// endpoint after the other, while sound calls with the same other parts are served.
func TestPartThatCrashesEndpointsIsQuarantined(t *testing.T) {
	c := qt.New(t)
	var crashed crashList
	serve := func(w http.ResponseWriter, r *http.Request) {
		if slices.Contains(r.Header["Part"], strconv.Itoa(deadlyPart)) {
			crashed.add(identity.Host(r.Header.Get("Endpoint")))
			panic(http.ErrAbortHandler)
		}
		sendEvents(0, 3, true)(w, r)
	}
	env := newTestEnv(c, slices.Repeat([]http.HandlerFunc{serve}, 12)...)
	env.forwarder.Protocol.AttemptHeader = func(call *forward.Call, to fleet.Endpoint, _ time.Duration, _ int64) http.Header {
		header := http.Header{"Endpoint": {string(to.Host)}}
		for _, part := range call.Parts {
			header.Add("Part", strconv.FormatUint(part.ID, 10))
		}
		return header
	}
	for i := range uint64(20) {
		failure := env.serveParts(sharedPart, subjectPart, deadlyPart, 1000+i)
		c.Assert(failure != nil, qt.IsTrue)
		if i%3 == 0 {
			failure = env.serveParts(sharedPart, subjectPart, 2000+i)
			c.Check(failure == nil, qt.IsTrue, qt.Commentf("sound call %d: %v", i, failure))
		}
		env.restart(crashed.list())
		env.forwarder.Quarantine.Decide(map[identity.Service]int{"s": len(env.endpoints)}, 0)
		time.Sleep(120 * time.Millisecond)
	}
	c.Check(len(crashed.list()) <= crashesBorne+lateSends, qt.IsTrue, qt.Commentf("%d endpoints crashed", len(crashed.list())))
	failure := env.serveParts(sharedPart, subjectPart, deadlyPart, 3000)
	c.Assert(failure, qt.Not(qt.IsNil))
	c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
}
