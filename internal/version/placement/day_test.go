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

// The target's ratios, for 12,000 endpoints in 16 zones.
const (
	zones       = 16
	peakDemand  = 8_700_000.0
	failures    = 110
	replaced    = 1800
	reclaimable = 6600
	waves       = 2
	lag         = 4 * time.Minute
	refusedFor  = 45
	lostFor     = 60
	minutes     = 24 * 60
	// loadsAMinute bounds the endpoints of one zone that load weights.
	loadsAMinute = 120
)

// day is a table of demand, prices and events by the minute.
type day struct {
	demand []float64
	terms  [][]placement.Terms
	// waveAt and lostAt give the zone that is reclaimed or lost, or -1.
	waveAt []int
	lostAt []int
	seed   uint64
}

func zoneName(i int) identity.Zone { return identity.Zone(fmt.Sprintf("zone-%02d", i)) }

func newDay(seed uint64) day {
	r := rand.New(rand.NewPCG(seed, 3))
	d := day{seed: seed}
	level := make([]float64, zones)
	walk := make([]float64, zones)
	for i := range level {
		level[i] = 1 + 0.2*r.Float64()
		walk[i] = 1
	}
	surge := 0.0
	for m := range minutes {
		if r.IntN(240) == 0 {
			surge = 0.1
		}
		surge *= 0.97
		wave := 0.75 - 0.25*math.Cos(2*math.Pi*float64(m)/minutes)
		d.demand = append(d.demand, peakDemand*wave*(1+surge+0.01*r.NormFloat64()))
		d.waveAt = append(d.waveAt, -1)
		d.lostAt = append(d.lostAt, -1)
		var terms []placement.Terms
		for i := range zones {
			walk[i] = min(1.5, max(0.7, walk[i]*(1+0.003*r.NormFloat64())))
			for _, class := range []struct {
				id       identity.Class
				rate     float64
				firm     float64
				discount float64
			}{{"small", 700, 1e6, 0.30}, {"large", 1500, 1.9e6, 0.29}} {
				offer := placement.Offer{Zone: zoneName(i), Class: class.id}
				terms = append(terms, placement.Terms{Offer: offer, Rate: class.rate, Limit: 1000, Price: unit.Money(class.firm * level[i])})
				offer.Reclaimable = true
				price := unit.Money(class.firm * class.discount * level[i] * walk[i])
				terms = append(terms, placement.Terms{Offer: offer, Rate: class.rate, Limit: 700, Price: price})
			}
		}
		d.terms = append(d.terms, terms)
	}
	for range waves {
		d.waveAt[60+r.IntN(minutes-120)] = r.IntN(zones)
	}
	d.lostAt[minutes/4+r.IntN(minutes/2)] = r.IntN(zones)
	return d
}

// policy gives the counts wanted for what is known in one minute.
type policy func(d day, m int, terms []placement.Terms, present map[placement.Offer]int) map[placement.Offer]int

func (d day) forecast(m int) float64 {
	var samples []placement.Sample
	for i := max(0, m-15); i <= m; i++ {
		samples = append(samples, placement.Sample{At: time.Time{}.Add(time.Duration(i) * time.Minute), Demand: d.demand[i]})
	}
	return placement.Forecast(samples, lag) * 1.03
}

func byPrice(guaranteed float64) policy {
	return func(d day, m int, terms []placement.Terms, present map[placement.Offer]int) map[placement.Offer]int {
		if guaranteed == 1 {
			for i := range terms {
				if terms[i].Reclaimable {
					terms[i].Limit = 0
				}
			}
		}
		return placement.Decide(placement.Ask{
			Demand: d.forecast(m), Terms: terms, Present: present, Guaranteed: guaranteed, Band: 0.08,
		}).Counts
	}
}

