// Package mirror holds a copy of what the platform's store says of a deployment.
//
// # Sources
//
// Each prefix is read once and then watched by revision. A host that the store
// does not answer takes a neighbour's copy, if that is newer. A value is only
// ever replaced by one of a higher revision, so that a stale source does no harm.
//
// # Removals
//
// A removal stays on record with its revision, since an older copy may still
// hold the key. Removed values that came back carry a higher revision.
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
	// watchLeast and watchMost bound how long one watch waits. A watch that hears
	// nothing although there are changes is found by its end only, so that the
	// least, and a call, must pass within the time in which a configuration is to
	// be in force.
	watchLeast = 1500 * time.Millisecond
	watchMost  = 4 * time.Second
	// watchers is the number of hosts that wait for the least: one of more hosts
	// finds a change sooner by chance, and tells the others.
	watchers = 8
	// lookEvery is the period in which a host that does not watch looks whether it
	// must.
	lookEvery = 100 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call; a
	// configuration must be in force within seconds of the store's return.
	retryFirst = 150 * time.Millisecond
	retryMost  = 600 * time.Millisecond
)

// Item is a key as it stands.
type Item struct {
	Key      string            `json:"key"`
	Data     []byte            `json:"data,omitempty"`
	Revision keyvalue.Revision `json:"revision"`
	Deleted  bool              `json:"deleted,omitempty"`
}

// Copy is all that a host holds of one prefix.
type Copy struct {
	Prefix string `json:"prefix"`
	// After is set for a part: only what changed after that revision, removals
	// among it.
	After keyvalue.Revision `json:"after,omitempty"`
	// AsOf is the revision up to which nothing is missing.
	AsOf  keyvalue.Revision `json:"as_of"`
	Items []Item            `json:"items"`
}

// Mirror copies some prefixes of a store. Make one with New and call Run.
type Mirror struct {
	// Store is where the values are.
	Store keyvalue.Store
	// Changed is told of each prefix that changed.
	Changed func(prefix string)
	// Hosts counts the hosts that watch the same.
	Hosts func() int
	// Watch tells whether this host follows the store itself. One that doesn't
	// is given copies.
	Watch func() bool
	// Lost and Regained are told when the store stops and starts to answer.
	Lost     func(prefix string, err error)
	Regained func(prefix string)
	Log      *slog.Logger

	mu       sync.Mutex
	prefixes []string
	held     map[string]*held
}

// held is the state of one prefix.
type held struct {
	items map[string]Item
	asOf  keyvalue.Revision
	// last is the revision of the newest change that is held.
	last keyvalue.Revision
	// loaded is set once the prefix was read whole.
	loaded bool
	// again ends the watch that waits, so that the next one starts.
	again context.CancelFunc
	// failing is when calls began to fail; zero while they don't.
	failing time.Time
}

// New makes a Mirror of prefixes.
func New(store keyvalue.Store, prefixes ...string) *Mirror {
	m := &Mirror{
		Store: store, Changed: func(string) {}, Hosts: func() int { return 1 }, Watch: func() bool { return true }, Lost: func(string, error) {}, Regained: func(string) {},
		Log: slog.Default(), prefixes: prefixes, held: make(map[string]*held),
	}
	for _, p := range prefixes {
		m.held[p] = &held{items: make(map[string]Item)}
	}
	return m
}

// Run follows all prefixes until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range m.prefixes {
		group.Go(func() error { return m.follow(ctx, p) })
	}
	return group.Wait()
}

