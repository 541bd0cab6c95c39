package carry

import (
	"math"
	"math/bits"
	"time"
)

const (
	// turnGap is the usual time between two requests of one conversation.
	turnGap = 2 * time.Minute
	// mostUses and lengths bound the table of what was hit again.
	mostUses = 8
	lengths  = 16
)

// Estimate gives the entries that Decide can use, with Reuse filled in from
// Uses and Age. How often a block is hit once more is taken from the entries
// themselves: of those in a run as long that were hit n times, the share that
// was hit again. It fades with the time since, slower for those hit often.
func Estimate(entries []Entry) []Entry {
	f := newForest(entries)
	var table [lengths][mostUses + 2]float64
	runs := f.runs()
	for i := range f.entries {
		for n := range min(max(f.entries[i].Uses, 0), mostUses+1) + 1 {
			table[min(bits.Len(uint(runs[i])), lengths-1)][n]++
		}
	}
	for i := range f.entries {
		e := &f.entries[i]
		n := min(max(e.Uses, 0), mostUses)
		row := table[min(bits.Len(uint(runs[i])), lengths-1)]
		again := (row[n+1] + 0.1) / (row[n] + 1)
		if n == mostUses {
			again = 1
		}
		gap := turnGap.Seconds() * math.Sqrt(math.Sqrt(float64(n+1)))
		e.Reuse = min(1, again*math.Exp(-max(0, e.Age.Seconds())/gap))
	}
	return f.entries
}

// runs gives the length of the run that each block is in: of blocks that follow
// one another without a branch and were hit as often, and so are one text.
func (f forest) runs() []int {
	children := make([]int, len(f.entries))
	for _, p := range f.parent {
		if p != none {
			children[p]++
		}
	}
	first := make([]int, len(f.entries))
	length := make([]int, len(f.entries))
	for i, p := range f.parent {
		first[i] = i
		if p != none && children[p] == 1 && f.entries[p].Uses == f.entries[i].Uses {
			first[i] = first[p]
		}
		length[first[i]]++
	}
	for i, at := range first {
		length[i] = length[at]
	}
	return length
}
