// Package scaling decides how many endpoints of which kind a service has in each
// zone.
//
// # Kinds
//
// Reclaimable endpoints cost a fraction and leave all at once, zone by zone, on
// seconds of notice; for a while after that there may be none to be had
// anywhere. So every zone keeps a floor of endpoints that stay, and reclaimable
// ones carry the rest and as much besides as the loss of one zone takes away.
// Endpoints that stay are handed back as reclaimable ones serve in their place,
// not as these are ordered.
// What is missing all the same is made up by endpoints that stay, until
// reclaimable ones are back.
//
// # Purity
//
// Plan is a function of its argument; what changes over time is in Memory.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Zone is what is known of a service in one zone.
type Zone struct {
	Zone identity.Zone
	// Demand is the endpoint seconds a second that the zone's calls need.
	Demand float64
	// Stable and Reclaimable count the endpoints that serve and don't leave.
	Stable, Reclaimable int
	// Ordered is how many reclaimable endpoints were ordered last.
	Ordered int
	// Initial is how many reclaimable endpoints stand for those that the operators
	// began with, which they took to be enough.
	Initial int
}

// First gives Zone's Initial where a fleet began with so many endpoints.
func First(stable, reclaimable int) int {
	return max(reclaimable, int(math.Ceil(firstShare*float64(stable))))
}

// Want is how many endpoints of each kind a zone shall have.
type Want struct {
	Zone                identity.Zone
	Stable, Reclaimable int
}

const (
	// utilisation is the part of an endpoint's time that is planned for: beyond it
	// the wait for a first token grows over the objective in bursts.
	utilisation = 0.5
	// stableFloor is how many endpoints of a zone are never reclaimed.
	stableFloor = 1
	// leastReclaimable keeps a zone able to serve a burst.
	leastReclaimable = 3
	// firstShare is how many reclaimable endpoints are ordered for each that stays
	// until demand is known: caches are cold, and all prompts are read whole.
	firstShare = 1.2
	// demandKnown is how long after the first call demand is told by calls: a few
	// times the window over which it is measured.
	demandKnown = 10 * time.Second
	// surplus is by how many a zone's reclaimable endpoints may be too many before
	// some are handed back: they cost little, and come late.
	surplus = 2
	// covered is the part of the need below which endpoints that stay make up for
	// reclaimable ones that are missing.
	covered = 0.85
)

// Plan gives what each zone shall have, in the order of zones. Unless demand is
// known, there are at least as many as at first.
func Plan(s *catalogue.Scaling, zones []Zone, known bool) []Want {
	wants := make([]Want, 0, len(zones))
	need := share(zones)
	for _, z := range zones {
		w := Want{Zone: z.Zone, Stable: max(stableFloor, s.Min), Reclaimable: reclaimable(z, need, len(zones))}
		cover := int(math.Ceil(need))
		if !known {
			w.Reclaimable = max(w.Reclaimable, z.Initial)
			cover = max(cover, z.Initial)
		}
		w.Stable = max(w.Stable, min(z.Stable, cover-z.Reclaimable))
		wants = append(wants, w)
	}
	makeUp(zones, wants, need)
	for i := range wants {
		w := &wants[i]
		w.Stable = min(w.Stable, s.Max)
		w.Reclaimable = max(0, min(w.Reclaimable, s.Max-w.Stable))
	}
	return wants
}

// share is how many endpoints of each zone the demand of all takes: calls go where
// there is room, and to where their prompts are cached, whatever their zone.
func share(zones []Zone) float64 {
	demand := 0.0
	for _, z := range zones {
		demand += z.Demand
	}
	return demand / utilisation / float64(max(1, len(zones)))
}

// reclaimable is how many reclaimable endpoints of a zone cover its share of the
// need and its part of another zone's, beside those that stay.
func reclaimable(z Zone, need float64, zones int) int {
	wanted := need + need/float64(max(1, zones-1)) - stableFloor
	n := max(leastReclaimable, int(math.Ceil(wanted)))
	if n < z.Ordered && z.Ordered-n <= surplus {
		return z.Ordered
	}
	return n
}

// makeUp adds endpoints that stay where reclaimable ones are missing, as far as
// the whole service falls short of its need.
func makeUp(zones []Zone, wants []Want, need float64) {
	short, missing := 0.0, 0.0
	for i, z := range zones {
		short += covered*need - float64(wants[i].Stable+z.Reclaimable)
		missing += lacking(z, need)
	}
	if short <= 0 || missing <= 0 {
		return
	}
	for i, z := range zones {
		wants[i].Stable += int(math.Ceil(short * lacking(z, need) / missing))
	}
}

// lacking is how far a zone's reclaimable endpoints fall short of its need.
func lacking(z Zone, need float64) float64 {
	return max(0, need-float64(stableFloor+z.Reclaimable))
}

// Memory smooths demand, which rises at once and falls slowly, and knows how the
// fleet began.
type Memory struct {
	held map[identity.Zone]float64
	at   time.Time
	// first is when there was demand first; most is how many endpoints that stay
	// there were at most, and grew when they became so many.
	first, grew time.Time
	most        int
}

// settle is how long a fleet that starts must not have grown to be taken to be
// there whole: longer than endpoints take from one sign of life to the next.
const settle = 1500 * time.Millisecond

// Seen takes how many endpoints that stay there are.
func (m *Memory) Seen(now time.Time, stable int) {
	if stable > m.most {
		m.most, m.grew = stable, now
	}
}

// Settled tells whether endpoints that stay can be handed back: before there is
// demand, a part of the fleet may not have been seen yet.
func (m *Memory) Settled(now time.Time) bool {
	return !m.first.IsZero() || m.most > 0 && now.Sub(m.grew) >= settle
}

// Known tells whether demand can be told by calls.
func (m *Memory) Known(now time.Time) bool {
	return !m.first.IsZero() && now.Sub(m.first) >= demandKnown
}

// fall is the time constant with which a demand that is gone is forgotten.
const fall = 8 * time.Second

// Smooth gives the demand to plan for, at the time of the last Pass.
func (m *Memory) Smooth(zone identity.Zone, demand float64) float64 {
	if m.held == nil {
		m.held = make(map[identity.Zone]float64)
	}
	if demand > 0 && m.first.IsZero() {
		m.first = m.at
	}
	m.held[zone] = max(demand, m.held[zone])
	return m.held[zone]
}

// Pass lets all demands fall for the time since it was called last.
func (m *Memory) Pass(now time.Time) {
	if !m.at.IsZero() {
		left := math.Exp(-now.Sub(m.at).Seconds() / fall.Seconds())
		for zone := range m.held {
			m.held[zone] *= left
		}
	}
	m.at = now
}

// Sort orders zones by name, so that plans are repeatable.
func Sort(zones []Zone) {
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Zone, b.Zone) })
}
