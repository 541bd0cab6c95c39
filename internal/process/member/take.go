package member

import (
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// take takes a peer's news in, and gives the departures that are new here.
func (s *state) take(now time.Time, from identity.Host, n *peer.News) []Departure {
	for _, m := range n.GetMembers() {
		s.introduce(now, from, m)
	}
	s.takePulses(now, from, n.GetPulses())
	for _, m := range n.GetSummaries() {
		s.summarised(now, from, m)
	}
	for _, d := range n.GetDemands() {
		key := demandKey{host: identity.Host(d.GetHost()), organisation: identity.Organisation(d.GetOrganisation())}
		known, ok := s.demands[key]
		if key.host != s.self.peer.Host && (!ok || known.tokens != d.GetTokensPerSecond()) {
			s.demands[key] = &demand{tokens: d.GetTokensPerSecond(), changed: s.change(from)}
		}
	}
	var departed []Departure
	for _, m := range n.GetDepartures() {
		d := Departure{
			Host: identity.Host(m.GetHost()), Incarnation: identity.Incarnation(m.GetIncarnation()),
			Deadline: fromMilliseconds(m.GetDeadlineMs()),
		}
		if s.depart(now, from, d) {
			departed = append(departed, d)
		}
	}
	return departed
}

// introduce takes an incarnation in, unless a later one of its host is known.
func (s *state) introduce(now time.Time, from identity.Host, m *peer.Member) {
	p, ok := parseMember(m)
	if !ok || p.Host == s.self.peer.Host || p.Zone != s.self.peer.Zone {
		return
	}
	known, ok := s.known[p.Host]
	if ok && (known.peer.Incarnation == p.Incarnation || (known.started >= m.GetStartedMs() && now.Sub(known.heard) < suspectAfter)) {
		return
	}
	s.known[p.Host] = &record{
		peer: p, started: m.GetStartedMs(), count: m.GetCount(), heard: now,
		introduced: s.change(from), pulsed: s.change(from),
	}
}

// takePulses notes the members whose count has grown.
func (s *state) takePulses(now time.Time, from identity.Host, pulses *peer.Pulses) {
	counts, versions := pulses.GetCounts(), pulses.GetVersions()
	if len(counts) != len(pulses.GetMembers()) || len(versions) != len(counts) {
		return
	}
	byPulse := make(map[uint32]*record, len(s.known))
	for _, r := range s.known {
		byPulse[r.pulse()] = r
	}
	for i, id := range pulses.GetMembers() {
		r, ok := byPulse[id]
		if !ok || r == s.self || counts[i] <= r.count {
			continue
		}
		r.count, r.version, r.heard = counts[i], identity.Version(versions[i]), now
		r.pulsed = s.change(from)
	}
}

// summarised takes another zone's summary in, if it is later than the known one.
func (s *state) summarised(now time.Time, from identity.Host, m *peer.Summary) {
	id := identity.Zone(m.GetZone())
	known, ok := s.zones[id]
	if id == "" || (ok && m.GetSequence() <= known.sequence) {
		return
	}
	if !ok {
		known = &zone{}
		s.zones[id] = known
	}
	known.sequence, known.version, known.behind = m.GetSequence(), identity.Version(m.GetVersion()), m.GetBehind()
	if id != s.self.peer.Zone {
		known.heard = now
	}
	known.told = s.change(from)
	if len(m.GetMembers()) == 0 {
		return
	}
	var members []Peer
	for _, one := range m.GetMembers() {
		if p, ok := parseMember(one); ok && p.Zone == id {
			members = append(members, p)
		}
	}
	if !slices.Equal(members, known.members) {
		known.members = members
		known.listed = s.change(from)
	}
}

// depart remembers a departure, keeping the earliest deadline, and tells
// whether it was new.
func (s *state) depart(now time.Time, from identity.Host, d Departure) bool {
	known, ok := s.departures[d.Incarnation]
	earlier := ok && !d.Deadline.IsZero() && (known.Deadline.IsZero() || d.Deadline.Before(known.Deadline))
	if d.Incarnation == "" || (ok && !earlier) {
		return false
	}
	s.departures[d.Incarnation] = &departure{Departure: d, seen: now, changed: s.change(from)}
	s.urgent = true
	return true
}

// summarise writes the own zone's summary; only the zone's first relay does.
func (s *state) summarise(now time.Time) {
	z, ok := s.zones[s.self.peer.Zone]
	if !ok {
		z = &zone{}
		s.zones[s.self.peer.Zone] = z
	}
	members := s.alive(now)
	z.version, z.behind = 0, nil
	for _, r := range s.known {
		z.version = max(z.version, r.version)
	}
	for _, p := range members {
		if s.known[p.Host].version < z.version {
			z.behind = append(z.behind, string(p.Host))
		}
	}
	z.sequence = max(z.sequence+1, uint64(now.UnixMilli()))
	z.told = s.change("")
	if !slices.Equal(members, z.members) {
		z.members = members
		z.listed = s.change("")
	}
}

// alive lists the own zone's members that are not suspected, sorted by host.
func (s *state) alive(now time.Time) []Peer {
	var list []Peer
	for _, r := range s.known {
		if now.Sub(r.heard) <= suspectAfter {
			list = append(list, r.peer)
		}
	}
	sortPeers(list)
	return list
}

// forget drops what has not been heard of for long.
func (s *state) forget(now time.Time) {
	for host, r := range s.known {
		if r != s.self && now.Sub(r.heard) > forgetAfter {
			delete(s.known, host)
		}
	}
	for key := range s.demands {
		if r, ok := s.known[key.host]; !ok || now.Sub(r.heard) > removeAfter {
			delete(s.demands, key)
		}
	}
	for incarnation, d := range s.departures {
		if now.Sub(d.seen) > forgetAfter {
			delete(s.departures, incarnation)
		}
	}
	for address, l := range s.links {
		if !l.busy && now.Sub(l.used) > removeAfter {
			l.client.CloseIdleConnections()
			delete(s.links, address)
		}
	}
}
