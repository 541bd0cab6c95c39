// Package scaling decides how many endpoints of which kind a service has in each
// zone.
//
// # Kinds
//
// Reclaimable endpoints cost a fraction of the price of on-demand ones, which are
// called stable here. They are reclaimed zone by zone, all at once and within
// seconds of the notice; for a while afterwards none may be available in any zone.
// Therefore each zone keeps a minimum of stable endpoints. Stable endpoints are
// released only when reclaimable ones serve in their place, not when these are
// ordered. If reclaimable endpoints are missing, stable ones replace them until they
// are available again.
//
// # Numbers
//
// A further endpoint has a price, and fewer calls miss their latency target with it.
// The numbers of both kinds minimise the price plus the worth of the calls that are
// expected to miss the target, at the load measured and after the loss of a zone.
// Zones get endpoints in inverse proportion to their prices.
//
// # State
//
// Plan is a pure function; state that changes over time is kept in Tracker.
package scaling

import (
	"cmp"
	"math"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Zone describes a service in one zone.
type Zone struct {
	Zone identity.Zone
	// Price is the price of a stable endpoint; zero stands for 1.
	Price float64
	// Stable and Reclaimable are the numbers of endpoints that serve and are not
	// leaving.
	Stable, Reclaimable int
	// Ordered is the number of reclaimable endpoints in the latest order. Arriving is
	// how many of them are still expected to start.
	Ordered, Arriving int
	// Initial is the number of reclaimable endpoints equivalent to the fleet that
	// the operators started with, which is assumed to be sufficient.
	Initial int
}

func (z Zone) price() float64 { return cmp.Or(z.Price, 1) }

// InitialReclaimable returns Zone.Initial for a fleet that started with the given
// numbers of endpoints.
func InitialReclaimable(stable, reclaimable int) int { return max(reclaimable, stable) }

// Target is the target number of endpoints of each kind in a zone.
type Target struct {
	Zone                identity.Zone
	Stable, Reclaimable int
}

const (
	// minStable is the minimum number of stable endpoints in each zone.
	minStable = 1
	// maxSurplus is the largest surplus of reclaimable endpoints that a zone keeps;
	// a larger one is released whole. They are cheap and take long to start.
	maxSurplus = 1
	// worthOfWork is what calls served within their target are worth, as a multiple
	// of the price of the stable endpoint time that they take.
	worthOfWork = 4.0
	// zoneLossShare is the share of time for which the reclaimable endpoints of one
	// zone are assumed to be missing.
	zoneLossShare = 0.2
)

// Plan returns the target of each zone, in the order of zones. Until the load is
// known, targets don't fall below the initial fleet.
func Plan(s *catalogue.Scaling, load Load, zones []Zone, known bool) []Target {
	p := planner{scaling: s, load: load, zones: zones}
	reclaimable := p.reclaimable()
	targets := make([]Target, len(zones))
	for i, z := range zones {
		target := Target{Zone: z.Zone, Reclaimable: reclaimable[i]}
		if n := target.Reclaimable; n < z.Ordered && z.Ordered-n <= maxSurplus {
			target.Reclaimable = z.Ordered
		}
		if !known {
			target.Reclaimable = max(target.Reclaimable, z.Initial)
		}
		targets[i] = target
	}
	stable := p.stable()
	for i, z := range zones {
		target := &targets[i]
		target.Stable = stable[i]
		if !known {
			target.Stable = max(target.Stable, min(z.Stable, z.Initial-z.Reclaimable))
		}
		target.Stable = min(target.Stable, s.Max)
		target.Reclaimable = max(0, min(target.Reclaimable, s.Max-target.Stable))
	}
	return targets
}

// planner plans one service.
type planner struct {
	scaling *catalogue.Scaling
	load    Load
	zones   []Zone
}

// minStable returns the minimum number of stable endpoints in a zone.
func (p planner) minStable() int { return max(minStable, p.scaling.Min) }

// meanPrice returns the mean price of a stable endpoint.
func (p planner) meanPrice() float64 {
	sum := 0.0
	for _, z := range p.zones {
		sum += z.price()
	}
	return sum / float64(max(1, len(p.zones)))
}

// reclaimable returns the number of reclaimable endpoints of each zone at the least
// cost, besides the minimum of stable ones.
func (p planner) reclaimable() []int {
	zones := len(p.zones)
	price := p.meanPrice() * cmp.Or(p.scaling.ReclaimablePriceRatio, 1)
	stable := float64(zones * p.minStable())
	left := float64(max(1, zones-1)) / float64(max(1, zones))
	total := cheapest(0, zones*p.scaling.Max, func(n float64) float64 {
		late := (1-zoneLossShare)*p.load.Late(stable+n) + zoneLossShare*p.load.Late(stable+n*left)
		return price*n + worthOfWork*p.load.Busy*late
	})
	return p.spread(total, func(Zone) int { return 0 }, 0)
}

// stable returns the number of stable endpoints of each zone at the least cost,
// besides the reclaimable ones that serve. Those on their way don't allow releasing
// any, but spare further ones.
func (p planner) stable() []int {
	serving, arriving, present := 0, 0, 0
	for _, z := range p.zones {
		serving += z.Reclaimable
		arriving += z.Arriving
		present += z.Stable
	}
	needed := p.stableBeside(serving)
	total := min(needed, max(present, p.stableBeside(serving+arriving)))
	return p.spread(total, func(z Zone) int { return z.Reclaimable + z.Arriving }, p.minStable())
}

// stableBeside returns the total number of stable endpoints at the least cost besides
// a number of reclaimable ones.
func (p planner) stableBeside(reclaimable int) int {
	zones := len(p.zones)
	return cheapest(zones*p.minStable(), zones*p.scaling.Max, func(n float64) float64 {
		return p.meanPrice()*n + worthOfWork*p.load.Busy*p.load.Late(n+float64(reclaimable))
	})
}

// cheapest returns the number from least to most with the lowest cost.
func cheapest(least, most int, cost func(n float64) float64) int {
	best, lowest := least, math.Inf(1)
	for n := least; n <= most; n++ {
		if c := cost(float64(n)); c < lowest {
			best, lowest = n, c
		}
	}
	return best
}

// spread divides a total of endpoints among the zones, at least some in each, so that
// with those already present the numbers are inverse to the prices.
func (p planner) spread(total int, present func(Zone) int, least int) []int {
	counts := make([]int, len(p.zones))
	for i := range counts {
		counts[i] = least
	}
	for remaining := total - least*len(counts); remaining > 0; remaining-- {
		best, lowest := 0, math.Inf(1)
		for i, z := range p.zones {
			if cost := z.price() * float64(counts[i]+present(z)+1); cost < lowest && counts[i] < p.scaling.Max {
				best, lowest = i, cost
			}
		}
		counts[best]++
	}
	return counts
}

// SortZones sorts zones by name, so that plans are deterministic.
func SortZones(zones []Zone) {
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Zone, b.Zone) })
}
