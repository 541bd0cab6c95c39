// Package usage counts the calls of each organisation by window of time.
//
// # Windows
//
// Window k begins k times its length after the start of 1970. Each host counts
// the calls that began to run on its account and tells the counts of the last
// windows to the others. They are kept by the incarnation that told them, so
// that what a host counted before it was killed is not lost, and nothing counts
// twice.
package usage

import (
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// kept is how many windows are kept and told.
const kept = 4

// Window numbers the windows.
type Window int64

// Counts are the calls of each organisation.
type Counts map[identity.Organisation]int

// Usage counts for one host and gathers what others count. Make one with New.
type Usage struct {
	length time.Duration

	mu   sync.Mutex
	self identity.Incarnation
	zone identity.Zone
	by   map[identity.Incarnation]map[Window]Counts
	// zones are those of the incarnations that were heard, sums the sums of
	// other zones, which stand for their hosts' counts.
	zones map[identity.Incarnation]identity.Zone
	sums  map[identity.Zone]map[Window]Counts
}

// New makes a Usage of a host in zone, with windows of a length.
func New(self identity.Incarnation, zone identity.Zone, length time.Duration) *Usage {
	return &Usage{
		length: length, self: self, zone: zone, by: map[identity.Incarnation]map[Window]Counts{self: {}},
		zones: map[identity.Incarnation]identity.Zone{self: zone}, sums: make(map[identity.Zone]map[Window]Counts),
	}
}

// WindowAt is the window that holds a time.
func (u *Usage) WindowAt(at time.Time) Window {
	return Window(at.UnixNano() / int64(u.length))
}

// End is when a window ends.
func (u *Usage) End(w Window) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(u.length))
}

// Began counts a call that began to run at a time.
func (u *Usage) Began(at time.Time, organisation identity.Organisation) {
	if organisation == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	own := u.by[u.self]
	w := u.WindowAt(at)
	if own[w] == nil {
		own[w] = make(Counts)
	}
	own[w][organisation]++
}

// Tell gives this host's counts of the last windows.
func (u *Usage) Tell(now time.Time) map[Window]Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	told := make(map[Window]Counts)
	for w, counts := range u.by[u.self] {
		if w <= u.WindowAt(now)-kept {
			continue
		}
		copied := make(Counts, len(counts))
		for id, n := range counts {
			copied[id] = n
		}
		told[w] = copied
	}
	return told
}

// Hear takes the counts of another host's incarnation; counts never fall.
func (u *Usage) Hear(from identity.Incarnation, zone identity.Zone, told map[Window]Counts) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if from == u.self {
		return
	}
	if u.by[from] == nil {
		u.by[from] = make(map[Window]Counts)
	}
	u.zones[from] = zone
	raise(u.by[from], told)
}

// HearZone takes the sum of another zone, whose hosts are then not heard one by
// one.
func (u *Usage) HearZone(zone identity.Zone, told map[Window]Counts) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.sums[zone] == nil {
		u.sums[zone] = make(map[Window]Counts)
	}
	raise(u.sums[zone], told)
}

// raise takes what is higher.
func raise(held, told map[Window]Counts) {
	for w, counts := range told {
		if held[w] == nil {
			held[w] = make(Counts)
		}
		for id, n := range counts {
			held[w][id] = max(held[w][id], n)
		}
	}
}

// Sum adds up what all hosts and zones counted in a window.
func (u *Usage) Sum(w Window) Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := make(Counts)
	for by, windows := range u.by {
		if _, summed := u.sums[u.zones[by]]; !summed {
			sum.add(windows[w])
		}
	}
	for _, windows := range u.sums {
		sum.add(windows[w])
	}
	return sum
}

func (c Counts) add(more Counts) {
	for id, n := range more {
		c[id] += n
	}
}

// TellZone adds up what the hosts of this zone counted in the last windows.
func (u *Usage) TellZone(now time.Time) map[Window]Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	told := make(map[Window]Counts)
	for w := u.WindowAt(now) - kept + 1; w <= u.WindowAt(now); w++ {
		told[w] = make(Counts)
		for by, windows := range u.by {
			if u.zones[by] == u.zone {
				told[w].add(windows[w])
			}
		}
	}
	return told
}

// Forget drops windows that are too old to be reported.
func (u *Usage) Forget(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	oldest := u.WindowAt(now) - 2*kept
	for id, windows := range u.by {
		forget(windows, oldest)
		if len(windows) == 0 && id != u.self {
			delete(u.by, id)
			delete(u.zones, id)
		}
	}
	for _, windows := range u.sums {
		forget(windows, oldest)
	}
}

func forget(windows map[Window]Counts, oldest Window) {
	for w := range windows {
		if w < oldest {
			delete(windows, w)
		}
	}
}
