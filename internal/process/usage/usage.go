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
	// zoneSums holds the sums received for zones. The counts of another zone's
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
func (c *Counter) WindowAt(at time.Time) Window {
	return Window(at.UnixNano() / int64(c.length))
}

// WindowEnd returns the time at which a window ends.
func (c *Counter) WindowEnd(w Window) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(c.length))
}

// RecordCall counts a call of an organisation that began to be executed at the given
// time. Calls without an organisation are not counted.
func (c *Counter) RecordCall(at time.Time, organisation identity.Organisation) {
	if organisation == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.byIncarnation[c.self]
	w := c.WindowAt(at)
	if own[w] == nil {
		own[w] = make(Counts)
	}
	own[w][organisation]++
}

// LocalCounts returns this host's counts of the latest windows.
func (c *Counter) LocalCounts(now time.Time) map[Window]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	recent := make(map[Window]Counts)
	for w, counts := range c.byIncarnation[c.self] {
		if w <= c.WindowAt(now)-reportedWindows {
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
func (c *Counter) MergeHost(from identity.Incarnation, zone identity.Zone, reported map[Window]Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if from == c.self {
		return
	}
	if c.byIncarnation[from] == nil {
		c.byIncarnation[from] = make(map[Window]Counts)
	}
	c.zoneOf[from] = zone
	mergeMax(c.byIncarnation[from], reported)
}

// MergeZone merges the sum of a zone. The counts of another zone's hosts are then
// ignored.
func (c *Counter) MergeZone(zone identity.Zone, reported map[Window]Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.zoneSums[zone] == nil {
		c.zoneSums[zone] = make(map[Window]Counts)
	}
	mergeMax(c.zoneSums[zone], reported)
}

// mergeMax raises the stored counts to the reported ones where these are higher.
func mergeMax(stored, reported map[Window]Counts) {
	for w, byOrganisation := range reported {
		if stored[w] == nil {
			stored[w] = make(Counts)
		}
		stored[w].raise(byOrganisation)
	}
}

// Total returns the total of all hosts and zones in a window. For the own zone the
// counts of its hosts and the received sum may each lack some; the larger is used.
func (c *Counter) Total(w Window) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum, own := make(Counts), make(Counts)
	for incarnation, windows := range c.byIncarnation {
		zone := c.zoneOf[incarnation]
		if zone == c.zone {
			own.add(windows[w])
		} else if _, hasSum := c.zoneSums[zone]; !hasSum {
			sum.add(windows[w])
		}
	}
	for zone, windows := range c.zoneSums {
		if zone == c.zone {
			own.raise(windows[w])
		} else {
			sum.add(windows[w])
		}
	}
	sum.add(own)
	return sum
}

// raise raises the counts to those of other where these are higher.
func (c Counts) raise(other Counts) {
	for id, n := range other {
		c[id] = max(c[id], n)
	}
}

func (c Counts) add(other Counts) {
	for id, n := range other {
		c[id] += n
	}
}

// ZoneCounts returns the sums over the hosts of this zone in the latest windows.
func (c *Counter) ZoneCounts(now time.Time) map[Window]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	sums := make(map[Window]Counts)
	for w := c.WindowAt(now) - reportedWindows + 1; w <= c.WindowAt(now); w++ {
		sums[w] = make(Counts)
		for incarnation, windows := range c.byIncarnation {
			if c.zoneOf[incarnation] == c.zone {
				sums[w].add(windows[w])
			}
		}
	}
	return sums
}

// EvictOld deletes windows that are more than 2*reportedWindows before the current
// one.
func (c *Counter) EvictOld(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	oldest := c.WindowAt(now) - 2*reportedWindows
	for incarnation, windows := range c.byIncarnation {
		deleteBefore(windows, oldest)
		if len(windows) == 0 && incarnation != c.self {
			delete(c.byIncarnation, incarnation)
			delete(c.zoneOf, incarnation)
		}
	}
	for _, windows := range c.zoneSums {
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
