package route

import (
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Upper bounds on the ejected share of a service's endpoints, in total and in each
// zone.
const (
	maxEjectedShare     = 1.0 / 3
	maxEjectedZoneShare = 1.0 / 2
)

// eject returns the indexes of failing endpoints, in snapshot order and within the
// bounds.
func eject(s *fleet.Snapshot, service identity.Service, failing func(identity.Incarnation) bool) []int {
	if failing == nil {
		return nil
	}
	presentPerZone := make(map[identity.Zone]int)
	total := 0
	for _, i := range s.Serving(service) {
		if !s.Endpoints[i].Leaving {
			presentPerZone[s.Endpoints[i].Zone]++
			total++
		}
	}
	var ejected []int
	ejectedPerZone := make(map[identity.Zone]int)
	for _, i := range s.Serving(service) {
		e := &s.Endpoints[i]
		if e.Leaving || !failing(e.Incarnation) {
			continue
		}
		if float64(len(ejected)+1) > maxEjectedShare*float64(total) || float64(ejectedPerZone[e.Zone]+1) > maxEjectedZoneShare*float64(presentPerZone[e.Zone]) {
			continue
		}
		ejectedPerZone[e.Zone]++
		ejected = append(ejected, i)
	}
	return ejected
}

// unreachableZones returns the zones, other than the host's own, in which all
// endpoints of a service fail while others don't: the network link to such a zone
// has probably failed, rather than its endpoints. They are tried last.
func unreachableZones(s *fleet.Snapshot, service identity.Service, failing func(identity.Incarnation) bool) map[identity.Zone]bool {
	if failing == nil {
		return nil
	}
	healthy := make(map[identity.Zone]bool)
	for _, i := range s.Serving(service) {
		e := &s.Endpoints[i]
		if !e.Leaving && !failing(e.Incarnation) {
			healthy[e.Zone] = true
		}
	}
	unreachable := make(map[identity.Zone]bool)
	for _, i := range s.Serving(service) {
		zone := s.Endpoints[i].Zone
		unreachable[zone] = len(healthy) > 0 && !healthy[zone] && zone != s.Zone
	}
	return unreachable
}
