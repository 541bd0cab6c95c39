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
	clientAddress = netip.MustParseAddr("10.0.0.1")
	serverAddress = netip.MustParseAddrPort("10.0.0.2:8081")
)

// serve runs server until the returned function is called.
func serve(n *network.Network, server *http.Server) (stop func()) {
	group := new(errgroup.Group)
	l := n.Listen(serverAddress)
	group.Go(func() error { return server.Serve(l) })
	return func() {
		server.Close()
		_ = group.Wait()
	}
}

func call(client *http.Client) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+serverAddress.String()+"/ping", nil)
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

func pingRouter() peer.Router {
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
		wantUnknownKey bool
	}{
		{name: "same", caller: peer.Keys{"old"}, callee: peer.Keys{"old"}},
		{name: "callee has both", caller: peer.Keys{"old"}, callee: peer.Keys{"new", "old"}},
		{name: "caller uses the new key first", caller: peer.Keys{"new", "old"}, callee: peer.Keys{"old", "new"}},
		{name: "unknown key", caller: peer.Keys{"other"}, callee: peer.Keys{"old"}, wantUnknownKey: true},
		{name: "callee without keys", caller: peer.Keys{"old"}, callee: nil, wantUnknownKey: true},
		{name: "caller without keys", caller: nil, callee: peer.Keys{"old"}, wantUnknownKey: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := network.New()
				defer serve(n, peer.NewServer(pingRouter(), tc.callee))()
				client := peer.NewClient(tc.caller, n.Dial(clientAddress))
				defer client.CloseIdleConnections()
				status, err := call(client)
				if tc.wantUnknownKey {
					qt.Assert(t, errors.Is(err, peer.ErrUnknownKey), qt.IsTrue)
					return
				}
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, status, qt.Equals, http.StatusOK)
			})
		})
	}
}

// A callee that accepts any caller and reflects its proof, but knows no key, must be
// rejected.
func TestPeerCalleeMustProveItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New()
		open := peer.NewServer(pingRouter(), nil)
		open.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Peer-Proof", r.Header.Get("Peer-Proof"))
		})
		defer serve(n, open)()
		client := peer.NewClient(peer.Keys{"key"}, n.Dial(clientAddress))
		defer client.CloseIdleConnections()
		_, err := call(client)
		qt.Assert(t, errors.Is(err, peer.ErrUnknownKey), qt.IsTrue)
	})
}
