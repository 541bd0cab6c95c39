package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/placement"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// The simulated deployment has 12,000 endpoints in 16 zones. A wave reclaims all
// reclaimable endpoints of a zone, which gets no new ones for refusedMinutes. A
// lost zone returns after lostMinutes.
const (
	zoneCount        = 16
	peakDemand       = 8_700_000.0
	failuresPerDay   = 110
	reclaimsPerDay   = 1800
	reclaimableCount = 6600
	wavesPerDay      = 2
	startLag         = 4 * time.Minute
	refusedMinutes   = 45
	lostMinutes      = 60
	minutesPerDay    = 24 * 60
	// maxLoadsPerMinute limits the endpoints of one zone that start to load
	// weights in the same minute.
	maxLoadsPerMinute = 120
)

// day holds the demand, offers and events of each minute of a day.
type day struct {
	demand []float64
	terms  [][]placement.Terms
	// waveZone and lostZone are the index of the zone that is reclaimed or lost
	// in each minute, or -1.
	waveZone []int
	lostZone []int
	seed     uint64
}

func zoneName(i int) identity.Zone { return identity.Zone(fmt.Sprintf("zone-%02d", i)) }

func newDay(seed uint64) day {
	r := rand.New(rand.NewPCG(seed, 3))
	d := day{seed: seed}
	zoneFactor := make([]float64, zoneCount)
	priceWalk := make([]float64, zoneCount)
	for i := range zoneFactor {
		zoneFactor[i] = 1 + 0.2*r.Float64()
		priceWalk[i] = 1
	}
	surge := 0.0
	for m := range minutesPerDay {
		if r.IntN(240) == 0 {
			surge = 0.1
		}
		surge *= 0.97
		dayCurve := 0.75 - 0.25*math.Cos(2*math.Pi*float64(m)/minutesPerDay)
		d.demand = append(d.demand, peakDemand*dayCurve*(1+surge+0.01*r.NormFloat64()))
		d.waveZone = append(d.waveZone, -1)
		d.lostZone = append(d.lostZone, -1)
		var terms []placement.Terms
		for i := range zoneCount {
			priceWalk[i] = min(1.5, max(0.7, priceWalk[i]*(1+0.003*r.NormFloat64())))
			for _, class := range []struct {
				id               identity.Class
				rate             float64
				onDemandPrice    float64
				reclaimableRatio float64
			}{{"small", 700, 1e6, 0.30}, {"large", 1500, 1.9e6, 0.29}} {
				offer := placement.Offer{Zone: zoneName(i), Class: class.id}
				terms = append(terms, placement.Terms{Offer: offer, Rate: class.rate, Limit: 1000, Price: unit.Money(class.onDemandPrice * zoneFactor[i])})
				offer.Reclaimable = true
				price := unit.Money(class.onDemandPrice * class.reclaimableRatio * zoneFactor[i] * priceWalk[i])
				terms = append(terms, placement.Terms{Offer: offer, Rate: class.rate, Limit: 700, Price: price})
			}
		}
		d.terms = append(d.terms, terms)
	}
	for range wavesPerDay {
		d.waveZone[60+r.IntN(minutesPerDay-120)] = r.IntN(zoneCount)
	}
	d.lostZone[minutesPerDay/4+r.IntN(minutesPerDay/2)] = r.IntN(zoneCount)
	return d
}

// policy returns the wanted counts for the state in minute m.
type policy func(d day, m int, terms []placement.Terms, present map[placement.Offer]int) map[placement.Offer]int

func (d day) forecast(m int) float64 {
	var samples []placement.Sample
	for i := max(0, m-15); i <= m; i++ {
		samples = append(samples, placement.Sample{At: time.Time{}.Add(time.Duration(i) * time.Minute), Demand: d.demand[i]})
	}
	return placement.Forecast(samples, startLag) * 1.03
}

