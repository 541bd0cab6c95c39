package neighbour

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// targets returns the hosts to send reports to, and the hosts of other zones to
// send aggregates to. Reports go to all hosts of the zone if toAll is set.
func (n *Neighbours) targets(toAll bool) (reports, aggregates []netip.AddrPort) {
	relays := n.heardRelays()
	byZone := make(map[identity.Zone][]netip.AddrPort)
	for address, info := range n.hosts {
		switch {
		case n.relayed && info.zone != n.zone && info.zone != "":
			byZone[info.zone] = append(byZone[info.zone], address)
		case !n.relayed || toAll || len(relays) < RelaysPerZone || relays[address]:
			reports = append(reports, address)
		}
	}
	for _, addresses := range byZone {
		aggregates = append(aggregates, n.aggregateTargetsAmong(addresses)...)
	}
	return reports, aggregates
}

// heardRelays returns the live relays of this host's zone.
func (n *Neighbours) heardRelays() map[netip.AddrPort]bool {
	relays := make(map[netip.AddrPort]bool)
	for _, received := range n.liveInZone(n.zone) {
		if received.Relay {
			relays[received.Address] = true
		}
	}
	return relays
}

// aggregateTargetsAmong picks the hosts of another zone to send aggregates to: the
// relays from which aggregates arrive, and random hosts if there are too few of those.
func (n *Neighbours) aggregateTargetsAmong(addresses []netip.AddrPort) []netip.AddrPort {
	var active []netip.AddrPort
	for _, address := range addresses {
		if received, ok := n.reports[address]; ok && time.Since(received.ReceivedAt) < aggregateTTL {
			active = append(active, address)
		}
	}
	if len(active) >= RelaysPerZone {
		return active
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return append(active, addresses[:min(RelaysPerZone, len(addresses))]...)
}

// exchangesAggregates reports whether this host exchanges aggregates with other zones.
func (n *Neighbours) exchangesAggregates() bool {
	if !n.relayed {
		return false
	}
	lower := 0
	for _, received := range n.liveInZone(n.zone) {
		if received.Address.Compare(n.self) < 0 {
			lower++
		}
	}
	return lower < RelaysPerZone
}

// IsRelay reports whether this host does the work that one host can do for many, such
// as watching the store. In a full mesh every host does.
func (n *Neighbours) IsRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.relayed || n.exchangesAggregates()
}

// liveInZone returns the newest reports of the live hosts of a zone.
func (n *Neighbours) liveInZone(zone identity.Zone) []ReceivedReport {
	var live []ReceivedReport
	for _, received := range n.reports {
		if received.Zone == zone && received.Hosts == 0 && time.Since(received.ReceivedAt) <= liveIntervals*reportInterval {
			live = append(live, received)
		}
	}
	return live
}

// ZoneHosts returns the addresses of this host and the other live hosts of its zone, in
// order.
func (n *Neighbours) ZoneHosts() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts := []netip.AddrPort{n.self}
	for _, received := range n.liveInZone(n.zone) {
		hosts = append(hosts, received.Address)
	}
	slices.SortFunc(hosts, netip.AddrPort.Compare)
	return hosts
}

// storeAggregates stores the newest aggregate of each zone. It returns the new
// ones that report carries; report itself is not among them if it is an aggregate.
func (n *Neighbours) storeAggregates(report Report) []Report {
	received := report.ZoneAggregates
	if report.Hosts > 0 {
		received = []Report{report}
	}
	var added []Report
	for _, aggregated := range received {
		previous, found := n.aggregates[aggregated.Zone]
		stale := found && previous.Incarnation == aggregated.Incarnation && previous.Sequence >= aggregated.Sequence
		if stale {
			continue
		}
		aggregated.ZoneAggregates = nil
		// A relay passes these on in its own report.
		aggregated.Quarantine, aggregated.Limits, aggregated.Departures = quarantine.Evidence{}, nil, nil
		n.aggregates[aggregated.Zone] = ReceivedReport{Report: aggregated, ReceivedAt: time.Now()}
		if report.Hosts == 0 {
			added = append(added, aggregated)
		}
	}
	return added
}

// liveAggregates returns the valid aggregates of other zones.
func (n *Neighbours) liveAggregates() []ReceivedReport {
	var live []ReceivedReport
	for zone, received := range n.aggregates {
		if zone != n.zone && time.Since(received.ReceivedAt) <= aggregateTTL {
			live = append(live, received)
		}
	}
	return live
}

// aggregatesToForward returns the aggregates that a relay forwards within its zone.
func (n *Neighbours) aggregatesToForward() []Report {
	var forwarded []Report
	for _, received := range n.liveAggregates() {
		forwarded = append(forwarded, received.Report)
	}
	return forwarded
}
