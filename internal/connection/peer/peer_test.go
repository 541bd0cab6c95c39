package peer_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
)

var (
	near = netip.MustParseAddr("10.0.0.1")
	far  = netip.MustParseAddrPort("10.0.0.2:8081")
)

// serve runs handler behind the keys until the returned stop is called.
func serve(n *network.Network, server *http.Server) (stop func()) {
	group := new(errgroup.Group)
	l := n.Listen(far)
	group.Go(func() error { return server.Serve(l) })
	return func() {
		server.Close()
		_ = group.Wait()
	}
}

func call(client *http.Client) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+far.String()+"/ping", nil)
	if err != nil {
		return 0, err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

func pong() peer.Router {
	router := peer.NewRouter()
	router.HandleFunc("/ping", func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 2 {
			w.WriteHeader(http.StatusHTTPVersionNotSupported)
		}
	})
	return router
}

func TestPeerKeysRotate(t *testing.T) {
	cases := []struct {
		name           string
		caller, callee peer.Keys
		stranger       bool
	}{
		{name: "same", caller: peer.Keys{"old"}, callee: peer.Keys{"old"}},
		{name: "callee has both", caller: peer.Keys{"old"}, callee: peer.Keys{"new", "old"}},
		{name: "caller went on", caller: peer.Keys{"new", "old"}, callee: peer.Keys{"old", "new"}},
		{name: "unknown key", caller: peer.Keys{"other"}, callee: peer.Keys{"old"}, stranger: true},
		{name: "callee without keys", caller: peer.Keys{"old"}, callee: nil, stranger: true},
		{name: "caller without keys", caller: nil, callee: peer.Keys{"old"}, stranger: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := network.New()
				defer serve(n, peer.Server(pong(), tc.callee))()
				client := peer.Connect(tc.caller, n.Dial(near))
				defer client.CloseIdleConnections()
				status, err := call(client)
				if tc.stranger {
					qt.Assert(t, errors.Is(err, peer.ErrStranger), qt.IsTrue)
					return
				}
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, status, qt.Equals, http.StatusOK)
			})
		})
	}
}

// A callee that lets anyone in but knows no key must not be believed.
func TestPeerCalleeMustProveItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New()
		open := peer.Server(pong(), nil)
		open.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Peer-Proof", r.Header.Get("Peer-Proof"))
		})
		defer serve(n, open)()
		client := peer.Connect(peer.Keys{"key"}, n.Dial(near))
		defer client.CloseIdleConnections()
		_, err := call(client)
		qt.Assert(t, errors.Is(err, peer.ErrStranger), qt.IsTrue)
	})
}
