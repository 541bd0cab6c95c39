package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// neighbours is how many members, or zones, one exchanges heartbeats with.
const neighbours = 3

func sortPeers(list []Peer) {
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
}

// chosen gives the ids that one of them exchanges with: the next in order, so
// that all are connected, and others by rendezvous.
func chosen(self string, ids []string) []string {
	i, _ := slices.BinarySearch(ids, self)
	others := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == self })
	if len(others) == 0 {
		return nil
	}
	next := others[i%len(others)]
	picked := []string{next}
	var rest []Peer
	for _, id := range others {
		if id != next {
			rest = append(rest, Peer{Host: identity.Host(id)})
		}
	}
	for _, p := range rendezvous(self, rest) {
		if len(picked) < neighbours {
			picked = append(picked, string(p.Host))
		}
	}
	return picked
}

// targets lists whom to exchange with at a beat.
func (s *state) targets(now time.Time, listed []Peer) []Peer {
	alive := s.alive(now)
	var ids []string
	for _, p := range alive {
		ids = append(ids, string(p.Host))
	}
	var list []Peer
	for _, id := range chosen(string(s.self.peer.Host), ids) {
		list = append(list, s.known[identity.Host(id)].peer)
	}
	if p, ok := s.missing(now, listed); ok {
		list = append(list, p)
	}
	rank := slices.IndexFunc(relays(alive, s.self.peer.Zone), func(p Peer) bool { return p.Host == s.self.peer.Host })
	if rank >= 0 {
		list = append(list, s.zoneTargets(rank, listed)...)
	}
	return list
}

// missing gives, in turn, one of the listed hosts of the zone that are not
// known to live.
func (s *state) missing(now time.Time, listed []Peer) (Peer, bool) {
	var absent []Peer
	for _, p := range listed {
		r, ok := s.known[p.Host]
		if p.Zone == s.self.peer.Zone && (!ok || now.Sub(r.heard) > suspectAfter) {
			absent = append(absent, p)
		}
	}
	if len(absent) == 0 {
		return Peer{}, false
	}
	return absent[s.self.count%uint64(len(absent))], true
}

// zoneTargets lists the relays of other zones that a relay exchanges with.
func (s *state) zoneTargets(rank int, listed []Peer) []Peer {
	byZone := map[identity.Zone][]Peer{s.self.peer.Zone: nil}
	for _, p := range listed {
		byZone[p.Zone] = append(byZone[p.Zone], p)
	}
	for id, z := range s.zones {
		if len(z.members) > 0 && time.Since(z.heard) <= zoneSuspectAfter {
			byZone[id] = relays(z.members, id)
		}
	}
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(byZone)) {
		ids = append(ids, string(id))
	}
	var list []Peer
	for _, id := range chosen(string(s.self.peer.Zone), ids) {
		members := byZone[identity.Zone(id)]
		if len(members) > relaysPerZone {
			rank += int(s.self.count)
		}
		list = append(list, members[rank%len(members)])
	}
	return list
}
