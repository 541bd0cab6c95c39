package carry

import (
	"container/heap"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const none = -1

// forest holds entries with their parents resolved, parents before children.
// Entries whose chain of parents does not end at the first block of a prefix are
// left out.
type forest struct {
	entries []Entry
	// parent is an index into entries, or none for a first block.
	parent []int
	value  []float64
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
	position := make(map[Block]int, len(index))
	pending := []Block{0}
	for len(pending) > 0 {
		block := pending[0]
		pending = pending[1:]
		slices.Sort(children[block])
		for _, i := range children[block] {
			e := entries[i]
			parent, ok := position[e.Parent]
			if !ok {
				parent = none
			}
			position[e.Block] = len(f.entries)
			f.entries = append(f.entries, e)
			f.parent = append(f.parent, parent)
			pending = append(pending, e.Block)
		}
	}
	f.computeValues()
	return f
}

// computeValues sets the value of each block. A request for a block also needs
// its ancestors, so no block is less likely to be reused than its descendants.
func (f *forest) computeValues() {
	reuse := make([]float64, len(f.entries))
	f.value = make([]float64, len(f.entries))
	for i := len(f.entries) - 1; i >= 0; i-- {
		reuse[i] = max(reuse[i], f.entries[i].ReuseProbability)
		f.value[i] = float64(f.entries[i].Tokens) * reuse[i]
		if p := f.parent[i]; p != none {
			reuse[p] = max(reuse[p], reuse[i])
		}
	}
}

// group is a set of blocks that are best transferred together, parents first.
type group struct {
	members []int
	value   float64
	bytes   unit.Bytes
	// heapIndex is the position in the heap, none once the group was removed.
	heapIndex int
}

func (g *group) density() float64 { return g.value / float64(g.bytes) }

// byDensity returns groups by decreasing value per byte, with parents before
// children (Horn's algorithm for trees): the densest group is emitted if its
// parent was, and otherwise merged into its parent's group.
func (f forest) byDensity() [][]int {
	groups := make([]*group, len(f.entries))
	remaining := make(groupHeap, len(f.entries))
	for i, e := range f.entries {
		groups[i] = &group{members: []int{i}, value: f.value[i], bytes: max(e.Bytes, 1), heapIndex: i}
		remaining[i] = groups[i]
	}
	heap.Init(&remaining)
	emitted := make([]bool, len(f.entries))
	var order [][]int
	for len(remaining) > 0 {
		densest := heap.Pop(&remaining).(*group)
		parent := f.parent[densest.members[0]]
		if parent == none || emitted[parent] {
			order = append(order, densest.members)
			for _, i := range densest.members {
				emitted[i] = true
			}
			continue
		}
		parentGroup := groups[parent]
		parentGroup.members = append(parentGroup.members, densest.members...)
		parentGroup.value += densest.value
		parentGroup.bytes += densest.bytes
		for _, i := range densest.members {
			groups[i] = parentGroup
		}
		heap.Fix(&remaining, parentGroup.heapIndex)
	}
	return order
}

// groupHeap is a heap of groups by decreasing density.
type groupHeap []*group

func (q groupHeap) Len() int { return len(q) }

func (q groupHeap) Less(i, j int) bool {
	a, b := q[i].density(), q[j].density()
	if a != b {
		return a > b
	}
	return q[i].members[0] < q[j].members[0]
}

func (q groupHeap) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (q *groupHeap) Push(x any) {
	g := x.(*group)
	g.heapIndex = len(*q)
	*q = append(*q, g)
}

// Pop implements heap.Interface.
func (q *groupHeap) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	last.heapIndex = none
	return last
}
