package member

import (
	"net/netip"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// changeStamp numbers a change of a record at this host, so that a peer is sent
// only the changes that it lacks.
type changeStamp struct {
	number uint64
	// from is the peer that sent the change, which does not need it back. It is empty
	// for a change made by this host.
	from identity.Host
}

// missingAt reports whether a peer that knows the changes up to the number known
// lacks this one.
func (c changeStamp) missingAt(known uint64, peer identity.Host) bool {
	return c.number > known && c.from != peer
}

// record is what this host knows about one member of its zone.
type record struct {
	peer Peer
	// started is the start of the incarnation in Unix milliseconds, which
	// distinguishes a later incarnation from an earlier one.
	started int64
	// count is the highest known number of heartbeats of the member.
	count   uint64
	version identity.Version
	// lastSeen is when the count was last seen to grow.
	lastSeen time.Time
	// identityChange and countChange number the last changes of the identity and of
	// the count.
	identityChange changeStamp
	countChange    changeStamp
}

// pulseID returns the hash of the incarnation that identifies the member in
// peer.Pulses.
func (r *record) pulseID() uint32 {
	return uint32(xxh3.HashString(string(r.peer.Incarnation)))
}

func (r *record) member() *peer.Member {
	return &peer.Member{
		Host: string(r.peer.Host), Incarnation: string(r.peer.Incarnation), Zone: string(r.peer.Zone),
		Address: r.peer.Address.String(), StartedMs: r.started, Count: r.count,
	}
}

// zoneSummary is the last summary of a zone.
type zoneSummary struct {
	sequence uint64
	version  identity.Version
	behind   []string
	members  []Peer
	lastSeen time.Time
	// sequenceChange and membersChange number the last changes of the sequence and
	// of the members.
	sequenceChange changeStamp
	membersChange  changeStamp
}

// Departure is the announcement that an incarnation of an endpoint is leaving.
type Departure struct {
	Host        identity.Host
	Incarnation identity.Incarnation
	// Deadline is the time at which the endpoint is gone, or zero if unknown.
	Deadline time.Time
}

type departure struct {
	Departure
	recorded time.Time
	change   changeStamp
}

// Demand is the demand of an organisation at one entry host.
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
	tokensPerSecond uint64
	change          changeStamp
}

// differsEnough reports whether a new demand differs enough to be sent to peers.
func (d *demand) differsEnough(tokens uint64) bool {
	lower, higher := min(d.tokensPerSecond, tokens), max(d.tokensPerSecond, tokens)
	return higher-lower > higher/demandChangeDivisor
}

// demandChangeDivisor sets the smallest change of a demand that is sent to peers:
// more than 1/demandChangeDivisor of the higher value.
const demandChangeDivisor = 10

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

func toUnixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
