package admission_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/admission"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const target = 1300 * time.Millisecond

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// harness is a Controller in front of simulated engines, in virtual time. The
// engines run slots calls at once and queue further ones in FIFO order.
type harness struct {
	controller    *admission.Controller
	organisations map[identity.Organisation]admission.Organisation

	mu    sync.Mutex
	slots int
	// reportedSlots, if not zero, is reported to the Controller instead of slots.
	reportedSlots int
	cutOff        bool
	running       int
	queue         []chan struct{}
	tokens        map[identity.Organisation]unit.Tokens
	reasons       map[verdict.Reason]int
	// onTime counts calls that started within the target, by second of arrival.
	onTime map[int]int
}

func newHarness(slots int) *harness {
	b := &harness{
		slots: slots, organisations: make(map[identity.Organisation]admission.Organisation),
		tokens: make(map[identity.Organisation]unit.Tokens), reasons: make(map[verdict.Reason]int), onTime: make(map[int]int),
	}
	service := func(identity.Service) admission.Service {
		b.mu.Lock()
		defer b.mu.Unlock()
		reported := b.slots
		if b.reportedSlots > 0 {
			reported = b.reportedSlots
		}
		return admission.Service{Slots: reported, Running: b.running, Waiting: len(b.queue), FirstTokenTarget: target, HasUnreachableZone: b.cutOff}
	}
	b.controller = admission.New(service, func(id identity.Organisation) admission.Organisation {
		o := b.organisations[id]
		if o.Weight == 0 {
			o.Weight = 1
		}
		return o
	})
	return b
}

// runOnEngine runs one call for hold once the engine has a free slot.
func (b *harness) runOnEngine(hold time.Duration) {
	b.mu.Lock()
	if b.running < b.slots {
		b.running++
		b.mu.Unlock()
	} else {
		place := make(chan struct{})
		b.queue = append(b.queue, place)
		b.mu.Unlock()
		<-place
	}
	time.Sleep(hold)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.promote()
}

func (b *harness) promote() {
	for b.running < b.slots && len(b.queue) > 0 {
		b.running++
		close(b.queue[0])
		b.queue = b.queue[1:]
	}
}

func (b *harness) resize(slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slots = slots
	b.promote()
}

func (b *harness) setCutOff(value bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cutOff = value
}

// call makes one call; it returns its failure, if any, and how long it waited for
// admission.
func (b *harness) call(ctx context.Context, request admission.Call, hold time.Duration) (*verdict.Error, time.Duration) {
	arrived := time.Now()
	release, failure := b.controller.Admit(ctx, request)
	waited := time.Since(arrived)
	if failure != nil {
		b.mu.Lock()
		b.reasons[failure.Reason]++
		b.mu.Unlock()
		return failure, waited
	}
	defer release()
	b.mu.Lock()
	b.tokens[request.Organisation] += request.Tokens
	full := b.running >= b.slots
	b.mu.Unlock()
	started := time.Now()
	b.runOnEngine(hold)
	firstToken := time.Since(arrived) - hold
	if full {
		firstToken = max(firstToken, time.Since(started)-hold)
	}
	if firstToken <= target {
		b.mu.Lock()
		b.onTime[int(arrived.Sub(epoch).Seconds())]++
		b.mu.Unlock()
	}
	return nil, waited
}

// epoch is the time at which a synctest bubble starts.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// runWithController runs body with the Controller's Run in the background, then waits
// for both.
func runWithController(t *testing.T, b *harness, body func(ctx context.Context, group *errgroup.Group)) {
	ctx, cancel := context.WithCancel(context.Background())
	run := new(errgroup.Group)
	run.Go(func() error { return b.controller.Run(ctx) })
	calls := new(errgroup.Group)
	body(ctx, calls)
	qt.Assert(t, calls.Wait(), qt.IsNil)
	cancel()
	qt.Assert(t, run.Wait(), qt.IsNil)
}

func countOnTime(onTime map[int]int, from, to int) int {
	n := 0
	for second := from; second < to; second++ {
		n += onTime[second]
	}
	return n
}

// generateLoad sends Poisson arrivals at a rate that may change each second;
// refused calls are retried up to three times.
func (b *harness) generateLoad(ctx context.Context, group *errgroup.Group, seconds int, perSecond func(second int) float64) {
	random := rand.New(rand.NewPCG(1, 9))
	for time.Since(epoch) < time.Duration(seconds)*time.Second {
		rate := perSecond(int(time.Since(epoch).Seconds()))
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		hold := time.Duration((1 + random.Float64()*2) * float64(time.Second))
		request := admission.Call{Service: "s", Organisation: identity.Organisation(fmt.Sprint(random.IntN(5))), Tokens: 100}
		pause := time.Duration(200+random.IntN(400)) * time.Millisecond
		group.Go(func() error {
			for range 4 {
				if failure, _ := b.call(ctx, request, hold); failure == nil {
					return nil
				}
				time.Sleep(pause)
			}
			return nil
		})
	}
}

