// Package mirror keeps a local copy of key prefixes of the platform's store.
//
// # Sources
//
// Each prefix is read once and then watched by revision. A host that gets no answers
// from the store can take a newer copy from a neighbour. A value is only ever replaced
// by one with a higher revision, so a stale source does no harm.
//
// # Removals
//
// A removal is kept with its revision, because an older copy may still contain the
// key. A key that is written again after its removal has a higher revision.
//
// # Restorations
//
// A store that was restored from an older copy begins a new era, whose revisions are
// higher than all earlier ones. There is no history from one era to the next: the first
// copy of an era is a complete one and replaces everything.
package mirror

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
)

const (
	// minWatchTime and maxWatchTime bound how long one watch waits for changes. A
	// watch that silently misses changes is only detected when it ends, so
	// minWatchTime and the duration of a call must together be less than the time
	// within which a configuration must be in force.
	minWatchTime = 1500 * time.Millisecond
	maxWatchTime = 4 * time.Second
	// minWatchTimeHosts is the largest number of hosts that use minWatchTime. With
	// more hosts watches last longer: it is likelier that the watch of one of them
	// ends soon after a change, and that host reports the change to the others.
	minWatchTimeHosts = 8
	// pollInterval is how often a host that does not watch checks whether it must.
	pollInterval = 250 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call: a
	// configuration must be in force within seconds of the store's return.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

// Item is the current state of a key.
type Item struct {
	Key      string            `json:"key"`
	Data     []byte            `json:"data,omitempty"`
	Revision keyvalue.Revision `json:"revision"`
	Deleted  bool              `json:"deleted,omitempty"`
}

// Copy is the contents of one prefix.
type Copy struct {
	Prefix string `json:"prefix"`
	// After is set in a partial copy, which contains only changes after that
	// revision, including removals.
	After keyvalue.Revision `json:"after,omitempty"`
	// AsOf is the revision up to which the copy is complete.
	AsOf  keyvalue.Revision `json:"as_of"`
	Items []Item            `json:"items"`
}

// Mirror mirrors some prefixes of a store. Create one with New and call Run.
type Mirror struct {
	// Store is the mirrored store.
	Store keyvalue.Store
	// OnChange is called with each prefix that changed.
	OnChange func(prefix string)
	// HostCount returns how many hosts there are.
	HostCount func() int
	// ShouldWatch reports whether this host watches the store itself. A host that does
	// not is updated with copies through Merge.
	ShouldWatch func() bool
	// MinInterval returns the shortest time between two watches of a prefix, so that
	// changes that follow each other arrive together.
	MinInterval func(prefix string) time.Duration
	// OnStoreLost and OnStoreRegained are called when the store stops answering and
	// answers again.
	OnStoreLost     func(prefix string, err error)
	OnStoreRegained func(prefix string)
	// OnStoreRestored is called with the first copy of a prefix of a restored store.
	OnStoreRestored func(prefix string)
	Log             *slog.Logger

	mu       sync.Mutex
	prefixes []string
	states   map[string]*prefixState
}

// prefixState is the local state of one prefix. Its items include removals.
type prefixState struct {
	items map[string]Item
	asOf  keyvalue.Revision
	// latest is the revision of the newest item.
	latest keyvalue.Revision
	// loaded is set once a complete copy of the prefix was received.
	loaded bool
	// cancelWatch ends the current watch, so that the next one starts.
	cancelWatch context.CancelFunc
	// readAt is when the latest call began that the store has answered.
	readAt time.Time
	// failingSince is when calls began to fail, or zero if the last one succeeded.
	failingSince time.Time
}

// New returns a Mirror of the given prefixes of store.
func New(store keyvalue.Store, prefixes ...string) *Mirror {
	m := &Mirror{
		Store: store, OnChange: func(string) {}, HostCount: func() int { return 1 }, MinInterval: func(string) time.Duration { return 0 }, ShouldWatch: func() bool { return true }, OnStoreLost: func(string, error) {}, OnStoreRegained: func(string) {}, OnStoreRestored: func(string) {},
		Log: slog.Default(), prefixes: prefixes, states: make(map[string]*prefixState),
	}
	for _, p := range prefixes {
		m.states[p] = &prefixState{items: make(map[string]Item)}
	}
	return m
}

// Run keeps all prefixes up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range m.prefixes {
		group.Go(func() error { return m.follow(ctx, p) })
	}
	return group.Wait()
}

