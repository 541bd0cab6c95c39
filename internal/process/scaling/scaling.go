// Package scaling decides how many endpoints of which kind a service has in each
// zone.
//
// # Kinds
//
// Reclaimable endpoints cost a fraction and leave all at once, zone by zone, on
// seconds of notice; for a while after that there are none to be had. So every
// zone keeps a floor of endpoints that stay, reclaimable ones carry the rest,
// and when a zone's are taken away others are ordered at once: endpoints that
// stay in the zone, and reclaimable ones elsewhere.
//
// # Purity
//
// Plan is a function of its argument; what changes over time is in Zone.
package scaling

import (
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
	// Dry tells that reclaimable endpoints were taken away or refused lately.
	Dry bool
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
	// leastReclaimable keeps a zone able to serve before its demand is known.
	leastReclaimable = 2
	// dryShare is the part of a dry zone's need that is met there by endpoints
	// that stay; the rest is met in other zones.
	dryShare = 0.7
)

// Plan gives what each zone shall have, in the order of zones.
func Plan(s *catalogue.Scaling, zones []Zone) []Want {
	wants := make([]Want, 0, len(zones))
	wet, missing := 0, 0.0
	for _, z := range zones {
		if z.Dry {
			missing += need(z) * (1 - dryShare)
			continue
		}
		wet++
	}
	for _, z := range zones {
		wants = append(wants, plan(s, z, missing/float64(max(1, wet))))
	}
	return wants
}

// need is how many endpoints the demand of a zone takes.
func need(z Zone) float64 { return z.Demand / utilisation }

func plan(s *catalogue.Scaling, z Zone, extra float64) Want {
	w := Want{Zone: z.Zone, Stable: max(stableFloor, s.Min)}
	if z.Dry {
		w.Stable = max(w.Stable, int(math.Ceil(need(z)*dryShare)))
		w.Reclaimable = max(z.Reclaimable, reclaimable(z, 0, 0))
	} else {
		w.Reclaimable = reclaimable(z, extra, stableFloor)
	}
	w.Stable = min(w.Stable, s.Max)
	w.Reclaimable = min(w.Reclaimable, s.Max-w.Stable)
	return w
}

// reclaimable is how many reclaimable endpoints cover a zone's need and what is
// missing elsewhere, beside those that stay.
func reclaimable(z Zone, extra float64, stable int) int {
	return max(leastReclaimable, int(math.Ceil(need(z)+extra))-stable)
}

// Ready tells whether endpoints that stay may be handed back down to what is
// wanted: only once the reclaimable ones that replace them serve.
func Ready(z Zone, w Want) bool {
	return w.Stable >= z.Stable || z.Reclaimable >= w.Reclaimable && !z.Dry
}

// Memory smooths demand: it rises at once and falls slowly.
type Memory struct {
	held map[identity.Zone]float64
	at   time.Time
}

// fall is the time constant with which a demand that is gone is forgotten.
const fall = 12 * time.Second

// Smooth gives the demand to plan for.
func (m *Memory) Smooth(zone identity.Zone, demand float64) float64 {
	if m.held == nil {
		m.held = make(map[identity.Zone]float64)
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
	slices.SortFunc(zones, func(a, b Zone) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
}
