// Package prefix indexes which endpoints have which prefix blocks cached.
//
// # Events
//
// Engines publish the blocks that they store and evict, late and with gaps.
// Apply takes the events of one incarnation in order. After a gap in the
// sequence the index may be wrong, so trust in that incarnation is lowered until
// Resync replaces its blocks with a full listing.
//
// # Size
//
// An Index holds a bounded number of blocks for each incarnation. Retain removes
// incarnations that are gone.
package prefix

import (
	"sync"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// maxBlocks bounds the indexed blocks of one incarnation.
	maxBlocks = 1 << 16
	// gapTrustFactor multiplies the trust after each gap.
	gapTrustFactor = 0.5
	// minTrust is the lower bound of trust after gaps.
	minTrust = 0.25
)

// Index holds the blocks that each incarnation is known to have cached. It is safe
// for concurrent use. Create one with New.
type Index struct {
	mu     sync.RWMutex
	states map[identity.Incarnation]*cacheState
	// lastHolder is the incarnation that most recently stored a block.
	lastHolder map[engine.Block]identity.Incarnation
}

// cacheState is the known cache content of one incarnation.
type cacheState struct {
	blocks   map[engine.Block]struct{}
	sequence uint64
	// trust, 0 to 1, is lower if events were missed since the last listing.
	trust float64
}

// New returns an empty Index.
func New() *Index {
	return &Index{states: make(map[identity.Incarnation]*cacheState), lastHolder: make(map[engine.Block]identity.Incarnation)}
}

// Apply applies events of an incarnation, which are in sequence order. Events
// that were applied before are skipped.
func (x *Index) Apply(incarnation identity.Incarnation, events []engine.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.states[incarnation]
	if s == nil {
		s = &cacheState{blocks: make(map[engine.Block]struct{}), trust: 1}
		x.states[incarnation] = s
	}
	for _, event := range events {
		if event.Sequence <= s.sequence {
			continue
		}
		if event.Sequence != s.sequence+1 {
			s.trust = max(minTrust, s.trust*gapTrustFactor)
		}
		s.sequence = event.Sequence
		x.applyEvent(incarnation, s, event)
	}
}

// applyEvent applies one event. The caller holds mu.
func (x *Index) applyEvent(incarnation identity.Incarnation, s *cacheState, event engine.CacheEvent) {
	if !event.Stored {
		delete(s.blocks, event.Block)
		if x.lastHolder[event.Block] == incarnation {
			delete(x.lastHolder, event.Block)
		}
		return
	}
	if len(s.blocks) >= maxBlocks {
		return
	}
	s.blocks[event.Block] = struct{}{}
	x.lastHolder[event.Block] = incarnation
}

// Resync replaces the blocks of an incarnation with a full listing as of
// sequence, and restores full trust.
func (x *Index) Resync(incarnation identity.Incarnation, sequence uint64, blocks []engine.Block) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.remove(incarnation)
	s := &cacheState{blocks: make(map[engine.Block]struct{}, len(blocks)), sequence: sequence, trust: 1}
	x.states[incarnation] = s
	for _, b := range blocks[:min(len(blocks), maxBlocks)] {
		s.blocks[b] = struct{}{}
		x.lastHolder[b] = incarnation
	}
}

// State returns the sequence number of the last applied event and the trust
// in an incarnation, zero for an unknown one.
func (x *Index) State(incarnation identity.Incarnation) (sequence uint64, trust float64) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	if s := x.states[incarnation]; s != nil {
		return s.sequence, s.trust
	}
	return 0, 0
}

// Retain removes all incarnations for which wanted returns false.
func (x *Index) Retain(keep func(identity.Incarnation) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for incarnation := range x.states {
		if !keep(incarnation) {
			x.remove(incarnation)
		}
	}
}

// remove deletes an incarnation. The caller holds mu.
func (x *Index) remove(incarnation identity.Incarnation) {
	s := x.states[incarnation]
	if s == nil {
		return
	}
	for b := range s.blocks {
		if x.lastHolder[b] == incarnation {
			delete(x.lastHolder, b)
		}
	}
	delete(x.states, incarnation)
}

// Cached returns the number of tokens in the leading blocks that an incarnation
// has cached, and the trust in that, zero for an unknown incarnation. It assumes
// that a block is cached only together with the blocks before it.
func (x *Index) Cached(incarnation identity.Incarnation, blocks []engine.Block) (unit.Tokens, float64) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	s := x.states[incarnation]
	if s == nil {
		return 0, 0
	}
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if _, ok := s.blocks[blocks[middle-1]]; ok {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return unit.Tokens(low) * engine.BlockTokens, s.trust
}

// Holder returns the incarnation that most recently stored the last of blocks that
// is known to be cached. It assumes that a block is cached only together with the
// blocks before it.
func (x *Index) Holder(blocks []engine.Block) (identity.Incarnation, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	low, high := 0, len(blocks)
	var found identity.Incarnation
	for low < high {
		middle := (low + high + 1) / 2
		if incarnation, ok := x.lastHolder[blocks[middle-1]]; ok {
			found, low = incarnation, middle
		} else {
			high = middle - 1
		}
	}
	return found, low > 0
}

// BlockCount returns the number of indexed blocks of all incarnations.
func (x *Index) BlockCount() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	n := 0
	for _, s := range x.states {
		n += len(s.blocks)
	}
	return n
}