func (m *Mirror) follow(ctx context.Context, prefix string) error {
	delay := minRetryDelay
	for ctx.Err() == nil {
		if m.Loaded(prefix) && !m.ShouldWatch() {
			m.forgetFailure(prefix)
			pause.For(ctx, pollInterval)
			continue
		}
		begun := time.Now()
		err := m.readOrWatch(ctx, prefix)
		if errors.Is(err, errWatchRestarted) {
			continue
		}
		if err == nil {
			m.recordSuccess(prefix, begun)
			delay = minRetryDelay
			pause.For(ctx, m.MinInterval(prefix)-time.Since(begun))
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		m.recordFailure(prefix, err)
		pause.For(ctx, delay/2+rand.N(delay/2))
		delay = min(maxRetryDelay, delay*2)
	}
	return nil
}

// readOrWatch reads the whole prefix if it is not loaded, or else waits for changes
// with one watch.
func (m *Mirror) readOrWatch(ctx context.Context, prefix string) error {
	m.mu.Lock()
	s := m.states[prefix]
	loaded, after := s.loaded, s.asOf
	m.mu.Unlock()
	if !loaded {
		return m.readAll(ctx, prefix)
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	s.cancelWatch = cancel
	m.mu.Unlock()
	changes, err := m.Store.Changes(watchCtx, prefix, after, m.watchTime())
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return errWatchRestarted
	}
	if errors.Is(err, keyvalue.ErrCompacted) {
		m.Log.Info("store_history_compacted", "prefix", prefix, "revision", after)
		return m.readAll(ctx, prefix)
	}
	if err != nil {
		return err
	}
	m.applyChanges(prefix, changes)
	return nil
}

// errWatchRestarted is the result of a watch that RestartWatch cancelled. It does not
// count as a failure of the store.
var errWatchRestarted = errors.New("watch restarted")

// watchTime returns how long a watch waits for changes.
func (m *Mirror) watchTime() time.Duration {
	return max(minWatchTime, min(maxWatchTime, minWatchTime*time.Duration(m.HostCount())/minWatchTimeHosts))
}

// RestartWatch restarts a prefix's watch, which may have missed a change that another
// host reported.
func (m *Mirror) RestartWatch(prefix string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.states[prefix]; s.cancelWatch != nil {
		s.cancelWatch()
	}
}

// readAll reads the whole prefix from the store and merges it.
func (m *Mirror) readAll(ctx context.Context, prefix string) error {
	listing, err := m.Store.Range(ctx, prefix)
	if err != nil {
		return err
	}
	c := Copy{Prefix: prefix, AsOf: listing.AsOf}
	for _, v := range listing.Values {
		c.Items = append(c.Items, Item{Key: v.Key, Data: v.Data, Revision: v.Revision})
	}
	m.Log.Info("store_read", "prefix", prefix, "items", len(c.Items), "as_of", c.AsOf, "before", m.AsOf(prefix))
	m.merge(c)
	return nil
}

func (m *Mirror) applyChanges(prefix string, changes keyvalue.Changes) {
	m.mu.Lock()
	s := m.states[prefix]
	changed := false
	for _, c := range changes.Changes {
		changed = s.put(Item{Key: c.Key, Data: c.Data, Revision: c.Revision, Deleted: c.Deleted}) || changed
	}
	s.asOf = max(s.asOf, changes.AsOf)
	m.mu.Unlock()
	if changed {
		m.OnChange(prefix)
	}
}

// put stores an item if its revision is higher than the stored one's, and reports
// whether it did.
func (s *prefixState) put(item Item) bool {
	if item.Revision <= s.items[item.Key].Revision {
		return false
	}
	s.items[item.Key] = item
	s.latest = max(s.latest, item.Revision)
	return true
}

// Merge merges a neighbour's copy, and reports whether it did. A copy that is not newer
// is ignored, as is a partial copy if the changes between the local state and its start
// are missing, or if it starts in an earlier era.
func (m *Mirror) Merge(c Copy) bool {
	m.mu.Lock()
	s := m.states[c.Prefix]
	stale := s == nil || c.AsOf <= s.asOf || c.After > s.asOf || c.After > 0 && (!s.loaded || c.After.Era() != c.AsOf.Era())
	m.mu.Unlock()
	if stale {
		return false
	}
	m.merge(c)
	return true
}

// merge stores the newer items of a copy. Keys missing from a complete copy have been
// removed, at the latest at its revision.
func (m *Mirror) merge(c Copy) {
	m.mu.Lock()
	s := m.states[c.Prefix]
	changed := false
	present := make(map[string]bool, len(c.Items))
	for _, item := range c.Items {
		present[item.Key] = true
		changed = s.put(item) || changed
	}
	for key, item := range s.items {
		if c.After == 0 && !present[key] && !item.Deleted && item.Revision < c.AsOf {
			changed = s.put(Item{Key: key, Revision: c.AsOf, Deleted: true}) || changed
		}
	}
	first, restored := !s.loaded, s.loaded && c.AsOf.Era() > s.asOf.Era()
	s.loaded = true
	s.asOf = max(s.asOf, c.AsOf)
	m.mu.Unlock()
	if restored {
		m.restartOtherWatches(c.Prefix)
		m.OnStoreRestored(c.Prefix)
	}
	if changed || first {
		m.OnChange(c.Prefix)
	}
}

// restartOtherWatches restarts the watches of all prefixes but one. Those that were sent
// before the store was restored may hang until they time out.
func (m *Mirror) restartOtherWatches(prefix string) {
	for _, other := range m.prefixes {
		if other != prefix {
			m.RestartWatch(other)
		}
	}
}

func (m *Mirror) recordFailure(prefix string, err error) {
	m.mu.Lock()
	s := m.states[prefix]
	first := s.failingSince.IsZero()
	if first {
		s.failingSince = time.Now()
	}
	m.mu.Unlock()
	if first {
		m.OnStoreLost(prefix, err)
	}
}

func (m *Mirror) recordSuccess(prefix string, begun time.Time) {
	m.mu.Lock()
	s := m.states[prefix]
	s.readAt = begun
	regained := !s.failingSince.IsZero()
	s.failingSince = time.Time{}
	m.mu.Unlock()
	if regained {
		m.OnStoreRegained(prefix)
	}
}

// forgetFailure forgets that the store did not answer, when this host calls it no more.
func (m *Mirror) forgetFailure(prefix string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.states[prefix].failingSince = time.Time{}
}

// FailingSince returns since when the store has not answered for a prefix, and
// whether that is so.
func (m *Mirror) FailingSince(prefix string) (since time.Time, failing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[prefix]
	return s.failingSince, !s.failingSince.IsZero()
}

// ReadAt returns when the latest call for a prefix began that the store has answered, or
// zero: the copy is at least as new.
func (m *Mirror) ReadAt(prefix string) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states[prefix].readAt
}

// AsOf returns the revision up to which the copy of a prefix is complete, or zero
// before the first copy.
func (m *Mirror) AsOf(prefix string) keyvalue.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states[prefix].asOf
}

// LatestRevision returns the revision of the newest known change of a prefix.
func (m *Mirror) LatestRevision(prefix string) keyvalue.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states[prefix].latest
}

// Loaded reports whether a complete copy of a prefix was received, from any source.
func (m *Mirror) Loaded(prefix string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states[prefix].loaded
}

// Copy returns a complete copy of a prefix, without removals.
func (m *Mirror) Copy(prefix string) (Copy, bool) { return m.ChangesSince(prefix, 0) }

// ChangesSince returns the changes after a revision, including removals. If after is
// zero or of another era, it returns a complete copy.
func (m *Mirror) ChangesSince(prefix string, after keyvalue.Revision) (Copy, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[prefix]
	if s == nil || !s.loaded {
		return Copy{}, false
	}
	if after.Era() != s.asOf.Era() {
		after = 0
	}
	c := Copy{Prefix: prefix, After: after, AsOf: s.asOf}
	for _, item := range s.items {
		if item.Revision > after && (after > 0 || !item.Deleted) {
			c.Items = append(c.Items, item)
		}
	}
	return c, true
}
