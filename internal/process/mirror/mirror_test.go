package mirror_test

import (
	"context"
	"fmt"
	"maps"
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

// fakeStore is a key-value store with one prefix. While silent is set, its watches
// report no changes and fail when their wait is over.
type fakeStore struct {
	mu         sync.Mutex
	revision   keyvalue.Revision
	values     map[string]keyvalue.Value
	history    []keyvalue.Change
	silent     bool
	down       bool
	compacted  keyvalue.Revision
	rangeCalls int
	// watchedByOthers is set while the mirror need not watch itself.
	watchedByOthers bool
	changed         chan struct{}
}

func newStore() *fakeStore {
	return &fakeStore{revision: 1, values: make(map[string]keyvalue.Value), changed: make(chan struct{})}
}

func (s *fakeStore) set(key, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	v := keyvalue.Value{Key: key, Data: []byte(data), Revision: s.revision}
	s.values[key] = v
	s.history = append(s.history, keyvalue.Change{Value: v})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.values, key)
	s.history = append(s.history, keyvalue.Change{Value: keyvalue.Value{Key: key, Revision: s.revision}, Deleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history of changes.
func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
}

// copied is a copy of a fakeStore.
type copied struct {
	revision keyvalue.Revision
	values   map[string]keyvalue.Value
}

func (s *fakeStore) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied{revision: s.revision, values: maps.Clone(s.values)}
}

// restore replaces the contents by an older copy: the store continues in the next era
// from the copy's revision.
func (s *fakeStore) restore(older copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	s.revision = keyvalue.NewRevision(era, older.revision.Number())
	s.values = make(map[string]keyvalue.Value)
	for key, v := range older.values {
		v.Revision = keyvalue.NewRevision(era, v.Revision.Number())
		s.values[key] = v
	}
	s.history, s.compacted = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) client() keyvalue.Store {
	return keyvalue.Store{Range: s.list, Changes: s.watch}
}

func (s *fakeStore) list(context.Context, string) (keyvalue.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rangeCalls++
	if s.down {
		return keyvalue.Listing{}, keyvalue.ErrUnavailable
	}
	listing := keyvalue.Listing{AsOf: s.revision}
	for _, v := range s.values {
		listing.Values = append(listing.Values, v)
	}
	return listing, nil
}

func (s *fakeStore) watch(ctx context.Context, _ string, after keyvalue.Revision, wait time.Duration) (keyvalue.Changes, error) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		down, silent, compacted, changed := s.down, s.silent, after < s.compacted, s.changed
		found := keyvalue.Changes{AsOf: s.revision}
		for _, c := range s.history {
			if c.Revision > after {
				found.Changes = append(found.Changes, c)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			return keyvalue.Changes{}, keyvalue.ErrUnavailable
		case silent:
			changed = nil
		case compacted:
			return keyvalue.Changes{}, keyvalue.ErrCompacted
		case len(found.Changes) > 0:
			return found, nil
		}
		select {
		case <-changed:
		case <-end:
			if silent {
				return keyvalue.Changes{}, keyvalue.ErrUnavailable
			}
			return found, nil
		case <-ctx.Done():
			return keyvalue.Changes{}, ctx.Err()
		}
	}
}

func (s *fakeStore) withLock(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// runMirror runs a scenario with a mirror of a store that holds one key.
func runMirror(t *testing.T, scenario func(c *qt.C, s *fakeStore, m *mirror.Mirror)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newStore()
		s.set("endpoints/a", "1")
		m := mirror.New(s.client(), prefix)
		m.ShouldWatch = func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return !s.watchedByOthers
		}
		group := new(errgroup.Group)
		group.Go(func() error { return m.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		scenario(c, s, m)
		cancel()
		c.Assert(group.Wait(), qt.IsNil)
	})
}

// value returns the mirrored value of a key, or "" if it is absent.
func value(m *mirror.Mirror, key string) string {
	copied, _ := m.Copy(prefix)
	for _, i := range copied.Items {
		if i.Key == key {
			return string(i.Data)
		}
	}
	return ""
}

