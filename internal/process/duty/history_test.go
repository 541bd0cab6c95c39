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
	// runFor is virtual time.
	runFor   = 3 * time.Minute
	actEvery = 200 * time.Millisecond
	// lateMost is how long a call may be on its way.
	lateMost = duty.CallWithin
)

// act is what a holder did, and when it took effect.
type act struct {
	host  int
	fence identity.Fence
	at    time.Time
}

// acts is the history at the platform: all acts under a fence are one host's, and
// none takes effect after one with a higher fence.
var acts = porcupine.Model{
	Init: func() any { return act{host: -1} },
	Step: func(state, input, _ any) (bool, any) {
		before, now := state.(act), input.(act)
		return now.fence > before.fence || now.fence == before.fence && now.host == before.host, now
	},
}

// platform takes acts; one that checks refuses those with an old fence.
type platform struct {
	mu      sync.Mutex
	checks  bool
	highest identity.Fence
	taken   []act
}

func (p *platform) take(a act) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checks && a.fence < p.highest {
		return
	}
	p.highest = max(p.highest, a.fence)
	a.at = time.Now()
	p.taken = append(p.taken, a)
}

// all lists what was taken.
func (p *platform) all() []act {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.taken
}

// history is hosts that are cut off, restarted and given lost answers while the
// holder acts.
type history struct {
	rng      *rand.Rand
	store    *store
	platform platform
	hosts    []*candidate
	group    errgroup.Group
	// together tells that two hosts could act at the same moment.
	together string
}

type candidate struct {
	index  int
	down   bool
	duty   *duty.Duty
	cancel context.CancelFunc
}

func newHistory(seed uint64, checks bool, grants float64) *history {
	h := &history{rng: rand.New(rand.NewPCG(seed, 0)), store: newStore()}
	h.platform.checks = checks
	h.store.grants = grants
	for i := range 4 {
		h.hosts = append(h.hosts, &candidate{index: i})
	}
	return h
}

// launch starts a host anew, as another incarnation.
func (h *history) launch(ctx context.Context, c *candidate) {
	if c.cancel != nil {
		c.cancel()
	}
	ctx, c.cancel = context.WithCancel(ctx)
	d := duty.New(h.store.client(func() bool { return c.down }), "duty", identity.Incarnation(fmt.Sprint(c.index, h.rng.Uint64())), ttl)
	d.Rank = func() int { return c.index }
	d.Log = slog.New(slog.DiscardHandler)
	c.duty = d
	h.group.Go(func() error { return d.Run(ctx) })
}

func (h *history) play(ctx context.Context) {
	for _, c := range h.hosts {
		h.launch(ctx, c)
	}
	for start := time.Now(); time.Since(start) < runFor; time.Sleep(actEvery) {
		h.trouble(ctx)
		h.act()
	}
	time.Sleep(lateMost)
	for _, c := range h.hosts {
		c.cancel()
	}
}

// act has each host that may act do so.
func (h *history) act() {
	acting := -1
	for _, c := range h.hosts {
		fence, ok := c.duty.Fence()
		if !ok {
			continue
		}
		if acting >= 0 {
			h.together = fmt.Sprintf("hosts %d and %d act at once", acting, c.index)
		}
		acting = c.index
		late := time.Duration(h.rng.Int64N(int64(lateMost)))
		time.AfterFunc(late, func() { h.platform.take(act{host: c.index, fence: fence}) })
	}
}

// trouble gives one host or the store a trouble now and then.
func (h *history) trouble(ctx context.Context) {
	c := h.hosts[h.rng.IntN(len(h.hosts))]
	switch h.rng.IntN(30) {
	case 0:
		h.launch(ctx, c)
	case 1, 2:
		h.edit(func() { c.down = true })
	case 3, 4, 5:
		h.edit(func() { c.down = false })
	case 6:
		h.edit(func() { h.store.lose = !h.store.lose })
	case 7:
		c.duty.Unanswered()
	}
}

func (h *history) edit(change func()) {
	h.store.mu.Lock()
	defer h.store.mu.Unlock()
	change()
}

// broken tells what of the history must not be, or nothing.
func (h *history) broken() string {
	var ops []porcupine.Operation
	for i, a := range h.platform.all() {
		ops = append(ops, porcupine.Operation{ClientId: a.host, Input: a, Call: int64(2 * i), Return: int64(2*i + 1)})
	}
	switch {
	case h.together != "":
		return h.together
	case !porcupine.CheckOperations(acts, ops):
		return "an act took effect after one with a higher fence, or two hosts had one fence"
	default:
		return h.returned()
	}
}

// returned finds a host that acted, saw another act, and acted again within a
// lease.
func (h *history) returned() string {
	last := make(map[int]time.Time)
	before := -1
	for _, a := range h.platform.all() {
		if at, acted := last[a.host]; acted && before != a.host && a.at.Sub(at) < ttl {
			return fmt.Sprintf("host %d acted again %v after another had taken over", a.host, a.at.Sub(at))
		}
		last[a.host], before = a.at, a.host
	}
	return ""
}

func playHistory(t *testing.T, seed uint64, checks bool, grants float64) (broken string, hosts int) {
	synctest.Test(t, func(t *testing.T) {
		h := newHistory(seed, checks, grants)
		h.play(t.Context())
		qt.Assert(t, h.group.Wait(), qt.IsNil)
		seen := make(map[int]bool)
		for _, a := range h.platform.all() {
			seen[a.host] = true
		}
		broken, hosts = h.broken(), len(seen)
	})
	return broken, hosts
}

// Hosts are cut off from the store, restarted, and get no answers: one acts at a
// time, fences rise, and none acts around another.
func TestHistoriesOfHoldersAreInOrder(t *testing.T) {
	for seed := range uint64(seeds) {
		broken, hosts := playHistory(t, seed, true, 1)
		qt.Check(t, broken, qt.Equals, "", qt.Commentf("seed %d", seed))
		qt.Check(t, hosts > 1, qt.IsTrue, qt.Commentf("seed %d: the duty never changes hands", seed))
	}
}

// A platform that does not look at fences, and leases that end before their holder
// thinks so, must be caught.
func TestBrokenHistoriesAreCaught(t *testing.T) {
	for name, variant := range map[string]struct {
		checks bool
		grants float64
	}{"fences not looked at": {false, 1}, "leases that end early": {true, 0.3}} {
		caught := 0
		for seed := range uint64(seeds) {
			if broken, _ := playHistory(t, seed, variant.checks, variant.grants); broken != "" {
				caught++
			}
		}
		qt.Check(t, caught > 0, qt.IsTrue, qt.Commentf("%s: caught on no seed", name))
	}
}
