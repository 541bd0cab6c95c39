// Package member knows which entry hosts live.
//
// # Who may exist and who lives
//
// The host list says who may exist, with a lag. Heartbeats say who lives: each
// host counts its own, and a host whose count is seen to grow lives, whatever
// way the count came. A host that is silent is suspected first and removed
// later.
//
// # Incarnations
//
// A restarted host is a new incarnation. Its records replace those of the old
// one, and a late record of the old one is dropped.
package member

import (
	"net/netip"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Peer is an entry host that lives.
type Peer struct {
	Host        identity.Host
	Incarnation identity.Incarnation
	Zone        identity.Zone
	// Address is the one of the peer listener.
	Address netip.AddrPort
	// Suspected tells that the host has been silent, but not yet for long
	// enough to be removed.
	Suspected bool
}
