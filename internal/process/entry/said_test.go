package entry_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	standinengine "github.com/dandelionlift/dandelionlift/internal/standin/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// receivers counts the calls that reach each endpoint.
type receivers struct {
	mu     sync.Mutex
	counts map[string]int
}

// countCompletions makes a deployment count the completions by the engine's address.
func countCompletions(d *deployment) *receivers {
	r := &receivers{counts: make(map[string]int)}
	d.engineWriter = func(w http.ResponseWriter, request *http.Request) http.ResponseWriter {
		if request.URL.Path == engine.CompletionsPath {
			r.add(request.Host)
		}
		return w
	}
	return r
}

func (r *receivers) add(to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[to]++
}

func (r *receivers) count(to string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[to]
}

// completeAll makes completions, each of which must succeed.
func completeAll(c *qt.C, d *deployment, count int) {
	c.Helper()
	for range count {
		got, reply := d.complete(1, d.hosts[0], "history of boiler", 4)
		c.Assert(got, qt.Equals, standinengine.ExpectedText("history of boiler", 4), qt.Commentf("%+v", reply))
	}
}

// preferred returns the engine that completions go to, and its address.
func (r *receivers) preferred(c *qt.C, d *deployment) (*standinengine.Engine, string) {
	c.Helper()
	completeAll(c, d, 1)
	for i, address := range []string{"10.1.0.0:80", "10.1.0.1:80"} {
		if r.count(address) == 1 {
			return d.engines[i], address
		}
	}
	c.Fatal("no engine got the completion")
	return nil, ""
}

// An engine refuses a completion and wants none for a while: no other one may reach it in
// that time, and callers are served by the other engine.
func TestQuietEngineGetsNoCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 2, 0, nil)
		defer d.stop()
		r := countCompletions(d)
		quiet, address := r.preferred(c, d)
		quiet.SetQuiet(20 * time.Second)
		completeAll(c, d, 30)
		c.Check(r.count(address), qt.Equals, 2, qt.Commentf("one before it was quiet, and one that it refused"))
		time.Sleep(25 * time.Second)
		for range 30 {
			completeAll(c, d, 1)
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(r.count(address) > 2, qt.IsTrue)
	})
}

// All engines want no completions for a while: callers are told at once for how long, and
// the engines are not asked again.
func TestServiceOfQuietEnginesRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 2, 0, nil)
		defer d.stop()
		r := countCompletions(d)
		d.engines[0].SetQuiet(20 * time.Second)
		d.engines[1].SetQuiet(9500 * time.Millisecond)
		for range 10 {
			began := time.Now()
			_, reply := d.complete(1, d.hosts[0], "history of boiler", 4)
			c.Check(reply.status, qt.Equals, http.StatusServiceUnavailable)
			c.Check(reply.verdict, qt.Equals, "not_run")
			c.Check(reply.reason, qt.Equals, "endpoint_quiet")
			c.Check(reply.retryAfter, qt.Matches, "10|9|8")
			c.Check(time.Since(began) < time.Second, qt.IsTrue, qt.Commentf("refused after %v", time.Since(began)))
		}
		c.Check(r.count("10.1.0.0:80"), qt.Equals, 1)
		c.Check(r.count("10.1.0.1:80"), qt.Equals, 1)
		time.Sleep(10 * time.Second)
		got, reply := d.complete(1, d.hosts[0], "history of boiler", 4)
		c.Check(got, qt.Equals, standinengine.ExpectedText("history of boiler", 4), qt.Commentf("%+v", reply))
	})
}

// An engine says in an answer that it is leaving, before the platform does: it gets no
// further completions, and the controller is told.
func TestEngineThatSaysThatItLeavesGetsNoCompletions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 2, 0, nil)
		defer d.stop()
		r := countCompletions(d)
		var mu sync.Mutex
		var told []identity.Incarnation
		d.hosts[0].server.OnLeaving = func(id identity.Incarnation) {
			mu.Lock()
			defer mu.Unlock()
			told = append(told, id)
		}
		leaving, address := r.preferred(c, d)
		leaving.SetLeaving()
		completeAll(c, d, 30)
		c.Check(r.count(address), qt.Equals, 2, qt.Commentf("one before it was leaving, and one in whose answer it said so"))
		mu.Lock()
		defer mu.Unlock()
		c.Check(told, qt.DeepEquals, []identity.Incarnation{leaving.Incarnation})
	})
}

// A ledger refuses a filing, which may not be repeated, and says both. Filings go to the
// other one, and each is run once; an answer in the name of another request says nothing.
func TestLedgerThatSaysBothGetsNoCalls(t *testing.T) {
	for name, say := range map[string]func(w http.ResponseWriter){
		"quiet":   func(w http.ResponseWriter) { w.Header().Set("Retry-After", "20.5") },
		"leaving": func(w http.ResponseWriter) { w.Header().Set(engine.LeavingHeader, "1") },
		"another": func(w http.ResponseWriter) {
			w.Header().Set(engine.LeavingHeader, "1")
			w.Header().Set(engine.IncarnationHeader, "ledger-7")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newDeployment(1, 0, 2, nil)
				defer d.stop()
				r := &receivers{counts: make(map[string]int)}
				d.ledgerHook = func(w http.ResponseWriter, request *http.Request) bool {
					r.add(request.Host)
					if !strings.HasPrefix(request.Host, "10.1.0.100") {
						return false
					}
					w.Header().Set(engine.RequestHeader, request.Header.Get(engine.RequestHeader))
					w.Header().Set(engine.RefusedHeader, "not_run")
					say(w)
					w.WriteHeader(http.StatusServiceUnavailable)
					return true
				}
				for i := range 20 {
					reply := d.call(1, d.hosts[0], http.MethodPost, "/v1/services/ledger/filings/f", string(rune('a'+i)), "x")
					c.Assert(reply.status < http.StatusMultipleChoices, qt.IsTrue, qt.Commentf("%+v", reply))
				}
				refusing := r.count("10.1.0.100:80")
				if name == "another" {
					c.Check(refusing > 1, qt.IsTrue)
					return
				}
				c.Check(refusing <= 1, qt.IsTrue, qt.Commentf("%d calls reached the ledger that wants none", refusing))
			})
		})
	}
}