func TestChangesArrive(t *testing.T) {
	runMirror(t, func(c *qt.C, s *fakeStore, m *mirror.Mirror) {
		c.Assert(value(m, "endpoints/a"), qt.Equals, "1")
		s.set("endpoints/a", "2")
		time.Sleep(time.Millisecond)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "2")
		s.remove("endpoints/a")
		time.Sleep(time.Millisecond)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "")
	})
}

// A watch misses a change, and the store compacts its history before the watch ends.
// The change must be known within the 2.5 s in which a configuration must be in force.
func TestChangeIsKnownInTimeDespiteSilentWatchAndCompaction(t *testing.T) {
	runMirror(t, func(c *qt.C, s *fakeStore, m *mirror.Mirror) {
		s.withLock(func() { s.silent = true })
		time.Sleep(10 * time.Millisecond)
		s.set("endpoints/a", "2")
		time.Sleep(time.Millisecond)
		s.compact()
		s.withLock(func() { s.silent = false })
		time.Sleep(2500 * time.Millisecond)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "2")
	})
}

// A neighbour reports a change that this host's watch has missed.
func TestRestartEndsSilentWatch(t *testing.T) {
	runMirror(t, func(c *qt.C, s *fakeStore, m *mirror.Mirror) {
		s.withLock(func() { s.silent = true })
		time.Sleep(2 * time.Second)
		s.set("endpoints/a", "2")
		s.withLock(func() { s.silent = false })
		m.RestartWatch(prefix)
		time.Sleep(700 * time.Millisecond)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "2")
	})
}

func TestKeysMissingFromARangeAreRemoved(t *testing.T) {
	runMirror(t, func(c *qt.C, s *fakeStore, m *mirror.Mirror) {
		s.set("endpoints/b", "1")
		time.Sleep(time.Millisecond)
		s.withLock(func() { s.down = true })
		m.RestartWatch(prefix)
		time.Sleep(time.Second)
		_, failing := m.FailingSince(prefix)
		c.Assert(failing, qt.IsTrue)
		s.remove("endpoints/a")
		s.compact()
		s.withLock(func() { s.down = false })
		time.Sleep(time.Second)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "")
		c.Assert(value(m, "endpoints/b"), qt.Equals, "1")
	})
}

func TestOlderCopyIsIgnored(t *testing.T) {
	runMirror(t, func(c *qt.C, s *fakeStore, m *mirror.Mirror) {
		old, ok := m.Copy(prefix)
		c.Assert(ok, qt.IsTrue)
		s.set("endpoints/a", "2")
		time.Sleep(time.Millisecond)
		c.Assert(m.Merge(old), qt.IsFalse)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "2")
	})
}

func TestNewerCopyIsMergedDuringStoreOutage(t *testing.T) {
	runMirror(t, func(c *qt.C, s *fakeStore, m *mirror.Mirror) {
		s.withLock(func() { s.down = true })
		newer := mirror.Copy{Prefix: prefix, AsOf: 9, Items: []mirror.Item{{Key: "endpoints/b", Data: []byte("3"), Revision: 8}}}
		c.Assert(m.Merge(newer), qt.IsTrue)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "")
		c.Assert(value(m, "endpoints/b"), qt.Equals, "3")
	})
}

// What is written after the store was restored from an older copy was ignored, since its
// revision is below those of the writes that the store has lost.
func TestWritesAfterARestorationArrive(t *testing.T) {
	runMirror(t, func(c *qt.C, s *fakeStore, m *mirror.Mirror) {
		restored := 0
		m.OnStoreRestored = func(string) { restored++ }
		older := s.copy()
		for i := range 50 {
			s.set("endpoints/a", fmt.Sprint("lost ", i))
		}
		s.set("endpoints/b", "lost")
		time.Sleep(time.Millisecond)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "lost 49")
		s.restore(older)
		s.set("endpoints/a", "2")
		time.Sleep(2500 * time.Millisecond)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "2")
		c.Assert(value(m, "endpoints/b"), qt.Equals, "")
		s.set("endpoints/a", "3")
		time.Sleep(time.Millisecond)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "3")
		c.Assert(restored, qt.Equals, 1)
	})
}

