package member

import (
	"slices"
	"time"
)

// isFirstRelay reports whether this host is its zone's first relay.
func (s *state) isFirstRelay(now time.Time) bool {
	first := relays(s.alive(now), s.self.peer.Zone)
	return len(first) > 0 && first[0].Host == s.self.peer.Host
}

// publish replaces the view.
func (m *Members) publish(now time.Time) {
	v := new(view)
	m.state.addOwnZone(now, v)
	for id, z := range m.state.zones {
		silence := now.Sub(z.lastSeen)
		if id == m.self.Zone || silence > zoneRemoveAfter {
			continue
		}
		for _, p := range z.members {
			p.Suspected = silence > zoneSuspectAfter
			v.live = append(v.live, p)
			c := Confirmation{Host: p.Host, Zone: p.Zone, Version: z.version}
			if slices.Contains(z.behind, string(p.Host)) {
				c.Version--
			}
			v.confirmations = append(v.confirmations, c)
		}
	}
	sortPeers(v.live)
	m.view.Store(v)
}

// addOwnZone adds to a view the members of this host's zone and the demands at the
// other ones.
func (s *state) addOwnZone(now time.Time, v *view) {
	for _, r := range s.records {
		silence := now.Sub(r.lastSeen)
		if silence > removeAfter && r != s.self {
			continue
		}
		p := r.peer
		p.Suspected = silence > suspectAfter && r != s.self
		v.live = append(v.live, p)
		v.confirmations = append(v.confirmations, Confirmation{Host: p.Host, Zone: p.Zone, Version: r.version})
	}
	for key, d := range s.demands {
		if key.host != s.self.peer.Host {
			v.demands = append(v.demands, Demand{Host: key.host, Organisation: key.organisation, TokensPerSecond: d.tokensPerSecond})
		}
	}
}
