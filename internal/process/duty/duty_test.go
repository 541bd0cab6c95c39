package duty_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// fakeStore holds one key under leases that expire in virtual time. It can be restored
// from an older copy.
type fakeStore struct {
	mu sync.Mutex
	contents
	era keyvalue.Era
	// leaseRatio is the actual duration of a lease as a fraction of the requested one.
	leaseRatio float64
	// loseAnswers loses the answers of committed transactions.
	loseAnswers bool
}

// contents is what a copy of the store holds. Numbers are the store's own, without the
// era; an item with the number zero is absent.
type contents struct {
	number    uint64
	data      []byte
	revision  uint64
	lease     uint64
	lastLease uint64
	expiries  map[uint64]time.Time
}

func newStore() *fakeStore {
	return &fakeStore{contents: contents{expiries: make(map[uint64]time.Time)}, leaseRatio: 1}
}

// copy returns a copy of the store's contents.
func (s *fakeStore) copy() contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	older := s.contents
	older.expiries = maps.Clone(older.expiries)
	return older
}

// restore replaces the contents by an older copy, in a new era.
func (s *fakeStore) restore(older contents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = older
	s.expiries = maps.Clone(older.expiries)
	s.era++
}

// extend restarts a lease from now.
func (s *fakeStore) extend(lease uint64, asked time.Duration) {
	s.expiries[lease] = time.Now().Add(time.Duration(s.leaseRatio * float64(asked)))
}

func (s *fakeStore) ended(lease uint64) bool { return !time.Now().Before(s.expiries[lease]) }

// expire removes the key if its lease has expired.
func (s *fakeStore) expire() {
	if s.revision > 0 && s.ended(s.lease) {
		s.number++
		s.revision, s.data = 0, nil
	}
}

// grant returns the number of a new lease.
func (s *fakeStore) grant(ttl time.Duration) uint64 {
	s.lastLease++
	s.extend(s.lastLease, ttl)
	return s.lastLease
}

// commit executes a transaction on the key, which names revisions and leases by their
// numbers alone.
func (s *fakeStore) commit(t keyvalue.Transaction) (uint64, error) {
	if t.Conditions[0].Revision.Number() != s.revision {
		return 0, keyvalue.ErrConflict
	}
	if s.ended(t.Writes[0].Lease.Number) {
		return 0, keyvalue.ErrNoLease
	}
	s.number++
	s.data, s.revision, s.lease = t.Writes[0].Data, s.number, t.Writes[0].Lease.Number
	return s.number, nil
}

// storeClient is one host's client of a fakeStore.
type storeClient struct {
	store *fakeStore
	// down reports whether calls fail.
	down func() bool
	// travel is called as each request and each answer travels.
	travel func()
	// answered is called with the store locked after each call that it answered.
	answered func(call string)
	// late returns how much later than its answer is given up a transaction takes effect,
	// or zero if it is answered.
	late func() time.Duration

	// mu also protects travel, answered and late.
	mu  sync.Mutex
	era keyvalue.Era
}

// client returns a host's client of the store, which fails while down returns true.
func (s *fakeStore) client(down func() bool) *storeClient {
	return &storeClient{store: s, down: down, travel: func() {}, answered: func(string) {}, late: func() time.Duration { return 0 }}
}

// learn records the era of an answer and returns the latest known one.
func (c *storeClient) learn(era keyvalue.Era) keyvalue.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era = max(c.era, era)
	return c.era
}

func (c *storeClient) hooks() (travel func(), answered func(string), late func() time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.travel, c.answered, c.late
}

// call executes do at the store, and returns the era in which that was. A call that
// names a lease or revision of another era than known fails at once; one that turns out
// to have done so returns ErrRestored in place of the errors for an unknown one.
func (c *storeClient) call(name string, named []keyvalue.Era, do func() error) (keyvalue.Era, error) {
	travel, answered, late := c.hooks()
	travel()
	latest := c.learn(0)
	isOther := func(e keyvalue.Era) bool { return e != latest }
	if slices.ContainsFunc(named, isOther) {
		return latest, keyvalue.ErrRestored
	}
	travel()
	c.store.mu.Lock()
	if c.down() {
		c.store.mu.Unlock()
		return latest, keyvalue.ErrUnavailable
	}
	if name == "commit" {
		if delay := late(); delay > 0 {
			c.store.mu.Unlock()
			time.AfterFunc(delay, func() {
				c.store.mu.Lock()
				defer c.store.mu.Unlock()
				c.store.expire()
				_ = do()
			})
			travel()
			return latest, keyvalue.ErrAmbiguous
		}
	}
	c.store.expire()
	err := do()
	era := c.store.era
	answered(name)
	c.store.mu.Unlock()
	travel()
	c.store.mu.Lock()
	lost := c.down()
	c.store.mu.Unlock()
	if lost && name == "get" {
		return latest, keyvalue.ErrUnavailable
	}
	if lost {
		return latest, keyvalue.ErrAmbiguous
	}
	c.learn(era)
	latest = era
	if slices.ContainsFunc(named, isOther) && (errors.Is(err, keyvalue.ErrConflict) || errors.Is(err, keyvalue.ErrNoLease) || name == "keep" || name == "revoke") {
		return era, keyvalue.ErrRestored
	}
	return era, err
}

