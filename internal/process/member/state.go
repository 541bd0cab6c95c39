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
	self *record
	// known holds the members of the own zone, this host among them; one that
	// was removed stays for forgetAfter, so that its return is noticed.
	known      map[identity.Host]*record
	zones      map[identity.Zone]*zone
	departures map[identity.Incarnation]*departure
	demands    map[demandKey]*demand
	links      map[netip.AddrPort]*link
	// changes counts the changes of all records.
	changes uint64
	// urgent asks for heartbeats before their time.
	urgent bool
}

// link is the connection to one neighbour.
type link struct {
	client *http.Client
	// busy is true while an exchange is under way.
	busy bool
	// incarnation is whom acked and have are about: acked is the own change up
	// to which the neighbour knows, have the neighbour's that this host knows.
	incarnation string
	acked, have uint64
	used        time.Time
}

func newState(self Peer, now time.Time) state {
	r := &record{peer: self, started: now.UnixMilli(), heard: now}
	s := state{
		self:       r,
		known:      map[identity.Host]*record{self.Host: r},
		zones:      make(map[identity.Zone]*zone),
		departures: make(map[identity.Incarnation]*departure),
		demands:    make(map[demandKey]*demand),
		links:      make(map[netip.AddrPort]*link),
	}
	r.introduced = s.change("")
	return s
}

func (s *state) change(from identity.Host) changed {
	s.changes++
	return changed{number: s.changes, from: from}
}

func (s *state) link(now time.Time, address netip.AddrPort, connect func() *http.Client) *link {
	l, ok := s.links[address]
	if !ok {
		l = &link{client: connect()}
		s.links[address] = l
	}
	l.used = now
	return l
}

// beaten counts a heartbeat of this host.
func (s *state) beaten(now time.Time, version identity.Version) {
	s.self.count++
	s.self.version = version
	s.self.heard = now
	s.self.pulsed = s.change("")
}

// news gathers the records above a change that a peer lacks.
func (s *state) news(above uint64, to identity.Host, toZone identity.Zone) *peer.News {
	n := new(peer.News)
	if toZone == s.self.peer.Zone {
		s.zoneNews(n, above, to)
	}
	for id, z := range s.zones {
		if z.told.missing(above, to) {
			n.Summaries = append(n.Summaries, z.summary(id, z.listed.missing(above, to)))
		}
	}
	for _, d := range s.departures {
		if d.changed.missing(above, to) {
			n.Departures = append(n.Departures, &peer.Departure{
				Host: string(d.Host), Incarnation: string(d.Incarnation), DeadlineMs: milliseconds(d.Deadline),
			})
		}
	}
	return n
}

// zoneNews adds what only members of the zone tell one another.
func (s *state) zoneNews(n *peer.News, above uint64, to identity.Host) {
	n.Pulses = new(peer.Pulses)
	for _, r := range s.known {
		if r.introduced.missing(above, to) {
			n.Members = append(n.Members, r.member())
		}
		if r.pulsed.missing(above, to) {
			n.Pulses.Members = append(n.Pulses.Members, r.pulse())
			n.Pulses.Counts = append(n.Pulses.Counts, r.count)
			n.Pulses.Versions = append(n.Pulses.Versions, uint64(r.version))
		}
	}
	for key, d := range s.demands {
		if d.changed.missing(above, to) {
			n.Demands = append(n.Demands, &peer.Demand{
				Host: string(key.host), Organisation: string(key.organisation), TokensPerSecond: d.tokens,
			})
		}
	}
}

func (z *zone) summary(id identity.Zone, whole bool) *peer.Summary {
	m := &peer.Summary{Zone: string(id), Sequence: z.sequence, Version: uint64(z.version), Behind: z.behind}
	if !whole {
		return m
	}
	for _, p := range z.members {
		r := record{peer: p}
		m.Members = append(m.Members, r.member())
	}
	return m
}
