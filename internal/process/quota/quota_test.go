package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
)

// The bound that the tests check: in any window the calls of an organisation may
// use at most (rate x window + burst) x (1 + tolerance) + slack units over all hosts.
const (
	window    = 8 * time.Second
	tolerance = 0.1
	slack     = 110_000
)

type call struct {
	at    time.Time
	units float64
}

// simulate has hosts take the arriving calls of an organisation for a minute and
// exchange their demand once per period. It returns the calls that passed and
// those that were refused.
func simulate(hosts int, o *catalogue.Organisation, period time.Duration, arrivals func(second float64, host int) []float64) (passed, refused []call) {
	start := time.Unix(1000, 0)
	quotas := make([]*quota.Quota, hosts)
	for i := range quotas {
		quotas[i] = quota.New(start)
	}
	const step = 50 * time.Millisecond
	next := start
	for now := start; now.Sub(start) < time.Minute; now = now.Add(step) {
		if !now.Before(next) {
			next = now.Add(period)
			exchangeDemand(quotas, now)
		}
		for i, q := range quotas {
			for _, units := range arrivals(now.Sub(start).Seconds(), i) {
				if _, ok := q.Take(now, o, units); ok {
					passed = append(passed, call{now, units})
				} else {
					refused = append(refused, call{now, units})
				}
			}
		}
	}
	return passed, refused
}

func exchangeDemand(quotas []*quota.Quota, now time.Time) {
	reports := make([]quota.ReportedDemand, len(quotas))
	for i, q := range quotas {
		reports[i] = quota.ReportedDemand{HostCount: 1, Demand: q.Demand(now)}
	}
	for i, q := range quotas {
		var others []quota.ReportedDemand
		for j := range reports {
			if j != i {
				others = append(others, reports[j])
			}
		}
		q.UpdateShares(reports[i], others, len(quotas))
	}
}

// maxWindowSum returns the largest sum of units in any window.
func maxWindowSum(list []call) float64 {
	largest, sum, first := 0.0, 0.0, 0
	for _, t := range list {
		sum += t.units
		for t.at.Sub(list[first].at) >= window {
			sum -= list[first].units
			first++
		}
		largest = max(largest, sum)
	}
	return largest
}

func organisation(perSecond float64) *catalogue.Organisation {
	return &catalogue.Organisation{ID: "o", RateLimit: catalogue.RateLimit{PerSecond: perSecond, Burst: perSecond}}
}

func bound(perSecond float64) float64 {
	return (perSecond*window.Seconds()+perSecond)*(1+tolerance) + slack
}

// randomCalls returns arrivals of calls with a mean size of units at a total rate
// of perSecond over all hosts. The number of calls on a host in each step, which is
// 1/20 s, has a geometric distribution.
func randomCalls(rng *rand.Rand, hosts int, perSecond, units float64) func(float64, int) []float64 {
	return func(float64, int) []float64 {
		var calls []float64
		for rng.Float64() < perSecond/units/float64(hosts)/20/(1+perSecond/units/float64(hosts)/20) {
			calls = append(calls, units*(0.2+1.6*rng.Float64()))
		}
		return calls
	}
}

// An organisation whose demand is eight times its limit over all hosts stays
// within the bound.
func TestOrganisationAboveItsLimitIsLimited(t *testing.T) {
	for _, perSecond := range []float64{30_000, 262_000} {
		for seed := range uint64(20) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			passed, _ := simulate(8, organisation(perSecond), 300*time.Millisecond, randomCalls(rng, 8, 8*perSecond, 9_000))
			got := maxWindowSum(passed)
			c.Assert(got <= bound(perSecond), qt.IsTrue, qt.Commentf("rate %v, seed %d: %v of %v", perSecond, seed, got, bound(perSecond)))
		}
	}
}

// An organisation whose demand is four times its limit stays within the bound while
// its callers move from one host to the next every two seconds.
func TestDemandThatMovesBetweenHostsIsLimited(t *testing.T) {
	c := qt.New(t)
	const perSecond = 262_000
	rng := rand.New(rand.NewPCG(7, 1))
	calls := randomCalls(rng, 1, 4*perSecond, 9_000)
	passed, _ := simulate(8, organisation(perSecond), 300*time.Millisecond, func(second float64, host int) []float64 {
		if int(second/2)%8 != host {
			return nil
		}
		return calls(second, host)
	})
	c.Assert(maxWindowSum(passed) <= bound(perSecond), qt.IsTrue)
}

// At a demand of 0.55 of the limit, at most 2% of the calls are refused, although
// they arrive unevenly.
func TestDemandBelowLimitIsNotRefused(t *testing.T) {
	c := qt.New(t)
	const perSecond = 262_000
	rng := rand.New(rand.NewPCG(3, 1))
	passed, refused := simulate(8, organisation(perSecond), 300*time.Millisecond, randomCalls(rng, 8, 0.55*perSecond, 9_000))
	c.Assert(float64(len(refused)) <= 0.02*float64(len(passed)+len(refused)), qt.IsTrue, qt.Commentf("%d of %d", len(refused), len(passed)))
}

// Hosts that receive no reports use equal shares, which add up to the limit.
func TestHostsWithoutReportsStayWithinLimit(t *testing.T) {
	c := qt.New(t)
	const perSecond = 262_000
	rng := rand.New(rand.NewPCG(5, 1))
	start := time.Unix(1000, 0)
	var passed []call
	arrivals := randomCalls(rng, 8, 8*perSecond, 9_000)
	quotas := make([]*quota.Quota, 8)
	for i := range quotas {
		quotas[i] = quota.New(start)
	}
	o := organisation(perSecond)
	for now := start; now.Sub(start) < time.Minute; now = now.Add(50 * time.Millisecond) {
		for i, q := range quotas {
			q.UpdateShares(quota.ReportedDemand{HostCount: 1, Demand: q.Demand(now)}, nil, len(quotas))
			for _, units := range arrivals(0, i) {
				if _, ok := q.Take(now, o, units); ok {
					passed = append(passed, call{now, units})
				}
			}
		}
	}
	c.Assert(maxWindowSum(passed) <= bound(perSecond), qt.IsTrue)
}

func TestReturnedUnitsAreAvailableAgain(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	q := quota.New(start)
	o := organisation(1000)
	now := start.Add(time.Second)
	for range 100 {
		_, ok := q.Take(now, o, 10)
		c.Assert(ok, qt.IsTrue)
		q.Return(o, 10)
	}
}

func TestNoLimit(t *testing.T) {
	c := qt.New(t)
	_, ok := quota.New(time.Now()).Take(time.Now(), organisation(0), 1e12)
	c.Assert(ok, qt.IsTrue)
}
