package carry

import (
	"cmp"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// A tree is cut into pieces for different targets only where it is larger than
// a share of a lane, and where the blocks that each piece then needs again are
// few beside it.
const (
	pieceShare = 4
	headShare  = 4
)

// piece is a subtree of the chosen blocks, in order.
type piece struct {
	members []int
	worth   float64
	bytes   unit.Bytes
}

// choose takes groups in order while they fit into what all lanes can take.
func (l *lanes) choose(order [][]int) []bool {
	left := unit.Bytes(0)
	for i := range l.lanes {
		left += l.lanes[i].capacity(l.ask.Left)
	}
	chosen := make([]bool, len(l.f.entries))
	for _, members := range order {
		var bytes unit.Bytes
		for _, i := range members {
			bytes += l.f.entries[i].Bytes
		}
		p := l.f.parent[members[0]]
		if bytes > left || (p != none && !chosen[p]) {
			continue
		}
		left -= bytes
		for _, i := range members {
			chosen[i] = true
		}
	}
	return chosen
}

// pieces cuts the chosen forest, the densest piece first. Blocks above all
// pieces belong to none: a piece that is placed brings what it needs of them.
func (l *lanes) pieces(chosen []bool) []piece {
	below, path := l.sizes(chosen)
	limit := unit.Bytes(0)
	for i := range l.lanes {
		limit = max(limit, l.lanes[i].capacity(l.ask.Left)/pieceShare)
	}
	in := make([]int, len(chosen))
	var pieces []piece
	for i, parent := range l.f.parent {
		in[i] = none
		if !chosen[i] {
			continue
		}
		if parent != none {
			in[i] = in[parent]
		}
		if in[i] == none && (below[i] <= limit || path[i]*headShare > below[i]) {
			in[i] = len(pieces)
			pieces = append(pieces, piece{})
		}
		if in[i] != none {
			p := &pieces[in[i]]
			p.members = append(p.members, i)
			p.worth += l.f.worth[i]
			p.bytes += l.f.entries[i].Bytes
		}
	}
	slices.SortStableFunc(pieces, func(a, b piece) int {
		return cmp.Compare(b.worth/float64(b.bytes), a.worth/float64(a.bytes))
	})
	return pieces
}

// sizes gives the chosen bytes from each block down, and those from the first
// block to it.
func (l *lanes) sizes(chosen []bool) (below, path []unit.Bytes) {
	below = make([]unit.Bytes, len(chosen))
	path = make([]unit.Bytes, len(chosen))
	for i := len(chosen) - 1; i >= 0; i-- {
		if !chosen[i] {
			continue
		}
		below[i] += l.f.entries[i].Bytes
		if p := l.f.parent[i]; p != none {
			below[p] += below[i]
		}
	}
	for i, p := range l.f.parent {
		path[i] = l.f.entries[i].Bytes
		if p != none {
			path[i] += path[p]
		}
	}
	return below, path
}
