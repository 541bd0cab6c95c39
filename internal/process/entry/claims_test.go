package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/claim"
	standinkv "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// TestClaimRateOfFleet claims calls at the target rate of 900 a second, spread
// over all hosts. Their writes must stay below 200 a second in total.
func TestClaimRateOfFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(24, 0, 0, nil)
		defer d.stop()
		const seconds, rate = 3, 900
		var group errgroup.Group
		for i := range rate * seconds {
			time.Sleep(time.Second / rate)
			claimer := d.claimers[i%len(d.claimers)]
			group.Go(func() error {
				held := claim.NewEntry(call.Call{
					Request: identity.NewRequest(), Organisation: "fitters", IdempotencyKey: fmt.Sprint("key-", i), Method: http.MethodPost,
				})
				if result := claimer.Claim(d.ctx, held); result.Err != nil || result.Decision != claim.HeldByRequest {
					return fmt.Errorf("decision %d: %w", result.Decision, result.Err)
				}
				return claimer.Resolve(d.ctx, claim.RanEntry(held, claim.NewOutcome(http.StatusOK, "text/plain", []byte("done"))))
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		writes := d.keyValue.Counts().Writes
		t.Logf("%d hosts: %d claims and as many outcomes took %d writes: %d a second", len(d.hosts), rate*seconds, writes, writes/seconds)
		c.Assert(writes < 200*seconds, qt.IsTrue, qt.Commentf("%d writes", writes))
	})
}

// TestClaimUnavailableRefusesOnlyWhatNeedsIt makes the key-value service
// unavailable. Filings must be refused with a Retry-After, while lookups and
// model calls are served.
func TestClaimUnavailableRefusesOnlyWhatNeedsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(2, 1, 1, nil)
		defer d.stop()
		d.keyValue.SetFaults(standinkv.Faults{Down: true})
		filed := d.call(1, d.hosts[0], http.MethodPost, "/v1/services/ledger/filings/f", "key", "night")
		c.Assert(filed.verdict, qt.Equals, "not_run")
		c.Assert(filed.reason, qt.Equals, "claim_unavailable")
		c.Assert(filed.retryAfter, qt.Not(qt.Equals), "")
		looked := d.call(1, d.hosts[0], http.MethodGet, "/v1/services/ledger/filings/f", "", "")
		c.Assert(looked.status, qt.Equals, http.StatusOK)
		_, drafted := d.complete(1, d.hosts[0], "prompt", 5)
		c.Assert(drafted.status, qt.Equals, http.StatusOK)
		c.Assert(d.filings.Runs("f"), qt.Equals, 0)
		d.keyValue.SetFaults(standinkv.Faults{})
		filed = d.call(1, d.hosts[1], http.MethodPost, "/v1/services/ledger/filings/f", "key", "night")
		c.Assert(filed.status, qt.Equals, http.StatusOK)
	})
}

// TestClaimAnswersRepeats repeats a filing on every host, which must return the
// first outcome. A different call with the same key and a call with an expired
// key must be refused.
func TestClaimAnswersRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(3, 0, 2, nil)
		defer d.stop()
		const path = "/v1/services/ledger/filings/f"
		old := identity.NewRequest()
		first := d.call(1, d.hosts[0], http.MethodPost, path, "key", "night")
		time.Sleep(time.Second)
		for _, h := range d.hosts {
			repeat := d.call(1, h, http.MethodPost, path, "key", "night")
			c.Assert(repeat.body, qt.Equals, first.body)
			other := d.call(1, h, http.MethodPost, path, "key", "other night")
			c.Assert(other.reason, qt.Equals, "key_reused")
			c.Assert(other.verdict, qt.Equals, "not_run")
		}
		time.Sleep(2 * time.Hour)
		late := d.call(1, d.hosts[0], http.MethodPost, path, string(old), "night")
		c.Assert(late.reason, qt.Equals, "key_expired")
		c.Assert(late.verdict, qt.Equals, "may_have_run")
		c.Assert(d.filings.Runs("f"), qt.Equals, 1)
	})
}
