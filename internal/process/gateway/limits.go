package gateway

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// turn returns this host's turn at endpoints that have named a limit, in the order of
// addresses. In a mesh the hosts that were heard lately count as well, so that one that
// hears nobody does not act as the only one. In a relayed fleet a host learns from its
// relays which hosts its zone has.
func (g *Gateway) turn(heard []neighbour.ReceivedReport) limit.Turn {
	if !g.neighbours.Relayed() {
		lower := 0
		for i := range heard {
			if heard[i].Address.Compare(g.self.Address) < 0 {
				lower++
			}
		}
		return limit.Turn{Zones: 1, Host: lower, Hosts: max(len(heard)+1, g.neighbours.HostCount(hostCountWindow))}
	}
	hosts := g.zoneHosts(heard)
	turn := limit.Turn{
		Zone: slices.Index(slices.Sorted(maps.Keys(g.self.Regions)), g.self.Zone), Zones: len(g.self.Regions),
		Host: slices.Index(hosts, g.self.Address), Hosts: len(hosts),
	}
	if turn.Zone < 0 || turn.Host < 0 {
		return limit.Turn{}
	}
	return turn
}

// zoneHosts returns the addresses of this zone's live hosts, as seen by the relay with
// the lowest address.
func (g *Gateway) zoneHosts(heard []neighbour.ReceivedReport) []netip.AddrPort {
	if g.neighbours.IsRelay() {
		return g.neighbours.ZoneHosts()
	}
	var lowest *neighbour.Report
	for i := range heard {
		r := &heard[i].Report
		if r.Zone == g.self.Zone && len(r.ZoneHosts) > 0 && (lowest == nil || r.Address.Compare(lowest.Address) < 0) {
			lowest = r
		}
	}
	if lowest == nil {
		return nil
	}
	return lowest.ZoneHosts
}

// missingEndpoints returns how many endpoints' worth of work the endpoints of a service
// refuse. One that has named a limit takes that many calls, at most of the size that
// calls have when weighted by their time.
func (g *Gateway) missingEndpoints(service identity.Service, demand serviceDemand) float64 {
	if demand.busy <= 0 {
		return 0
	}
	missing := 0.0
	for _, e := range g.balancer.Endpoints(service) {
		if perSecond, limited := g.advice.Limits.Limited(e.Incarnation); limited && !e.Leaving {
			missing += max(0, 1-perSecond*demand.squares/demand.busy)
		}
	}
	return missing
}

// limitedEndpoints returns the number of endpoints that have named a limit.
func (g *Gateway) limitedEndpoints() int {
	count := 0
	for _, e := range *g.endpoints.Load() {
		if _, limited := g.advice.Limits.Limited(e.Incarnation); limited {
			count++
		}
	}
	return count
}
