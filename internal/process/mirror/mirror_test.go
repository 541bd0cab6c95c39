package mirror_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/mirror"
)

const prefix = "endpoints/"

// store is a key-value store with one prefix, whose watches can be made deaf:
// they hear nothing until their wait is over.
type store struct {
	mu        sync.Mutex
	revision  keyvalue.Revision
	values    map[string]keyvalue.Value
	log       []keyvalue.Change
	deaf      bool
	down      bool
	compacted keyvalue.Revision
	ranges    int
	changed   chan struct{}
}

func newStore() *store {
	return &store{revision: 1, values: make(map[string]keyvalue.Value), changed: make(chan struct{})}
}

func (s *store) set(key, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	v := keyvalue.Value{Key: key, Data: []byte(data), Revision: s.revision}
	s.values[key] = v
	s.log = append(s.log, keyvalue.Change{Value: v})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.values, key)
	s.log = append(s.log, keyvalue.Change{Value: keyvalue.Value{Key: key, Revision: s.revision}, Deleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.log = nil
}

func (s *store) store() keyvalue.Store {
	return keyvalue.Store{Range: s.list, Changes: s.watch}
}

func (s *store) list(context.Context, string) (keyvalue.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranges++
	if s.down {
		return keyvalue.Listing{}, keyvalue.ErrUnavailable
	}
	listing := keyvalue.Listing{AsOf: s.revision}
	for _, v := range s.values {
		listing.Values = append(listing.Values, v)
	}
	return listing, nil
}

func (s *store) watch(ctx context.Context, _ string, after keyvalue.Revision, wait time.Duration) (keyvalue.Changes, error) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		down, deaf, compacted, changed := s.down, s.deaf, after < s.compacted, s.changed
		found := keyvalue.Changes{AsOf: s.revision}
		for _, c := range s.log {
			if c.Revision > after {
				found.Changes = append(found.Changes, c)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return keyvalue.Changes{}, keyvalue.ErrUnavailable
		case deaf:
			changed = nil
		case compacted:
			return keyvalue.Changes{}, keyvalue.ErrCompacted
		case len(found.Changes) > 0:
			return found, nil
		}
		select {
		case <-changed:
		case <-end:
			if deaf {
				return keyvalue.Changes{}, keyvalue.ErrUnavailable
			}
			return found, nil
		case <-ctx.Done():
			return keyvalue.Changes{}, ctx.Err()
		}
	}
}

func (s *store) edit(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// run plays a test with a mirror of a store that holds one key.
func run(t *testing.T, play func(c *qt.C, s *store, m *mirror.Mirror)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newStore()
		s.set("endpoints/a", "1")
		m := mirror.New(s.store(), prefix)
		group := new(errgroup.Group)
		group.Go(func() error { return m.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		play(c, s, m)
		cancel()
		c.Assert(group.Wait(), qt.IsNil)
	})
}

func data(m *mirror.Mirror, key string) string {
	copied, _ := m.Copy(prefix)
	for _, i := range copied.Items {
		if i.Key == key {
			return string(i.Data)
		}
	}
	return ""
}

func TestChangesArrive(t *testing.T) {
	run(t, func(c *qt.C, s *store, m *mirror.Mirror) {
		c.Assert(data(m, "endpoints/a"), qt.Equals, "1")
		s.set("endpoints/a", "2")
		time.Sleep(time.Millisecond)
		c.Assert(data(m, "endpoints/a"), qt.Equals, "2")
		s.remove("endpoints/a")
		time.Sleep(time.Millisecond)
		c.Assert(data(m, "endpoints/a"), qt.Equals, "")
	})
}

// The store makes its watches deaf, changes a key, drops its history and leaves
// the connections silent. The change must be known within the 2.5 s in which a
// configuration is to be in force.
func TestSilentWatchAndLostHistoryCostLessThanAConfigurationMayTake(t *testing.T) {
	run(t, func(c *qt.C, s *store, m *mirror.Mirror) {
		s.edit(func() { s.deaf = true })
		time.Sleep(10 * time.Millisecond)
		s.set("endpoints/a", "2")
		time.Sleep(time.Millisecond)
		s.compact()
		s.edit(func() { s.deaf = false })
		time.Sleep(2500 * time.Millisecond)
		c.Assert(data(m, "endpoints/a"), qt.Equals, "2")
	})
}

// A neighbour tells of a change that the own watch did not hear.
func TestAgainEndsADeafWatch(t *testing.T) {
	run(t, func(c *qt.C, s *store, m *mirror.Mirror) {
		s.edit(func() { s.deaf = true })
		time.Sleep(2 * time.Second)
		s.set("endpoints/a", "2")
		s.edit(func() { s.deaf = false })
		m.Again(prefix)
		time.Sleep(700 * time.Millisecond)
		c.Assert(data(m, "endpoints/a"), qt.Equals, "2")
	})
}

func TestKeysMissingFromARangeAreRemoved(t *testing.T) {
	run(t, func(c *qt.C, s *store, m *mirror.Mirror) {
		s.set("endpoints/b", "1")
		time.Sleep(time.Millisecond)
		s.edit(func() { s.down = true })
		m.Again(prefix)
		time.Sleep(time.Second)
		_, failing := m.Failing(prefix)
		c.Assert(failing, qt.IsTrue)
		s.remove("endpoints/a")
		s.compact()
		s.edit(func() { s.down = false })
		time.Sleep(time.Second)
		c.Assert(data(m, "endpoints/a"), qt.Equals, "")
		c.Assert(data(m, "endpoints/b"), qt.Equals, "1")
	})
}

func TestAnOlderCopyIsNotAdopted(t *testing.T) {
	run(t, func(c *qt.C, s *store, m *mirror.Mirror) {
		old, ok := m.Copy(prefix)
		c.Assert(ok, qt.IsTrue)
		s.set("endpoints/a", "2")
		time.Sleep(time.Millisecond)
		c.Assert(m.Adopt(old), qt.IsFalse)
		c.Assert(data(m, "endpoints/a"), qt.Equals, "2")
	})
}

func TestANewerCopyIsAdoptedWhileTheStoreIsAway(t *testing.T) {
	run(t, func(c *qt.C, s *store, m *mirror.Mirror) {
		s.edit(func() { s.down = true })
		newer := mirror.Copy{Prefix: prefix, AsOf: 9, Items: []mirror.Item{{Key: "endpoints/b", Data: []byte("3"), Revision: 8}}}
		c.Assert(m.Adopt(newer), qt.IsTrue)
		c.Assert(data(m, "endpoints/a"), qt.Equals, "")
		c.Assert(data(m, "endpoints/b"), qt.Equals, "3")
	})
}