func byPrice(onDemandShare float64) policy {
	return func(d day, m int, terms []placement.Terms, present map[placement.Offer]int) map[placement.Offer]int {
		if onDemandShare == 1 {
			for i := range terms {
				if terms[i].Reclaimable {
					terms[i].Limit = 0
				}
			}
		}
		return placement.Decide(placement.Input{
			Demand: d.forecast(m), Terms: terms, Present: present, OnDemandShare: onDemandShare, Tolerance: 0.08,
		}).Counts
	}
}

// cheapestReclaimable picks the reclaimable offers that are cheapest now, without
// headroom.
func cheapestReclaimable(d day, m int, terms []placement.Terms, _ map[placement.Offer]int) map[placement.Offer]int {
	counts := make(map[placement.Offer]int)
	need := d.forecast(m)
	for need > 0 {
		best := -1
		for i, t := range terms {
			if !t.Reclaimable || counts[t.Offer] > 0 || t.Limit == 0 {
				continue
			}
			if best < 0 || float64(t.Price)/t.Rate < float64(terms[best].Price)/terms[best].Rate {
				best = i
			}
		}
		if best < 0 {
			break
		}
		n := min(terms[best].Limit, int(math.Ceil(need/terms[best].Rate)))
		counts[terms[best].Offer] = n
		need -= float64(n) * terms[best].Rate
	}
	return counts
}

// fixedSpread keeps the same number of small endpoints in every zone, sized for the
// day's peak with one zone lost; 55% are reclaimable.
func fixedSpread(_ day, _ int, terms []placement.Terms, _ map[placement.Offer]int) map[placement.Offer]int {
	counts := make(map[placement.Offer]int)
	each := peakDemand * 1.03 / (zoneCount - 1)
	for _, t := range terms {
		share := 0.45
		if t.Reclaimable {
			share = 0.55
		}
		if t.Class == "small" && t.Limit > 0 {
			counts[t.Offer] = int(math.Ceil(each * share / t.Rate))
		}
	}
	return counts
}

// outcome is the result of a day under one policy.
type outcome struct {
	// cost is in whole coins.
	cost float64
	// inTarget is the share of demand in minutes with sufficient capacity.
	inTarget float64
	starts   int
	peak     int
}

// pending is a number of endpoints that load weights until minute readyAt.
type pending struct {
	offer   placement.Offer
	n       int
	readyAt int
}

// run simulates the day under a policy. If guarded, endpoints are stopped only when
// the remaining live ones meet the demand.
func (d day) run(p policy, guarded bool) outcome {
	r := rand.New(rand.NewPCG(d.seed, 4))
	live := make(map[placement.Offer]int)
	var loading []pending
	refusedUntil := make(map[identity.Zone]int)
	lostUntil := make(map[identity.Zone]int)
	var out outcome
	var demandMet, demandTotal float64
	for m := range minutesPerDay {
		terms := make([]placement.Terms, len(d.terms[m]))
		copy(terms, d.terms[m])
		for i := range terms {
			t := &terms[i]
			if m < lostUntil[t.Zone] || (t.Reclaimable && m < refusedUntil[t.Zone]) {
				t.Limit = min(t.Limit, live[t.Offer])
			}
		}
		present := make(map[placement.Offer]int)
		for o, n := range live {
			present[o] = n
		}
		for _, l := range loading {
			present[l.offer] += l.n
		}
		want := p(d, m, terms, present)
		loadsStarted := make(map[identity.Zone]int)
		keep := make(map[placement.Offer]int)
		if guarded {
			keep = d.mustKeep(m, terms, live, want)
		}
		for _, t := range terms {
			loading, out.starts = applyCounts(live, loading, present, want, keep, t, m, loadsStarted, out.starts)
		}
		loading = finishLoading(live, loading, m)
		d.applyEvents(r, m, live, &loading, refusedUntil, lostUntil)
		capacity, count := 0.0, 0
		for _, t := range terms {
			capacity += float64(live[t.Offer]) * t.Rate
			count += live[t.Offer]
			out.cost += float64(live[t.Offer]) * float64(t.Price) / 60 / float64(unit.Coin)
		}
		for _, l := range loading {
			for _, t := range terms {
				if t.Offer == l.offer {
					out.cost += float64(l.n) * float64(t.Price) / 60 / float64(unit.Coin)
				}
			}
		}
		out.peak = max(out.peak, count)
		if m < 2*int(startLag.Minutes()) {
			continue
		}
		demandTotal += d.demand[m]
		if capacity >= d.demand[m] {
			demandMet += d.demand[m]
		}
	}
	out.inTarget = demandMet / demandTotal
	return out
}

