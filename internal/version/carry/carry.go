// Package carry decides which KV cache entries of a leaving endpoint go where
// within the time that is left.
//
// # Value
//
// An entry is one block of a cached prefix. It is worth the tokens that need
// not be read again, times the chance that a request asks for it again. It
// costs time on the links and, across regions, money. Entries are taken by
// worth, less the money, for each byte.
//
// # Prefixes
//
// A block is of no use without all blocks before it. A block is therefore
// placed only after its parent at the same target, so that a transfer cut off
// at any moment leaves whole prefixes behind.
//
// # Targets
//
// Each target takes no more bytes than its Headroom and no faster than its own
// limit, and all of them together no faster than the source can send.
package carry

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Block names a cached block by the hash of all text up to its end.
type Block uint64

// Entry is one block that the source can export.
type Entry struct {
	Block Block
	// Parent is the block before it; zero for the first of a prefix.
	Parent Block
	Tokens unit.Tokens
	// Bytes is above zero.
	Bytes unit.Bytes
	// Uses counts how often it was hit, Age is the time since.
	Uses int
	Age  time.Duration
	// Reuse is the chance that the block is asked for again, 0 to 1.
	Reuse float64
}

// Target is an endpoint that can import.
type Target struct {
	Host identity.Host
	// Headroom is how much it takes without harm to its own cache.
	Headroom unit.Bytes
	// BytesPerSecond is how fast it imports beside its own work.
	BytesPerSecond unit.Bytes
	// PricePerGigabyte is that of the link from the source.
	PricePerGigabyte unit.Money
	// Held are blocks that it has already.
	Held map[Block]bool
}

// Ask is what a decision depends on.
type Ask struct {
	// Left is the time until the source is gone.
	Left time.Duration
	// BytesPerSecond is how fast the source exports.
	BytesPerSecond unit.Bytes
	// TokenWorth is what one token that is not read again saves.
	TokenWorth unit.Money
	Entries    []Entry
	Targets    []Target
}

// Step is the transfer of one block. Start and End count from the decision.
type Step struct {
	Block  Block
	Target identity.Host
	Bytes  unit.Bytes
	Start  time.Duration
	End    time.Duration
}

// Decide lists the transfers, those of one target in their order: first pieces
// of prefix trees, spread over the targets, then what still fits, block by block.
func Decide(ask Ask) []Step {
	f := newForest(ask.Entries)
	l := newLanes(ask, f)
	order := f.byDensity()
	for _, p := range l.pieces(l.choose(order)) {
		l.placePiece(p.members)
	}
	rank := make([]int, len(f.entries))
	next := 0
	for _, members := range order {
		l.placeGroup(members)
		for _, i := range members {
			rank[i] = next
			next++
		}
	}
	return l.steps(rank)
}