// keyvalue returns the client as a Store.
func (c *storeClient) keyvalue() keyvalue.Store {
	s := c.store
	return keyvalue.Store{
		Get: func(_ context.Context, key string) (keyvalue.Value, error) {
			var number uint64
			var data []byte
			era, err := c.call("get", nil, func() error {
				number, data = s.revision, s.data
				if number == 0 {
					return keyvalue.ErrAbsent
				}
				return nil
			})
			return keyvalue.Value{Key: key, Data: data, Revision: keyvalue.NewRevision(era, number)}, err
		},
		Commit: func(_ context.Context, t keyvalue.Transaction) (keyvalue.Revision, error) {
			named := []keyvalue.Era{t.Writes[0].Lease.Era}
			if r := t.Conditions[0].Revision; r != 0 {
				named = append(named, r.Era())
			}
			number := new(uint64)
			era, err := c.call("commit", named, func() (err error) {
				*number, err = s.commit(t)
				if err == nil && s.loseAnswers {
					return keyvalue.ErrAmbiguous
				}
				return err
			})
			if err != nil {
				return 0, err
			}
			return keyvalue.NewRevision(era, *number), nil
		},
		Grant: func(_ context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
			var number uint64
			era, err := c.call("grant", nil, func() error {
				number = s.grant(ttl)
				return nil
			})
			return keyvalue.LeaseID{Number: number, Era: era}, err
		},
		KeepAlive: func(_ context.Context, lease keyvalue.LeaseID) error {
			_, err := c.call("keep", []keyvalue.Era{lease.Era}, func() error {
				if s.ended(lease.Number) {
					return keyvalue.ErrNoLease
				}
				s.extend(lease.Number, ttl)
				return nil
			})
			return err
		},
		Revoke: func(_ context.Context, lease keyvalue.LeaseID) error {
			_, err := c.call("revoke", []keyvalue.Era{lease.Era}, func() error {
				s.expiries[lease.Number] = time.Now()
				return nil
			})
			return err
		},
	}
}

// cluster holds a number of candidates; down[i] disconnects electors[i] from the
// store.
type cluster struct {
	store    *fakeStore
	down     []bool
	clients  []*storeClient
	electors []*duty.Elector
	// connected says that the hosts hear each other's reports.
	connected atomic.Bool
}

