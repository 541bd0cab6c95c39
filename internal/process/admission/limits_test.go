package admission_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/admission"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	limit           = 100_000
	callSize        = 300
	durationSeconds = 40
	windowSeconds   = 10
)

// simulateLimit simulates hosts that share one organisation's limit with a demand
// of three times that limit, and returns the tokens admitted in each second. pick
// chooses the host of a call; receives reports whether a host gets peer reports.
func simulateLimit(t *testing.T, hosts int, pick func(second int, random *rand.Rand) int, receives func(second, host int) bool) (bySecond []int) {
	bySecond = make([]int, durationSeconds)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		group := new(errgroup.Group)
		controllers := make([]*admission.Controller, hosts)
		for i := range controllers {
			controllers[i] = admission.New(
				func(identity.Service) admission.Service {
					return admission.Service{Slots: 1 << 20, FirstTokenTarget: target}
				},
				func(identity.Organisation) admission.Organisation {
					return admission.Organisation{Weight: 1, TokensPerSecond: limit}
				})
			group.Go(func() error { return controllers[i].Run(ctx) })
		}
		random := rand.New(rand.NewPCG(1, uint64(hosts)))
		for second := range durationSeconds {
			exchangeDemand(controllers, func(host int) bool { return receives(second, host) })
			until := time.Now().Add(time.Second)
			for time.Now().Before(until) {
				time.Sleep(time.Second * callSize / limit / 3)
				call := admission.Call{Service: "s", Organisation: "o", Tokens: callSize}
				if release, failure := controllers[pick(second, random)].Admit(ctx, call); failure == nil {
					bySecond[second] += callSize
					release()
				}
			}
		}
		cancel()
		qt.Assert(t, group.Wait(), qt.IsNil)
	})
	return bySecond
}

// exchangeDemand gives each host that receives reports the demand of all others.
func exchangeDemand(controllers []*admission.Controller, receives func(int) bool) {
	reports := make([]admission.PeerDemand, len(controllers))
	for i, c := range controllers {
		reports[i] = admission.PeerDemand{Host: identity.Host(fmt.Sprint(i)), Demands: c.AdvertisedDemand()}
	}
	for i, c := range controllers {
		if receives(i) {
			others := append(append([]admission.PeerDemand(nil), reports[:i]...), reports[i+1:]...)
			c.SetPeerDemand(others)
		}
	}
}

// overshoot returns how far the admitted rate exceeds the limit, as a fraction of
// it: in the worst window, and on average.
func overshoot(bySecond []int, from int) (worst, mean float64) {
	total := 0
	for i := from; i+windowSeconds <= len(bySecond); i++ {
		n := 0
		for _, tokens := range bySecond[i : i+windowSeconds] {
			n += tokens
		}
		worst = max(worst, float64(n)/(limit*windowSeconds)-1)
	}
	for _, tokens := range bySecond[from:] {
		total += tokens
	}
	return worst, float64(total)/(limit*float64(len(bySecond)-from)) - 1
}

// The limit holds across all hosts from the first second on, when demand moves
// from one half of the hosts to the other, and when a tenth of them receive no
// reports.
func TestAdmissionLimitHoldsOverAllHosts(t *testing.T) {
	for _, hosts := range []int{8, 380} {
		even := func(_ int, random *rand.Rand) int { return random.IntN(hosts) }
		moving := func(second int, random *rand.Rand) int {
			return random.IntN(hosts/2) + hosts/2*(second/20%2)
		}
		always := func(int, int) bool { return true }
		notCutOff := func(second, host int) bool { return second < 20 || host >= (hosts+9)/10 }
		for _, run := range []struct {
			name     string
			pick     func(int, *rand.Rand) int
			receives func(int, int) bool
		}{{"even", even, always}, {"moving", moving, always}, {"cut_off", even, notCutOff}} {
			t.Run(fmt.Sprintf("hosts=%d/%s", hosts, run.name), func(t *testing.T) {
				bySecond := simulateLimit(t, hosts, run.pick, run.receives)
				worst, mean := overshoot(bySecond, 0)
				_, settled := overshoot(bySecond, 10)
				t.Logf("over the limit: %.1f%% in the worst %d s, %.1f%% in all, %.1f%% after 10 s", 100*worst, windowSeconds, 100*mean, 100*settled)
				qt.Check(t, mean <= 0.1, qt.IsTrue)
				qt.Check(t, settled >= -0.15, qt.IsTrue, qt.Commentf("the limit is not reached"))
			})
		}
	}
}