// applyCounts starts missing endpoints of an offer, within the limit on loads, and
// stops surplus ones.
func applyCounts(live map[placement.Offer]int, loading []pending, present, want, keep map[placement.Offer]int, t placement.Terms, m int, loadsStarted map[identity.Zone]int, starts int) ([]pending, int) {
	o := t.Offer
	added := min(want[o], t.Limit) - present[o]
	if added > 0 {
		if m > 0 {
			added = min(added, maxLoadsPerMinute-loadsStarted[o.Zone])
		}
		loadsStarted[o.Zone] += added
		return append(loading, pending{offer: o, n: added, readyAt: m + int(startLag.Minutes())}), starts + added
	}
	if want[o] < present[o] {
		live[o] = max(keep[o], live[o]-(present[o]-want[o]))
	}
	return loading, starts
}

// mustKeep returns how many live endpoints of each offer must not stop yet,
// because their replacements do not serve yet.
func (d day) mustKeep(m int, terms []placement.Terms, live, want map[placement.Offer]int) map[placement.Offer]int {
	serving := make(map[placement.Offer]int)
	for o, n := range live {
		serving[o] = n
	}
	var extra []placement.Terms
	for _, t := range terms {
		if live[t.Offer] > want[t.Offer] {
			extra = append(extra, t)
		}
	}
	for _, t := range extra {
		input := placement.Input{Demand: d.forecast(m), Terms: terms}
		placement.ShrinkOffer(input, serving, t.Offer, want[t.Offer])
	}
	return serving
}

func finishLoading(live map[placement.Offer]int, loading []pending, m int) []pending {
	var stillLoading []pending
	for _, l := range loading {
		if l.readyAt <= m {
			live[l.offer] += l.n
		} else {
			stillLoading = append(stillLoading, l)
		}
	}
	return stillLoading
}

// applyEvents applies the failures, reclaims, reclaim wave and zone loss of minute m.
func (d day) applyEvents(r *rand.Rand, m int, live map[placement.Offer]int, loading *[]pending, refusedUntil, lostUntil map[identity.Zone]int) {
	reclaimedByWaves := float64(wavesPerDay * reclaimableCount / zoneCount)
	for _, t := range d.terms[m] {
		lossRate := float64(failuresPerDay) / 12_000 / minutesPerDay
		if t.Reclaimable {
			lossRate += (reclaimsPerDay - reclaimedByWaves) / reclaimableCount / minutesPerDay
		}
		live[t.Offer] -= min(live[t.Offer], poisson(r, lossRate*float64(live[t.Offer])))
		zoneLost := d.lostZone[m] >= 0 && t.Zone == zoneName(d.lostZone[m])
		zoneReclaimed := d.waveZone[m] >= 0 && t.Zone == zoneName(d.waveZone[m]) && t.Reclaimable
		if zoneLost || zoneReclaimed {
			live[t.Offer] = 0
		}
		if zoneLost {
			lostUntil[t.Zone] = m + lostMinutes
		}
		if zoneReclaimed {
			refusedUntil[t.Zone] = m + refusedMinutes
		}
	}
	kept := (*loading)[:0]
	for _, l := range *loading {
		if m+1 < lostUntil[l.offer.Zone] || (l.offer.Reclaimable && m+1 < refusedUntil[l.offer.Zone]) {
			continue
		}
		kept = append(kept, l)
	}
	*loading = kept
}

func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for left := r.ExpFloat64(); left < mean; left += r.ExpFloat64() {
		n++
	}
	return n
}