// cheapest takes what is cheapest now among the reclaimable, without headroom.
func cheapest(d day, m int, terms []placement.Terms, _ map[placement.Offer]int) map[placement.Offer]int {
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

// fixed holds the same small endpoints in every zone, for the day's peak and
// one zone's loss, 55 in 100 reclaimable.
func fixed(_ day, _ int, terms []placement.Terms, _ map[placement.Offer]int) map[placement.Offer]int {
	counts := make(map[placement.Offer]int)
	each := peakDemand * 1.03 / (zones - 1)
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

// outcome is what a day came to under one policy.
type outcome struct {
	// cost is in whole coins.
	cost float64
	// inTarget is the share of demand in minutes whose capacity sufficed.
	inTarget float64
	starts   int
	peak     int
}

// pending is a number of endpoints that load until ready.
type pending struct {
	offer placement.Offer
	n     int
	ready int
}

// run steps a policy through the day. A guarded one stops endpoints only when
// what is live can do without them.
func (d day) run(p policy, guarded bool) outcome {
	r := rand.New(rand.NewPCG(d.seed, 4))
	live := make(map[placement.Offer]int)
	var loading []pending
	refused := make(map[identity.Zone]int)
	lost := make(map[identity.Zone]int)
	var out outcome
	var met, all float64
	for m := range minutes {
		terms := make([]placement.Terms, len(d.terms[m]))
		copy(terms, d.terms[m])
		for i := range terms {
			t := &terms[i]
			if m < lost[t.Zone] || (t.Reclaimable && m < refused[t.Zone]) {
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
		loads := make(map[identity.Zone]int)
		stays := make(map[placement.Offer]int)
		if guarded {
			stays = d.stays(m, terms, live, want)
		}
		for _, t := range terms {
			loading, out.starts = adjust(live, loading, present, want, stays, t, m, loads, out.starts)
		}
		loading = arrive(live, loading, m)
		d.strike(r, m, live, &loading, refused, lost)
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
		if m < 2*int(lag.Minutes()) {
			continue
		}
		all += d.demand[m]
		if capacity >= d.demand[m] {
			met += d.demand[m]
		}
	}
	out.inTarget = met / all
	return out
}

// adjust starts what is missing of an offer, as far as weights can be loaded,
// and stops what is too much.
func adjust(live map[placement.Offer]int, loading []pending, present, want, stays map[placement.Offer]int, t placement.Terms, m int, loads map[identity.Zone]int, starts int) ([]pending, int) {
	o := t.Offer
	more := min(want[o], t.Limit) - present[o]
	if more > 0 {
		if m > 0 {
			more = min(more, loadsAMinute-loads[o.Zone])
		}
		loads[o.Zone] += more
		return append(loading, pending{offer: o, n: more, ready: m + int(lag.Minutes())}), starts + more
	}
	if want[o] < present[o] {
		live[o] = max(stays[o], live[o]-(present[o]-want[o]))
	}
	return loading, starts
}

// stays tells how many live endpoints have to wait for others before they stop.
func (d day) stays(m int, terms []placement.Terms, live, want map[placement.Offer]int) map[placement.Offer]int {
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
		one := placement.Ask{Demand: d.forecast(m), Terms: terms}
		placement.ShrinkOnly(one, serving, t.Offer, want[t.Offer])
	}
	return serving
}

func arrive(live map[placement.Offer]int, loading []pending, m int) []pending {
	var rest []pending
	for _, l := range loading {
		if l.ready <= m {
			live[l.offer] += l.n
		} else {
			rest = append(rest, l)
		}
	}
	return rest
}

// strike applies the minute's failures, reclaims, wave and loss of a zone.
func (d day) strike(r *rand.Rand, m int, live map[placement.Offer]int, loading *[]pending, refused, lost map[identity.Zone]int) {
	waved := float64(waves * reclaimable / zones)
	for _, t := range d.terms[m] {
		perEndpoint := float64(failures) / 12_000 / minutes
		if t.Reclaimable {
			perEndpoint += (replaced - waved) / reclaimable / minutes
		}
		live[t.Offer] -= min(live[t.Offer], poisson(r, perEndpoint*float64(live[t.Offer])))
		whole := d.lostAt[m] >= 0 && t.Zone == zoneName(d.lostAt[m])
		wave := d.waveAt[m] >= 0 && t.Zone == zoneName(d.waveAt[m]) && t.Reclaimable
		if whole || wave {
			live[t.Offer] = 0
		}
		if whole {
			lost[t.Zone] = m + lostFor
		}
		if wave {
			refused[t.Zone] = m + refusedFor
		}
	}
	kept := (*loading)[:0]
	for _, l := range *loading {
		if m+1 < lost[l.offer.Zone] || (l.offer.Reclaimable && m+1 < refused[l.offer.Zone]) {
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
