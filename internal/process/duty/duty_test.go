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

// fakeStore holds one key under leases that expire in virtual time.
type fakeStore struct {
	mu       sync.Mutex
	revision keyvalue.Revision
	value    keyvalue.Value
	lease    keyvalue.LeaseID
	next     keyvalue.LeaseID
	expiries map[keyvalue.LeaseID]time.Time
	// leaseRatio is the actual duration of a lease as a fraction of the requested one.
	leaseRatio float64
	// loseAnswers loses the answers of committed transactions.
	loseAnswers bool
}

func newStore() *fakeStore {
	return &fakeStore{expiries: make(map[keyvalue.LeaseID]time.Time), leaseRatio: 1}
}

// extend restarts a lease from now.
func (s *fakeStore) extend(lease keyvalue.LeaseID, asked time.Duration) {
	s.expiries[lease] = time.Now().Add(time.Duration(s.leaseRatio * float64(asked)))
}

// expire removes the key if its lease has expired.
func (s *fakeStore) expire() {
	if s.value.Revision > 0 && !time.Now().Before(s.expiries[s.lease]) {
		s.value = keyvalue.Value{}
	}
}

// client returns a host's client of the store, which fails while down returns true.
func (s *fakeStore) client(down func() bool) keyvalue.Store {
	prepare := func() error {
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
			if err := prepare(); err != nil {
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
			if err := prepare(); err != nil {
				return 0, err
			}
			if t.Conditions[0].Revision != s.value.Revision {
				return 0, keyvalue.ErrConflict
			}
			s.revision++
			s.value = keyvalue.Value{Key: t.Writes[0].Key, Data: t.Writes[0].Data, Revision: s.revision}
			s.lease = t.Writes[0].Lease
			if s.loseAnswers {
				return 0, keyvalue.ErrAmbiguous
			}
			return s.revision, nil
		},
		Grant: func(_ context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := prepare(); err != nil {
				return keyvalue.LeaseID{}, err
			}
			s.next.Number++
			s.extend(s.next, ttl)
			return s.next, nil
		},
		KeepAlive: func(_ context.Context, lease keyvalue.LeaseID) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := prepare(); err != nil {
				return err
			}
			if !time.Now().Before(s.expiries[lease]) {
				return keyvalue.ErrNoLease
			}
			s.extend(lease, ttl)
			return nil
		},
		Revoke: func(_ context.Context, lease keyvalue.LeaseID) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := prepare(); err != nil {
				return err
			}
			s.expiries[lease] = time.Now()
			return nil
		},
	}
}

// cluster holds a number of candidates; down[i] disconnects electors[i] from the
// store.
type cluster struct {
	store    *fakeStore
	down     []bool
	electors []*duty.Elector
}

func runCluster(t *testing.T, count int, scenario func(c *qt.C, h *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &cluster{store: newStore(), down: make([]bool, count)}
		group := new(errgroup.Group)
		for i := range count {
			e := duty.New(h.store.client(func() bool { return h.down[i] }), "duty", identity.Incarnation('a'+rune(i)), ttl)
			e.Rank = func() int { return i }
			h.electors = append(h.electors, e)
			group.Go(func() error { return e.Run(ctx) })
		}
		scenario(qt.New(t), h)
		cancel()
		qt.Assert(t, group.Wait(), qt.IsNil)
	})
}

// leaders returns the hosts that may act now, with their fences.
func (cl *cluster) leaders() map[int]identity.Fence {
	list := make(map[int]identity.Fence)
	for i, e := range cl.electors {
		if fence, ok := e.Fence(); ok {
			list[i] = fence
		}
	}
	return list
}

// observeLeaders returns the sequence of leaders within a period. It checks that there
// is never more than one at a time, and that fences never decrease.
func (cl *cluster) observeLeaders(c *qt.C, d time.Duration) []int {
	var order []int
	last := identity.Fence(0)
	for range int(d / (10 * time.Millisecond)) {
		time.Sleep(10 * time.Millisecond)
		list := cl.leaders()
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

func TestLeadershipFailsOver(t *testing.T) {
	runCluster(t, 3, func(c *qt.C, h *cluster) {
		c.Assert(h.observeLeaders(c, 10*time.Second), qt.DeepEquals, []int{0})
		h.store.mu.Lock()
		h.down[0] = true
		h.store.mu.Unlock()
		c.Assert(h.observeLeaders(c, 10*time.Second), qt.DeepEquals, []int{0, 1})
	})
}

// A host that loses the leadership and regains it must not act within a lease's
// duration of its last action.
func TestLostLeadershipIsNotResumedWithinALease(t *testing.T) {
	runCluster(t, 1, func(c *qt.C, h *cluster) {
		c.Assert(h.observeLeaders(c, 5*time.Second), qt.DeepEquals, []int{0})
		h.store.mu.Lock()
		h.expireLease()
		h.store.mu.Unlock()
		for len(h.leaders()) > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		lost := time.Now()
		for len(h.leaders()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(time.Since(lost) >= ttl-50*time.Millisecond, qt.IsTrue)
	})
}

// expireLease ends the leader's lease without its knowledge.
func (cl *cluster) expireLease() { cl.store.expiries[cl.store.lease] = time.Now() }

// After a call that got no answer, the fence must rise before the next call.
func TestUnansweredCallRaisesFence(t *testing.T) {
	runCluster(t, 1, func(c *qt.C, h *cluster) {
		h.observeLeaders(c, 5*time.Second)
		before, ok := h.electors[0].Fence()
		c.Assert(ok, qt.IsTrue)
		h.electors[0].RaiseFence()
		time.Sleep(10 * time.Millisecond)
		after, ok := h.electors[0].Fence()
		c.Assert(ok, qt.IsTrue)
		c.Assert(after > before, qt.IsTrue)
	})
}

// The answer of the write that acquires the key is lost. The host must find its own
// write and become the leader.
func TestLostCommitAnswerIsResolved(t *testing.T) {
	runCluster(t, 1, func(c *qt.C, h *cluster) {
		h.store.mu.Lock()
		h.store.loseAnswers = true
		h.store.mu.Unlock()
		c.Assert(h.observeLeaders(c, 5*time.Second), qt.DeepEquals, []int{0})
	})
}
