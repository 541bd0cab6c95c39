package admission

import (
	"container/heap"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// fairQueue is a start-time fair queue over organisations. Each organisation's
// oldest waiting call has a start tag; the call with the lowest one is served
// first. Its finish tag is the start tag plus its tokens divided by the
// organisation's weight. The zero value is an empty queue.
type fairQueue struct {
	flows map[identity.Organisation]*flow
	// backlogged is a heap of the flows with waiting calls.
	backlogged flowHeap
	// virtualTime is the highest start tag of the calls served so far.
	virtualTime float64
	length      int
	// totalWeight is the sum of the weights in backlogged.
	totalWeight float64
}

// flow is one organisation's waiting calls, oldest first.
type flow struct {
	id      identity.Organisation
	weight  float64
	waiting []*ticket
	// start is the start tag of the oldest waiting call, finish the finish tag
	// of the last call served.
	start, finish float64
	index         int
}

// maxIdleFlows is how many flows without waiting calls may exist before pruning.
const maxIdleFlows = 1024

func (q *fairQueue) push(t *ticket, weight float64) {
	f := q.flow(t.call.Organisation)
	f.weight = max(weight, 1e-6)
	f.waiting = append(f.waiting, t)
	q.length++
	if len(f.waiting) == 1 {
		f.start = max(q.virtualTime, f.finish)
		q.totalWeight += f.weight
		heap.Push(&q.backlogged, f)
	}
}

func (q *fairQueue) flow(id identity.Organisation) *flow {
	if q.flows == nil {
		q.flows = make(map[identity.Organisation]*flow)
	}
	f := q.flows[id]
	if f == nil {
		q.prune()
		f = &flow{id: id}
		q.flows[id] = f
	}
	return f
}

// prune deletes idle flows whose finish tag has been passed, if there are many.
func (q *fairQueue) prune() {
	if len(q.flows)-len(q.backlogged) < maxIdleFlows {
		return
	}
	for id, f := range q.flows {
		if len(f.waiting) == 0 && f.finish <= q.virtualTime {
			delete(q.flows, id)
		}
	}
}

// pop removes and returns the call with the lowest start tag among the
// organisations that allowed accepts, or returns nil.
func (q *fairQueue) pop(allowed func(identity.Organisation) bool) *ticket {
	var skipped []*flow
	defer func() {
		for _, f := range skipped {
			heap.Push(&q.backlogged, f)
		}
	}()
	for len(q.backlogged) > 0 {
		f := q.backlogged[0]
		if !allowed(f.id) {
			skipped = append(skipped, heap.Pop(&q.backlogged).(*flow))
			continue
		}
		t := f.waiting[0]
		q.virtualTime = max(q.virtualTime, f.start)
		f.finish = f.start + float64(tokenCost(t.call))/f.weight
		q.removeAt(f, 0)
		return t
	}
	return nil
}

// removeAt removes the i-th call from a backlogged flow.
func (q *fairQueue) removeAt(f *flow, i int) {
	f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
	q.length--
	if len(f.waiting) == 0 {
		heap.Remove(&q.backlogged, f.index)
		q.totalWeight -= f.weight
		return
	}
	f.start = max(q.virtualTime, f.finish)
	heap.Fix(&q.backlogged, f.index)
}

func (q *fairQueue) remove(t *ticket) {
	f := q.flows[t.call.Organisation]
	for i, other := range f.waiting {
		if other == t {
			q.removeAt(f, i)
			return
		}
	}
}

// expire removes the calls whose wait has expired. It looks only at the oldest call
// of each flow: a later one with an earlier deadline is removed once it is the
// oldest.
func (q *fairQueue) expire(now time.Time, onExpire func(*ticket)) {
	for _, f := range append([]*flow(nil), q.backlogged...) {
		for len(f.waiting) > 0 && !f.waiting[0].expires.After(now) {
			t := f.waiting[0]
			q.removeAt(f, 0)
			onExpire(t)
		}
	}
}

// ahead estimates how many waiting calls are served before a new call of an
// organisation: at most all, fewer if the organisation has a high weight or few
// calls waiting.
func (q *fairQueue) ahead(id identity.Organisation, weight float64) int {
	ownCalls, otherWeight := 0, q.totalWeight
	if f := q.flows[id]; f != nil && len(f.waiting) > 0 {
		ownCalls, otherWeight = len(f.waiting), otherWeight-f.weight
	}
	turns := float64(ownCalls+1) * (otherWeight + weight) / max(weight, 1e-6)
	return int(min(float64(q.length), turns-1))
}

// flowHeap is a heap of flows by start tag.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].start < h[j].start }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}
