package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// neighbourCount is how many other members of its zone a member regularly sends
// heartbeats to, and how many other zones a relay does.
const neighbourCount = 3

func sortPeers(list []Peer) {
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
}

// chooseNeighbours returns those of ids, a sorted list, that self sends heartbeats
// to: the next one in order, which connects all of them in a ring, and others by
// rendezvous hashing.
func chooseNeighbours(self string, ids []string) []string {
	i, _ := slices.BinarySearch(ids, self)
	others := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return id == self })
	if len(others) == 0 {
		return nil
	}
	next := others[i%len(others)]
	chosen := []string{next}
	var rest []Peer
	for _, id := range others {
		if id != next {
			// The id may be a zone's: rendezvous ranks by the field Host.
			rest = append(rest, Peer{Host: identity.Host(id)})
		}
	}
	for _, p := range rendezvous(self, rest) {
		if len(chosen) < neighbourCount {
			chosen = append(chosen, string(p.Host))
		}
	}
	return chosen
}

// heartbeatTargets returns the peers to send the next heartbeats to.
func (s *state) heartbeatTargets(now time.Time, listed []Peer) []Peer {
	alive := s.alive(now)
	var ids []string
	for _, p := range alive {
		ids = append(ids, string(p.Host))
	}
	var list []Peer
	for _, id := range chooseNeighbours(string(s.self.peer.Host), ids) {
		list = append(list, s.records[identity.Host(id)].peer)
	}
	if p, ok := s.nextUnseen(now, listed); ok {
		list = append(list, p)
	}
	rank := slices.IndexFunc(relays(alive, s.self.peer.Zone), func(p Peer) bool { return p.Host == s.self.peer.Host })
	if rank >= 0 {
		list = append(list, s.zoneTargets(rank, listed)...)
	}
	return list
}

// nextUnseen returns one of the listed hosts of the zone that are not known to be
// alive, a different one at each heartbeat.
func (s *state) nextUnseen(now time.Time, listed []Peer) (Peer, bool) {
	var unseen []Peer
	for _, p := range listed {
		r, ok := s.records[p.Host]
		if p.Zone == s.self.peer.Zone && (!ok || now.Sub(r.lastSeen) > suspectAfter) {
			unseen = append(unseen, p)
		}
	}
	if len(unseen) == 0 {
		return Peer{}, false
	}
	return unseen[s.self.count%uint64(len(unseen))], true
}

// zoneTargets returns the peers in other zones to which the relay with this rank
// sends heartbeats: relays if they are known, otherwise listed hosts in turn.
func (s *state) zoneTargets(rank int, listed []Peer) []Peer {
	byZone := map[identity.Zone][]Peer{s.self.peer.Zone: nil}
	for _, p := range listed {
		byZone[p.Zone] = append(byZone[p.Zone], p)
	}
	for id, z := range s.zones {
		if len(z.members) > 0 && time.Since(z.lastSeen) <= zoneSuspectAfter {
			byZone[id] = relays(z.members, id)
		}
	}
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(byZone)) {
		ids = append(ids, string(id))
	}
	var list []Peer
	for _, id := range chooseNeighbours(string(s.self.peer.Zone), ids) {
		members := byZone[identity.Zone(id)]
		if len(members) > relaysPerZone {
			rank += int(s.self.count)
		}
		list = append(list, members[rank%len(members)])
	}
	return list
}
