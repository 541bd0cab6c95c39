package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
)

// The users' bound: in any window an organisation's calls may run for
// (rate x window + burst) x (1 + over) + slack units, over all hosts.
const (
	window = 8 * time.Second
	over   = 0.1
	slack  = 110_000
)

type taken struct {
	at    time.Time
	units float64
}

// play has hosts take calls of an organisation for a minute, told of each
// other's demand once a period, and gives what they let through.
func play(hosts int, o *catalogue.Organisation, period time.Duration, arrivals func(second float64, host int) []float64) (passed, refused []taken) {
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
			share(quotas, now)
		}
		for i, q := range quotas {
			for _, units := range arrivals(now.Sub(start).Seconds(), i) {
				if _, ok := q.Take(now, o, units); ok {
					passed = append(passed, taken{now, units})
				} else {
					refused = append(refused, taken{now, units})
				}
			}
		}
	}
	return passed, refused
}

func share(quotas []*quota.Quota, now time.Time) {
	told := make([]quota.Told, len(quotas))
	for i, q := range quotas {
		told[i] = quota.Told{Hosts: 1, Demand: q.Demand(now)}
	}
	for i, q := range quotas {
		var others []quota.Told
		for j := range told {
			if j != i {
				others = append(others, told[j])
			}
		}
		q.Share(told[i], others, len(quotas))
	}
}

// most is the largest sum in any window.
func most(list []taken) float64 {
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
	return &catalogue.Organisation{ID: "o", Limit: catalogue.Limit{PerSecond: perSecond, Burst: perSecond}}
}

func bound(perSecond float64) float64 {
	return (perSecond*window.Seconds()+perSecond)*(1+over) + slack
}

// random draws calls of mean units at a rate over all hosts.
func random(rng *rand.Rand, hosts int, perSecond, units float64) func(float64, int) []float64 {
	return func(float64, int) []float64 {
		var calls []float64
		for rng.Float64() < perSecond/units/float64(hosts)/20/(1+perSecond/units/float64(hosts)/20) {
			calls = append(calls, units*(0.2+1.6*rng.Float64()))
		}
		return calls
	}
}

// A hot organisation: many times its limit, at all hosts or at few.
func TestAHotOrganisationStaysWithinItsLimit(t *testing.T) {
	for _, perSecond := range []float64{30_000, 262_000} {
		for seed := range uint64(20) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			passed, _ := play(8, organisation(perSecond), 300*time.Millisecond, random(rng, 8, 8*perSecond, 9_000))
			got := most(passed)
			c.Assert(got <= bound(perSecond), qt.IsTrue, qt.Commentf("rate %v, seed %d: %v of %v", perSecond, seed, got, bound(perSecond)))
		}
	}
}

// Its callers move from one host to the next every two seconds.
func TestAHotOrganisationThatMovesStaysWithinItsLimit(t *testing.T) {
	c := qt.New(t)
	const perSecond = 262_000
	rng := rand.New(rand.NewPCG(7, 1))
	all := random(rng, 1, 4*perSecond, 9_000)
	passed, _ := play(8, organisation(perSecond), 300*time.Millisecond, func(second float64, host int) []float64 {
		if int(second/2)%8 != host {
			return nil
		}
		return all(second, host)
	})
	c.Assert(most(passed) <= bound(perSecond), qt.IsTrue)
}

// What an organisation asks for well below its limit is let through, though its
// callers come unevenly: 0.55 of the limit, of which at most 2% is refused.
func TestUsualDemandIsNotRefused(t *testing.T) {
	c := qt.New(t)
	const perSecond = 262_000
	rng := rand.New(rand.NewPCG(3, 1))
	passed, refused := play(8, organisation(perSecond), 300*time.Millisecond, random(rng, 8, 0.55*perSecond, 9_000))
	c.Assert(float64(len(refused)) <= 0.02*float64(len(passed)+len(refused)), qt.IsTrue, qt.Commentf("%d of %d", len(refused), len(passed)))
}

// Hosts that hear nobody keep to equal shares, which add up to the limit.
func TestHostsThatHearNobodyStayWithinTheLimit(t *testing.T) {
	c := qt.New(t)
	const perSecond = 262_000
	rng := rand.New(rand.NewPCG(5, 1))
	start := time.Unix(1000, 0)
	var passed []taken
	arrivals := random(rng, 8, 8*perSecond, 9_000)
	quotas := make([]*quota.Quota, 8)
	for i := range quotas {
		quotas[i] = quota.New(start)
	}
	o := organisation(perSecond)
	for now := start; now.Sub(start) < time.Minute; now = now.Add(50 * time.Millisecond) {
		for i, q := range quotas {
			q.Share(quota.Told{Hosts: 1, Demand: q.Demand(now)}, nil, len(quotas))
			for _, units := range arrivals(0, i) {
				if _, ok := q.Take(now, o, units); ok {
					passed = append(passed, taken{now, units})
				}
			}
		}
	}
	c.Assert(most(passed) <= bound(perSecond), qt.IsTrue)
}

func TestWhatDidNotRunIsGivenBack(t *testing.T) {
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