func goodput(t *testing.T, load float64) float64 {
	var perSecond float64
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(60)
		runWithController(t, b, func(ctx context.Context, group *errgroup.Group) {
			b.generateLoad(ctx, group, 60, func(int) float64 { return 30 * load })
		})
		perSecond = float64(countOnTime(b.onTime, 20, 60)) / 40
		t.Logf("load %.1f: %.1f on-time calls per second, refused %v", load, perSecond, b.reasons)
	})
	return perSecond
}

// Under overload the goodput stays near its peak. Capacity is 30 calls a second;
// the peak is the best of the loads around it.
func TestOverloadKeepsGoodput(t *testing.T) {
	peak := 0.0
	for _, load := range []float64{0.8, 0.9, 1, 1.1} {
		peak = math.Max(peak, goodput(t, load))
	}
	for _, load := range []float64{2, 5} {
		got := goodput(t, load)
		qt.Check(t, got >= 0.9*peak, qt.IsTrue, qt.Commentf("goodput %.1f at load %.0f, peak %.1f", got, load, peak))
	}
}

// At 90% load a third of the capacity is lost for 30 s. 10 s after it is back,
// goodput has recovered, and the engines' queues have drained.
func TestOverloadRecoversWithCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newHarness(60)
		runWithController(t, b, func(ctx context.Context, group *errgroup.Group) {
			group.Go(func() error {
				time.Sleep(30 * time.Second)
				b.resize(40)
				time.Sleep(30 * time.Second)
				b.resize(60)
				time.Sleep(5 * time.Second)
				b.mu.Lock()
				defer b.mu.Unlock()
				c.Check(len(b.queue) < 6, qt.IsTrue, qt.Commentf("%d calls queued at engines", len(b.queue)))
				return nil
			})
			b.generateLoad(ctx, group, 100, func(int) float64 { return 27 })
		})
		before, during, after := countOnTime(b.onTime, 10, 30), countOnTime(b.onTime, 35, 60), countOnTime(b.onTime, 70, 90)
		t.Logf("on-time calls per second: before %.1f, during %.1f, after %.1f; refused %v", float64(before)/20, float64(during)/25, float64(after)/20, b.reasons)
		c.Check(float64(during)/25 >= 0.9*20, qt.IsTrue)
		c.Check(float64(after) >= 0.9*float64(before), qt.IsTrue)
	})
}

// The Controller is given twice the real number of slots, which alone would keep a
// standing queue at the engines; their reports make it admit less.
func TestOverloadWithSlotsOverestimated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(60)
		b.reportedSlots = 120
		runWithController(t, b, func(ctx context.Context, group *errgroup.Group) {
			b.generateLoad(ctx, group, 60, func(int) float64 { return 60 })
		})
		got := float64(countOnTime(b.onTime, 20, 60)) / 40
		t.Logf("%.1f on-time calls per second of 30", got)
		qt.Check(t, got >= 0.9*30, qt.IsTrue)
	})
}

// Two large organisations request more than the capacity; three small ones request
// a tenth of it each, which is below their fair share, and must get it.
func TestFairLargeDoNotStarveSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newHarness(60)
		refused := make(map[identity.Organisation]int)
		var mu sync.Mutex
		runWithController(t, b, func(ctx context.Context, group *errgroup.Group) {
			random := rand.New(rand.NewPCG(1, 3))
			for time.Since(epoch) < 40*time.Second {
				time.Sleep(time.Duration(random.ExpFloat64() / 129 * float64(time.Second)))
				id := identity.Organisation([]string{"big1", "big2"}[random.IntN(2)])
				if random.Float64() < 9.0/129 {
					id = identity.Organisation(fmt.Sprint("small", random.IntN(3)))
				}
				hold := time.Duration((1 + 2*random.Float64()) * float64(time.Second))
				group.Go(func() error {
					if failure, _ := b.call(ctx, admission.Call{Service: "s", Organisation: id, Tokens: 100}, hold); failure != nil {
						mu.Lock()
						refused[id]++
						mu.Unlock()
					}
					return nil
				})
			}
		})
		for _, id := range []identity.Organisation{"small0", "small1", "small2"} {
			share := float64(refused[id]) / (float64(refused[id]) + float64(b.tokens[id])/100)
			c.Check(share <= 0.05, qt.IsTrue, qt.Commentf("%s: fraction %.2f refused", id, share))
		}
		big := b.tokens["big1"] + b.tokens["big2"]
		c.Check(float64(big)/100/40 >= 0.9*21, qt.IsTrue, qt.Commentf("not work-conserving: %d tokens", big))
		t.Logf("tokens %v, refused %v", b.tokens, refused)
	})
}

