package route

import (
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// The most that is ejected: a share of a service, and of it in one zone.
const (
	ejectService = 1.0 / 3
	ejectZone    = 1.0 / 2
)

// eject picks failing endpoints, within the bounds, by their order.
func eject(s *fleet.Snapshot, service identity.Service, failing func(identity.Incarnation) bool) []int {
	if failing == nil {
		return nil
	}
	present := make(map[identity.Zone]int)
	total := 0
	for _, i := range s.Serving(service) {
		if !s.Endpoints[i].Leaving {
			present[s.Endpoints[i].Zone]++
			total++
		}
	}
	var ejected []int
	gone := make(map[identity.Zone]int)
	for _, i := range s.Serving(service) {
		e := &s.Endpoints[i]
		if e.Leaving || !failing(e.Incarnation) {
			continue
		}
		if float64(len(ejected)+1) > ejectService*float64(total) || float64(gone[e.Zone]+1) > ejectZone*float64(present[e.Zone]) {
			continue
		}
		gone[e.Zone]++
		ejected = append(ejected, i)
	}
	return ejected
}

// unreachable names the zones, not the host's own, all of whose endpoints of a
// service fail while others don't: the link to them is lost rather than they.
// Their endpoints are tried last.
func unreachable(s *fleet.Snapshot, service identity.Service, failing func(identity.Incarnation) bool) map[identity.Zone]bool {
	if failing == nil {
		return nil
	}
	well := make(map[identity.Zone]bool)
	for _, i := range s.Serving(service) {
		e := &s.Endpoints[i]
		if !e.Leaving && !failing(e.Incarnation) {
			well[e.Zone] = true
		}
	}
	lost := make(map[identity.Zone]bool)
	for _, i := range s.Serving(service) {
		zone := s.Endpoints[i].Zone
		lost[zone] = len(well) > 0 && !well[zone] && zone != s.Zone
	}
	return lost
}
