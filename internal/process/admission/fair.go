package admission

import (
	"container/heap"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// fairQueue is a start-time fair queue over organisations. The zero value is
// empty.
type fairQueue struct {
	flows map[identity.Organisation]*flow
	// ready is a heap of the flows that have waiting calls.
	ready flowHeap
	// virtual is the start tag of the call served last.
	virtual float64
	length  int
	// weights is the sum over ready.
	weights float64
}

// flow is one organisation's waiting calls, oldest first.
type flow struct {
	id      identity.Organisation
	weight  float64
	waiting []*ticket
	// start is the tag of the oldest waiting call, finish that of the last
	// one served.
	start, finish float64
	index         int
}

// idleFlows is how many flows without calls are kept before they are dropped.
const idleFlows = 1024

func (q *fairQueue) push(t *ticket, weight float64) {
	f := q.flow(t.ask.Organisation)
	f.weight = max(weight, 1e-6)
	f.waiting = append(f.waiting, t)
	q.length++
	if len(f.waiting) == 1 {
		f.start = max(q.virtual, f.finish)
		q.weights += f.weight
		heap.Push(&q.ready, f)
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

// prune drops flows that are owed nothing, when there are many.
func (q *fairQueue) prune() {
	if len(q.flows)-len(q.ready) < idleFlows {
		return
	}
	for id, f := range q.flows {
		if len(f.waiting) == 0 && f.finish <= q.virtual {
			delete(q.flows, id)
		}
	}
}

// pop takes the call with the lowest start tag whose organisation may run now,
// or gives nil.
func (q *fairQueue) pop(may func(identity.Organisation) bool) *ticket {
	var passed []*flow
	defer func() {
		for _, f := range passed {
			heap.Push(&q.ready, f)
		}
	}()
	for len(q.ready) > 0 {
		f := q.ready[0]
		if !may(f.id) {
			passed = append(passed, heap.Pop(&q.ready).(*flow))
			continue
		}
		t := f.waiting[0]
		q.virtual = max(q.virtual, f.start)
		f.finish = f.start + float64(tokensOf(t.ask))/f.weight
		q.drop(f, 0)
		return t
	}
	return nil
}

// drop takes the i-th call out of a ready flow.
func (q *fairQueue) drop(f *flow, i int) {
	f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
	q.length--
	if len(f.waiting) == 0 {
		heap.Remove(&q.ready, f.index)
		q.weights -= f.weight
		return
	}
	f.start = max(q.virtual, f.finish)
	heap.Fix(&q.ready, f.index)
}

func (q *fairQueue) remove(t *ticket) {
	f := q.flows[t.ask.Organisation]
	for i, other := range f.waiting {
		if other == t {
			q.drop(f, i)
			return
		}
	}
}

// expire ends the waits that lasted to now. Calls of one flow expire in order.
func (q *fairQueue) expire(now time.Time, end func(*ticket)) {
	for _, f := range append([]*flow(nil), q.ready...) {
		for len(f.waiting) > 0 && !f.waiting[0].expires.After(now) {
			t := f.waiting[0]
			q.drop(f, 0)
			end(t)
		}
	}
}

// ahead estimates how many waiting calls are served before one more of an
// organisation: all of them at most, or as many as its share lets by.
func (q *fairQueue) ahead(id identity.Organisation, weight float64) int {
	own, others := 0, q.weights
	if f := q.flows[id]; f != nil && len(f.waiting) > 0 {
		own, others = len(f.waiting), others-f.weight
	}
	turns := float64(own+1) * (others + weight) / max(weight, 1e-6)
	return int(min(float64(q.length), turns-1))
}

// flowHeap orders flows by their start tag.
type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].start < h[j].start }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push and Pop are heap.Interface's.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop takes the last element off.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	return f
}
