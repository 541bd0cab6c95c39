package carry

import (
	"math"
	"math/bits"
	"time"
)

const (
	// turnInterval is the typical time between two requests of one conversation.
	turnInterval = 2 * time.Minute
	// maxHits and lengthClasses bound the table from which EstimateReuse computes
	// probabilities.
	maxHits       = 8
	lengthClasses = 16
)

// EstimateReuse returns the entries that Decide can use, with ReuseProbability
// computed from Hits and SinceLastHit. For a block with n hits, the probability of a
// further hit comes from the entries themselves: of the blocks with at least n hits
// in runs (see runLengths) of similar length, which is the same power of two, the
// share with more than n hits. It decays with the time since the last hit, more
// slowly for blocks that were hit often.
func EstimateReuse(entries []Entry) []Entry {
	f := newForest(entries)
	var counts [lengthClasses][maxHits + 2]float64
	runLengths := f.runLengths()
	for i := range f.entries {
		for n := range min(max(f.entries[i].Hits, 0), maxHits+1) + 1 {
			counts[min(bits.Len(uint(runLengths[i])), lengthClasses-1)][n]++
		}
	}
	for i := range f.entries {
		e := &f.entries[i]
		n := min(max(e.Hits, 0), maxHits)
		row := counts[min(bits.Len(uint(runLengths[i])), lengthClasses-1)]
		hitAgain := (row[n+1] + 0.1) / (row[n] + 1)
		if n == maxHits {
			hitAgain = 1
		}
		decayTime := turnInterval.Seconds() * math.Sqrt(math.Sqrt(float64(n+1)))
		e.ReuseProbability = min(1, hitAgain*math.Exp(-max(0, e.SinceLastHit.Seconds())/decayTime))
	}
	return f.entries
}

// runLengths returns the length of the run that each block belongs to. A run is
// a chain of blocks without a branch and with equal hit counts, and so most
// likely one text.
func (f forest) runLengths() []int {
	children := make([]int, len(f.entries))
	for _, p := range f.parent {
		if p != none {
			children[p]++
		}
	}
	start := make([]int, len(f.entries))
	length := make([]int, len(f.entries))
	for i, p := range f.parent {
		start[i] = i
		if p != none && children[p] == 1 && f.entries[p].Hits == f.entries[i].Hits {
			start[i] = start[p]
		}
		length[start[i]]++
	}
	for i, s := range start {
		length[i] = length[s]
	}
	return length
}
