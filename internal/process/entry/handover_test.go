package entry_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	standinengine "github.com/dandelionlift/dandelionlift/internal/standin/engine"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
)

// TestHandoverOfUnfinishedWork lets a host leave while it answers a call. The
// caller must get the complete answer, each token once, from any other host.
func TestHandoverOfUnfinishedWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(4, 2, 0, nil)
		defer d.stop()
		time.AfterFunc(2*time.Second, func() {
			d.hosts[0].server.Leave(d.ctx, time.Now().Add(7*time.Second))
			hostIP := d.hosts[0].address.Addr()
			d.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: from == hostIP || to == hostIP} })
		})
		_, first := d.complete(1, d.hosts[0], "long history", 600)
		c.Assert(first.reason, qt.Equals, "host_stopping")
		for _, h := range d.hosts[1:] {
			again := d.call(2, h, http.MethodGet, "/v1/requests/"+first.request, "", "")
			c.Assert(completionText(again.body), qt.Equals, standinengine.ExpectedText("long history", 600), qt.Commentf("%+v", again))
		}
		totals := d.engineRecords.Totals()
		c.Assert(totals.Starts, qt.Equals, 2)
		c.Assert(totals.Generated < 610, qt.IsTrue, qt.Commentf("%+v", totals))
	})
}

// TestHandoverOnHurriedStop ends a drain early. The unfinished request must be
// handed over, not cut off.
func TestHandoverOnHurriedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(2, 1, 0, nil)
		defer d.stop()
		time.AfterFunc(time.Second, func() {
			ctx, cancel := context.WithTimeout(d.ctx, time.Second)
			defer cancel()
			c.Check(d.hosts[0].server.Drain(ctx), qt.IsNil)
		})
		_, first := d.complete(1, d.hosts[0], "long history", 600)
		again := d.call(2, d.hosts[1], http.MethodGet, "/v1/requests/"+first.request, "", "")
		c.Assert(completionText(again.body), qt.Equals, standinengine.ExpectedText("long history", 600))
	})
}

// TestHandoverFindsAnswersElsewhere fetches the answers of a filing and a model
// call from hosts that did not serve them. An id that no host knows must be
// answered with may_have_run.
func TestHandoverFindsAnswersElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(3, 1, 1, nil)
		defer d.stop()
		filed := d.call(1, d.hosts[0], http.MethodPost, "/v1/services/ledger/filings/f", "key", "night")
		c.Assert(filed.status, qt.Equals, http.StatusOK)
		again := d.call(1, d.hosts[2], http.MethodGet, "/v1/requests/"+filed.request, "", "")
		c.Assert(again.body, qt.Equals, filed.body)
		_, first := d.complete(1, d.hosts[0], "history", 200)
		again = d.call(1, d.hosts[1], http.MethodGet, "/v1/requests/"+first.request, "", "")
		c.Assert(completionText(again.body), qt.Equals, standinengine.ExpectedText("history", 200))
		unknown := d.call(1, d.hosts[1], http.MethodGet, "/v1/requests/none", "", "")
		c.Assert(unknown.verdict, qt.Equals, "may_have_run")
	})
}

// TestHandoverOfKilledHost disconnects a host without notice while its filing
// runs. A repeat with the same key on another host must not run the filing again.
func TestHandoverOfKilledHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(2, 0, 1, nil)
		defer d.stop()
		hostIP := d.hosts[0].address.Addr()
		d.ledgerHook = func(http.ResponseWriter, *http.Request) bool {
			d.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: from == hostIP || to == hostIP} })
			return false
		}
		first := d.call(1, d.hosts[0], http.MethodPost, "/v1/services/ledger/filings/f", "key", "night")
		c.Assert(first.err, qt.IsNotNil)
		again := d.call(1, d.hosts[1], http.MethodPost, "/v1/services/ledger/filings/f", "key", "night")
		c.Assert(again.verdict, qt.Equals, "may_have_run")
		unclaimed := d.call(1, d.hosts[1], http.MethodPost, "/v1/services/ledger/filings/g", "other", "night")
		c.Assert(unclaimed.status, qt.Equals, http.StatusOK)
		c.Assert(d.filings.Runs("f"), qt.Equals, 1)
	})
}

// TestHandoverTakesNoNewWork calls a host that has handed over its requests. The
// calls must be refused without being run.
func TestHandoverTakesNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(2, 1, 1, nil)
		defer d.stop()
		d.hosts[0].server.HandOver(d.ctx)
		_, model := d.complete(1, d.hosts[0], "history", 20)
		plain := d.call(1, d.hosts[0], http.MethodPost, "/v1/services/ledger/filings/f", "key", "night")
		for _, got := range []reply{model, plain} {
			c.Assert(got.verdict, qt.Equals, "not_run")
			c.Assert(got.reason, qt.Equals, "host_stopping")
			c.Assert(got.retryAfter, qt.Equals, "1")
		}
		c.Assert(d.engineRecords.Totals().Starts, qt.Equals, 0)
		c.Assert(d.filings.Runs("f"), qt.Equals, 0)
	})
}
