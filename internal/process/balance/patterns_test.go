package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const modelSeeds = 5

// patterns are typical loads; minTargetShare is the minimum share of calls whose
// first event meets the latency target.
var patterns = map[string]struct {
	workload
	minTargetShare float64
}{
	"sessions from all zones": {workload{hosts: 24, endpoints: 30, perSecond: constantRate(110), sessions: 250, duration: 12 * time.Second}, 0.95},
	"burst": {workload{hosts: 24, endpoints: 30, sessions: 250, duration: 12 * time.Second, perSecond: func(second float64) float64 {
		if second >= 4 && second < 7 {
			return 200
		}
		return 100
	}}, 0.9},
	"hot session":  {workload{hosts: 24, endpoints: 30, perSecond: constantRate(110), sessions: 250, hotShare: 0.2, duration: 12 * time.Second}, 0.95},
	"reclaim wave": {workload{hosts: 24, endpoints: 30, perSecond: constantRate(80), sessions: 250, zoneLossSecond: 6, duration: 12 * time.Second}, 0.9},
	"many hosts":   {workload{hosts: 60, endpoints: 90, perSecond: constantRate(330), sessions: 750, duration: 8 * time.Second}, 0.95},
}

// For each pattern and each of five seeds, the balancer meets the latency target,
// recomputes fewer tokens than random choice and meets the target for at least as
// many calls.
func TestPatternsOfLoad(t *testing.T) {
	for name, p := range patterns {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(modelSeeds) {
				got, baseline := newModel(seed, p.workload).run(balanced), newModel(seed, p.workload).run(randomEndpoint)
				c.Logf("seed %d: share within target %.3f (random %.3f), recomputed %d (random %d) thousand tokens", seed, got.targetShare(), baseline.targetShare(), got.recomputed/1000, baseline.recomputed/1000)
				c.Check(got.targetShare() >= p.minTargetShare, qt.IsTrue)
				c.Check(got.targetShare() >= baseline.targetShare(), qt.IsTrue)
				c.Check(got.recomputed < baseline.recomputed, qt.IsTrue)
			}
		})
	}
}
