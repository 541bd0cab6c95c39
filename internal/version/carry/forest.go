package carry

import (
	"container/heap"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const none = -1

// forest is the entries with their parents resolved. Entries that no chain of
// parents ties to a first block are left out.
type forest struct {
	entries []Entry
	// parent is an index into entries, or none for a first block.
	parent []int
	worth  []float64
}

func newForest(entries []Entry) forest {
	index := make(map[Block]int, len(entries))
	for i, e := range entries {
		if _, ok := index[e.Block]; !ok && e.Block != 0 {
			index[e.Block] = i
		}
	}
	children := make(map[Block][]int)
	for _, i := range index {
		children[entries[i].Parent] = append(children[entries[i].Parent], i)
	}
	f := forest{}
	place := make(map[Block]int, len(index))
	ready := []Block{0}
	for len(ready) > 0 {
		block := ready[0]
		ready = ready[1:]
		slices.Sort(children[block])
		for _, i := range children[block] {
			e := entries[i]
			parent, ok := place[e.Parent]
			if !ok {
				parent = none
			}
			place[e.Block] = len(f.entries)
			f.entries = append(f.entries, e)
			f.parent = append(f.parent, parent)
			ready = append(ready, e.Block)
		}
	}
	f.value()
	return f
}

// value gives each block its worth. A request for a block asks for those before
// it too, so that no block is less likely to be asked for than one after it.
func (f *forest) value() {
	reuse := make([]float64, len(f.entries))
	f.worth = make([]float64, len(f.entries))
	for i := len(f.entries) - 1; i >= 0; i-- {
		reuse[i] = max(reuse[i], f.entries[i].Reuse)
		f.worth[i] = float64(f.entries[i].Tokens) * reuse[i]
		if p := f.parent[i]; p != none {
			reuse[p] = max(reuse[p], reuse[i])
		}
	}
}

// group is a run of blocks that are best carried together: parents first.
type group struct {
	members []int
	worth   float64
	bytes   unit.Bytes
	// at is the position in the queue, none once it was taken out.
	at int
}

func (g *group) density() float64 { return g.worth / float64(g.bytes) }

// byDensity orders blocks by worth a byte under the rule that parents come
// first: the densest group joins its parent's until that was placed (Horn's
// rule for trees).
func (f forest) byDensity() [][]int {
	groups := make([]*group, len(f.entries))
	waiting := make(queue, len(f.entries))
	for i, e := range f.entries {
		groups[i] = &group{members: []int{i}, worth: f.worth[i], bytes: max(e.Bytes, 1), at: i}
		waiting[i] = groups[i]
	}
	heap.Init(&waiting)
	placed := make([]bool, len(f.entries))
	var order [][]int
	for len(waiting) > 0 {
		densest := heap.Pop(&waiting).(*group)
		parent := f.parent[densest.members[0]]
		if parent == none || placed[parent] {
			order = append(order, densest.members)
			for _, i := range densest.members {
				placed[i] = true
			}
			continue
		}
		above := groups[parent]
		above.members = append(above.members, densest.members...)
		above.worth += densest.worth
		above.bytes += densest.bytes
		for _, i := range densest.members {
			groups[i] = above
		}
		heap.Fix(&waiting, above.at)
	}
	return order
}

// queue is a heap of groups, densest first.
type queue []*group

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	a, b := q[i].density(), q[j].density()
	if a != b {
		return a > b
	}
	return q[i].members[0] < q[j].members[0]
}

func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].at, q[j].at = i, j
}

// Push is for container/heap.
func (q *queue) Push(x any) {
	g := x.(*group)
	g.at = len(*q)
	*q = append(*q, g)
}

// Pop is for container/heap.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	last.at = none
	return last
}
