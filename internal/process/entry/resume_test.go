package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	standinengine "github.com/dandelionlift/dandelionlift/internal/standin/engine"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
)

// busyEngine returns the index of an engine that runs a request.
func busyEngine(c *qt.C, d *deployment) int {
	for _, e := range d.snapshot.Load().Endpoints {
		_, err := d.hosts[0].server.Engine.Load(d.ctx, e.Address)
		c.Assert(err, qt.IsNil)
	}
	// A report is as old as the lag: the queries above make the engines record their
	// load, which those below return.
	time.Sleep(standinengine.DefaultSpeed.ReportLag)
	for i, e := range d.snapshot.Load().Endpoints {
		load, err := d.hosts[0].server.Engine.Load(d.ctx, e.Address)
		c.Assert(err, qt.IsNil)
		if load.Running > 0 {
			return i
		}
	}
	c.Fatal("no engine runs a request")
	return -1
}

// TestResumeAfterEachLoss loses one of two engines in several ways while it
// answers. The caller must get each token once.
func TestResumeAfterEachLoss(t *testing.T) {
	lossRule := func(address netip.Addr) func(from, to netip.Addr) network.Path {
		return func(from, to netip.Addr) network.Path { return network.Path{Lost: from == address || to == address} }
	}
	for name, injectLoss := range map[string]func(d *deployment, i int, address netip.Addr){
		"closed": func(d *deployment, i int, _ netip.Addr) { d.servers[1+i].Close() },
		"cut":    func(d *deployment, _ int, address netip.Addr) { d.network.SetRule(lossRule(address)) },
		"silent": func(d *deployment, _ int, address netip.Addr) {
			d.network.SetRule(lossRule(address))
			time.AfterFunc(time.Second, func() { d.network.SetRule(nil) })
		},
		"leaving": func(d *deployment, i int, _ netip.Addr) { d.markLeaving(i) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				d := newDeployment(1, 2, 0, nil)
				defer d.stop()
				time.AfterFunc(4*time.Second, func() {
					i := busyEngine(c, d)
					injectLoss(d, i, d.snapshot.Load().Endpoints[i].Address.Addr())
				})
				got, reply := d.complete(1, d.hosts[0], "history of boiler", 400)
				c.Assert(reply.err, qt.IsNil)
				c.Assert(got, qt.Equals, standinengine.ExpectedText("history of boiler", 400), qt.Commentf("%+v", reply))
				totals := d.engineRecords.Totals()
				c.Assert(totals.Starts, qt.Equals, 2)
				c.Assert(totals.Generated < 800, qt.IsTrue)
			})
		})
	}
}

// TestResumeOnNewConnection freezes an established connection to an engine while
// new ones work. The call must be retried on the same engine, and the first
// attempt must be cancelled, as the engine cannot detect that it was given up.
func TestResumeOnNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 2, 0, nil)
		defer d.stop()
		var first, second atomic.Int64
		time.AfterFunc(2*time.Second, func() {
			i := busyEngine(c, d)
			first.Store(int64(i))
			address := d.snapshot.Load().Endpoints[i].Address.Addr()
			d.network.SetRule(func(from, _ netip.Addr) network.Path { return network.Path{Lost: from == address} })
			time.AfterFunc(time.Second, func() { d.network.SetRule(nil) })
		})
		time.AfterFunc(8*time.Second, func() { second.Store(int64(busyEngine(c, d))) })
		got, reply := d.complete(1, d.hosts[0], "history of boiler", 600)
		c.Assert(got, qt.Equals, standinengine.ExpectedText("history of boiler", 600), qt.Commentf("%+v", reply))
		c.Assert(second.Load(), qt.Equals, first.Load())
		c.Assert(d.cancels.Load(), qt.Equals, int64(1))
		c.Assert(d.engineRecords.Totals().Starts, qt.Equals, 2)
	})
}

// TestResumeByCaller fetches the complete answers of a filing and a model call
// again on a new connection, by request id. The filing must not run twice.
func TestResumeByCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 1, 1, nil)
		defer d.stop()
		first := d.call(1, d.hosts[0], http.MethodPost, "/v1/services/ledger/filings/f", "key", "night")
		again := d.call(2, d.hosts[0], http.MethodGet, "/v1/requests/"+first.request, "", "")
		c.Assert(again.body, qt.Equals, first.body)
		_, model := d.complete(1, d.hosts[0], "prompt", 20)
		again = d.call(2, d.hosts[0], http.MethodGet, "/v1/requests/"+model.request, "", "")
		c.Assert(completionText(again.body), qt.Equals, standinengine.ExpectedText("prompt", 20))
		c.Assert(d.filings.Runs("f"), qt.Equals, 1)
	})
}

// TestDrainCutsNothing stops an entry host while it answers. Requests accepted
// before and during the lag of the load balancer must all be completed.
func TestDrainCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 2, 1, nil)
		defer d.stop()
		var texts [4]string
		for i := range texts {
			d.group.Go(func() error {
				time.Sleep(time.Duration(i) * time.Second)
				texts[i], _ = d.complete(i, d.hosts[0], fmt.Sprint("prompt ", i), 1000)
				return nil
			})
		}
		time.Sleep(1500 * time.Millisecond)
		began := time.Now()
		c.Assert(d.hosts[0].server.Drain(d.ctx), qt.IsNil)
		c.Assert(time.Since(began) > 15*time.Second, qt.IsTrue)
		synctest.Wait()
		for i, text := range texts {
			c.Assert(text, qt.Equals, standinengine.ExpectedText(fmt.Sprint("prompt ", i), 1000))
		}
		ready := d.call(9, d.hosts[0], http.MethodGet, "/readyz", "", "")
		c.Assert(ready.status, qt.Equals, http.StatusServiceUnavailable)
	})
}

