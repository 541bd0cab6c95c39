package member

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// relaysPerZone is the number of members that act for their zone, for example
// exchange heartbeats with other zones.
const relaysPerZone = 2

// IsRelay reports whether this host is a relay of its zone.
func (m *Members) IsRelay() bool {
	return slices.ContainsFunc(m.Relays(m.self.Zone), func(p Peer) bool { return p.Host == m.self.Host })
}

// Relays returns the relays of a zone, the first relay first.
func (m *Members) Relays(zone identity.Zone) []Peer {
	return relays(m.Live(), zone)
}

func relays(live []Peer, zone identity.Zone) []Peer {
	var inZone []Peer
	for _, p := range live {
		if p.Zone == zone && !p.Suspected {
			inZone = append(inZone, p)
		}
	}
	ranked := rendezvous(string(zone), inZone)
	return ranked[:min(len(ranked), relaysPerZone)]
}

// rendezvous sorts peers by rendezvous hashing with key. Hosts that know the same
// peers get the same order, and adding or removing a peer does not reorder the
// others.
func rendezvous(key string, peers []Peer) []Peer {
	ranked := slices.Clone(peers)
	weight := func(p Peer) uint64 { return xxh3.HashString(key + "/" + string(p.Host)) }
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Host, b.Host))
	})
	return ranked
}
