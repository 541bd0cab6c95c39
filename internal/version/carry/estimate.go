package carry

import (
	"math"
	"math/bits"
	"time"
)

const (
	// turnGap is the usual time between two requests of one conversation.
	turnGap = 3 * time.Minute
	// mostUses and depths bound the table of what was hit again.
	mostUses = 8
	depths   = 16
)

// Estimate gives the entries that Decide can use, with Reuse filled in from
// Uses and Age. How often a block is hit once more is taken from the entries
// themselves: of those as deep in their prefix that were hit n times, the share
// that was hit again. It fades with the time since, slower for those hit often.
func Estimate(entries []Entry) []Entry {
	f := newForest(entries)
	var table [depths][mostUses + 2]float64
	bucket := make([]int, len(f.entries))
	depth := make([]uint, len(f.entries))
	for i, p := range f.parent {
		if p != none {
			depth[i] = depth[p] + 1
		}
		bucket[i] = min(bits.Len(depth[i]), depths-1)
		for n := range min(max(f.entries[i].Uses, 0), mostUses+1) + 1 {
			table[bucket[i]][n]++
		}
	}
	for i := range f.entries {
		e := &f.entries[i]
		n := min(max(e.Uses, 0), mostUses)
		row := table[bucket[i]]
		again := (row[n+1] + 0.1) / (row[n] + 1)
		if n == mostUses {
			again = 1
		}
		gap := turnGap.Seconds() * float64(n+1)
		e.Reuse = min(1, again*math.Exp(-max(0, e.Age.Seconds())/gap))
	}
	return f.entries
}
