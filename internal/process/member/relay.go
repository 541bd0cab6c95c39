package member

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// relaysPerZone is how many members of a zone speak for it.
const relaysPerZone = 2

// Relay tells whether this host is a relay of its zone.
func (m *Members) Relay() bool {
	return slices.ContainsFunc(m.Relays(m.self.Zone), func(p Peer) bool { return p.Host == m.self.Host })
}

// Relays gives the relays of a zone among those that live, the first one first.
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

// rendezvous orders peers by a hash of each with key, so that all hosts that
// know the same peers agree, and a peer that comes or goes moves no other.
func rendezvous(key string, peers []Peer) []Peer {
	ranked := slices.Clone(peers)
	weight := func(p Peer) uint64 { return xxh3.HashString(key + "/" + string(p.Host)) }
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Host, b.Host))
	})
	return ranked
}
