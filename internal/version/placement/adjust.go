package placement

import (
	"maps"
	"math"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// growSteps is the number of steps in which a missing rate is added, so that
// growth spreads over zones.
const growSteps = 8

// adjust changes the present endpoints as little as the demand requires: it adds
// the cheapest ones until the demand is met, then removes the most expensive ones
// that are not needed.
func adjust(input Input) Plan {
	counts := maps.Clone(input.Present)
	if counts == nil {
		counts = make(map[Offer]int)
	}
	for _, t := range input.Terms {
		counts[t.Offer] = max(0, min(counts[t.Offer], t.Limit))
	}
	adjusted := input
	adjusted.Present = counts
	grow(adjusted)
	shrink(adjusted, counts)
	return Plan{Counts: counts, Price: price(input, counts), Insufficient: !survivesZoneLoss(input, counts)}
}

// grow adds to Present until it meets the demand and the on-demand share, or
// nothing is left to add.
func grow(input Input) {
	for !survivesZoneLoss(input, input.Present) || !meetsOnDemandShare(input) {
		total, largest, perZone := rates(input, input.Present)
		missing := input.Demand - (total - largest)
		enoughOnDemand := meetsOnDemandShare(input)
		best := noOffer
		for i, t := range input.Terms {
			if input.Present[t.Offer] >= t.Limit || (!enoughOnDemand && t.Reclaimable) {
				continue
			}
			if missing > 0 && len(perZone) > 1 && perZone[t.Zone] >= largest && largest > 0 {
				continue
			}
			if best == noOffer || compareCost(t, input.Terms[best]) < 0 {
				best = i
			}
		}
		if best == noOffer {
			return
		}
		t := input.Terms[best]
		step := max(1, int(math.Ceil(missing/t.Rate/growSteps)))
		input.Present[t.Offer] = min(t.Limit, input.Present[t.Offer]+step)
	}
}

const noOffer = -1

// shrink removes endpoints from counts, the most expensive first, as long as the
// rest serves the demand after the loss of any one zone and meets the on-demand
// share.
func shrink(input Input, counts map[Offer]int) {
	order := make([]Terms, len(input.Terms))
	copy(order, input.Terms)
	sortDearestFirst(order)
	for _, t := range order {
		ShrinkOffer(input, counts, t.Offer, 0)
	}
}

// ShrinkOffer removes endpoints of one offer from counts, down to floor, as long
// as the rest serves the demand after the loss of any one zone and meets the
// on-demand share. Applied to the endpoints that serve now, it shows how many can
// stop before others have started.
func ShrinkOffer(input Input, counts map[Offer]int, offer Offer, floor int) {
	input.Present = counts
	low, high := min(floor, counts[offer]), counts[offer]
	for low < high {
		mid := (low + high) / 2
		counts[offer] = mid
		if survivesZoneLoss(input, counts) && meetsOnDemandShare(input) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	counts[offer] = high
}

// rates returns the capacity of all endpoints, of the largest zone and of each
// zone, in tokens per second.
func rates(input Input, counts map[Offer]int) (total, largest float64, perZone map[identity.Zone]float64) {
	perZone = make(map[identity.Zone]float64)
	for _, t := range input.Terms {
		rate := float64(counts[t.Offer]) * t.Rate
		total += rate
		perZone[t.Zone] += rate
	}
	for _, rate := range perZone {
		largest = max(largest, rate)
	}
	return total, largest, perZone
}
