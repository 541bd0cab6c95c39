package duty_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/duty"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	seeds = 12
	// simulatedTime is how long a simulation runs, in virtual time.
	simulatedTime  = 3 * time.Minute
	actionInterval = 200 * time.Millisecond
	// observeInterval is the period of checking who may act.
	observeInterval = 10 * time.Millisecond
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
	holders  holderHistory
	// restores also restores the store, delays calls, and pauses and kills hosts. Only
	// one of restoreRarity restorations takes place.
	restores      bool
	restoreRarity int
	copies        []contents
	// connected says that the hosts hear each other's reports.
	connected atomic.Bool
}

type candidate struct {
	index   int
	down    bool
	elector *duty.Elector
	client  *storeClient
	cancel  context.CancelFunc
	// paused says that the process does not run; dead, that its calls no longer arrive.
	// Each process has its own.
	paused, dead *atomic.Bool
}

// runs reports whether the host's process runs.
func (c *candidate) runs() bool { return !c.dead.Load() && !c.paused.Load() }

// holderHistory checks the hosts that may act, as observed over time.
type holderHistory struct {
	// violation describes the first violated rule, or is empty.
	violation string
	fence     identity.Fence
	host      int
	lastSeen  map[int]time.Time
	// retaken counts the terms that went on in a later era, taken those that began in one.
	retaken, taken int
}

// observe records that hosts may act now, by their fences.
func (h *holderHistory) observe(holders map[int]identity.Fence) {
	for host, fence := range holders {
		seen, acted := h.lastSeen[host]
		violation := ""
		switch {
		case len(holders) > 1:
			violation = fmt.Sprintf("hosts act at once: %v", holders)
		case fence < h.fence:
			violation = fmt.Sprintf("host %d acts under fence %d after %d", host, fence, h.fence)
		case fence == h.fence && host != h.host:
			violation = fmt.Sprintf("hosts %d and %d act under fence %d", h.host, host, fence)
		case acted && host != h.host && time.Since(seen) < ttl:
			violation = fmt.Sprintf("host %d acts %v after it last acted, although host %d acted in between", host, time.Since(seen), h.host)
		}
		if h.violation == "" {
			h.violation = violation
		}
		if keyvalue.Revision(fence).Era() > keyvalue.Revision(h.fence).Era() {
			if acted && host == h.host && time.Since(seen) < ttl {
				h.retaken++
			} else {
				h.taken++
			}
		}
		h.host, h.fence = host, max(h.fence, fence)
		h.lastSeen[host] = time.Now()
	}
}

func newSimulation(seed uint64, checksFence bool, leaseRatio float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 0)), store: newStore(), holders: holderHistory{lastSeen: make(map[int]time.Time)}}
	s.platform.checksFence = checksFence
	s.store.leaseRatio = leaseRatio
	for i := range 4 {
		s.hosts = append(s.hosts, &candidate{index: i, paused: new(atomic.Bool), dead: new(atomic.Bool)})
	}
	return s
}

// restart starts or restarts a host, as a new incarnation.
func (s *simulation) restart(ctx context.Context, c *candidate) {
	if c.cancel != nil {
		c.paused.Store(false)
		c.cancel()
	}
	ctx, c.cancel = context.WithCancel(ctx)
	paused, dead := new(atomic.Bool), new(atomic.Bool)
	c.paused, c.dead = paused, dead
	client := s.store.client(func() bool { return c.down || dead.Load() })
	inc := identity.Incarnation(fmt.Sprint(c.index, s.rng.Uint64()))
	if s.restores {
		delays := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
		client.late = func() time.Duration {
			if delays.IntN(lateWriteRarity) > 0 {
				return 0
			}
			return randomTime(delays, maxLateness)
		}
		client.travel = func() {
			time.Sleep(randomDelay(delays))
			for paused.Load() {
				time.Sleep(observeInterval)
			}
		}
	}
	e := duty.New(client.keyvalue(), "duty", inc, ttl)
	e.Rank = func() int { return c.index }
	e.HasOtherLeader = func() bool { return s.connected.Load() }
	e.Log = slog.New(slog.DiscardHandler)
	c.elector, c.client = e, client
	s.group.Go(func() error { return e.Run(ctx) })
}

const (
	// One of lateWriteRarity writes of the key takes effect late, after up to maxLateness.
	lateWriteRarity = 6
	maxLateness     = 4 * time.Second
)

// randomDelay returns the time that a request or an answer travels: some milliseconds, or
// in one of eight cases up to a lease's renewal interval.
func randomDelay(rng *rand.Rand) time.Duration {
	if rng.IntN(8) == 0 {
		return randomTime(rng, ttl/4)
	}
	return randomTime(rng, 5*time.Millisecond)
}

