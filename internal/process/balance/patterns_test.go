package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const modelSeeds = 5

// patterns are loads of the users' days; atLeast is the part of the calls whose
// first event must come within the objective.
var patterns = map[string]struct {
	load
	atLeast float64
}{
	"sessions from all zones": {load{hosts: 24, endpoints: 30, perSecond: steady(110), sessions: 250, lasts: 12 * time.Second}, 0.95},
	"burst": {load{hosts: 24, endpoints: 30, sessions: 250, lasts: 12 * time.Second, perSecond: func(second float64) float64 {
		if second >= 4 && second < 7 {
			return 200
		}
		return 100
	}}, 0.9},
	"hot session":  {load{hosts: 24, endpoints: 30, perSecond: steady(110), sessions: 250, hot: 0.2, lasts: 12 * time.Second}, 0.95},
	"reclaim wave": {load{hosts: 24, endpoints: 30, perSecond: steady(80), sessions: 250, lost: 6, lasts: 12 * time.Second}, 0.9},
	"many hosts":   {load{hosts: 60, endpoints: 90, perSecond: steady(330), sessions: 750, lasts: 8 * time.Second}, 0.95},
}

// Each pattern is served, reads less again than a choice that knows nothing, and
// serves no less, on each of five pairs of runs.
func TestPatternsOfLoad(t *testing.T) {
	for name, p := range patterns {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(modelSeeds) {
				got, baseline := newModel(seed, p.load).play(ours), newModel(seed, p.load).play(anywhere)
				c.Logf("seed %d: in aim %.3f (%.3f), read again %d (%d) thousand tokens", seed, got.share(), baseline.share(), got.again/1000, baseline.again/1000)
				c.Check(got.share() >= p.atLeast, qt.IsTrue)
				c.Check(got.share() >= baseline.share(), qt.IsTrue)
				c.Check(got.again < baseline.again, qt.IsTrue)
			}
		})
	}
}
