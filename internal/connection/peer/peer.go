// Package peer implements authenticated calls between entry hosts.
//
// # Calls
//
// Peers call one another with Connect RPC over HTTP/2 without TLS. Other
// subsystems register their handlers on the Router of the peer listener and make
// calls with a client that NewClient returns.
//
// # Keys
//
// For each call both ends prove that they know a shared key without sending it:
// the caller by an HMAC of a nonce, the callee by a different HMAC of the same
// nonce. The settings list several keys, so that a key can be rotated without
// downtime: add the new key on all hosts, then move it to the front, then remove
// the old one.
//
// # Dead connections
//
// An open connection can stop delivering data for good. Each call has a deadline.
// After a missed deadline a caller must retry with a new client before it
// considers the peer failed.
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
	// idleBeforePing is the time without data on a connection after which a
	// ping is sent.
	idleBeforePing = 3 * time.Second
	pingTimeout    = 2 * time.Second
	idleTimeout    = time.Minute
)

// Router routes the calls to the peer listener. Handlers receive authenticated calls
// only.
type Router struct {
	*mux.Router
}

// NewRouter returns an empty Router.
func NewRouter() Router {
	return Router{Router: mux.NewRouter()}
}

// NewServer returns a server that serves router to peers that know one of keys.
func NewServer(router Router, keys Keys) *http.Server {
	return &http.Server{
		Handler:           keys.RequireProof(router),
		Protocols:         protocols(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       2 * idleTimeout,
	}
}

const readHeaderTimeout = 5 * time.Second

// Dial opens a connection to an IP address and port.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with its own connection pool. If dial is nil it uses a
// net.Dialer.
func NewClient(keys Keys, dial Dial) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &http.Client{Transport: keys.Transport(&http.Transport{
		DialContext:     dial,
		Protocols:       clientProtocols(),
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: idleBeforePing, PingTimeout: pingTimeout},
	})}
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// clientProtocols omits HTTP/1, which a client would prefer if both were set.
func clientProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}
