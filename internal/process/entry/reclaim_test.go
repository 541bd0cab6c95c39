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

// TestReclaimSpreadsStreams takes two of six engines back while they answer:
// each answer is whole, what they ran goes to all four that stay, and each move
// is told with what was read again.
func TestReclaimSpreadsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, engines = 48, 6
		c := qt.New(t)
		d := newDeployment(1, engines, 0, nil)
		defer d.stop()
		var mu sync.Mutex
		to := make(map[identity.Host]int)
		moved, recomputed := 0, 0
		d.hosts[0].server.Resumed = func(r entry.Resumption) {
			mu.Lock()
			defer mu.Unlock()
			to[r.To]++
			moved++
			recomputed += int(r.Recomputed)
		}
		left := 0
		time.AfterFunc(3*time.Second, func() {
			for i := range 2 {
				running, err := d.hosts[0].server.Engine.Load(d.ctx, d.snapshot.Load().Endpoints[i].Address)
				c.Check(err, qt.IsNil)
				left += running.Running
			}
			d.leave(0, 1)
		})
		var group errgroup.Group
		for i := range streams {
			group.Go(func() error {
				prompt := fmt.Sprint("history of boiler ", i)
				got, reply := d.complete(i, d.hosts[0], prompt, 300)
				c.Check(got, qt.Equals, standinengine.Text(prompt, 300), qt.Commentf("%+v", reply))
				return reply.err
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		mu.Lock()
		defer mu.Unlock()
		c.Check(moved, qt.Equals, left)
		c.Check(left > 8, qt.IsTrue, qt.Commentf("%d", left))
		c.Check(recomputed > 0, qt.IsTrue)
		c.Check(to, qt.HasLen, engines-2)
		for host, n := range to {
			c.Check(n <= left/2, qt.IsTrue, qt.Commentf("%s took %d of %d", host, n, left))
		}
	})
}
