package neighbour

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// targets are the hosts that get the report, and those that get a zone's sum.
func (n *Neighbours) targets() (near, far []netip.AddrPort) {
	byZone := make(map[identity.Zone][]netip.AddrPort)
	for a, p := range n.known {
		if !n.zoned || p.zone == n.zone || p.zone == "" {
			near = append(near, a)
			continue
		}
		byZone[p.zone] = append(byZone[p.zone], a)
	}
	for _, list := range byZone {
		far = append(far, n.spokesmen(list)...)
	}
	return near, far
}

// spokesmen picks hosts of another zone to speak to: those that speak for it, or
// else any.
func (n *Neighbours) spokesmen(list []netip.AddrPort) []netip.AddrPort {
	var speaking []netip.AddrPort
	for _, a := range list {
		if h, ok := n.heard[a]; ok && time.Since(h.At) < zoneLiveFor {
			speaking = append(speaking, a)
		}
	}
	if len(speaking) >= relays {
		return speaking
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return append(speaking, list[:min(relays, len(list))]...)
}

// relay tells whether this host speaks for its zone.
func (n *Neighbours) relay() bool {
	if !n.zoned {
		return false
	}
	lower := 0
	for _, h := range n.liveIn(n.zone) {
		if h.Address.Compare(n.self) < 0 {
			lower++
		}
	}
	return lower < relays
}

// Relay tells whether this host does for its zone what one host can do for many.
// Among few hosts each does it.
func (n *Neighbours) Relay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.zoned || n.relay()
}

// liveIn lists the hosts of a zone that live.
func (n *Neighbours) liveIn(zone identity.Zone) []Heard {
	var list []Heard
	for _, h := range n.heard {
		if h.Zone == zone && h.Hosts == 0 && time.Since(h.At) <= liveFor*every {
			list = append(list, h)
		}
	}
	return list
}

// takeSums keeps the newest sum of each other zone, and gives those that are new.
func (n *Neighbours) takeSums(report Report) []Report {
	list := report.Zones
	if report.Hosts > 0 {
		list = []Report{report}
	}
	var taken []Report
	for _, s := range list {
		before, found := n.zones[s.Zone]
		stale := found && before.Incarnation == s.Incarnation && before.Sequence >= s.Sequence
		if s.Zone == n.zone || stale {
			continue
		}
		s.Zones = nil
		n.zones[s.Zone] = Heard{Report: s, At: time.Now()}
		if report.Hosts == 0 {
			taken = append(taken, s)
		}
	}
	return taken
}

// liveZones lists the newest sums of other zones.
func (n *Neighbours) liveZones() []Heard {
	var list []Heard
	for _, h := range n.zones {
		if time.Since(h.At) <= zoneLiveFor {
			list = append(list, h)
		}
	}
	return list
}

// passedOn lists the sums of other zones that are passed on in this one.
func (n *Neighbours) passedOn() []Report {
	var list []Report
	for _, h := range n.liveZones() {
		list = append(list, h.Report)
	}
	return list
}
