package logline_test

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/logline"
)

func TestABurstIsBoundedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var out bytes.Buffer
		w := logline.New(&out)
		const lines = 5000
		for i := range lines {
			fmt.Fprintf(w, "line %d\n", i)
		}
		dropped := w.Dropped()
		c.Assert(dropped > lines/2, qt.IsTrue)
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		group.Go(func() error { return w.Run(ctx) })
		synctest.Wait()
		cancel()
		c.Assert(group.Wait(), qt.IsNil)
		c.Assert(out.String(), qt.Contains, fmt.Sprintf("msg=lines_dropped count=%d\n", dropped))
		c.Assert(int64(bytes.Count(out.Bytes(), []byte("line ")))+dropped, qt.Equals, int64(lines))
	})
}
