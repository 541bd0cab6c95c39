// Package placement computes how many endpoints of each class a service should
// have in each availability zone, reclaimable or on demand, at the lowest price
// that meets its demand within the latency target.
//
// # Headroom
//
// A whole zone may be lost at any time. The other zones must then serve the
// demand: the total capacity without that of any one zone must be at least the
// demand. Fewer, cheaper zones cost less per endpoint but need more headroom;
// each number of zones is evaluated.
//
// # Reclaimable and on demand
//
// A share of each zone's capacity is on demand and survives reclaim waves that
// span several zones. The rest is reclaimable as far as the cloud offers it.
//
// # Hysteresis
//
// The present endpoints are kept while they serve the demand at a price within a
// tolerance band above the best plan, so that neither noise nor small price
// changes cause moves. If a change is needed, the smallest one within the band is
// preferred.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Offer is a kind of host that the cloud provider offers.
type Offer struct {
	Zone        identity.Zone
	Class       identity.Class
	Reclaimable bool
}

// Terms holds the price, capacity and availability of an Offer.
type Terms struct {
	Offer
	// Price is per hour.
	Price unit.Money
	// Rate is the number of tokens per second that one endpoint serves within
	// the latency target; it is positive.
	Rate float64
	// Limit bounds the count; it is 0 while the cloud provider refuses orders.
	Limit int
}

// Input is the input of Decide.
type Input struct {
	// Demand is the forecast in tokens per second for the time when endpoints
	// ordered now would serve.
	Demand float64
	Terms  []Terms
	// Present counts the existing endpoints, including those still starting.
	Present map[Offer]int
	// OnDemandShare is the share of capacity that must be on demand, 0 to 1.
	OnDemandShare float64
	// Tolerance is the tolerance, as a share, by which a plan may cost more than
	// the best one or have less than OnDemandShare on demand.
	Tolerance float64
}

// Plan is the number of endpoints of each offer that there should be.
type Plan struct {
	Counts map[Offer]int
	// Price is per hour.
	Price unit.Money
	// Insufficient is set if the offers can't meet the demand after the loss of a zone.
	Insufficient bool
}

// Decide returns the present endpoints if they are good enough, else an adjustment
// of them within the band, else the cheapest plan.
func Decide(input Input) Plan {
	zones := offersByZone(input)
	best := Plan{Insufficient: true}
	for used := 1; used <= len(zones); used++ {
		plan := planZones(input, zones, used)
		if better(plan, best) {
			best = plan
		}
	}
	if best.Counts == nil {
		best.Counts = make(map[Offer]int)
	}
	present := Plan{Counts: input.Present, Price: price(input, input.Present)}
	if meetsOnDemandShare(input) && survivesZoneLoss(input, input.Present) && !tooExpensive(input, present, best) {
		return present
	}
	if changed := adjust(input); !changed.Insufficient && !tooExpensive(input, changed, best) {
		return changed
	}
	return best
}

func tooExpensive(input Input, plan, best Plan) bool {
	return !best.Insufficient && float64(plan.Price) > float64(best.Price)*(1+input.Tolerance)
}

func better(a, b Plan) bool {
	if a.Insufficient != b.Insufficient {
		return !a.Insufficient
	}
	return b.Counts == nil || a.Price < b.Price
}

// zoneOffers holds one zone's offers, cheapest per token first.
type zoneOffers struct {
	id          identity.Zone
	reclaimable []Terms
	onDemand    []Terms
	// unitPrice is the price of one token per second at the on-demand share.
	unitPrice float64
}