// TestDrainHurriedNamesWhatItCuts ends a drain early without a peer to hand over
// to. The error must name the request that is cut off.
func TestDrainHurriedNamesWhatItCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 1, 0, nil)
		defer d.stop()
		d.group.Go(func() error {
			d.complete(1, d.hosts[0], "prompt", 2000)
			return nil
		})
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(d.ctx, 7*time.Second)
		defer cancel()
		err := d.hosts[0].server.Drain(ctx)
		c.Assert(err, qt.ErrorMatches, `(?s).*cut off 1 requests: .* of fitters to model.*`)
	})
}

// TestVerdictAtDeadline makes a model call and a filing with a deadline. They must
// end at the deadline with may_have_run, and the engine must stop generating.
func TestVerdictAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 1, 1, nil)
		defer d.stop()
		began := time.Now()
		header := http.Header{engine.DeadlineHeader: {"2000"}}
		got := d.callWith(1, d.hosts[0], http.MethodPost, "/v1/completions", header, `{"model":"model","prompt":"p","max_tokens":2000}`)
		c.Assert(time.Since(began), qt.Equals, 2*time.Second)
		c.Assert(got.status, qt.Equals, http.StatusGatewayTimeout)
		c.Assert(got.verdict, qt.Equals, "may_have_run")
		c.Assert(got.reason, qt.Equals, "deadline_exceeded")
		header = http.Header{engine.DeadlineHeader: {"20"}}
		got = d.callWith(1, d.hosts[0], http.MethodPost, "/v1/services/ledger/filings/f", header, "night")
		c.Assert(got.verdict, qt.Equals, "may_have_run")
		time.Sleep(time.Second)
		c.Assert(d.engineRecords.Totals().Generated < 120, qt.IsTrue)
	})
}

// TestVerdictRetriesStayInBudget lets all endpoints of a service fail. Lookups
// must not be retried more often than the retry budget allows.
func TestVerdictRetriesStayInBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 0, 3, nil)
		defer d.stop()
		var attempts atomic.Int64
		d.ledgerHook = func(w http.ResponseWriter, _ *http.Request) bool {
			attempts.Add(1)
			panic(http.ErrAbortHandler)
		}
		const calls = 200
		var group errgroup.Group
		for i := range calls {
			group.Go(func() error {
				got := d.call(i, d.hosts[0], http.MethodGet, "/v1/services/ledger/filings/f", "", "")
				if got.verdict != "may_have_run" {
					return fmt.Errorf("%+v", got)
				}
				return nil
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		// The retry budget is 50, plus one a second over ten seconds.
		c.Assert(attempts.Load() <= calls+50+10, qt.IsTrue, qt.Commentf("%d attempts", attempts.Load()))
	})
}

// TestResumeSendsHeartbeatsMeanwhile disconnects the only engine for a while. The
// caller's stream must carry heartbeats in the meantime and then continue.
func TestResumeSendsHeartbeatsMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 1, 0, nil)
		defer d.stop()
		time.AfterFunc(2*time.Second, func() {
			address := d.snapshot.Load().Endpoints[0].Address.Addr()
			d.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: from == address || to == address} })
			time.AfterFunc(20*time.Second, func() { d.network.SetRule(nil) })
		})
		got := d.call(1, d.hosts[0], http.MethodPost, "/v1/completions", "", `{"model":"model","prompt":"p","max_tokens":200,"stream":true}`)
		c.Assert(strings.Count(got.body, ": waiting") >= 3, qt.IsTrue)
		c.Assert(strings.HasSuffix(got.body, "data: [DONE]\n\n"), qt.IsTrue, qt.Commentf("%s", got.body[max(0, len(got.body)-300):]))
	})
}

// TestResumeOfLookups makes lookups while one ledger is silent on every
// connection, and while all ledgers are slow. All lookups must be answered.
func TestResumeOfLookups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 0, 2, nil)
		defer d.stop()
		const path = "/v1/services/ledger/filings/f"
		for range 20 {
			c.Assert(d.call(1, d.hosts[0], http.MethodGet, path, "", "").status, qt.Equals, http.StatusOK)
		}
		address := d.snapshot.Load().Endpoints[0].Address.Addr()
		d.network.SetRule(func(from, _ netip.Addr) network.Path { return network.Path{Lost: from == address} })
		for range 20 {
			began := time.Now()
			c.Assert(d.call(1, d.hosts[0], http.MethodGet, path, "", "").status, qt.Equals, http.StatusOK)
			c.Assert(time.Since(began) < 6*time.Second, qt.IsTrue)
		}
		d.network.SetRule(nil)
		d.ledgerHook = func(_ http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != engine.LoadPath {
				time.Sleep(5 * time.Second)
			}
			return false
		}
		c.Assert(d.call(1, d.hosts[0], http.MethodGet, path, "", "").status, qt.Equals, http.StatusOK)
	})
}
