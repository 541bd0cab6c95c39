package duty_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/duty"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	seeds = 12
	// simulatedTime is how long a simulation runs, in virtual time.
	simulatedTime  = 3 * time.Minute
	actionInterval = 200 * time.Millisecond
	// maxCallDelay is the longest time that a call is in transit.
	maxCallDelay = duty.CallTimeout
)

// action is a call of a leader, and when it took effect.
type action struct {
	host  int
	fence identity.Fence
	at    time.Time
}

// actionModel specifies the order of actions at the platform: all actions under one
// fence are of one host, and none takes effect after one with a higher fence.
var actionModel = porcupine.Model{
	Init: func() any { return action{host: -1} },
	Step: func(state, input, _ any) (bool, any) {
		previous, current := state.(action), input.(action)
		return current.fence > previous.fence || current.fence == previous.fence && current.host == previous.host, current
	},
}

// platform accepts actions. If checksFence is set, it refuses those with an old fence.
type platform struct {
	mu          sync.Mutex
	checksFence bool
	highest     identity.Fence
	accepted    []action
}

func (p *platform) accept(a action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checksFence && a.fence < p.highest {
		return
	}
	p.highest = max(p.highest, a.fence)
	a.at = time.Now()
	p.accepted = append(p.accepted, a)
}

// actions returns the accepted actions.
func (p *platform) actions() []action {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// simulation runs hosts that act as leaders while some are disconnected or restarted,
// and answers are lost.
type simulation struct {
	rng      *rand.Rand
	store    *fakeStore
	platform platform
	hosts    []*candidate
	group    errgroup.Group
	// simultaneous describes an occasion on which two hosts could act at once.
	simultaneous string
}

type candidate struct {
	index   int
	down    bool
	elector *duty.Elector
	cancel  context.CancelFunc
}

func newSimulation(seed uint64, checksFence bool, leaseRatio float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), store: newStore()}
	s.platform.checksFence = checksFence
	s.store.leaseRatio = leaseRatio
	for i := range 4 {
		s.hosts = append(s.hosts, &candidate{index: i})
	}
	return s
}

// restart starts or restarts a host, as a new incarnation.
func (s *simulation) restart(ctx context.Context, c *candidate) {
	if c.cancel != nil {
		c.cancel()
	}
	ctx, c.cancel = context.WithCancel(ctx)
	e := duty.New(s.store.client(func() bool { return c.down }), "duty", identity.Incarnation(fmt.Sprint(c.index, s.rng.Uint64())), ttl)
	e.Rank = func() int { return c.index }
	e.Log = slog.New(slog.DiscardHandler)
	c.elector = e
	s.group.Go(func() error { return e.Run(ctx) })
}

func (s *simulation) run(ctx context.Context) {
	for _, c := range s.hosts {
		s.restart(ctx, c)
	}
	for start := time.Now(); time.Since(start) < simulatedTime; time.Sleep(actionInterval) {
		s.injectFault(ctx)
		s.callAsLeader()
	}
	time.Sleep(maxCallDelay)
	for _, c := range s.hosts {
		c.cancel()
	}
}

// callAsLeader sends an action from each host that may act.
func (s *simulation) callAsLeader() {
	leader := -1
	for _, c := range s.hosts {
		fence, ok := c.elector.Fence()
		if !ok {
			continue
		}
		if leader >= 0 {
			s.simultaneous = fmt.Sprintf("hosts %d and %d act at once", leader, c.index)
		}
		leader = c.index
		delay := time.Duration(s.rng.Int64N(int64(maxCallDelay)))
		time.AfterFunc(delay, func() { s.platform.accept(action{host: c.index, fence: fence}) })
	}
}

// injectFault occasionally injects a fault into a host or the store, or ends one.
func (s *simulation) injectFault(ctx context.Context) {
	c := s.hosts[s.rng.IntN(len(s.hosts))]
	switch s.rng.IntN(30) {
	case 0:
		s.restart(ctx, c)
	case 1, 2:
		s.withStoreLock(func() { c.down = true })
	case 3, 4, 5:
		s.withStoreLock(func() { c.down = false })
	case 6:
		s.withStoreLock(func() { s.store.loseAnswers = !s.store.loseAnswers })
	case 7:
		c.elector.RaiseFence()
	}
}

func (s *simulation) withStoreLock(change func()) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	change()
}

// violation describes a violated property of the history, or returns "".
func (s *simulation) violation() string {
	var ops []porcupine.Operation
	for i, a := range s.platform.actions() {
		ops = append(ops, porcupine.Operation{ClientId: a.host, Input: a, Call: int64(2 * i), Return: int64(2*i + 1)})
	}
	switch {
	case s.simultaneous != "":
		return s.simultaneous
	case !porcupine.CheckOperations(actionModel, ops):
		return "an action took effect after one with a higher fence, or two hosts used the same fence"
	default:
		return s.actedAgainTooSoon()
	}
}

// actedAgainTooSoon describes a host that acted again within a lease's duration of its last
// action although another host had acted in between, or returns "".
func (s *simulation) actedAgainTooSoon() string {
	last := make(map[int]time.Time)
	previousHost := -1
	for _, a := range s.platform.actions() {
		if at, acted := last[a.host]; acted && previousHost != a.host && a.at.Sub(at) < ttl {
			return fmt.Sprintf("host %d acted again %v after its last action, although another had acted in between", a.host, a.at.Sub(at))
		}
		last[a.host], previousHost = a.at, a.host
	}
	return ""
}

func simulate(t *testing.T, seed uint64, checksFence bool, leaseRatio float64) (violation string, leaders int) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(seed, checksFence, leaseRatio)
		s.run(t.Context())
		qt.Assert(t, s.group.Wait(), qt.IsNil)
		seen := make(map[int]bool)
		for _, a := range s.platform.actions() {
			seen[a.host] = true
		}
		violation, leaders = s.violation(), len(seen)
	})
	return violation, leaders
}

// While hosts are disconnected from the store, restarted and left without answers, one
// acts at a time, fences rise, and none acts again too soon after another took over.
func TestLeaderActionsAreOrdered(t *testing.T) {
	for seed := range uint64(seeds) {
		violation, leaders := simulate(t, seed, true, 1)
		qt.Check(t, violation, qt.Equals, "", qt.Commentf("seed %d", seed))
		qt.Check(t, leaders > 1, qt.IsTrue, qt.Commentf("seed %d: the leader never changes", seed))
	}
}

// The checks must detect a platform that ignores fences, and leases that expire earlier
// than their holder assumes.
func TestViolationsAreDetected(t *testing.T) {
	for name, variant := range map[string]struct {
		checksFence bool
		leaseRatio  float64
	}{"fences ignored": {false, 1}, "leases that expire early": {true, 0.3}} {
		detected := 0
		for seed := range uint64(seeds) {
			if violation, _ := simulate(t, seed, variant.checksFence, variant.leaseRatio); violation != "" {
				detected++
			}
		}
		qt.Check(t, detected > 0, qt.IsTrue, qt.Commentf("%s: not detected for any seed", name))
	}
}
