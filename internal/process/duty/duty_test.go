package duty_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/duty"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const ttl = 3 * time.Second

// store holds one key under leases that run in virtual time.
type store struct {
	mu       sync.Mutex
	revision keyvalue.Revision
	value    keyvalue.Value
	lease    keyvalue.LeaseID
	next     keyvalue.LeaseID
	ends     map[keyvalue.LeaseID]time.Time
	// grants is how long a lease really lasts, as a part of what was asked for.
	grants float64
	// lose makes the answers of transactions that are done go missing.
	lose bool
}

func newStore() *store { return &store{ends: make(map[keyvalue.LeaseID]time.Time), grants: 1} }

// extend has a lease last from now.
func (s *store) extend(lease keyvalue.LeaseID, asked time.Duration) {
	s.ends[lease] = time.Now().Add(time.Duration(s.grants * float64(asked)))
}

// expire removes the key if its lease has ended.
func (s *store) expire() {
	if s.value.Revision > 0 && !time.Now().Before(s.ends[s.lease]) {
		s.value = keyvalue.Value{}
	}
}

// client is the store as one host reaches it; down cuts that host off.
func (s *store) client(down func() bool) keyvalue.Store {
	guard := func() error {
		if down() {
			return keyvalue.ErrUnavailable
		}
		s.expire()
		return nil
	}
	return keyvalue.Store{
		Get: func(context.Context, string) (keyvalue.Value, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := guard(); err != nil {
				return keyvalue.Value{}, err
			}
			if s.value.Revision == 0 {
				return keyvalue.Value{}, keyvalue.ErrAbsent
			}
			return s.value, nil
		},
		Commit: func(_ context.Context, t keyvalue.Transaction) (keyvalue.Revision, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := guard(); err != nil {
				return 0, err
			}
			if t.Conditions[0].Revision != s.value.Revision {
				return 0, keyvalue.ErrConflict
			}
			s.revision++
			s.value = keyvalue.Value{Key: t.Writes[0].Key, Data: t.Writes[0].Data, Revision: s.revision}
			s.lease = t.Writes[0].Lease
			if s.lose {
				return 0, keyvalue.ErrAmbiguous
			}
			return s.revision, nil
		},
		Grant: func(_ context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := guard(); err != nil {
				return 0, err
			}
			s.next++
			s.extend(s.next, ttl)
			return s.next, nil
		},
		Keep: func(_ context.Context, lease keyvalue.LeaseID) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := guard(); err != nil {
				return err
			}
			if !time.Now().Before(s.ends[lease]) {
				return keyvalue.ErrNoLease
			}
			s.extend(lease, ttl)
			return nil
		},
		End: func(_ context.Context, lease keyvalue.LeaseID) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := guard(); err != nil {
				return err
			}
			s.ends[lease] = time.Now()
			return nil
		},
	}
}

// hosts runs a number of candidates; down cuts the one with its index off.
type hosts struct {
	store  *store
	down   []bool
	duties []*duty.Duty
}

func run(t *testing.T, count int, play func(c *qt.C, h *hosts)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &hosts{store: newStore(), down: make([]bool, count)}
		group := new(errgroup.Group)
		for i := range count {
			d := duty.New(h.store.client(func() bool { return h.down[i] }), "duty", identity.Incarnation('a'+rune(i)), ttl)
			d.Rank = func() int { return i }
			h.duties = append(h.duties, d)
			group.Go(func() error { return d.Run(ctx) })
		}
		play(qt.New(t), h)
		cancel()
		qt.Assert(t, group.Wait(), qt.IsNil)
	})
}

// acting lists the hosts that may act now, with their fences.
func (h *hosts) acting() map[int]identity.Fence {
	list := make(map[int]identity.Fence)
	for i, d := range h.duties {
		if fence, ok := d.Fence(); ok {
			list[i] = fence
		}
	}
	return list
}

// watch looks for a while and gives each host's moments of acting; never more
// than one host acts at a time, and fences never fall.
func (h *hosts) watch(c *qt.C, d time.Duration) []int {
	var order []int
	last := identity.Fence(0)
	for range int(d / (10 * time.Millisecond)) {
		time.Sleep(10 * time.Millisecond)
		list := h.acting()
		c.Assert(len(list) <= 1, qt.IsTrue, qt.Commentf("%v act at once", list))
		for i, fence := range list {
			c.Assert(fence >= last, qt.IsTrue)
			last = fence
			if len(order) == 0 || order[len(order)-1] != i {
				order = append(order, i)
			}
		}
	}
	return order
}

func TestOneHostActsAndAnotherTakesOver(t *testing.T) {
	run(t, 3, func(c *qt.C, h *hosts) {
		c.Assert(h.watch(c, 10*time.Second), qt.DeepEquals, []int{0})
		h.store.mu.Lock()
		h.down[0] = true
		h.store.mu.Unlock()
		c.Assert(h.watch(c, 10*time.Second), qt.DeepEquals, []int{0, 1})
	})
}

// A host that lost the duty and gets it back does not act within a lease of when
// it acted last.
func TestAHostThatLostTheDutyWaitsForItsTurn(t *testing.T) {
	run(t, 1, func(c *qt.C, h *hosts) {
		c.Assert(h.watch(c, 5*time.Second), qt.DeepEquals, []int{0})
		h.store.mu.Lock()
		h.ends()
		h.store.mu.Unlock()
		for len(h.acting()) > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		lost := time.Now()
		for len(h.acting()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(time.Since(lost) >= ttl-50*time.Millisecond, qt.IsTrue)
	})
}

// ends takes the lease away behind its holder's back.
func (h *hosts) ends() { h.store.ends[h.store.lease] = time.Now() }

// After a call that got no answer the fence rises before the next one.
func TestTheFenceRisesAfterAnUnansweredCall(t *testing.T) {
	run(t, 1, func(c *qt.C, h *hosts) {
		h.watch(c, 5*time.Second)
		before, ok := h.duties[0].Fence()
		c.Assert(ok, qt.IsTrue)
		h.duties[0].Unanswered()
		time.Sleep(10 * time.Millisecond)
		after, ok := h.duties[0].Fence()
		c.Assert(ok, qt.IsTrue)
		c.Assert(after > before, qt.IsTrue)
	})
}

// The answer of the write that took the key is lost: the host finds its own
// write and holds the duty.
func TestALostAnswerIsLookedUp(t *testing.T) {
	run(t, 1, func(c *qt.C, h *hosts) {
		h.store.mu.Lock()
		h.store.lose = true
		h.store.mu.Unlock()
		c.Assert(h.watch(c, 5*time.Second), qt.DeepEquals, []int{0})
	})
}
