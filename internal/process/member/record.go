package member

import (
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// changed numbers the changes of a host's records, so that a neighbour is told
// only of those that it lacks.
type changed struct {
	number uint64
	// from is the peer that the record came from, which need not hear it again.
	from identity.Host
}

func (c changed) missing(above uint64, at identity.Host) bool {
	return c.number > above && c.from != at
}

// record is what is known of one member of this host's own zone.
type record struct {
	peer    Peer
	started int64
	// count is how often the member is known to have beaten.
	count   uint64
	version identity.Version
	// heard is when the count was last seen to grow.
	heard time.Time
	// introduced and pulsed number the changes of the identity and the count.
	introduced changed
	pulsed     changed
}

func (r *record) pulse() uint32 {
	return uint32(xxh3.HashString(string(r.peer.Incarnation)))
}

func (r *record) member() *peer.Member {
	return &peer.Member{
		Host: string(r.peer.Host), Incarnation: string(r.peer.Incarnation), Zone: string(r.peer.Zone),
		Address: r.peer.Address.String(), StartedMs: r.started, Count: r.count,
	}
}

// zone is the last summary of another zone.
type zone struct {
	sequence uint64
	version  identity.Version
	behind   []string
	members  []Peer
	heard    time.Time
	// told numbers changes of the sequence, listed those of the members.
	told   changed
	listed changed
}

// Departure tells that an endpoint's incarnation is leaving.
type Departure struct {
	Host        identity.Host
	Incarnation identity.Incarnation
	// Deadline is when it is gone; zero when not known.
	Deadline time.Time
}

type departure struct {
	Departure
	seen    time.Time
	changed changed
}

// Demand is what an organisation asks for at one entry host.
type Demand struct {
	Host            identity.Host
	Organisation    identity.Organisation
	TokensPerSecond uint64
}

type demandKey struct {
	host         identity.Host
	organisation identity.Organisation
}

type demand struct {
	tokens  uint64
	changed changed
}

// differs tells whether a new figure is worth telling.
func (d *demand) differs(tokens uint64) bool {
	lower, higher := min(d.tokens, tokens), max(d.tokens, tokens)
	return higher-lower > higher/worthTelling
}

// worthTelling is the part of a figure by which it must change to be told.
const worthTelling = 10

func parseMember(m *peer.Member) (Peer, bool) {
	address, err := netip.ParseAddrPort(m.GetAddress())
	p := Peer{
		Host:        identity.Host(m.GetHost()),
		Incarnation: identity.Incarnation(m.GetIncarnation()),
		Zone:        identity.Zone(m.GetZone()),
		Address:     address,
	}
	return p, err == nil && p.Host != "" && p.Incarnation != ""
}

func milliseconds(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMilliseconds(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
