package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/admission"
	"github.com/dandelionlift/dandelionlift/internal/process/entry"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	standinengine "github.com/dandelionlift/dandelionlift/internal/standin/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// TestExplainOnARunningHost makes a call and asks for its routing decision, which
// must list several candidates and mark one as chosen. An unknown id must be an
// error.
func TestExplainOnARunningHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 3, 0, nil)
		defer d.stop()
		// A prompt of whole blocks has two preferred endpoints by its prefix.
		// Without them all random draws could pick the same candidate.
		_, answered := d.complete(1, d.hosts[0], strings.Repeat("a prompt of many words ", 100), 5)
		c.Assert(answered.status, qt.Equals, http.StatusOK)
		table, err := d.hosts[0].server.Explain(t.Context(), identity.Request(answered.request))
		c.Assert(err, qt.IsNil)
		c.Assert(len(table.Rows) > 1, qt.IsTrue)
		c.Assert(table.Rows[0][len(table.Columns)-1], qt.Matches, "chosen.*")
		c.Assert(strings.HasPrefix(table.Rows[0][2], "model-"), qt.IsTrue)
		_, err = d.hosts[0].server.Explain(t.Context(), "unknown")
		c.Assert(err, qt.ErrorMatches, "request unknown is not among .*")
	})
}

// TestOverloadOfARunningHostRefusesEarly sends 400 calls in less than a second to
// a host with one engine. Accepted calls must be answered, and all others refused
// with not_run and a Retry-After.
func TestOverloadOfARunningHostRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 1, 0, nil)
		defer d.stop()
		time.Sleep(time.Second)
		replies := make([]reply, 400)
		var group errgroup.Group
		for i := range replies {
			time.Sleep(2 * time.Millisecond)
			group.Go(func() error {
				_, replies[i] = d.complete(1, d.hosts[0], "a prompt", 20)
				return nil
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		accepted, refused := 0, 0
		for _, r := range replies {
			if r.status == http.StatusOK {
				accepted++
				continue
			}
			refused++
			c.Assert(r.verdict, qt.Equals, "not_run")
			c.Assert(r.retryAfter, qt.Not(qt.Equals), "")
		}
		t.Logf("accepted %d, refused %d", accepted, refused)
		c.Assert(accepted > 20, qt.IsTrue)
		c.Assert(refused > 200, qt.IsTrue)
	})
}

// TestAdmissionDoesNotRefuseWorkHandedOver makes 30 calls to two hosts that share
// one engine, which runs 16 calls at once. One host hands over to the other, from
// which all 30 answers must be available in full.
func TestAdmissionDoesNotRefuseWorkHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(2, 1, 0, nil)
		defer d.stop()
		time.Sleep(time.Second)
		replies := make([]reply, 30)
		var group errgroup.Group
		for i := range replies {
			to := d.hosts[i%2]
			group.Go(func() error {
				_, replies[i] = d.complete(i+1, to, "a prompt", 60)
				return nil
			})
		}
		time.Sleep(300 * time.Millisecond)
		d.hosts[0].server.HandOver(t.Context())
		c.Assert(group.Wait(), qt.IsNil)
		for _, r := range replies {
			again := d.call(1, d.hosts[1], http.MethodGet, "/v1/requests/"+r.request, "", "")
			c.Check(completionText(again.body), qt.Equals, standinengine.ExpectedText("a prompt", 60), qt.Commentf("%+v", again))
		}
	})
}

// TestAdmissionHandsOverWhatStillWaits makes a batch call that waits for a slot
// when its host hands over. The call must be handed over as well and be answered
// completely.
func TestAdmissionHandsOverWhatStillWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(2, 1, 0, nil)
		defer d.stop()
		time.Sleep(time.Second)
		var group errgroup.Group
		for i := range 15 {
			group.Go(func() error {
				d.complete(i+1, d.hosts[0], "a prompt", 200)
				return nil
			})
		}
		time.Sleep(time.Second)
		var waiting reply
		group.Go(func() error {
			waiting = d.call(20, d.hosts[0], http.MethodPost, "/v1/completions", "", `{"model":"model","prompt":"a night","max_tokens":10,"batch":true}`)
			return nil
		})
		time.Sleep(300 * time.Millisecond)
		d.hosts[0].server.HandOver(t.Context())
		c.Assert(group.Wait(), qt.IsNil)
		c.Assert(waiting.reason, qt.Equals, "host_stopping")
		again := d.call(1, d.hosts[1], http.MethodGet, "/v1/requests/"+waiting.request, "", "")
		c.Assert(completionText(again.body), qt.Equals, standinengine.ExpectedText("a night", 10))
	})
}

// TestAdmissionCountsDemandOfOwnZone checks that PeerDemands lists the other live
// hosts of this host's zone, with or without demand, and none of other zones.
func TestAdmissionCountsDemandOfOwnZone(t *testing.T) {
	self := member.Peer{Host: "a1", Zone: "a"}
	live := []member.Peer{self, {Host: "a2", Zone: "a"}, {Host: "a3", Zone: "a"}, {Host: "b1", Zone: "b"}}
	demands := []member.Demand{
		{Host: "a1", Organisation: "o", TokensPerSecond: 1}, {Host: "a2", Organisation: "o", TokensPerSecond: 2},
		{Host: "b1", Organisation: "o", TokensPerSecond: 4},
	}
	qt.Assert(t, entry.PeerDemands(self, live, demands), qt.DeepEquals, []admission.PeerDemand{
		{Host: "a2", Demands: []admission.Demand{{Organisation: "o", TokensPerSecond: 2}}}, {Host: "a3"},
	})
}
