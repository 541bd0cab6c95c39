package entry_test

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/entry"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/standin/scenario"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// unreachable refuses connections.
var unreachable = netip.MustParseAddrPort("127.0.0.1:1")

// freeAddress returns an address on the loopback that nothing listens on.
func freeAddress(c *qt.C) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// A request that a stopping host reads only after it has closed its listener gets an
// answer: net/http's Shutdown would close its connection without one.
func TestRequestReadWhileStoppingIsAnswered(t *testing.T) {
	c := qt.New(t)
	user := scenario.Perseid()
	s := user.Entries(scenario.Addresses{})[0]
	s.Listen, s.PeerListen = freeAddress(c), netip.AddrPort{}
	s.Platform = settings.Platform{KeyValue: unreachable, Cloud: unreachable, Weights: unreachable}
	s.Stop.BalancerLag = configuration.Duration(50 * time.Millisecond)
	app := entry.App(entry.Options{Settings: s, Bootstrap: user.Configuration(), Log: slog.New(slog.DiscardHandler)})
	c.Assert(app.Start(context.Background()), qt.IsNil)

	conn, err := net.Dial("tcp", s.Listen.String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: a.example\r\n")
	c.Assert(err, qt.IsNil)
	var stopping errgroup.Group
	stopping.Go(func() error { return app.Stop(context.Background()) })
	for other := net.Conn(nil); err == nil; other, err = net.Dial("tcp", s.Listen.String()) {
		if other != nil {
			other.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, err = io.WriteString(conn, "\r\n")
	c.Assert(err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Check(response.StatusCode, qt.Equals, http.StatusNoContent)
	c.Check(stopping.Wait(), qt.IsNil)
}