func (m *Mirror) follow(ctx context.Context, prefix string) error {
	wait := retryFirst
	for ctx.Err() == nil {
		if m.Loaded(prefix) && !m.Watch() {
			pause.For(ctx, lookEvery)
			continue
		}
		err := m.step(ctx, prefix)
		if errors.Is(err, errAgain) {
			continue
		}
		if err == nil {
			m.succeeded(prefix)
			wait = retryFirst
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		m.failed(prefix, err)
		pause.For(ctx, wait/2+rand.N(wait/2))
		wait = min(retryMost, wait*2)
	}
	return nil
}

// step reads the prefix if it must, or else waits for changes once.
func (m *Mirror) step(ctx context.Context, prefix string) error {
	m.mu.Lock()
	h := m.held[prefix]
	loaded, after := h.loaded, h.asOf
	m.mu.Unlock()
	if !loaded {
		return m.read(ctx, prefix)
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	h.again = cancel
	m.mu.Unlock()
	changes, err := m.Store.Changes(watch, prefix, after, m.wait())
	if err != nil && watch.Err() != nil && ctx.Err() == nil {
		return errAgain
	}
	if errors.Is(err, keyvalue.ErrCompacted) {
		m.Log.Info("store_history_compacted", "prefix", prefix, "revision", after)
		return m.read(ctx, prefix)
	}
	if err != nil {
		return err
	}
	m.apply(prefix, changes)
	return nil
}

// errAgain ends a watch that Again started anew: it says nothing of the store.
var errAgain = errors.New("watch started anew")

// wait is how long a watch waits.
func (m *Mirror) wait() time.Duration {
	return max(watchLeast, min(watchMost, watchLeast*time.Duration(m.Hosts())/watchers))
}

// Again starts a prefix's watch anew: another host heard of a change that this
// one did not.
func (m *Mirror) Again(prefix string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if h := m.held[prefix]; h.again != nil {
		h.again()
	}
}

// read takes the whole prefix; what is not in it any more was removed.
func (m *Mirror) read(ctx context.Context, prefix string) error {
	listing, err := m.Store.Range(ctx, prefix)
	if err != nil {
		return err
	}
	c := Copy{Prefix: prefix, AsOf: listing.AsOf}
	for _, v := range listing.Values {
		c.Items = append(c.Items, Item{Key: v.Key, Data: v.Data, Revision: v.Revision})
	}
	m.adopt(c)
	return nil
}

func (m *Mirror) apply(prefix string, changes keyvalue.Changes) {
	m.mu.Lock()
	h := m.held[prefix]
	changed := false
	for _, c := range changes.Changes {
		changed = h.put(Item{Key: c.Key, Data: c.Data, Revision: c.Revision, Deleted: c.Deleted}) || changed
	}
	h.asOf = max(h.asOf, changes.AsOf)
	m.mu.Unlock()
	if changed {
		m.Changed(prefix)
	}
}

// put takes an item unless a newer one is held.
func (h *held) put(item Item) bool {
	if item.Revision <= h.items[item.Key].Revision {
		return false
	}
	h.items[item.Key] = item
	h.last = max(h.last, item.Revision)
	return true
}

// Adopt takes a neighbour's copy as far as it is newer.
func (m *Mirror) Adopt(c Copy) bool {
	m.mu.Lock()
	h := m.held[c.Prefix]
	older := h == nil || c.AsOf <= h.asOf || c.After > h.asOf || c.After > 0 && !h.loaded
	m.mu.Unlock()
	if older {
		return false
	}
	m.adopt(c)
	return true
}

// adopt merges a whole copy. Keys that it lacks were removed by its revision.
func (m *Mirror) adopt(c Copy) {
	m.mu.Lock()
	h := m.held[c.Prefix]
	changed := false
	present := make(map[string]bool, len(c.Items))
	for _, item := range c.Items {
		present[item.Key] = true
		changed = h.put(item) || changed
	}
	for key, item := range h.items {
		if c.After == 0 && !present[key] && !item.Deleted && item.Revision < c.AsOf {
			changed = h.put(Item{Key: key, Revision: c.AsOf, Deleted: true}) || changed
		}
	}
	first := !h.loaded
	h.loaded = true
	h.asOf = max(h.asOf, c.AsOf)
	m.mu.Unlock()
	if changed || first {
		m.Changed(c.Prefix)
	}
}

func (m *Mirror) failed(prefix string, err error) {
	m.mu.Lock()
	h := m.held[prefix]
	first := h.failing.IsZero()
	if first {
		h.failing = time.Now()
	}
	m.mu.Unlock()
	if first {
		m.Lost(prefix, err)
	}
}

func (m *Mirror) succeeded(prefix string) {
	m.mu.Lock()
	h := m.held[prefix]
	again := !h.failing.IsZero()
	h.failing = time.Time{}
	m.mu.Unlock()
	if again {
		m.Regained(prefix)
	}
}

// Failing tells since when the store has not answered for a prefix.
func (m *Mirror) Failing(prefix string) (since time.Time, failing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.held[prefix]
	return h.failing, !h.failing.IsZero()
}

// AsOf is the revision that a prefix is known up to; zero before the first copy.
func (m *Mirror) AsOf(prefix string) keyvalue.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[prefix].asOf
}

// Last is the revision of the newest change of a prefix that is held.
func (m *Mirror) Last(prefix string) keyvalue.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[prefix].last
}

// Loaded tells whether a prefix was read whole once, from whatever source.
func (m *Mirror) Loaded(prefix string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[prefix].loaded
}

// Copy gives what is held of a prefix, without removals.
func (m *Mirror) Copy(prefix string) (Copy, bool) { return m.Since(prefix, 0) }

// Since gives what changed after a revision, removals among it, or all that
// there is if that is zero.
func (m *Mirror) Since(prefix string, after keyvalue.Revision) (Copy, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.held[prefix]
	if h == nil || !h.loaded {
		return Copy{}, false
	}
	c := Copy{Prefix: prefix, After: after, AsOf: h.asOf}
	for _, item := range h.items {
		if item.Revision > after && (after > 0 || !item.Deleted) {
			c.Items = append(c.Items, item)
		}
	}
	return c, true
}
