package carry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// schedule is the sequence of transfers to one target, one block at a time.
type schedule struct {
	target Target
	// rate is the target's share of the source's export rate.
	rate unit.Bytes
	// freeAt is the end of the last transfer, headroom what the target can still
	// import.
	freeAt   time.Duration
	headroom unit.Bytes
	// present marks the blocks that the target has or will have: always complete
	// prefixes.
	present   []bool
	scheduled []int
}

type planner struct {
	input     Input
	f         forest
	schedules []schedule
}

func newPlanner(input Input, f forest) *planner {
	pl := &planner{input: input, f: f}
	for _, t := range input.Targets {
		present := make([]bool, len(f.entries))
		for i, e := range f.entries {
			p := f.parent[i]
			present[i] = t.Cached[e.Block] && (p == none || present[p])
		}
		pl.schedules = append(pl.schedules, schedule{target: t, headroom: t.Headroom, present: present})
	}
	pl.splitRate()
	return pl
}

// splitRate divides the source's export rate equally among the targets; what a
// slow target cannot use goes to the others.
func (pl *planner) splitRate() {
	byRate := make([]int, len(pl.schedules))
	for i := range byRate {
		byRate[i] = i
	}
	slices.SortStableFunc(byRate, func(a, b int) int {
		return cmp.Compare(pl.schedules[a].target.BytesPerSecond, pl.schedules[b].target.BytesPerSecond)
	})
	remaining := pl.input.BytesPerSecond
	for k, i := range byRate {
		rate := min(pl.schedules[i].target.BytesPerSecond, remaining/unit.Bytes(len(byRate)-k))
		pl.schedules[i].rate = max(rate, 0)
		remaining -= pl.schedules[i].rate
	}
}

// candidate is what adding some blocks to one schedule would give.
type candidate struct {
	scheduleIndex int
	missing       []int
	// netDensity is the value minus the transfer price, per byte to transfer.
	netDensity float64
	end        time.Duration
}

// placePiece adds a piece to the schedule with the cheapest link and, among
// equals, to the one that would finish first, which balances the schedules.
func (pl *planner) placePiece(members []int) {
	pl.placeBest(members, func(a, b candidate) bool {
		priceA := pl.schedules[a.scheduleIndex].target.PricePerGigabyte
		priceB := pl.schedules[b.scheduleIndex].target.PricePerGigabyte
		return priceA < priceB || (priceA == priceB && a.end < b.end)
	})
}

// placeGroup adds a group to the schedule where its netDensity is highest, or block
// by block if it fits nowhere as a whole.
func (pl *planner) placeGroup(members []int) {
	better := func(a, b candidate) bool {
		return a.netDensity > b.netDensity || (a.netDensity == b.netDensity && a.end < b.end)
	}
	if pl.presentAtOne(members) || pl.placeBest(members, better) || len(members) == 1 {
		return
	}
	for _, i := range members {
		if !pl.presentAtOne([]int{i}) {
			pl.placeBest([]int{i}, better)
		}
	}
}

// presentAtOne reports whether a single target has or will have all of members.
func (pl *planner) presentAtOne(members []int) bool {
	for i := range pl.schedules {
		if len(pl.missing(i, members)) == 0 {
			return true
		}
	}
	return false
}

func (pl *planner) placeBest(members []int, better func(a, b candidate) bool) bool {
	best := candidate{scheduleIndex: none}
	for i := range pl.schedules {
		c, ok := pl.evaluate(i, members)
		if ok && (best.scheduleIndex == none || better(c, best)) {
			best = c
		}
	}
	if best.scheduleIndex == none {
		return false
	}
	for _, i := range best.missing {
		pl.schedules[best.scheduleIndex].add(i, pl.f.entries[i].Bytes)
	}
	return true
}

// evaluate returns the candidate for adding members, and the ancestors that the
// target lacks, to a schedule. It returns false if these do not fit or the value of
// members does not exceed the transfer price.
func (pl *planner) evaluate(index int, members []int) (candidate, bool) {
	s := &pl.schedules[index]
	c := candidate{scheduleIndex: index, missing: pl.missing(index, members), end: s.freeAt}
	var bytes unit.Bytes
	for _, i := range c.missing {
		bytes += pl.f.entries[i].Bytes
		c.end += s.transferTime(pl.f.entries[i].Bytes)
	}
	if bytes > s.headroom || s.rate <= 0 || c.end > pl.input.TimeLeft {
		return candidate{}, false
	}
	value := 0.0
	for _, i := range members {
		value += pl.f.value[i]
	}
	price := float64(s.target.PricePerGigabyte) * float64(bytes) / float64(unit.Gigabyte)
	net := value*float64(pl.input.TokenValue) - price
	c.netDensity = net / float64(max(bytes, 1))
	return c, net > 0
}

// missing lists those of members and their ancestors that a target lacks,
// parents first.
func (pl *planner) missing(index int, members []int) []int {
	present := pl.schedules[index].present
	var need []int
	for i := pl.f.parent[members[0]]; i != none && !present[i]; i = pl.f.parent[i] {
		need = append(need, i)
	}
	slices.Reverse(need)
	for _, i := range members {
		if !present[i] {
			need = append(need, i)
		}
	}
	return need
}

// transfers lists the transfers of all schedules, those of each in order of rank,
// the blocks' positions in the order of byDensity.
func (pl *planner) transfers(rank []int) []Transfer {
	var transfers []Transfer
	for _, s := range pl.schedules {
		slices.SortFunc(s.scheduled, func(a, b int) int { return cmp.Compare(rank[a], rank[b]) })
		freeAt := time.Duration(0)
		for _, i := range s.scheduled {
			e := pl.f.entries[i]
			transfer := Transfer{Block: e.Block, Target: s.target.Host, Bytes: e.Bytes, Start: freeAt}
			freeAt += s.transferTime(e.Bytes)
			transfer.End = freeAt
			transfers = append(transfers, transfer)
		}
	}
	return transfers
}

func (s *schedule) add(i int, bytes unit.Bytes) {
	s.freeAt += s.transferTime(bytes)
	s.headroom -= bytes
	s.present[i] = true
	s.scheduled = append(s.scheduled, i)
}

// capacity is how much the target can receive within timeLeft if nothing is
// scheduled.
func (s *schedule) capacity(timeLeft time.Duration) unit.Bytes {
	return max(0, min(s.headroom, unit.Bytes(float64(s.rate)*timeLeft.Seconds())))
}

// maxTransferTime bounds the time of one transfer so that sums do not overflow.
const maxTransferTime = 24 * time.Hour

// transferTime returns how long a transfer takes, rounded up, at most
// maxTransferTime.
func (s *schedule) transferTime(bytes unit.Bytes) time.Duration {
	seconds := float64(bytes) / float64(max(s.rate, 1))
	if seconds > maxTransferTime.Seconds() {
		return maxTransferTime
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
