package placement

import (
	"maps"
	"math"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// growParts is into how many steps a missing rate is cut, so that growth
// spreads over zones.
const growParts = 8

// near changes the present as little as serves the demand: it adds the cheapest
// or takes away the dearest.
func near(ask Ask) Plan {
	counts := maps.Clone(ask.Present)
	if counts == nil {
		counts = make(map[Offer]int)
	}
	for _, t := range ask.Terms {
		counts[t.Offer] = max(0, min(counts[t.Offer], t.Limit))
	}
	changed := ask
	changed.Present = counts
	grow(changed)
	shrink(changed, counts)
	return Plan{Counts: counts, Price: price(ask, counts), Short: !survives(ask, counts)}
}

// grow adds to Present until it serves the demand or nothing is left to add.
func grow(ask Ask) {
	for !survives(ask, ask.Present) || !allowed(ask) {
		total, largest, perZone := rates(ask, ask.Present)
		missing := ask.Demand - (total - largest)
		guaranteed := allowed(ask)
		best := none
		for i, t := range ask.Terms {
			if ask.Present[t.Offer] >= t.Limit || (!guaranteed && t.Reclaimable) {
				continue
			}
			if missing > 0 && len(perZone) > 1 && perZone[t.Zone] >= largest && largest > 0 {
				continue
			}
			if best == none || cheaper(t, ask.Terms[best]) < 0 {
				best = i
			}
		}
		if best == none {
			return
		}
		t := ask.Terms[best]
		step := max(1, int(math.Ceil(missing/t.Rate/growParts)))
		ask.Present[t.Offer] = min(t.Limit, ask.Present[t.Offer]+step)
	}
}

const none = -1

// shrink takes endpoints away from counts, the dearest first, as long as the
// rest serves the demand without any one zone.
func shrink(ask Ask, counts map[Offer]int) {
	order := make([]Terms, len(ask.Terms))
	copy(order, ask.Terms)
	sortDearest(order)
	for _, t := range order {
		ShrinkOnly(ask, counts, t.Offer, 0)
	}
}

// ShrinkOnly takes endpoints of one offer away from counts, down to floor, as
// long as the rest serves the demand without any one zone. With the counts that
// serve now, it tells how many may stop before others have started.
func ShrinkOnly(ask Ask, counts map[Offer]int, offer Offer, floor int) {
	ask.Present = counts
	low, high := min(floor, counts[offer]), counts[offer]
	for low < high {
		middle := (low + high) / 2
		counts[offer] = middle
		if survives(ask, counts) && allowed(ask) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	counts[offer] = high
}

// rates gives what all endpoints serve, and those of the largest and each zone.
func rates(ask Ask, counts map[Offer]int) (total, largest float64, perZone map[identity.Zone]float64) {
	perZone = make(map[identity.Zone]float64)
	for _, t := range ask.Terms {
		rate := float64(counts[t.Offer]) * t.Rate
		total += rate
		perZone[t.Zone] += rate
	}
	for _, rate := range perZone {
		largest = max(largest, rate)
	}
	return total, largest, perZone
}
