package member

import (
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// applyNews applies a peer's changes and returns the departures that are new at
// this host.
func (s *state) applyNews(now time.Time, from identity.Host, n *peer.News) []Departure {
	for _, m := range n.GetMembers() {
		s.addMember(now, from, m)
	}
	s.applyPulses(now, from, n.GetPulses())
	for _, m := range n.GetSummaries() {
		s.applySummary(now, from, m)
	}
	for _, d := range n.GetDemands() {
		key := demandKey{host: identity.Host(d.GetHost()), organisation: identity.Organisation(d.GetOrganisation())}
		known, ok := s.demands[key]
		if key.host != s.self.peer.Host && (!ok || known.tokensPerSecond != d.GetTokensPerSecond()) {
			s.demands[key] = &demand{tokensPerSecond: d.GetTokensPerSecond(), change: s.nextChange(from)}
		}
	}
	var departed []Departure
	for _, m := range n.GetDepartures() {
		d := Departure{
			Host: identity.Host(m.GetHost()), Incarnation: identity.Incarnation(m.GetIncarnation()),
			Deadline: fromUnixMilli(m.GetDeadlineMs()),
		}
		if s.addDeparture(now, from, d) {
			departed = append(departed, d)
		}
	}
	return departed
}

// addMember records an incarnation, unless it is known already or a later one of
// the same host was seen within suspectAfter.
func (s *state) addMember(now time.Time, from identity.Host, m *peer.Member) {
	p, ok := parseMember(m)
	if !ok || p.Host == s.self.peer.Host || p.Zone != s.self.peer.Zone {
		return
	}
	known, ok := s.records[p.Host]
	if ok && (known.peer.Incarnation == p.Incarnation || (known.started >= m.GetStartedMs() && now.Sub(known.lastSeen) < suspectAfter)) {
		return
	}
	s.records[p.Host] = &record{
		peer: p, started: m.GetStartedMs(), count: m.GetCount(), lastSeen: now,
		identityChange: s.nextChange(from), countChange: s.nextChange(from),
	}
}

// applyPulses updates the members whose count has grown.
func (s *state) applyPulses(now time.Time, from identity.Host, pulses *peer.Pulses) {
	counts, versions := pulses.GetCounts(), pulses.GetVersions()
	if len(counts) != len(pulses.GetMembers()) || len(versions) != len(counts) {
		return
	}
	byPulseID := make(map[uint32]*record, len(s.records))
	for _, r := range s.records {
		byPulseID[r.pulseID()] = r
	}
	for i, id := range pulses.GetMembers() {
		r, ok := byPulseID[id]
		if !ok || r == s.self || counts[i] <= r.count {
			continue
		}
		r.count, r.version, r.lastSeen = counts[i], identity.Version(versions[i]), now
		r.countChange = s.nextChange(from)
	}
}

// applySummary applies a zone's summary if it is later than the known one.
func (s *state) applySummary(now time.Time, from identity.Host, m *peer.Summary) {
	id := identity.Zone(m.GetZone())
	known, ok := s.zones[id]
	if id == "" || (ok && m.GetSequence() <= known.sequence) {
		return
	}
	if !ok {
		known = &zoneSummary{}
		s.zones[id] = known
	}
	known.sequence, known.version, known.behind = m.GetSequence(), identity.Version(m.GetVersion()), m.GetBehind()
	if id != s.self.peer.Zone {
		known.lastSeen = now
	}
	known.sequenceChange = s.nextChange(from)
	if len(m.GetMembers()) == 0 {
		return
	}
	var members []Peer
	for _, member := range m.GetMembers() {
		if p, ok := parseMember(member); ok && p.Zone == id {
			members = append(members, p)
		}
	}
	if !slices.Equal(members, known.members) {
		known.members = members
		known.membersChange = s.nextChange(from)
	}
}

// addDeparture records a departure and keeps the earliest deadline. It reports
// whether the departure, or its deadline, is new.
func (s *state) addDeparture(now time.Time, from identity.Host, d Departure) bool {
	known, ok := s.departures[d.Incarnation]
	earlier := ok && !d.Deadline.IsZero() && (known.Deadline.IsZero() || d.Deadline.Before(known.Deadline))
	if d.Incarnation == "" || (ok && !earlier) {
		return false
	}
	s.departures[d.Incarnation] = &departure{Departure: d, recorded: now, change: s.nextChange(from)}
	s.urgent = true
	return true
}

// updateOwnSummary updates the summary of this host's zone. Only the zone's first
// relay calls it.
func (s *state) updateOwnSummary(now time.Time) {
	z, ok := s.zones[s.self.peer.Zone]
	if !ok {
		z = &zoneSummary{}
		s.zones[s.self.peer.Zone] = z
	}
	members := s.alive(now)
	z.version, z.behind = 0, nil
	for _, r := range s.records {
		z.version = max(z.version, r.version)
	}
	for _, p := range members {
		if s.records[p.Host].version < z.version {
			z.behind = append(z.behind, string(p.Host))
		}
	}
	z.sequence = max(z.sequence+1, uint64(now.UnixMilli()))
	z.sequenceChange = s.nextChange("")
	if !slices.Equal(members, z.members) {
		z.members = members
		z.membersChange = s.nextChange("")
	}
}

// alive returns the members of this host's zone that are not suspected, sorted by
// host.
func (s *state) alive(now time.Time) []Peer {
	var list []Peer
	for _, r := range s.records {
		if now.Sub(r.lastSeen) <= suspectAfter {
			list = append(list, r.peer)
		}
	}
	sortPeers(list)
	return list
}

// removeExpired deletes records, demands, departures and connections that have
// expired.
func (s *state) removeExpired(now time.Time) {
	for host, r := range s.records {
		if r != s.self && now.Sub(r.lastSeen) > forgetAfter {
			delete(s.records, host)
		}
	}
	for key := range s.demands {
		if r, ok := s.records[key.host]; !ok || now.Sub(r.lastSeen) > removeAfter {
			delete(s.demands, key)
		}
	}
	for incarnation, d := range s.departures {
		if now.Sub(d.recorded) > forgetAfter {
			delete(s.departures, incarnation)
		}
	}
	for address, l := range s.links {
		if !l.inFlight && now.Sub(l.lastUsed) > removeAfter {
			l.client.CloseIdleConnections()
			delete(s.links, address)
		}
	}
}