func offersByZone(input Input) []zoneOffers {
	var zones []zoneOffers
	for _, t := range input.Terms {
		i := slices.IndexFunc(zones, func(z zoneOffers) bool { return z.id == t.Zone })
		if i < 0 {
			i = len(zones)
			zones = append(zones, zoneOffers{id: t.Zone})
		}
		if t.Reclaimable {
			zones[i].reclaimable = append(zones[i].reclaimable, t)
		} else {
			zones[i].onDemand = append(zones[i].onDemand, t)
		}
	}
	for i := range zones {
		z := &zones[i]
		slices.SortStableFunc(z.reclaimable, compareCost)
		slices.SortStableFunc(z.onDemand, compareCost)
		z.unitPrice = input.OnDemandShare*firstUnitPrice(z.onDemand) + (1-input.OnDemandShare)*firstUnitPrice(append(available(z.reclaimable), z.onDemand...))
	}
	slices.SortStableFunc(zones, func(a, b zoneOffers) int { return cmp.Compare(a.unitPrice, b.unitPrice) })
	return zones
}

func compareCost(a, b Terms) int {
	return cmp.Compare(float64(a.Price)/a.Rate, float64(b.Price)/b.Rate)
}

func sortDearestFirst(terms []Terms) {
	slices.SortStableFunc(terms, func(a, b Terms) int { return compareCost(b, a) })
}

func available(terms []Terms) []Terms {
	return slices.DeleteFunc(slices.Clone(terms), func(t Terms) bool { return t.Limit == 0 })
}

func firstUnitPrice(terms []Terms) float64 {
	if len(terms) == 0 {
		return math.Inf(1)
	}
	return float64(terms[0].Price) / terms[0].Rate
}

// planZones spreads the demand evenly over the first zoneCount zones, the
// cheapest, so that the others of them can serve it when one is lost.
func planZones(input Input, zones []zoneOffers, zoneCount int) Plan {
	zoneRate := input.Demand
	if zoneCount > 1 {
		zoneRate = input.Demand / float64(zoneCount-1)
	}
	plan := Plan{Counts: make(map[Offer]int)}
	for _, z := range zones[:zoneCount] {
		z.fill(plan.Counts, zoneRate, input.OnDemandShare)
	}
	plan.Price = price(input, plan.Counts)
	plan.Insufficient = !survivesZoneLoss(input, plan.Counts)
	return plan
}

// fill allocates rate in a zone: onDemandShare of it on demand, the rest
// reclaimable, and on demand again if there is not enough reclaimable capacity.
func (z zoneOffers) fill(counts map[Offer]int, rate, onDemandShare float64) {
	fromOnDemand := allocate(counts, z.onDemand, rate*onDemandShare)
	fromReclaimable := allocate(counts, z.reclaimable, rate-fromOnDemand)
	allocate(counts, z.onDemand, rate-fromOnDemand-fromReclaimable)
}

// allocate adds endpoints until they serve rate or the limits are reached, and
// returns the rate that they serve.
func allocate(counts map[Offer]int, terms []Terms, rate float64) float64 {
	served := 0.0
	for _, t := range terms {
		if served >= rate {
			break
		}
		added := min(int(math.Ceil((rate-served)/t.Rate-1e-9)), t.Limit-counts[t.Offer])
		if added <= 0 {
			continue
		}
		counts[t.Offer] += added
		served += float64(added) * t.Rate
	}
	return served
}

// survivesZoneLoss reports whether counts serve the demand after the loss of any
// one zone. If there is only one zone, its loss is ignored.
func survivesZoneLoss(input Input, counts map[Offer]int) bool {
	total, largest, perZone := rates(input, counts)
	if len(perZone) == 1 {
		largest = 0
	}
	const rounding = 1e-6
	return total-largest >= input.Demand*(1-rounding)
}

// meetsOnDemandShare reports whether enough of the present capacity is on demand.
func meetsOnDemandShare(input Input) bool {
	total, onDemand := 0.0, 0.0
	for _, t := range input.Terms {
		rate := float64(input.Present[t.Offer]) * t.Rate
		total += rate
		if !t.Reclaimable {
			onDemand += rate
		}
	}
	return onDemand >= input.OnDemandShare*total*(1-input.Tolerance)
}

func price(input Input, counts map[Offer]int) unit.Money {
	var sum unit.Money
	for _, t := range input.Terms {
		sum += t.Price * unit.Money(counts[t.Offer])
	}
	return sum
}
