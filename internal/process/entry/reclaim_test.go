package entry_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/entry"
	standinengine "github.com/dandelionlift/dandelionlift/internal/standin/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// TestReclaimSpreadsStreams reclaims two of six engines while they answer. Each
// answer must be complete, the moved streams must be spread over all four
// remaining engines, and each move must be reported with the recomputed tokens.
func TestReclaimSpreadsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, engines = 48, 6
		c := qt.New(t)
		d := newDeployment(1, engines, 0, nil)
		defer d.stop()
		var mu sync.Mutex
		movedTo := make(map[identity.Host]int)
		moved, recomputed := 0, 0
		d.hosts[0].server.OnResumed = func(r entry.Resumption) {
			mu.Lock()
			defer mu.Unlock()
			movedTo[r.To]++
			moved++
			recomputed += int(r.Recomputed)
		}
		runningBefore := 0
		time.AfterFunc(3*time.Second, func() {
			for i := range 2 {
				running, err := d.hosts[0].server.Engine.Load(d.ctx, d.snapshot.Load().Endpoints[i].Address)
				c.Check(err, qt.IsNil)
				runningBefore += running.Running
			}
			d.markLeaving(0, 1)
		})
		var group errgroup.Group
		for i := range streams {
			group.Go(func() error {
				prompt := fmt.Sprint("history of boiler ", i)
				got, reply := d.complete(i, d.hosts[0], prompt, 300)
				c.Check(got, qt.Equals, standinengine.ExpectedText(prompt, 300), qt.Commentf("%+v", reply))
				return reply.err
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		mu.Lock()
		defer mu.Unlock()
		c.Check(moved, qt.Equals, runningBefore)
		c.Check(runningBefore > 8, qt.IsTrue, qt.Commentf("%d", runningBefore))
		c.Check(recomputed > 0, qt.IsTrue)
		c.Check(movedTo, qt.HasLen, engines-2)
		for host, n := range movedTo {
			c.Check(n <= runningBefore/2, qt.IsTrue, qt.Commentf("%s took %d of %d", host, n, runningBefore))
		}
	})
}
