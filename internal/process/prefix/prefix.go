// Package prefix remembers which endpoints hold which prefix blocks.
//
// # Events
//
// Engines publish what they store and evict, late and with gaps. Apply takes
// the events of one incarnation in order. After a jump in the sequence some of
// what is remembered is wrong: trust in that incarnation falls until Resync
// replaces it by all that the engine holds.
//
// # Size
//
// An Index holds a bounded number of blocks for each incarnation, and the
// incarnations that Keep was last told of.
package prefix

import (
	"sync"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// mostBlocks bounds the blocks remembered of one incarnation.
	mostBlocks = 1 << 16
	// gapTrust is the factor on trust after a gap.
	gapTrust = 0.5
	// leastTrust is what gaps leave of it.
	leastTrust = 0.25
)

// Index is safe for use by several goroutines. Make one with New.
type Index struct {
	mu    sync.RWMutex
	known map[identity.Incarnation]*holder
	// last names the incarnation that stored a block last.
	last map[engine.Block]identity.Incarnation
}

// holder is what is known of one incarnation.
type holder struct {
	blocks   map[engine.Block]struct{}
	sequence uint64
	// trust is 0 to 1.
	trust float64
}

// New makes an empty Index.
func New() *Index {
	return &Index{known: make(map[identity.Incarnation]*holder), last: make(map[engine.Block]identity.Incarnation)}
}

// Apply takes events of an incarnation, in the order of their sequence; those
// seen before are passed over.
func (x *Index) Apply(of identity.Incarnation, events []engine.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h := x.known[of]
	if h == nil {
		h = &holder{blocks: make(map[engine.Block]struct{}), trust: 1}
		x.known[of] = h
	}
	for _, event := range events {
		if event.Sequence <= h.sequence {
			continue
		}
		if event.Sequence != h.sequence+1 {
			h.trust = max(leastTrust, h.trust*gapTrust)
		}
		h.sequence = event.Sequence
		x.apply(of, h, event)
	}
}

// apply takes one event; mu is held.
func (x *Index) apply(of identity.Incarnation, h *holder, event engine.CacheEvent) {
	if !event.Stored {
		delete(h.blocks, event.Block)
		if x.last[event.Block] == of {
			delete(x.last, event.Block)
		}
		return
	}
	if len(h.blocks) >= mostBlocks {
		return
	}
	h.blocks[event.Block] = struct{}{}
	x.last[event.Block] = of
}

// Resync replaces what is known of an incarnation by all that it holds, as of
// sequence.
func (x *Index) Resync(of identity.Incarnation, sequence uint64, blocks []engine.Block) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.forget(of)
	h := &holder{blocks: make(map[engine.Block]struct{}, len(blocks)), sequence: sequence, trust: 1}
	x.known[of] = h
	for _, b := range blocks[:min(len(blocks), mostBlocks)] {
		h.blocks[b] = struct{}{}
		x.last[b] = of
	}
}

// Sequence is that of the last event applied, and the trust in what is known.
func (x *Index) Sequence(of identity.Incarnation) (sequence uint64, trust float64) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	if h := x.known[of]; h != nil {
		return h.sequence, h.trust
	}
	return 0, 0
}

// Keep forgets all incarnations for which wanted is false.
func (x *Index) Keep(wanted func(identity.Incarnation) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for of := range x.known {
		if !wanted(of) {
			x.forget(of)
		}
	}
}

// forget drops an incarnation; mu is held.
func (x *Index) forget(of identity.Incarnation) {
	h := x.known[of]
	if h == nil {
		return
	}
	for b := range h.blocks {
		if x.last[b] == of {
			delete(x.last, b)
		}
	}
	delete(x.known, of)
}

// Cached gives how many leading tokens of blocks an incarnation holds, and the
// trust in that, zero for one that nothing is known of.
func (x *Index) Cached(at identity.Incarnation, blocks []engine.Block) (unit.Tokens, float64) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	h := x.known[at]
	if h == nil {
		return 0, 0
	}
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if _, ok := h.blocks[blocks[middle-1]]; ok {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return unit.Tokens(low) * engine.BlockTokens, h.trust
}

// Holder names the incarnation that last stored the deepest known block.
func (x *Index) Holder(blocks []engine.Block) (identity.Incarnation, bool) {
	x.mu.RLock()
	defer x.mu.RUnlock()
	low, high := 0, len(blocks)
	var found identity.Incarnation
	for low < high {
		middle := (low + high + 1) / 2
		if of, ok := x.last[blocks[middle-1]]; ok {
			found, low = of, middle
		} else {
			high = middle - 1
		}
	}
	return found, low > 0
}

// Blocks counts the blocks remembered of all incarnations.
func (x *Index) Blocks() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	n := 0
	for _, h := range x.known {
		n += len(h.blocks)
	}
	return n
}
