package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/gateway"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// mostIdle is what a host keeps at most to an endpoint, whatever the limit.
const mostIdle = 16

// countingEndpoint answers calls once as many as it waits for are in progress.
type countingEndpoint struct {
	address netip.AddrPort
	open    atomic.Int64
	calls   chan chan struct{}
}

func startCountingEndpoint(c *qt.C) *countingEndpoint {
	e := &countingEndpoint{calls: make(chan chan struct{}, mostIdle)}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		release := make(chan struct{})
		e.calls <- release
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			e.open.Add(1)
		case http.StateClosed:
			e.open.Add(-1)
		}
	}
	server.Start()
	c.Cleanup(server.Close)
	e.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return e
}

// connectionPlatform has one endpoint. The data of a configuration is its version and
// how many connections the endpoint accepts.
func connectionPlatform(s *fakeStore, to netip.AddrPort) gateway.Platform {
	return gateway.Platform{
		Store: s.client(), ConfigurationKey: "configuration", EndpointPrefix: "endpoints/",
		DecodeCatalogue: func(data []byte) (*catalogue.Catalogue, error) {
			versionText, limitText, _ := strings.Cut(string(data), " ")
			version, _ := strconv.ParseUint(versionText, 10, 64)
			limit, err := strconv.Atoi(limitText)
			return catalogue.New(catalogue.Catalogue{
				Version: identity.Version(version), Services: []catalogue.Service{{ID: "s", MaxConnections: limit}},
			}), err
		},
		DecodeEndpoint: func(key string, _ []byte) (fleet.Endpoint, error) {
			return fleet.Endpoint{Host: identity.Host(key), Incarnation: "e", Service: "s", Zone: "z", Slots: 2 * mostIdle, Address: to}, nil
		},
		Protocol: forward.Protocol{
			AttemptHeader: func(*forward.Call, fleet.Endpoint, time.Duration, int64) http.Header { return http.Header{} },
			Owner:         func(*forward.Call, http.Header) endpoint.Owner { return endpoint.ThisRequest },
			Classify:      func(int, http.Header) forward.AnswerClass { return forward.Executed },
			Advice:        func(int, http.Header) advice.Advice { return advice.Advice{} },
			CallerHeader:  func(h http.Header) http.Header { return h },
		},
	}
}

// burst makes mostIdle calls at the same time.
func (e *countingEndpoint) burst(c *qt.C, g *gateway.Gateway) {
	group := new(errgroup.Group)
	for i := range mostIdle {
		group.Go(func() error {
			now := time.Now()
			_, failure := g.Forwarder().Serve(context.Background(), httptest.NewRecorder(), &forward.Call{
				ID: identity.Request(fmt.Sprint(i)), Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{}, Body: []byte("x"),
				Route:   &catalogue.Route{Kind: catalogue.Idempotent, Attempts: 1, LatencyTarget: 20 * time.Second},
				Service: &catalogue.Service{ID: "s"}, Organisation: &catalogue.Organisation{ID: "o"},
				Arrived: now, Deadline: now.Add(20 * time.Second), LastEvent: -1,
			})
			if failure != nil {
				return failure
			}
			return nil
		})
	}
	var releases []chan struct{}
	for range mostIdle {
		select {
		case release := <-e.calls:
			releases = append(releases, release)
		case <-time.After(20 * time.Second):
			c.Fatalf("the endpoint has %d calls", len(releases))
		}
	}
	for _, release := range releases {
		close(release)
	}
	c.Assert(group.Wait(), qt.IsNil)
}

// awaitOpen waits until the endpoint has from least to most connections.
func (e *countingEndpoint) awaitOpen(c *qt.C, least, most int64) {
	c.Helper()
	for range 300 {
		if open := e.open.Load(); open >= least && open <= most {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("the endpoint has %d connections, not %d to %d", e.open.Load(), least, most)
}

// silentHosts returns addresses at which no host answers.
func silentHosts(count int) []netip.AddrPort {
	hosts := make([]netip.AddrPort, count)
	for i := range hosts {
		hosts[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(1 + i)}), 9)
	}
	return hosts
}

// Guards against more connections than an endpoint accepts: each of 63 hosts kept 16 where
// 570 are accepted. The other 62 are only known here, not heard.
func TestHostKeepsItsShareOfConnections(t *testing.T) {
	c := qt.New(t)
	s, e := newStore(), startCountingEndpoint(c)
	s.set("configuration", "1 570")
	s.set("endpoints/e", "")
	g, _ := startPlatform(c, connectionPlatform(s, e.address), silentHosts(62)...)
	waitForStates(c, g, "ready")
	e.burst(c, g)
	// Half of 570 by 63 is 4.5.
	e.awaitOpen(c, 4, 5)
	// The calls of a further burst open what they need.
	e.burst(c, g)
	e.awaitOpen(c, 4, 5)
}

// Guards against connections kept under an earlier configuration: what is idle and
// beyond the share is closed while no call ends. Without a limit a host keeps the most.
func TestShareFollowsTheConfiguration(t *testing.T) {
	c := qt.New(t)
	s, e := newStore(), startCountingEndpoint(c)
	s.set("configuration", "1 0")
	s.set("endpoints/e", "")
	g, _ := startPlatform(c, connectionPlatform(s, e.address), silentHosts(62)...)
	waitForStates(c, g, "ready")
	e.burst(c, g)
	e.awaitOpen(c, mostIdle, mostIdle)
	s.set("configuration", "2 1134")
	// Half of 1,134 by 63 is 9. The connections would be closed for their age after 8 s.
	e.awaitOpen(c, 9, 9)
	s.set("configuration", "3 6")
	e.awaitOpen(c, 0, 1)
	e.burst(c, g)
}

// Guards against what a host kept while there were fewer: one that starts takes a share.
func TestShareShrinksWhenAHostStarts(t *testing.T) {
	c := qt.New(t)
	s, e := newStore(), startCountingEndpoint(c)
	s.set("configuration", "1 40")
	s.set("endpoints/e", "")
	g, address := startPlatform(c, connectionPlatform(s, e.address))
	waitForStates(c, g, "ready")
	e.burst(c, g)
	e.awaitOpen(c, mostIdle, mostIdle)
	startPlatform(c, connectionPlatform(s, e.address), address)
	// Half of 40 by two is 10.
	e.awaitOpen(c, 10, 10)
	e.burst(c, g)
	e.awaitOpen(c, 10, 10)
}

// Guards against dearer calls in a small fleet: each new connection takes time of the
// endpoint.
func TestHostOfASmallFleetKeepsTheMost(t *testing.T) {
	c := qt.New(t)
	s, e := newStore(), startCountingEndpoint(c)
	s.set("configuration", "1 370")
	s.set("endpoints/e", "")
	g, _ := startPlatform(c, connectionPlatform(s, e.address), silentHosts(7)...)
	waitForStates(c, g, "ready")
	e.burst(c, g)
	time.Sleep(1500 * time.Millisecond)
	e.awaitOpen(c, mostIdle, mostIdle)
}
