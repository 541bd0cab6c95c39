package member

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// state is touched by Run alone.
type state struct {
	self  Peer
	known map[identity.Host]record
	links map[netip.AddrPort]*link
}

// record is what is known of one member.
type record struct {
	peer Peer
	// heard is when a sign of life came last.
	heard time.Time
}

// link is the connection to one neighbour.
type link struct {
	client *http.Client
	// busy is true while an exchange is under way.
	busy bool
}

func (s *state) link(address netip.AddrPort, connect func() *http.Client) *link {
	l, ok := s.links[address]
	if !ok {
		l = &link{client: connect()}
		s.links[address] = l
	}
	return l
}

// heard takes a sign of life from the sender itself.
func (s *state) heard(at time.Time, sender *peer.Sender) {
	address, err := netip.ParseAddrPort(sender.GetAddress())
	if err != nil || sender.GetHost() == string(s.self.Host) {
		return
	}
	host := identity.Host(sender.GetHost())
	s.known[host] = record{heard: at, peer: Peer{
		Host:        host,
		Incarnation: identity.Incarnation(sender.GetIncarnation()),
		Zone:        identity.Zone(sender.GetZone()),
		Address:     address,
	}}
}
