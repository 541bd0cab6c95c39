package member

import (
	"slices"
	"time"
)

// speaks tells whether this host is its zone's first relay.
func (s *state) speaks(now time.Time) bool {
	first := relays(s.alive(now), s.self.peer.Zone)
	return len(first) > 0 && first[0].Host == s.self.peer.Host
}

// publish replaces what Live and the others give.
func (m *Members) publish(now time.Time) {
	v := new(view)
	m.state.viewZone(now, v)
	for id, z := range m.state.zones {
		silent := now.Sub(z.heard)
		if id == m.self.Zone || silent > zoneRemoveAfter {
			continue
		}
		for _, p := range z.members {
			p.Suspected = silent > zoneSuspectAfter
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

// viewZone adds the own zone.
func (s *state) viewZone(now time.Time, v *view) {
	for _, r := range s.known {
		silent := now.Sub(r.heard)
		if silent > removeAfter && r != s.self {
			continue
		}
		p := r.peer
		p.Suspected = silent > suspectAfter && r != s.self
		v.live = append(v.live, p)
		v.confirmations = append(v.confirmations, Confirmation{Host: p.Host, Zone: p.Zone, Version: r.version})
	}
	for key, d := range s.demands {
		if key.host != s.self.peer.Host {
			v.demands = append(v.demands, Demand{Host: key.host, Organisation: key.organisation, TokensPerSecond: d.tokens})
		}
	}
}
