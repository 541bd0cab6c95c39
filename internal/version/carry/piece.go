package carry

import (
	"cmp"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// A subtree is split into pieces for different targets only if it is large, over
// 1/pieceDivisor of the largest capacity of a target, and the path from the root to
// it, which every piece needs, is at most 1/pathDivisor of the subtree's bytes.
const (
	pieceDivisor = 4
	pathDivisor  = 4
)

// piece is a subtree of the chosen blocks, parents first.
type piece struct {
	members []int
	value   float64
	bytes   unit.Bytes
}

// choose marks the blocks of groups, in order, that fit into the total capacity
// of all schedules.
func (pl *planner) choose(order [][]int) []bool {
	remaining := unit.Bytes(0)
	for i := range pl.schedules {
		remaining += pl.schedules[i].capacity(pl.input.TimeLeft)
	}
	chosen := make([]bool, len(pl.f.entries))
	for _, members := range order {
		var bytes unit.Bytes
		for _, i := range members {
			bytes += pl.f.entries[i].Bytes
		}
		p := pl.f.parent[members[0]]
		if bytes > remaining || (p != none && !chosen[p]) {
			continue
		}
		remaining -= bytes
		for _, i := range members {
			chosen[i] = true
		}
	}
	return chosen
}

// pieces splits the chosen blocks into pieces and returns those of highest
// density first. Blocks nearer to the root than any piece belong to none: placing a
// piece adds the ancestors that its target lacks.
func (pl *planner) pieces(chosen []bool) []piece {
	subtree, path := pl.sizes(chosen)
	limit := unit.Bytes(0)
	for i := range pl.schedules {
		limit = max(limit, pl.schedules[i].capacity(pl.input.TimeLeft)/pieceDivisor)
	}
	pieceOf := make([]int, len(chosen))
	var pieces []piece
	for i, parent := range pl.f.parent {
		pieceOf[i] = none
		if !chosen[i] {
			continue
		}
		if parent != none {
			pieceOf[i] = pieceOf[parent]
		}
		if pieceOf[i] == none && (subtree[i] <= limit || path[i]*pathDivisor > subtree[i]) {
			pieceOf[i] = len(pieces)
			pieces = append(pieces, piece{})
		}
		if pieceOf[i] != none {
			p := &pieces[pieceOf[i]]
			p.members = append(p.members, i)
			p.value += pl.f.value[i]
			p.bytes += pl.f.entries[i].Bytes
		}
	}
	slices.SortStableFunc(pieces, func(a, b piece) int {
		return cmp.Compare(b.value/float64(b.bytes), a.value/float64(a.bytes))
	})
	return pieces
}

// sizes returns, for each block, the chosen bytes of its subtree and the bytes
// of the path from the root to it.
func (pl *planner) sizes(chosen []bool) (subtree, path []unit.Bytes) {
	subtree = make([]unit.Bytes, len(chosen))
	path = make([]unit.Bytes, len(chosen))
	for i := len(chosen) - 1; i >= 0; i-- {
		if !chosen[i] {
			continue
		}
		subtree[i] += pl.f.entries[i].Bytes
		if p := pl.f.parent[i]; p != none {
			subtree[p] += subtree[i]
		}
	}
	for i, p := range pl.f.parent {
		path[i] = pl.f.entries[i].Bytes
		if p != none {
			path[i] += path[p]
		}
	}
	return subtree, path
}