func randomTime(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

func (s *simulation) run(ctx context.Context) {
	for _, c := range s.hosts {
		s.restart(ctx, c)
	}
	for start := time.Now(); time.Since(start) < simulatedTime; {
		s.injectFault(ctx)
		s.callAsLeader()
		for range actionInterval / observeInterval {
			s.holders.observe(s.leaders())
			time.Sleep(observeInterval)
		}
	}
	time.Sleep(maxCallDelay)
	for _, c := range s.hosts {
		c.paused.Store(false)
		c.cancel()
	}
}

// leaders returns the fences of the hosts that may act. One that is paused can't.
func (s *simulation) leaders() map[int]identity.Fence {
	list := make(map[int]identity.Fence)
	for _, c := range s.hosts {
		if fence, ok := c.elector.Fence(); ok && c.runs() {
			list[c.index] = fence
		}
	}
	return list
}

// callAsLeader sends an action from each host that may act.
func (s *simulation) callAsLeader() {
	leaders := s.leaders()
	for _, c := range s.hosts {
		fence, ok := leaders[c.index]
		if !ok {
			continue
		}
		delay := randomTime(s.rng, maxCallDelay)
		time.AfterFunc(delay, func() { s.platform.accept(action{host: c.index, fence: fence}) })
	}
}

// injectFault occasionally injects a fault into a host or the store, or ends one.
func (s *simulation) injectFault(ctx context.Context) {
	c := s.hosts[s.rng.IntN(len(s.hosts))]
	switch n := s.rng.IntN(30); n {
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
	default:
		if s.restores {
			s.injectRestoration(ctx, c, n)
		}
	}
}

// maxCopyAge is how old a copy may be from which the store is restored: it may lack the
// last terms of several leaders.
const maxCopyAge = 10 * time.Second

// injectRestoration restores the store at any moment from a copy, or pauses, kills or
// starts a host, or tells it the era. A dead host stays so until it is restarted.
func (s *simulation) injectRestoration(ctx context.Context, c *candidate, fault int) {
	// The operator and the endpoints write, too.
	s.withStoreLock(func() { s.store.number += s.rng.Uint64N(3) })
	s.copies = append(s.copies, s.store.copy())
	s.copies = s.copies[max(0, len(s.copies)-int(maxCopyAge/actionInterval)):]
	if fault < 10 && s.rng.IntN(s.restoreRarity) > 0 {
		return
	}
	switch fault {
	case 8:
		s.restoreSoon(randomTime(s.rng, actionInterval))
	case 9:
		first := randomTime(s.rng, actionInterval)
		s.restoreSoon(first)
		s.restoreSoon(first + randomTime(s.rng, ttl))
	case 10:
		c.paused.Store(true)
	case 11, 12:
		c.paused.Store(false)
	case 13:
		c.dead.Store(true)
		c.paused.Store(false)
		c.cancel()
	case 14, 15:
		if c.dead.Load() {
			s.restart(ctx, c)
		}
	case 16:
		s.connected.Store(len(s.leaders()) > 0)
	case 17, 18, 19, 20:
		s.connected.Store(false)
	default:
		if !c.down && c.runs() {
			c.elector.ObserveEra(c.client.learn(s.era()))
		}
	}
}

// restoreSoon restores the store after a delay from one of the last copies. Other hosts
// then get some of the lost numbers.
func (s *simulation) restoreSoon(delay time.Duration) {
	older := s.copies[s.rng.IntN(len(s.copies))]
	writes, leases := s.rng.Uint64N(10), s.rng.IntN(4)
	time.AfterFunc(delay, func() {
		s.store.restore(older)
		s.withStoreLock(func() {
			s.store.number += writes
			for range leases {
				s.store.grant(time.Minute)
			}
		})
	})
}

func (s *simulation) era() keyvalue.Era {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.era
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
	case s.holders.violation != "":
		return s.holders.violation
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
	s := newSimulation(seed, checksFence, leaseRatio)
	return s.simulate(t)
}

func (s *simulation) simulate(t *testing.T) (violation string, leaders int) {
	synctest.Test(t, func(t *testing.T) {
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

// The store is restored from older copies at any moment. Hosts acted at once, as an old
// leader whose key was lost still acted while another host took it.
func TestLeadersOfARestoredStoreAreOrdered(t *testing.T) {
	retaken, taken, eras := 0, 0, keyvalue.Era(0)
	for seed := range uint64(4 * seeds) {
		s := newSimulation(seed, true, 1)
		s.restores, s.restoreRarity = true, 1+int(seed%4)*3
		violation, _ := s.simulate(t)
		qt.Check(t, violation, qt.Equals, "", qt.Commentf("seed %d", seed))
		retaken, taken, eras = retaken+s.holders.retaken, taken+s.holders.taken, eras+s.store.era
	}
	t.Logf("%d eras: %d terms went on, %d began", eras, retaken, taken)
	qt.Check(t, retaken > seeds && taken > seeds, qt.IsTrue, qt.Commentf("%d terms went on, %d began", retaken, taken))
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