func runCluster(t *testing.T, count int, scenario func(c *qt.C, h *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &cluster{store: newStore(), down: make([]bool, count)}
		group := new(errgroup.Group)
		for i := range count {
			client := h.store.client(func() bool { return h.down[i] })
			e := duty.New(client.keyvalue(), "duty", identity.Incarnation('a'+rune(i)), ttl)
			e.Rank = func() int { return i }
			e.HasOtherLeader = func() bool {
				return h.connected.Load() && len(h.leaders()) > 0
			}
			h.clients, h.electors = append(h.clients, client), append(h.electors, e)
		}
		for _, e := range h.electors {
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

// holder returns the only host that may act, and its fence.
func (cl *cluster) holder(c *qt.C) (int, identity.Fence) {
	c.Helper()
	list := cl.leaders()
	c.Assert(list, qt.HasLen, 1)
	for i, fence := range list {
		return i, fence
	}
	return -1, 0
}

// waitForHolder waits until a host may act.
func (cl *cluster) waitForHolder(c *qt.C) {
	c.Helper()
	for range 2000 {
		if len(cl.leaders()) > 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("no host acts")
}

// setDown disconnects a host from the store, or connects it.
func (cl *cluster) setDown(i int, down bool) {
	cl.store.mu.Lock()
	defer cl.store.mu.Unlock()
	cl.down[i] = down
}

// The leader is cut off from the store, which comes back from a copy without its key.
// Another host took the key at once and acted while the leader still did.
func TestNewLeaderOfARestoredStoreWaitsForTheOldOne(t *testing.T) {
	for _, observed := range []bool{false, true} {
		runCluster(t, 2, func(c *qt.C, h *cluster) {
			older := h.store.copy()
			c.Assert(h.observeLeaders(c, 10*time.Second), qt.DeepEquals, []int{0})
			h.setDown(0, true)
			h.store.restore(older)
			if observed {
				h.electors[1].ObserveEra(1)
			}
			c.Assert(h.observeLeaders(c, 10*time.Second), qt.DeepEquals, []int{0, 1})
		})
	}
}

// A host that was cut off since its start learns late that there is a restored store, and
// must not take the time since its start for the time since the restoration.
func TestFirstEraLearnedLateIsWaitedFor(t *testing.T) {
	runCluster(t, 2, func(c *qt.C, h *cluster) {
		h.setDown(1, true)
		h.store.restore(h.store.copy())
		older := h.store.copy()
		c.Assert(h.observeLeaders(c, 10*time.Second), qt.DeepEquals, []int{0})
		h.setDown(0, true)
		h.setDown(1, false)
		h.store.restore(older)
		c.Assert(h.observeLeaders(c, 10*time.Second), qt.DeepEquals, []int{0, 1})
	})
}

// The leader learns of the restoration from its renewal, from raising its fence or from
// the host's other calls. It lost the duty for a lease and a call, though no other host
// could act, or went on under its old term. The copy is from before its term or within.
func TestLeaderTakesTheKeyOfARestoredStoreAgain(t *testing.T) {
	learn := map[string]func(h *cluster){
		"renewal":     func(*cluster) { time.Sleep(ttl/4 + 10*time.Millisecond) },
		"raise":       func(h *cluster) { h.electors[0].RaiseFence() },
		"other calls": func(h *cluster) { h.electors[0].ObserveEra(1) },
		"raise, known": func(h *cluster) {
			h.clients[0].learn(1)
			h.electors[0].RaiseFence()
		},
	}
	for name, learn := range learn {
		for _, within := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/within=%v", name, within), func(t *testing.T) {
				runCluster(t, 2, func(c *qt.C, h *cluster) {
					older := h.store.copy()
					h.connected.Store(true)
					h.waitForHolder(c)
					h.observeLeaders(c, ttl)
					if within {
						older = h.store.copy()
					}
					_, before := h.holder(c)
					h.store.restore(older)
					learn(h)
					time.Sleep(10 * time.Millisecond)
					leader, after := h.holder(c)
					c.Assert(leader, qt.Equals, 0)
					c.Assert(keyvalue.Revision(after).Era(), qt.Equals, keyvalue.Era(1))
					c.Assert(after > before, qt.IsTrue)
					c.Assert(h.observeLeaders(c, 4*ttl), qt.DeepEquals, []int{0})
				})
			})
		}
	}
}

// The store is restored twice within a lease, and the old leader has only learned of the
// second time. In the era between, another host took the key and will act.
func TestLeaderThatMissedAnEraWaits(t *testing.T) {
	runCluster(t, 2, func(c *qt.C, h *cluster) {
		older := h.store.copy()
		h.waitForHolder(c)
		h.observeLeaders(c, ttl)
		h.setDown(0, true)
		h.store.restore(older)
		h.electors[1].ObserveEra(1)
		h.observeLeaders(c, ttl/2-100*time.Millisecond)
		h.setDown(1, true)
		h.store.restore(older)
		h.setDown(0, false)
		h.electors[0].ObserveEra(2)
		c.Assert(h.observeLeaders(c, 4*ttl), qt.DeepEquals, []int{1, 0})
	})
}

// From the moment at which it learns of the restoration until it has the key again, the
// leader must make no call.
func TestLeaderMakesNoCallsUntilItHasTheKeyAgain(t *testing.T) {
	runCluster(t, 1, func(c *qt.C, h *cluster) {
		h.waitForHolder(c)
		h.store.restore(h.store.copy())
		h.setDown(0, true)
		h.electors[0].ObserveEra(1)
		c.Assert(h.leaders(), qt.HasLen, 0)
		time.Sleep(100 * time.Millisecond)
		c.Assert(h.leaders(), qt.HasLen, 0)
		h.setDown(0, false)
		time.Sleep(300 * time.Millisecond)
		h.holder(c)
	})
}

// The restored store has the key of a dead leader. The leader that had followed it must
// stop, and no host acts before the restored lease has run out and the wait has passed.
func TestRestoredKeyOfADeadLeaderRunsOut(t *testing.T) {
	runCluster(t, 2, func(c *qt.C, h *cluster) {
		h.waitForHolder(c)
		older := h.store.copy()
		h.setDown(0, true)
		c.Assert(h.observeLeaders(c, 8*time.Second), qt.DeepEquals, []int{0, 1})
		older.expiries[older.lease] = time.Now().Add(ttl)
		h.store.restore(older)
		restored := time.Now()
		time.Sleep(ttl/4 + 10*time.Millisecond)
		c.Assert(h.leaders(), qt.HasLen, 0)
		h.waitForHolder(c)
		c.Assert(time.Since(restored) >= ttl, qt.IsTrue)
		c.Assert(h.observeLeaders(c, 8*time.Second), qt.DeepEquals, []int{1})
	})
}

// A write that was sent before a restoration replaces the key of a host that waits to act,
// as its condition holds by number alone. That host acted beside the key's new holder.
func TestHostWhoseKeyWasReplacedDoesNotBeginToAct(t *testing.T) {
	runCluster(t, 1, func(c *qt.C, h *cluster) {
		time.Sleep(ttl / 3)
		h.store.mu.Lock()
		_, err := h.store.commit(keyvalue.Transaction{
			Conditions: []keyvalue.Condition{{Key: "duty", Revision: keyvalue.NewRevision(0, h.store.revision)}},
			Writes:     []keyvalue.Entry{{Key: "duty", Data: []byte("other"), Lease: keyvalue.LeaseID{Number: h.store.grant(time.Minute)}}},
		})
		h.store.mu.Unlock()
		c.Assert(err, qt.IsNil)
		c.Assert(h.observeLeaders(c, 4*ttl), qt.HasLen, 0)
	})
}

// The store is restored between two calls of the host that takes the key. The key must not
// stay under the lease of another host that has the lost number, and the host must wait.
func TestRestorationWhileTheKeyIsTaken(t *testing.T) {
	for _, at := range []string{"get", "grant", "commit"} {
		for _, lost := range []bool{false, true} {
			t.Run(fmt.Sprintf("after %s/answer lost=%v", at, lost), func(t *testing.T) {
				runCluster(t, 2, func(c *qt.C, h *cluster) {
					c.Assert(h.observeLeaders(c, 10*time.Second), qt.DeepEquals, []int{0})
					older := h.store.copy()
					older.revision, older.expiries = 0, make(map[uint64]time.Time)
					var restored time.Time
					h.setDown(0, true)
					h.store.mu.Lock()
					h.store.loseAnswers = lost
					h.store.mu.Unlock()
					h.clients[1].mu.Lock()
					h.clients[1].answered = func(call string) {
						if call != at || !restored.IsZero() || h.store.revision != 0 && at != "commit" || strings.HasPrefix(string(h.store.data), "a ") {
							return
						}
						restored = time.Now()
						time.AfterFunc(0, func() {
							h.store.restore(older)
							h.store.mu.Lock()
							defer h.store.mu.Unlock()
							// Other hosts get the lost numbers, for a longer time.
							h.store.grant(30 * time.Second)
							h.store.grant(30 * time.Second)
						})
					}
					h.clients[1].travel = func() { time.Sleep(time.Millisecond) }
					h.clients[1].mu.Unlock()
					c.Assert(h.observeLeaders(c, 15*time.Second), qt.DeepEquals, []int{0, 1})
					h.store.mu.Lock()
					happened := !restored.IsZero()
					h.store.mu.Unlock()
					c.Assert(happened, qt.IsTrue)
					h.setDown(1, true)
					h.setDown(0, false)
					c.Assert(h.observeLeaders(c, 10*time.Second), qt.DeepEquals, []int{1, 0})
				})
			})
		}
	}
}

// Two writes of a host get no answer, and the first takes effect after the second was sent.
// The host took it for the second and renewed the other lease, so that it still acted when
// the key's lease had run out and another host had taken the key.
func TestLateWriteIsNotTakenForALaterOne(t *testing.T) {
	runCluster(t, 2, func(c *qt.C, h *cluster) {
		h.setDown(0, true)
		h.setDown(1, true)
		time.Sleep(2 * ttl)
		writes := 0
		h.clients[0].mu.Lock()
		h.clients[0].travel = func() { time.Sleep(50 * time.Millisecond) }
		h.clients[0].late = func() time.Duration {
			writes++
			return map[int]time.Duration{1: time.Second, 2: time.Hour}[writes]
		}
		h.clients[0].mu.Unlock()
		h.setDown(0, false)
		time.Sleep(2 * time.Second)
		h.setDown(1, false)
		c.Assert(h.observeLeaders(c, 4*ttl)[0], qt.Equals, 1)
		h.setDown(0, true)
		c.Assert(writes >= 2, qt.IsTrue)
	})
}