// A host that receives reports only from its own zone assumes the same demand in
// the other zones, so that the limit holds across all zones.
func TestAdmissionLimitHoldsAcrossUnreachableZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		group := new(errgroup.Group)
		admitted := 0
		controllers := make([]*admission.Controller, 9)
		for i := range controllers {
			controllers[i] = admission.New(
				func(identity.Service) admission.Service { return admission.Service{Slots: 1 << 20} },
				func(identity.Organisation) admission.Organisation {
					return admission.Organisation{Weight: 1, TokensPerSecond: limit}
				})
			controllers[i].SetHostCount(len(controllers))
			group.Go(func() error { return controllers[i].Run(ctx) })
		}
		random := rand.New(rand.NewPCG(1, 1))
		for second := range 40 {
			for zone := range 3 {
				exchangeDemand(controllers[3*zone:3*zone+3], func(int) bool { return true })
			}
			for range 1000 {
				time.Sleep(time.Millisecond)
				call := admission.Call{Service: "s", Organisation: "o", Tokens: callSize}
				if release, failure := controllers[random.IntN(9)].Admit(ctx, call); failure == nil {
					release()
					if second >= 10 {
						admitted += callSize
					}
				}
			}
		}
		cancel()
		qt.Assert(t, group.Wait(), qt.IsNil)
		share := float64(admitted) / (30 * limit)
		qt.Check(t, share <= 1.1 && share >= 0.85, qt.IsTrue, qt.Commentf("%.2f of the limit", share))
	})
}

// After demand ended, zero is advertised for a while, then nothing.
func TestAdmissionAdvertisesEndedDemandAsZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(10)
		runWithController(t, b, func(ctx context.Context, _ *errgroup.Group) {
			_, _ = b.call(ctx, admission.Call{Service: "s", Organisation: "o", Tokens: 1000}, 0)
			time.Sleep(2 * time.Second)
			qt.Check(t, b.controller.AdvertisedDemand(), qt.HasLen, 2)
			qt.Check(t, b.controller.AdvertisedDemand()[0].TokensPerSecond > 0, qt.IsTrue)
			time.Sleep(18 * time.Second)
			qt.Check(t, b.controller.AdvertisedDemand(), qt.DeepEquals, []admission.Demand{{Organisation: "o"}, {Service: "s"}})
			time.Sleep(20 * time.Second)
			qt.Check(t, b.controller.AdvertisedDemand(), qt.HasLen, 0)
		})
	})
}

// A call larger than a host's bucket is admitted, and the debt delays later calls.
func TestAdmissionLimitTakesLargeCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(100)
		b.organisations["o"] = admission.Organisation{Weight: 1, TokensPerSecond: 100}
		runWithController(t, b, func(ctx context.Context, group *errgroup.Group) {
			admitted := unit.Tokens(0)
			for time.Since(epoch) < 100*time.Second {
				if failure, _ := b.call(ctx, admission.Call{Service: "s", Organisation: "o", Tokens: 2000}, 0); failure == nil {
					admitted += 2000
				}
				time.Sleep(100 * time.Millisecond)
			}
			qt.Check(t, admitted >= 8000 && admitted <= 12_000, qt.IsTrue, qt.Commentf("%d tokens in 100 s", admitted))
		})
	})
}
