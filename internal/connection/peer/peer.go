// Package peer connects entry hosts with one another.
//
// # Calls
//
// Peers call one another over HTTP/2 without TLS, by connect. Other subsystems
// mount their handlers on the Router of the peer listener and call through a
// client that Connect makes.
//
// # Keys
//
// Both ends prove for each call that they know a shared key, without sending
// it: the caller by a keyed hash of a nonce, the callee by another one of the
// same nonce. The settings list several keys, so that one can be replaced
// without a stop: first add the new key everywhere, then move it to the front,
// then drop the old one.
//
// # Silence
//
// An open connection can go silent for good. Each call has a deadline, and a
// caller that missed one makes a new client before it blames the peer.
package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

const (
	dialTimeout = time.Second
	// pingAfter is the silence on a connection after which it is pinged.
	pingAfter   = 3 * time.Second
	pingTimeout = 2 * time.Second
	idleTimeout = time.Minute
)

// Router is what the peer listener serves; handlers see authenticated calls only.
type Router struct {
	*mux.Router
}

// NewRouter makes an empty Router.
func NewRouter() Router {
	return Router{Router: mux.NewRouter()}
}

// Server serves router to peers that know one of keys.
func Server(router Router, keys Keys) *http.Server {
	return &http.Server{
		Handler:           keys.Require(router),
		Protocols:         protocols(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout,
	}
}

const readHeaderTimeout = 5 * time.Second

// Dial opens a connection to an address by IP number.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Connect makes a client with connections of its own. A nil dial is net's.
func Connect(keys Keys, dial Dial) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{Transport: keys.Transport(&http.Transport{
		DialContext:     dial,
		Protocols:       clientProtocols(),
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	})}
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// clientProtocols leaves out HTTP/1, because with both a client prefers it.
func clientProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}
