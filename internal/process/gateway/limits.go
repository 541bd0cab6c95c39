package gateway

import (
	"maps"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// turn returns this host's turn at endpoints that have named a limit. The hosts of a mesh
// take turns in the order of addresses; those that were heard lately count, so that a
// host that hears no one does not act as the only one. Of a relayed fleet the relays take
// turns, in the order of zones: they are few, and know which they are.
func (g *Gateway) turn(heard []neighbour.ReceivedReport) limit.Turn {
	lower := func(inZone bool) (count int) {
		for i := range heard {
			r := &heard[i].Report
			if r.Hosts == 0 && (!inZone || r.Zone == g.self.Zone) && r.Address.Compare(g.self.Address) < 0 {
				count++
			}
		}
		return count
	}
	if !g.neighbours.Relayed() {
		return limit.Turn{Index: lower(false), Of: max(len(heard)+1, g.neighbours.HostCount(hostCountWindow))}
	}
	zone := slices.Index(slices.Sorted(maps.Keys(g.self.Regions)), g.self.Zone)
	rank := lower(true)
	if zone < 0 || rank >= neighbour.RelaysPerZone {
		return limit.Turn{}
	}
	return limit.Turn{Index: zone*neighbour.RelaysPerZone + rank, Of: len(g.self.Regions) * neighbour.RelaysPerZone}
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
		if perSecond, limited := g.limits.Limited(e.Incarnation); limited && !e.Leaving {
			missing += max(0, 1-perSecond*demand.squares/demand.busy)
		}
	}
	return missing
}

// limitedEndpoints returns the number of endpoints that have named a limit.
func (g *Gateway) limitedEndpoints() int {
	count := 0
	for _, e := range *g.endpoints.Load() {
		if _, limited := g.limits.Limited(e.Incarnation); limited {
			count++
		}
	}
	return count
}