// A copy from a neighbour that has not seen the restoration must not replace what the
// restored store holds, although its revisions have higher numbers.
func TestCopyOfAnEarlierEraIsIgnored(t *testing.T) {
	runMirror(t, func(c *qt.C, s *fakeStore, m *mirror.Mirror) {
		older := s.copy()
		for i := range 50 {
			s.set("endpoints/a", fmt.Sprint("lost ", i))
		}
		time.Sleep(time.Millisecond)
		lost, ok := m.Copy(prefix)
		c.Assert(ok, qt.IsTrue)
		s.restore(older)
		s.set("endpoints/a", "2")
		time.Sleep(2500 * time.Millisecond)
		c.Assert(m.Merge(lost), qt.IsFalse)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "2")
	})
}

// A host without answers of the store takes a neighbour's copy. From one era to the next
// changes don't suffice: keys that only the lost writes held must go.
func TestCopyOfALaterEraIsComplete(t *testing.T) {
	runMirror(t, func(c *qt.C, s *fakeStore, m *mirror.Mirror) {
		older := s.copy()
		s.set("endpoints/b", "lost")
		time.Sleep(time.Millisecond)
		s.withLock(func() { s.down = true })
		m.RestartWatch(prefix)
		neighbour := mirror.New(s.client(), prefix)
		s.restore(older)
		s.set("endpoints/c", "1")
		listing := mirror.Copy{Prefix: prefix, AsOf: s.revision}
		for _, v := range s.values {
			listing.Items = append(listing.Items, mirror.Item{Key: v.Key, Data: v.Data, Revision: v.Revision})
		}
		c.Assert(neighbour.Merge(listing), qt.IsTrue)

		partial := listing
		partial.After = m.AsOf(prefix)
		c.Assert(m.Merge(partial), qt.IsFalse)
		served, ok := neighbour.ChangesSince(prefix, m.AsOf(prefix))
		c.Assert(ok, qt.IsTrue)
		c.Assert(m.Merge(served), qt.IsTrue)
		c.Assert(value(m, "endpoints/b"), qt.Equals, "")
		c.Assert(value(m, "endpoints/c"), qt.Equals, "1")
	})
}

// A host whose calls failed leaves the watching to others. It must not take the store for
// failing ever after.
func TestFailureIsForgottenByAHostThatWatchesNoMore(t *testing.T) {
	runMirror(t, func(c *qt.C, s *fakeStore, m *mirror.Mirror) {
		s.withLock(func() { s.down = true })
		m.RestartWatch(prefix)
		time.Sleep(100 * time.Millisecond)
		_, failing := m.FailingSince(prefix)
		c.Assert(failing, qt.IsTrue)
		s.withLock(func() { s.watchedByOthers = true })
		time.Sleep(time.Second)
		_, failing = m.FailingSince(prefix)
		c.Assert(failing, qt.IsFalse)
	})
}

// The watch of one prefix was sent while the store was away, and hangs. Once another
// prefix shows that the store was restored it must not wait for the watch's end.
func TestHangingWatchIsRestartedAfterARestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newStore()
		s.set("endpoints/a", "1")
		client := s.client()
		client.Changes = func(ctx context.Context, p string, after keyvalue.Revision, wait time.Duration) (keyvalue.Changes, error) {
			s.mu.Lock()
			restored := after < s.compacted
			s.mu.Unlock()
			if p != prefix || restored {
				return s.watch(ctx, p, after, wait)
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait + time.Second):
			}
			return keyvalue.Changes{}, keyvalue.ErrUnavailable
		}
		m := mirror.New(client, prefix, "configuration")
		group := new(errgroup.Group)
		group.Go(func() error { return m.Run(ctx) })
		time.Sleep(100 * time.Millisecond)
		older := s.copy()
		s.restore(older)
		s.set("endpoints/a", "2")
		time.Sleep(200 * time.Millisecond)
		c.Assert(value(m, "endpoints/a"), qt.Equals, "2")
		cancel()
		c.Assert(group.Wait(), qt.IsNil)
	})
}
