// Package carry plans the transfer of KV cache blocks from a leaving endpoint
// to other endpoints within the time left.
//
// # Value
//
// An entry is one block of a cached prefix. Its value is the number of tokens
// that need not be recomputed, times the probability that a request reuses the
// block. Its transfer takes time on the links and, across regions, costs money.
// Entries are selected by value minus transfer price, per byte.
//
// # Prefixes
//
// A block is of no use without all blocks before it. A block is therefore sent
// to a target only after its parent, so that a plan interrupted at any moment
// leaves complete prefixes at the targets.
//
// # Targets
//
// A target receives no more bytes than its Headroom and no faster than its own
// rate, and all targets together no faster than the source can send.
package carry

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Block identifies a cached block by the hash of all text up to its end.
type Block uint64

// Entry is one block that the source can export.
type Entry struct {
	Block Block
	// Parent is the preceding block; zero for the first block of a prefix.
	Parent Block
	Tokens unit.Tokens
	// Bytes is above zero.
	Bytes unit.Bytes
	// Hits is the number of cache hits, SinceLastHit the time since the
	// last one.
	Hits         int
	SinceLastHit time.Duration
	// ReuseProbability is the probability that the block is requested again, 0 to 1.
	ReuseProbability float64
}

// Target is an endpoint that can import cache blocks.
type Target struct {
	Host identity.Host
	// Headroom is how much it can import without evicting its own cache.
	Headroom unit.Bytes
	// BytesPerSecond is its import rate while it serves requests.
	BytesPerSecond unit.Bytes
	// PricePerGigabyte is the price of the link from the source.
	PricePerGigabyte unit.Money
	// Cached is the set of blocks that it has already.
	Cached map[Block]bool
}

// Input is the input of Decide.
type Input struct {
	// TimeLeft is the time until the source is gone.
	TimeLeft time.Duration
	// BytesPerSecond is the export rate of the source.
	BytesPerSecond unit.Bytes
	// TokenValue is the value of a token that need not be recomputed.
	TokenValue unit.Money
	Entries    []Entry
	Targets    []Target
}

// Transfer is the transfer of one block. Start and End are relative to the decision.
type Transfer struct {
	Block  Block
	Target identity.Host
	Bytes  unit.Bytes
	Start  time.Duration
	End    time.Duration
}

// Decide returns the transfers, those of one target in order. It first spreads
// subtrees of the most valuable blocks over the targets. Where there is room left,
// it then adds groups of blocks that are best sent together, or single blocks.
func Decide(input Input) []Transfer {
	f := newForest(input.Entries)
	pl := newPlanner(input, f)
	order := f.byDensity()
	for _, p := range pl.pieces(pl.choose(order)) {
		pl.placePiece(p.members)
	}
	rank := make([]int, len(f.entries))
	next := 0
	for _, members := range order {
		pl.placeGroup(members)
		for _, i := range members {
			rank[i] = next
			next++
		}
	}
	return pl.transfers(rank)
}