// While both organisations are backlogged, tokens are divided by weight, whatever
// the size of their calls.
func TestFairTokensByWeight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newHarness(20)
		b.organisations["a"] = admission.Organisation{Weight: 3}
		runWithController(t, b, func(ctx context.Context, group *errgroup.Group) {
			timeout, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			for range 20 {
				group.Go(func() error {
					_, _ = b.call(ctx, admission.Call{Service: "s", Organisation: "c", Batch: true}, time.Second)
					return nil
				})
			}
			synctest.Wait()
			for i := range 700 {
				id, tokens := identity.Organisation("a"), unit.Tokens(100)
				if i%2 == 0 {
					id, tokens = "b", 400
				}
				group.Go(func() error {
					_, _ = b.call(timeout, admission.Call{Service: "s", Organisation: id, Tokens: tokens, Batch: true}, time.Second)
					return nil
				})
			}
			<-timeout.Done()
		})
		ratio := float64(b.tokens["a"]) / float64(b.tokens["b"])
		c.Check(ratio > 2.5 && ratio < 3.5, qt.IsTrue, qt.Commentf("%.2f", ratio))
	})
}

// Batch calls use capacity left by interactive calls without delaying them.
func TestAdmissionBatchWaitsAndInteractiveDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newHarness(40)
		var mu sync.Mutex
		var longest time.Duration
		batchCalls := 0
		runWithController(t, b, func(ctx context.Context, group *errgroup.Group) {
			for range 600 {
				group.Go(func() error {
					if failure, _ := b.call(ctx, admission.Call{Service: "s", Organisation: "night", Tokens: 100, Batch: true}, 2*time.Second); failure == nil {
						mu.Lock()
						batchCalls++
						mu.Unlock()
					}
					return nil
				})
			}
			for range 200 {
				time.Sleep(200 * time.Millisecond)
				group.Go(func() error {
					failure, waited := b.call(ctx, admission.Call{Service: "s", Organisation: "day", Tokens: 100}, time.Second)
					mu.Lock()
					defer mu.Unlock()
					longest = max(longest, waited)
					c.Check(failure == nil, qt.IsTrue)
					return nil
				})
			}
		})
		c.Check(longest <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("an interactive call waited %s", longest))
		c.Check(batchCalls, qt.Equals, 600)
	})
}

// A call that another host had accepted is never refused, and occupies a slot.
func TestAdmissionAlwaysAdmitsAcceptedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newHarness(2)
		runWithController(t, b, func(ctx context.Context, group *errgroup.Group) {
			var releases []func()
			for range 5 {
				releases = append(releases, b.controller.AdmitAccepted(admission.Call{Service: "s", Organisation: "a"}))
			}
			failure, _ := b.call(ctx, admission.Call{Service: "s", Organisation: "a"}, 0)
			c.Check(failure.Reason, qt.Equals, verdict.TargetOutOfReach)
			for _, release := range releases {
				release()
				release()
			}
			failure, waited := b.call(ctx, admission.Call{Service: "s", Organisation: "a"}, 0)
			c.Check(failure == nil, qt.IsTrue)
			c.Check(waited, qt.Equals, time.Duration(0))
		})
	})
}

// Refusals are NotRun and immediate, and no call waits longer than its bound or
// deadline.
func TestAdmissionRefusesEarlyAndBoundsTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := newHarness(1)
		runWithController(t, b, func(ctx context.Context, group *errgroup.Group) {
			group.Go(func() error {
				_, _ = b.call(ctx, admission.Call{Service: "s", Organisation: "a"}, 10*time.Minute)
				return nil
			})
			time.Sleep(time.Second)
			failure, waited := b.call(ctx, admission.Call{Service: "s", Organisation: "a"}, 0)
			c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
			c.Check(failure.Reason, qt.Equals, verdict.TargetOutOfReach)
			c.Check(failure.RetryAfter > 0, qt.IsTrue)
			c.Check(waited, qt.Equals, time.Duration(0))
			b.setCutOff(true)
			failure, _ = b.call(ctx, admission.Call{Service: "s", Organisation: "a"}, 0)
			c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
			c.Check(failure.Reason, qt.Equals, verdict.ZoneCutOff)
			b.setCutOff(false)
			failure, waited = b.call(ctx, admission.Call{Service: "s", Organisation: "a", Batch: true}, 0)
			c.Check(failure.Reason, qt.Equals, verdict.QueueTimeout)
			c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
			c.Check(waited <= time.Minute+200*time.Millisecond, qt.IsTrue)
			failure, waited = b.call(ctx, admission.Call{Service: "s", Organisation: "a", Batch: true, Deadline: time.Now().Add(5 * time.Second)}, 0)
			c.Check(failure != nil, qt.IsTrue)
			c.Check(waited <= 5200*time.Millisecond, qt.IsTrue)
			gone, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			failure, _ = b.call(gone, admission.Call{Service: "s", Organisation: "a", Batch: true}, 0)
			c.Check(failure.Reason, qt.Equals, verdict.CallerGone)
			c.Check(b.controller.Waiting("s"), qt.Equals, 0)
		})
	})
}
