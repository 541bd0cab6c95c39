package entry_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// A running host tells where a call went and why, and goes on to a second
// endpoint when the first is lost.
func TestExplainOnARunningHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 3, 0, nil)
		defer d.stop()
		_, answered := d.complete(1, d.hosts[0], "a prompt", 5)
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

// A host with one engine gets 400 calls in a second: those taken are answered,
// the others are refused at once, as NotRun, and can be explained.
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
		taken, refused := 0, 0
		for _, r := range replies {
			if r.status == http.StatusOK {
				taken++
				continue
			}
			refused++
			c.Assert(r.verdict, qt.Equals, "not_run")
			c.Assert(r.retryAfter, qt.Not(qt.Equals), "")
		}
		t.Logf("taken %d, refused %d", taken, refused)
		c.Assert(taken > 20, qt.IsTrue)
		c.Assert(refused > 200, qt.IsTrue)
	})
}
