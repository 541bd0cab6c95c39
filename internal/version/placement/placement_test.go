package placement_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/placement"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

var policies = []struct {
	name    string
	run     policy
	guarded bool
}{
	{"all_on_demand", byPrice(1), true},
	{"cheapest_reclaimable", cheapestReclaimable, false},
	{"cheapest_reclaimable_guarded", cheapestReclaimable, true},
	{"fixed_spread", fixedSpread, false},
	{"by_price", byPrice(0.2), true},
}

const byPriceIndex = 4

// TestPlacementWaveTarget checks a target over a simulated day for each seed: at
// most 0.6 of the cost of all on demand, with no less demand in target.
func TestPlacementWaveTarget(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		d := newDay(seed)
		onDemand, ours := d.run(policies[0].run, true), d.run(policies[byPriceIndex].run, true)
		if ours.cost > 0.6*onDemand.cost || ours.inTarget < onDemand.inTarget {
			t.Errorf("seed %d: cost %.3f of all on demand, in target %.5f against %.5f",
				seed, ours.cost/onDemand.cost, ours.inTarget, onDemand.inTarget)
		}
	}
}

func BenchmarkWave(b *testing.B) {
	seed, err := strconv.ParseUint(os.Getenv("DANDELIONLIFT_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	d := newDay(seed)
	onDemandCost := d.run(policies[0].run, true).cost
	for _, p := range policies {
		b.Run(fmt.Sprintf("%s/seed=%d", p.name, seed), func(b *testing.B) {
			var out outcome
			for b.Loop() {
				out = d.run(p.run, p.guarded)
			}
			b.ReportMetric(out.cost, "coins")
			b.ReportMetric(out.cost/onDemandCost, "of-on-demand")
			b.ReportMetric(out.inTarget, "in-target")
			b.ReportMetric(float64(out.starts), "starts")
			b.ReportMetric(float64(out.peak), "peak-endpoints")
		})
	}
}

func BenchmarkPlacement(b *testing.B) {
	for _, endpoints := range []int{750, 12_000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			d := newDay(1)
			input := placement.Input{Demand: peakDemand * float64(endpoints) / 12_000, Terms: d.terms[0], OnDemandShare: 0.2, Tolerance: 0.08}
			var plan placement.Plan
			for b.Loop() {
				plan = placement.Decide(input)
			}
			b.ReportMetric(float64(len(plan.Counts)), "plan-offers")
		})
	}
}

// randomInput returns small offers in some zones at random prices and limits.
func randomInput(r *rand.Rand) placement.Input {
	input := placement.Input{
		Demand: r.Float64() * 5000, OnDemandShare: r.Float64(), Tolerance: 0.1, Present: make(map[placement.Offer]int),
	}
	for z := range 1 + r.IntN(5) {
		for _, reclaimable := range []bool{false, true} {
			t := placement.Terms{
				Offer: placement.Offer{Zone: zoneName(z), Class: "small", Reclaimable: reclaimable},
				Price: unit.Money(1 + r.IntN(1000)), Rate: 1 + r.Float64()*100, Limit: r.IntN(200),
			}
			input.Terms = append(input.Terms, t)
			input.Present[t.Offer] = min(r.IntN(50), t.Limit)
		}
	}
	return input
}

// Every plan respects the limits, and a plan that is not short serves the demand
// after the loss of any one zone.
func TestPlacementInvariants(t *testing.T) {
	short := 0
	for seed := range uint64(5000) {
		input := randomInput(rand.New(rand.NewPCG(seed, 1)))
		plan := placement.Decide(input)
		total, perZone := 0.0, make(map[identity.Zone]float64)
		for _, term := range input.Terms {
			n := plan.Counts[term.Offer]
			qt.Assert(t, n >= 0 && n <= term.Limit, qt.IsTrue, qt.Commentf("seed %d", seed))
			perZone[term.Zone] += float64(n) * term.Rate
			total += float64(n) * term.Rate
		}
		if plan.Insufficient {
			short++
			continue
		}
		for _, rate := range perZone {
			if len(perZone) > 1 {
				qt.Assert(t, total-rate >= input.Demand*0.999, qt.IsTrue, qt.Commentf("seed %d", seed))
			}
		}
		qt.Assert(t, total >= input.Demand*0.999, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
	qt.Check(t, short < 4000, qt.IsTrue, qt.Commentf("%d", short))
}

func TestPlacementHysteresis(t *testing.T) {
	d := newDay(1)
	input := placement.Input{Demand: 500_000, Terms: d.terms[0], OnDemandShare: 0.2, Tolerance: 0.08}
	input.Present = placement.Decide(input).Counts
	for _, change := range []float64{0.99, 0.96, 1} {
		input.Demand = 500_000 * change
		qt.Check(t, placement.Decide(input).Counts, qt.DeepEquals, input.Present)
	}
	input.Demand = 300_000
	qt.Check(t, placement.Decide(input).Counts, qt.Not(qt.DeepEquals), input.Present)
	input.Demand = 600_000
	qt.Check(t, placement.Decide(input).Counts, qt.Not(qt.DeepEquals), input.Present)
}

func TestPlacementForecastLeadsByLag(t *testing.T) {
	var samples []placement.Sample
	for m := range 20 {
		samples = append(samples, placement.Sample{At: time.Time{}.Add(time.Duration(m) * time.Minute), Demand: 100 + 10*float64(m)})
	}
	qt.Check(t, int(placement.Forecast(samples, 5*time.Minute)+0.5), qt.Equals, 340)
	qt.Check(t, placement.Forecast(nil, time.Minute), qt.Equals, 0.0)
	qt.Check(t, placement.Forecast(samples[:1], time.Minute), qt.Equals, 100.0)
}
