// Package member tracks which entry hosts are alive.
//
// # Failure detection
//
// The host list names the hosts that may exist and lags behind their starts and
// ends. Heartbeats show which of them are alive: each host counts its own
// heartbeats, and a host is alive while its count grows, no matter through which
// peers the count arrives. A host whose count does not grow is first suspected and
// later removed.
//
// # Incarnations
//
// A restarted host is a new incarnation. Its record replaces that of the old
// incarnation, and late records of the old incarnation are dropped while the new
// one is alive.
package member

import (
	"net/netip"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Peer is an entry host.
type Peer struct {
	Host        identity.Host
	Incarnation identity.Incarnation
	Zone        identity.Zone
	// Address is the address of the peer listener.
	Address netip.AddrPort
	// Suspected is set while the host has been silent, but not for long enough to
	// be removed.
	Suspected bool
}
