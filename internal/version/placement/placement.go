// Package placement decides how many endpoints of which class a service has in
// which availability zone, reclaimable or on demand, for the least price that
// meets its demand within the latency target.
//
// # Headroom
//
// A zone may be lost at once. What is left without any one zone has to serve the
// demand, so that no zone holds more than the whole has over the demand. Fewer
// zones are cheaper by the hour and dearer in headroom; each number of zones is
// tried.
//
// # Reclaimable and on demand
//
// A share of each zone's capacity is on demand and stays through waves that
// reach several zones. The rest is reclaimable where the cloud has any.
//
// # Hysteresis
//
// What there is stays while it serves the demand and is not dearer than the best
// by more than a band, so that neither noise nor small price steps cause moves.
// Where it has to change it changes as little as possible, within the band too.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Offer is one kind of host that the cloud offers.
type Offer struct {
	Zone        identity.Zone
	Class       identity.Class
	Reclaimable bool
}

// Terms are what an Offer costs and gives.
type Terms struct {
	Offer
	// Price is for an hour.
	Price unit.Money
	// Rate is the tokens a second that one endpoint serves within the latency
	// target; above zero.
	Rate float64
	// Limit bounds the count; it is 0 while the cloud refuses.
	Limit int
}

// Ask is what a decision depends on.
type Ask struct {
	// Demand is the forecast for when new endpoints would serve, in tokens a
	// second.
	Demand float64
	Terms  []Terms
	// Present counts the endpoints that there are, also those still starting.
	Present map[Offer]int
	// Guaranteed is the share of capacity that is on demand, 0 to 1.
	Guaranteed float64
	// Band is by how much dearer than the best the present may be.
	Band float64
}

// Plan is how many endpoints of each offer there should be.
type Plan struct {
	Counts map[Offer]int
	// Price is for an hour.
	Price unit.Money
	// Short tells that the offers can't meet the demand with a zone lost.
	Short bool
}

// Decide gives the cheapest plan, or the present one where that is good enough.
func Decide(ask Ask) Plan {
	zones := byZone(ask)
	best := Plan{Short: true}
	for used := 1; used <= len(zones); used++ {
		plan := spread(ask, zones, used)
		if better(plan, best) {
			best = plan
		}
	}
	if best.Counts == nil {
		best.Counts = make(map[Offer]int)
	}
	present := Plan{Counts: ask.Present, Price: price(ask, ask.Present)}
	if allowed(ask) && survives(ask, ask.Present) && !dear(ask, present, best) {
		return present
	}
	if changed := near(ask); !changed.Short && !dear(ask, changed, best) {
		return changed
	}
	return best
}

func dear(ask Ask, plan, best Plan) bool {
	return !best.Short && float64(plan.Price) > float64(best.Price)*(1+ask.Band)
}

func better(a, b Plan) bool {
	if a.Short != b.Short {
		return !a.Short
	}
	return b.Counts == nil || a.Price < b.Price
}

// zone is a zone's offers, cheapest for their rate first.
type zone struct {
	id          identity.Zone
	reclaimable []Terms
	onDemand    []Terms
	// unitPrice is of one token a second at the guaranteed share.
	unitPrice float64
}

func byZone(ask Ask) []zone {
	var zones []zone
	for _, t := range ask.Terms {
		i := slices.IndexFunc(zones, func(z zone) bool { return z.id == t.Zone })
		if i < 0 {
			i = len(zones)
			zones = append(zones, zone{id: t.Zone})
		}
		if t.Reclaimable {
			zones[i].reclaimable = append(zones[i].reclaimable, t)
		} else {
			zones[i].onDemand = append(zones[i].onDemand, t)
		}
	}
	for i := range zones {
		z := &zones[i]
		slices.SortStableFunc(z.reclaimable, cheaper)
		slices.SortStableFunc(z.onDemand, cheaper)
		z.unitPrice = ask.Guaranteed*unitPrice(z.onDemand) + (1-ask.Guaranteed)*unitPrice(append(available(z.reclaimable), z.onDemand...))
	}
	slices.SortStableFunc(zones, func(a, b zone) int { return cmp.Compare(a.unitPrice, b.unitPrice) })
	return zones
}

func cheaper(a, b Terms) int {
	return cmp.Compare(float64(a.Price)/a.Rate, float64(b.Price)/b.Rate)
}

func sortDearest(terms []Terms) {
	slices.SortStableFunc(terms, func(a, b Terms) int { return cheaper(b, a) })
}

func available(terms []Terms) []Terms {
	return slices.DeleteFunc(slices.Clone(terms), func(t Terms) bool { return t.Limit == 0 })
}

func unitPrice(terms []Terms) float64 {
	if len(terms) == 0 {
		return math.Inf(1)
	}
	return float64(terms[0].Price) / terms[0].Rate
}

// spread fills the cheapest zones, each to the most that may be lost.
func spread(ask Ask, zones []zone, used int) Plan {
	most := ask.Demand
	if used > 1 {
		most = ask.Demand / float64(used-1)
	}
	plan := Plan{Counts: make(map[Offer]int)}
	for _, z := range zones[:used] {
		z.fill(plan.Counts, most, ask.Guaranteed)
	}
	plan.Price = price(ask, plan.Counts)
	plan.Short = !survives(ask, plan.Counts)
	return plan
}

// fill takes rate from a zone: the guaranteed share on demand, the rest
// reclaimable, and on demand again where that falls short.
func (z zone) fill(counts map[Offer]int, rate, guaranteed float64) {
	firm := take(counts, z.onDemand, rate*guaranteed)
	got := take(counts, z.reclaimable, rate-firm)
	take(counts, z.onDemand, rate-firm-got)
}

// take adds hosts until they serve rate or run out, and tells what they serve.
func take(counts map[Offer]int, terms []Terms, rate float64) float64 {
	got := 0.0
	for _, t := range terms {
		if got >= rate {
			break
		}
		more := min(int(math.Ceil((rate-got)/t.Rate-1e-9)), t.Limit-counts[t.Offer])
		if more <= 0 {
			continue
		}
		counts[t.Offer] += more
		got += float64(more) * t.Rate
	}
	return got
}

// survives tells whether counts serve the demand without any one zone. A single
// zone has to serve it alone, and has no headroom for its own loss.
func survives(ask Ask, counts map[Offer]int) bool {
	total, largest, perZone := rates(ask, counts)
	if len(perZone) == 1 {
		largest = 0
	}
	const rounding = 1e-6
	return total-largest >= ask.Demand*(1-rounding)
}

// allowed tells whether enough of the present is on demand.
func allowed(ask Ask) bool {
	total, firm := 0.0, 0.0
	for _, t := range ask.Terms {
		rate := float64(ask.Present[t.Offer]) * t.Rate
		total += rate
		if !t.Reclaimable {
			firm += rate
		}
	}
	return firm >= ask.Guaranteed*total*(1-ask.Band)
}

func price(ask Ask, counts map[Offer]int) unit.Money {
	var sum unit.Money
	for _, t := range ask.Terms {
		sum += t.Price * unit.Money(counts[t.Offer])
	}
	return sum
}
