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

// TestClaimRateOfFleet spreads the target's 900 calls a second over hosts: the
// writes of all must stay under 200 a second.
func TestClaimRateOfFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(24, 0, 0, nil)
		defer d.stop()
		const seconds, rate = 3, 900
		var group errgroup.Group
		for i := range rate * seconds {
			time.Sleep(time.Second / rate)
			from := d.claimers[i%len(d.claimers)]
			group.Go(func() error {
				held := claim.Of(call.Call{
					Request: identity.NewRequest(), Organisation: "fitters", Key: fmt.Sprint("key-", i), Method: http.MethodPost,
				})
				if result := from.Claim(d.ctx, held); result.Err != nil || result.Decision != claim.Held {
					return fmt.Errorf("decision %d: %w", result.Decision, result.Err)
				}
				return from.Settle(d.ctx, claim.Ran(held, claim.Record(http.StatusOK, "text/plain", []byte("done"))))
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		writes := d.service.Counts().Writes
		t.Logf("%d hosts: %d claims and as many outcomes took %d writes: %d a second", len(d.hosts), rate*seconds, writes, writes/seconds)
		c.Assert(writes < 200*seconds, qt.IsTrue, qt.Commentf("%d writes", writes))
	})
}

// TestClaimUnavailableRefusesOnlyWhatNeedsIt takes the key-value service away:
// filings are refused with the time to come back, lookups and model calls go on.
func TestClaimUnavailableRefusesOnlyWhatNeedsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(2, 1, 1, nil)
		defer d.stop()
		d.service.SetFaults(standinkv.Faults{Down: true})
		filed := d.call(1, d.hosts[0], http.MethodPost, "/v1/services/ledger/filings/f", "key", "night")
		c.Assert(filed.verdict, qt.Equals, "not_run")
		c.Assert(filed.reason, qt.Equals, "claim_unavailable")
		c.Assert(filed.retryAfter, qt.Not(qt.Equals), "")
		looked := d.call(1, d.hosts[0], http.MethodGet, "/v1/services/ledger/filings/f", "", "")
		c.Assert(looked.status, qt.Equals, http.StatusOK)
		_, drafted := d.complete(1, d.hosts[0], "prompt", 5)
		c.Assert(drafted.status, qt.Equals, http.StatusOK)
		c.Assert(d.filed.Runs("f"), qt.Equals, 0)
		d.service.SetFaults(standinkv.Faults{})
		filed = d.call(1, d.hosts[1], http.MethodPost, "/v1/services/ledger/filings/f", "key", "night")
		c.Assert(filed.status, qt.Equals, http.StatusOK)
	})
}

// TestClaimAnswersRepeats tells a repeat the first outcome at any host, and
// refuses another call under the key and a key that is too old.
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
		c.Assert(d.filed.Runs("f"), qt.Equals, 1)
	})
}
