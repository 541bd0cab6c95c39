// Package usage counts the calls of each organisation in fixed time windows.
//
// # Windows
//
// Window k begins k window lengths after the start of 1970. Each host counts the
// calls whose execution it began and reports its counts of the latest windows to
// the other hosts. Received counts are stored separately for each incarnation that
// reported them, so that the counts of a killed host are not lost and none are
// added twice.
package usage

import (
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// reportedWindows is the number of latest windows that a host reports.
const reportedWindows = 4

// Window is the number of a window.
type Window int64

// Counts holds the number of calls of each organisation.
type Counts map[identity.Organisation]int

// Counter counts the calls of one host and collects the counts of the others. Create
// one with New.
type Counter struct {
	length time.Duration

	mu            sync.Mutex
	self          identity.Incarnation
	zone          identity.Zone
	byIncarnation map[identity.Incarnation]map[Window]Counts
	// zoneOf holds the zone of each known incarnation.
	zoneOf map[identity.Incarnation]identity.Zone
	// zoneSums holds the sums received for other zones. The counts of a zone's
	// hosts are not used once it has a sum.
	zoneSums map[identity.Zone]map[Window]Counts
}

// New returns a Counter for a host in zone, with windows of the given length.
func New(self identity.Incarnation, zone identity.Zone, length time.Duration) *Counter {
	return &Counter{
		length: length, self: self, zone: zone, byIncarnation: map[identity.Incarnation]map[Window]Counts{self: {}},
		zoneOf: map[identity.Incarnation]identity.Zone{self: zone}, zoneSums: make(map[identity.Zone]map[Window]Counts),
	}
}

// WindowAt returns the window that contains a time.
func (u *Counter) WindowAt(at time.Time) Window {
	return Window(at.UnixNano() / int64(u.length))
}

// WindowEnd returns the time at which a window ends.
func (u *Counter) WindowEnd(w Window) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(u.length))
}

// RecordCall counts a call of an organisation that began to be executed at the given
// time. Calls without an organisation are not counted.
func (u *Counter) RecordCall(at time.Time, organisation identity.Organisation) {
	if organisation == "" {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	own := u.byIncarnation[u.self]
	w := u.WindowAt(at)
	if own[w] == nil {
		own[w] = make(Counts)
	}
	own[w][organisation]++
}

// LocalCounts returns this host's counts of the latest windows.
func (u *Counter) LocalCounts(now time.Time) map[Window]Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	recent := make(map[Window]Counts)
	for w, counts := range u.byIncarnation[u.self] {
		if w <= u.WindowAt(now)-reportedWindows {
			continue
		}
		copied := make(Counts, len(counts))
		for id, n := range counts {
			copied[id] = n
		}
		recent[w] = copied
	}
	return recent
}

// MergeHost merges the counts reported by another host's incarnation. Counts never
// decrease.
func (u *Counter) MergeHost(from identity.Incarnation, zone identity.Zone, reported map[Window]Counts) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if from == u.self {
		return
	}
	if u.byIncarnation[from] == nil {
		u.byIncarnation[from] = make(map[Window]Counts)
	}
	u.zoneOf[from] = zone
	mergeMax(u.byIncarnation[from], reported)
}

// MergeZone merges the sum of another zone. The counts of its hosts are then
// ignored.
func (u *Counter) MergeZone(zone identity.Zone, reported map[Window]Counts) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.zoneSums[zone] == nil {
		u.zoneSums[zone] = make(map[Window]Counts)
	}
	mergeMax(u.zoneSums[zone], reported)
}

// mergeMax raises the stored counts to the reported ones where these are higher.
func mergeMax(stored, reported map[Window]Counts) {
	for w, byOrganisation := range reported {
		if stored[w] == nil {
			stored[w] = make(Counts)
		}
		for id, n := range byOrganisation {
			stored[w][id] = max(stored[w][id], n)
		}
	}
}

// Total returns the total of all hosts and zones in a window.
func (u *Counter) Total(w Window) Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := make(Counts)
	for incarnation, windows := range u.byIncarnation {
		if _, hasSum := u.zoneSums[u.zoneOf[incarnation]]; !hasSum {
			sum.add(windows[w])
		}
	}
	for _, windows := range u.zoneSums {
		sum.add(windows[w])
	}
	return sum
}

func (c Counts) add(other Counts) {
	for id, n := range other {
		c[id] += n
	}
}

// ZoneCounts returns the sums over the hosts of this zone in the latest windows.
func (u *Counter) ZoneCounts(now time.Time) map[Window]Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	sums := make(map[Window]Counts)
	for w := u.WindowAt(now) - reportedWindows + 1; w <= u.WindowAt(now); w++ {
		sums[w] = make(Counts)
		for incarnation, windows := range u.byIncarnation {
			if u.zoneOf[incarnation] == u.zone {
				sums[w].add(windows[w])
			}
		}
	}
	return sums
}

// EvictOld deletes windows that are more than 2*reportedWindows before the current
// one.
func (u *Counter) EvictOld(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	oldest := u.WindowAt(now) - 2*reportedWindows
	for incarnation, windows := range u.byIncarnation {
		deleteBefore(windows, oldest)
		if len(windows) == 0 && incarnation != u.self {
			delete(u.byIncarnation, incarnation)
			delete(u.zoneOf, incarnation)
		}
	}
	for _, windows := range u.zoneSums {
		deleteBefore(windows, oldest)
	}
}

func deleteBefore(windows map[Window]Counts, oldest Window) {
	for w := range windows {
		if w < oldest {
			delete(windows, w)
		}
	}
}
