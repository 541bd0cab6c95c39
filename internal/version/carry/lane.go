package carry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// lane is the way to one target, which takes one block at a time.
type lane struct {
	target Target
	// rate is the lane's share of what the source can send.
	rate unit.Bytes
	// clock is when the lane is free, room what the target still takes.
	clock time.Duration
	room  unit.Bytes
	// has tells which blocks are there or will be: always whole prefixes.
	has  []bool
	sent []int
}

type lanes struct {
	ask   Ask
	f     forest
	lanes []lane
}

func newLanes(ask Ask, f forest) *lanes {
	l := &lanes{ask: ask, f: f}
	for _, t := range ask.Targets {
		has := make([]bool, len(f.entries))
		for i, e := range f.entries {
			p := f.parent[i]
			has[i] = t.Held[e.Block] && (p == none || has[p])
		}
		l.lanes = append(l.lanes, lane{target: t, room: t.Headroom, has: has})
	}
	l.share()
	return l
}

// share gives each lane an equal part of the source's rate, and what a slow
// target leaves over to the others.
func (l *lanes) share() {
	slowest := make([]int, len(l.lanes))
	for i := range slowest {
		slowest[i] = i
	}
	slices.SortStableFunc(slowest, func(a, b int) int {
		return cmp.Compare(l.lanes[a].target.BytesPerSecond, l.lanes[b].target.BytesPerSecond)
	})
	left := l.ask.BytesPerSecond
	for k, i := range slowest {
		rate := min(l.lanes[i].target.BytesPerSecond, left/unit.Bytes(len(slowest)-k))
		l.lanes[i].rate = max(rate, 0)
		left -= l.lanes[i].rate
	}
}

// offer is what it would mean to place some blocks on one lane.
type offer struct {
	lane    int
	missing []int
	// density is the worth less the price for each byte.
	density float64
	end     time.Duration
}

// placePiece gives a piece to the cheapest lane, of these to the one that is
// free first, so that all lanes fill alike.
func (l *lanes) placePiece(members []int) {
	l.placeOn(members, func(a, b offer) bool {
		priceA := l.lanes[a.lane].target.PricePerGigabyte
		priceB := l.lanes[b.lane].target.PricePerGigabyte
		return priceA < priceB || (priceA == priceB && a.end < b.end)
	})
}

// placeGroup gives a group to the lane where it is densest, or block by block
// where it fits nowhere as a whole.
func (l *lanes) placeGroup(members []int) {
	better := func(a, b offer) bool {
		return a.density > b.density || (a.density == b.density && a.end < b.end)
	}
	if l.held(members) || l.placeOn(members, better) || len(members) == 1 {
		return
	}
	for _, i := range members {
		if !l.held([]int{i}) {
			l.placeOn([]int{i}, better)
		}
	}
}

// held tells whether one target has all of members.
func (l *lanes) held(members []int) bool {
	for i := range l.lanes {
		if len(l.missing(i, members)) == 0 {
			return true
		}
	}
	return false
}

func (l *lanes) placeOn(members []int, better func(a, b offer) bool) bool {
	best := offer{lane: none}
	for i := range l.lanes {
		o, ok := l.offer(i, members)
		if ok && (best.lane == none || better(o, best)) {
			best = o
		}
	}
	if best.lane == none {
		return false
	}
	for _, i := range best.missing {
		l.lanes[best.lane].take(i, l.f.entries[i].Bytes)
	}
	return true
}

// offer reports false when members do not fit on a lane or are not worth its
// price.
func (l *lanes) offer(at int, members []int) (offer, bool) {
	lane := &l.lanes[at]
	o := offer{lane: at, missing: l.missing(at, members), end: lane.clock}
	var bytes unit.Bytes
	for _, i := range o.missing {
		bytes += l.f.entries[i].Bytes
		o.end += lane.takes(l.f.entries[i].Bytes)
	}
	if bytes > lane.room || lane.rate <= 0 || o.end > l.ask.Left {
		return offer{}, false
	}
	worth := 0.0
	for _, i := range members {
		worth += l.f.worth[i]
	}
	price := float64(lane.target.PricePerGigabyte) * float64(bytes) / float64(unit.Gigabyte)
	net := worth*float64(l.ask.TokenWorth) - price
	o.density = net / float64(max(bytes, 1))
	return o, net > 0
}

// missing lists what the lane's target lacks of members and of all before them,
// parents first.
func (l *lanes) missing(at int, members []int) []int {
	has := l.lanes[at].has
	var need []int
	for i := l.f.parent[members[0]]; i != none && !has[i]; i = l.f.parent[i] {
		need = append(need, i)
	}
	slices.Reverse(need)
	for _, i := range members {
		if !has[i] {
			need = append(need, i)
		}
	}
	return need
}

// steps lists the transfers of all lanes, each lane's in the order of rank.
func (l *lanes) steps(rank []int) []Step {
	var steps []Step
	for _, lane := range l.lanes {
		slices.SortFunc(lane.sent, func(a, b int) int { return cmp.Compare(rank[a], rank[b]) })
		clock := time.Duration(0)
		for _, i := range lane.sent {
			e := l.f.entries[i]
			step := Step{Block: e.Block, Target: lane.target.Host, Bytes: e.Bytes, Start: clock}
			clock += lane.takes(e.Bytes)
			step.End = clock
			steps = append(steps, step)
		}
	}
	return steps
}

func (l *lane) take(i int, bytes unit.Bytes) {
	l.clock += l.takes(bytes)
	l.room -= bytes
	l.has[i] = true
	l.sent = append(l.sent, i)
}

// capacity is how much the lane takes until the source is gone.
func (l *lane) capacity(left time.Duration) unit.Bytes {
	return max(0, min(l.room, unit.Bytes(float64(l.rate)*left.Seconds())))
}

// longest bounds one transfer, so that sums of many do not overflow.
const longest = 24 * time.Hour

// takes rounds the time of a transfer up.
func (l *lane) takes(bytes unit.Bytes) time.Duration {
	seconds := float64(bytes) / float64(max(l.rate, 1))
	if seconds > longest.Seconds() {
		return longest
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
