package gateway_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/gateway"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
)

// confirms reports whether a stream may go on at an endpoint over a connection that was
// opened at some time.
func confirms(g *gateway.Gateway, e fleet.Endpoint, opened time.Time) bool {
	c := &forward.Call{ID: "r", Service: &catalogue.Service{ID: "s"}}
	return g.Forwarder().Confirm(context.Background(), c, e, opened)
}

// Endpoints may start again with another software version while the store does not answer.
// Streams must not go on at one that was down meanwhile, nor, with several versions, at one
// that nothing confirms; with one version nothing else is refused. A host in order asks the
// store nothing.
func TestStreamGoesOnAtConfirmedEndpointsOnly(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		versions []string
		// unconfirmed is whether streams go on where nothing confirms the version.
		unconfirmed bool
	}{
		{"one version", []string{"v1", "v1", "v1"}, true},
		{"two versions", []string{"v1", "v1", "v2"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := storeWithVersions(test.versions...)
			client := s.client()
			var reads atomic.Int64
			client.Get = func(ctx context.Context, key string) (keyvalue.Value, error) {
				if key != "dandelionlift/versions" && key != "dandelionlift/duty" && key != "dandelionlift/quarantine" {
					reads.Add(1)
				}
				return s.get(ctx, key)
			}
			g, _ := startVersionsOver(c, s, client)
			first, second := g.Endpoints()[0], g.Endpoints()[1]
			if test.unconfirmed {
				waitForOrigin(c, g, "unknown", "v1")
			}
			before := time.Now()
			c.Assert(confirms(g, first, time.Now()), qt.IsTrue)
			c.Assert(reads.Load(), qt.Equals, int64(0))
			s.setDown(true)
			waitUntil(c, "the host knows that the store is down", func() bool {
				_, failing := g.Mirror().FailingSince("endpoints/")
				return failing
			})
			c.Assert(confirms(g, first, time.Now()), qt.Equals, test.unconfirmed)
			c.Assert(confirms(g, first, before.Add(-time.Minute)), qt.IsTrue)
			g.Forwarder().OnUnreachable(first.Incarnation)
			c.Assert(confirms(g, first, time.Now()), qt.IsFalse)
			c.Assert(confirms(g, first, before.Add(-time.Minute)), qt.IsFalse)
			c.Assert(confirms(g, second, time.Now()), qt.Equals, test.unconfirmed)
			c.Assert(reads.Load(), qt.Equals, int64(0))
			s.setDown(false)
			// Endpoints register again within a time after the store is back.
			waitUntil(c, "the endpoint is confirmed", func() bool { return confirms(g, first, time.Now()) })
			c.Assert(confirms(g, second, time.Now()), qt.IsTrue)
		})
	}
}
