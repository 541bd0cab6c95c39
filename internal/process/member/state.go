package member

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// state is what this host knows about members, zones, departures and demands. Only
// the goroutine of Run uses it.
type state struct {
	self *record
	// records holds the members of this host's zone, itself included. A member that
	// is removed from the view stays here for forgetAfter, so that its return is
	// detected.
	records    map[identity.Host]*record
	zones      map[identity.Zone]*zoneSummary
	departures map[identity.Incarnation]*departure
	demands    map[demandKey]*demand
	links      map[netip.AddrPort]*link
	// changes is the number of the last change.
	changes uint64
	// urgent requests heartbeats at the next tick.
	urgent bool
}

// link is the connection to one peer.
type link struct {
	client *http.Client
	// inFlight is set while an exchange is in progress.
	inFlight bool
	// incarnation is the peer's incarnation to which acked and received refer. acked
	// is the last change of this host that the peer has, received the last change of
	// the peer that this host has.
	incarnation     string
	acked, received uint64
	lastUsed        time.Time
}

func newState(self Peer, now time.Time) state {
	r := &record{peer: self, started: now.UnixMilli(), lastSeen: now}
	s := state{
		self:       r,
		records:    map[identity.Host]*record{self.Host: r},
		zones:      make(map[identity.Zone]*zoneSummary),
		departures: make(map[identity.Incarnation]*departure),
		demands:    make(map[demandKey]*demand),
		links:      make(map[netip.AddrPort]*link),
	}
	r.identityChange = s.nextChange("")
	return s
}

// nextChange returns the stamp of a new change that came from a peer, or from this
// host if from is empty.
func (s *state) nextChange(from identity.Host) changeStamp {
	s.changes++
	return changeStamp{number: s.changes, from: from}
}

func (s *state) link(now time.Time, address netip.AddrPort, connect func() *http.Client) *link {
	l, ok := s.links[address]
	if !ok {
		l = &link{client: connect()}
		s.links[address] = l
	}
	l.lastUsed = now
	return l
}

// countHeartbeat counts a heartbeat of this host.
func (s *state) countHeartbeat(now time.Time, version identity.Version) {
	s.self.count++
	s.self.version = version
	s.self.lastSeen = now
	s.self.countChange = s.nextChange("")
}

// newsFor returns the changes that a peer that knows those up to the number known
// lacks.
func (s *state) newsFor(known uint64, to identity.Host, toZone identity.Zone) *peer.News {
	n := new(peer.News)
	if toZone == s.self.peer.Zone {
		s.addZoneNews(n, known, to)
	}
	for id, z := range s.zones {
		if z.sequenceChange.missingAt(known, to) {
			n.Summaries = append(n.Summaries, z.summary(id, z.membersChange.missingAt(known, to)))
		}
	}
	for _, d := range s.departures {
		if d.change.missingAt(known, to) {
			n.Departures = append(n.Departures, &peer.Departure{
				Host: string(d.Host), Incarnation: string(d.Incarnation), DeadlineMs: toUnixMilli(d.Deadline),
			})
		}
	}
	return n
}

// addZoneNews adds the changes that are only exchanged within the zone.
func (s *state) addZoneNews(n *peer.News, known uint64, to identity.Host) {
	n.Pulses = new(peer.Pulses)
	for _, r := range s.records {
		if r.identityChange.missingAt(known, to) {
			n.Members = append(n.Members, r.member())
		}
		if r.countChange.missingAt(known, to) {
			n.Pulses.Members = append(n.Pulses.Members, r.pulseID())
			n.Pulses.Counts = append(n.Pulses.Counts, r.count)
			n.Pulses.Versions = append(n.Pulses.Versions, uint64(r.version))
		}
	}
	for key, d := range s.demands {
		if d.change.missingAt(known, to) {
			n.Demands = append(n.Demands, &peer.Demand{
				Host: string(key.host), Organisation: string(key.organisation), TokensPerSecond: d.tokensPerSecond,
			})
		}
	}
}

func (z *zoneSummary) summary(id identity.Zone, withMembers bool) *peer.Summary {
	m := &peer.Summary{Zone: string(id), Sequence: z.sequence, Version: uint64(z.version), Behind: z.behind}
	if !withMembers {
		return m
	}
	for _, p := range z.members {
		r := record{peer: p}
		m.Members = append(m.Members, r.member())
	}
	return m
}
