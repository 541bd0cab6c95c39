package controller_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// loadCounter counts the requests to each address and fails all of them.
type loadCounter struct {
	mu       sync.Mutex
	requests map[string]int
}

func (a *loadCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[r.URL.Host]++
	return &http.Response{StatusCode: http.StatusTeapot, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
}

// TestControlPollsEndpointsAtABoundedRate polls fleets of several sizes for a minute
// and checks the number of load requests, and that each endpoint gets some.
func TestControlPollsEndpointsAtABoundedRate(t *testing.T) {
	for _, test := range []struct{ endpoints, minRequests, maxRequests int }{
		{6, 6 * 58, 6 * 61},
		{23, 8 * 58, 8 * 61},
		{240, 8 * 58, 8 * 61},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			var hosts []cloud.Host
			for i := range test.endpoints {
				hosts = append(hosts, cloud.Host{
					ID: identity.Host(fmt.Sprintf("e-%03d", i)), Incarnation: "i", Service: "drafts", State: cloud.Live,
					Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9000),
				})
			}
			counter := &loadCounter{requests: make(map[string]int)}
			control := controller.New("entry", "a")
			poller := controller.Poller{
				Controller: control,
				Cloud: cloud.Client{
					List:    func(context.Context) ([]cloud.Host, error) { return hosts, nil },
					Notices: func(context.Context, uint64) ([]cloud.Notice, error) { return nil, nil },
				},
				Engine:        engine.Client{HTTP: &http.Client{Transport: counter}},
				Log:           slog.New(slog.DiscardHandler),
				HostsInterval: time.Second, NoticesInterval: time.Second, LoadsInterval: time.Second,
			}
			ctx, cancel := context.WithCancel(t.Context())
			var group errgroup.Group
			group.Go(func() error { return control.Run(ctx) })
			group.Go(func() error { return poller.Run(ctx) })
			time.Sleep(time.Minute)
			cancel()
			c.Assert(group.Wait(), qt.IsNil)
			sum := 0
			for _, n := range counter.requests {
				sum += n
			}
			c.Check(len(counter.requests), qt.Equals, test.endpoints)
			c.Check(sum >= test.minRequests && sum <= test.maxRequests, qt.IsTrue, qt.Commentf("%d load requests", sum))
		})
	}
}
