package route

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Table is a snapshot prepared for decisions. It is immutable.
type Table struct {
	snapshot *fleet.Snapshot
	at       time.Time
	groups   map[identity.Service]*group
}

// group holds the endpoints of one service.
type group struct {
	service configuration.Service
	// entries is sorted by price and holds none that leaves or is ejected.
	// Those from reachable on are in zones where all fail; they come last.
	entries   []entry
	reachable int
	// hashes are those of entries, side by side for rendezvous.
	hashes []uint64
	// active counts the leading entries that get work first, at least 1 unless
	// entries is empty.
	active int
	// open are the active entries within the bounded load, or else all.
	open []int
	// near are entries of the host's own zone.
	near          []int
	byIncarnation map[identity.Incarnation]int
	// load is the mean of running and waiting over the active entries.
	load float64
	// demand is the requests running and waiting, which falls slowly.
	demand float64
}

type entry struct {
	index int
	hash  uint64
	// price is in coins a second, link in coins a byte to the caller's region.
	price   float64
	link    float64
	latency time.Duration
}

// New prepares a snapshot at now. The table before it may be nil; from it the
// demand is carried on. Endpoints that failing names are ejected, but never
// more than a third of a service nor half of its endpoints in a zone.
func New(s *fleet.Snapshot, before *Table, now time.Time, failing func(identity.Incarnation) bool) *Table {
	t := &Table{snapshot: s, at: now, groups: make(map[identity.Service]*group)}
	for _, service := range s.Configuration.Services {
		g := newGroup(s, service, failing)
		g.demand = demand(s, service.ID)
		if before != nil && before.groups[service.ID] != nil {
			elapsed := now.Sub(before.at).Seconds()
			g.demand = max(g.demand, before.groups[service.ID].demand*math.Exp(-elapsed/demandFall.Seconds()))
		}
		g.activate(s)
		t.groups[service.ID] = g
	}
	return t
}

// demand sums what endpoints report, those that leave too, since their work
// goes elsewhere.
func demand(s *fleet.Snapshot, service identity.Service) float64 {
	sum := 0.0
	for _, i := range s.Serving(service) {
		sum += float64(s.Endpoints[i].Load.Running + s.Endpoints[i].Load.Waiting)
	}
	return sum
}

// Snapshot is what the table was made from.
func (t *Table) Snapshot() *fleet.Snapshot { return t.snapshot }

// At is when the table was made.
func (t *Table) At() time.Time { return t.at }

// Serving lists the indexes into the snapshot's Endpoints that can get a
// service's work, cheapest first.
func (t *Table) Serving(service identity.Service) []int {
	var list []int
	if g := t.groups[service]; g != nil {
		for _, e := range g.entries {
			list = append(list, e.index)
		}
	}
	return list
}

// Capacity tells how many calls the endpoints of a service can run within its
// target, and what they report to run and to have waiting.
func (t *Table) Capacity(service identity.Service) (slots, running, waiting int) {
	g := t.groups[service]
	if g == nil {
		return 0, 0, 0
	}
	each := slotsEach(g.service)
	for _, e := range g.entries[:g.reachable] {
		load := t.snapshot.Endpoints[e.index].Load
		running += load.Running
		waiting += load.Waiting
		if load.Waiting > 0 && load.Running > 0 {
			slots += min(each, load.Running)
			continue
		}
		slots += each
	}
	return slots, running, waiting
}

// CutOff tells that zones which have endpoints of a service can't be reached.
func (t *Table) CutOff(service identity.Service) bool {
	g := t.groups[service]
	return g != nil && g.reachable < len(g.entries)
}

// slotsEach is how many calls one endpoint runs before the time between tokens
// is over the target while a prompt is read.
func slotsEach(s configuration.Service) int {
	if s.Kind == configuration.Plain {
		return plainSlots
	}
	between := millis(time.Duration(s.BetweenTokens))
	if between == 0 {
		return unknownSlots
	}
	return max(fewestSlots, int((between-tokenMillis-stepTokens/prefillPerMilli)/tokenEachMillis))
}

const (
	plainSlots   = 256
	unknownSlots = 16
	fewestSlots  = 4
)

// Active lists the indexes into the snapshot's Endpoints that get a service's
// work first.
func (t *Table) Active(service identity.Service) []int {
	g := t.groups[service]
	if g == nil {
		return nil
	}
	return t.Serving(service)[:g.active]
}

func newGroup(s *fleet.Snapshot, service configuration.Service, failing func(identity.Incarnation) bool) *group {
	g := &group{service: service, byIncarnation: make(map[identity.Incarnation]int)}
	ejected := eject(s, service.ID, failing)
	for _, i := range s.Serving(service.ID) {
		if s.Endpoints[i].Leaving || slices.Contains(ejected, i) {
			continue
		}
		g.entries = append(g.entries, newEntry(s, i))
	}
	lost := unreachable(s, service.ID, failing)
	slices.SortFunc(g.entries, func(a, b entry) int {
		return cmp.Or(cmpBool(lost[s.Endpoints[a.index].Zone], lost[s.Endpoints[b.index].Zone]), cmp.Compare(a.price, b.price), cmp.Compare(a.hash, b.hash))
	})
	for i, e := range g.entries {
		endpoint := &s.Endpoints[e.index]
		g.byIncarnation[endpoint.Incarnation] = i
		if !lost[endpoint.Zone] {
			g.reachable = i + 1
		}
		g.hashes = append(g.hashes, e.hash)
		if endpoint.Zone == s.Zone {
			g.near = append(g.near, i)
		}
	}
	return g
}

// cmpBool orders false before true.
func cmpBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func newEntry(s *fleet.Snapshot, i int) entry {
	endpoint := &s.Endpoints[i]
	e := entry{index: i, hash: xxh3.HashString(string(endpoint.Incarnation))}
	if p, ok := s.Configuration.Price(endpoint.Zone, endpoint.Class); ok {
		hourly := p.OnDemand
		if endpoint.Reclaimable {
			hourly = p.Reclaimable
		}
		e.price = float64(hourly) / float64(unit.Coin) / time.Hour.Seconds()
	}
	region := s.Configuration.Region(endpoint.Zone)
	if region != s.Region {
		link := s.Configuration.Link(s.Region, region)
		e.link = float64(link.PerGigabyte) / float64(unit.Coin) / float64(unit.Gigabyte)
		e.latency = time.Duration(link.Latency)
	}
	return e
}

const (
	// occupancy is how many requests an active endpoint should have.
	occupancy = 12.0
	// headroom is the share of active endpoints above what the load needs.
	headroom = 0.25
	// demandFall is the time constant with which demand falls.
	demandFall = 20 * time.Second
	// reuseHourly is how often an hour a cached token is taken to be read.
	reuseHourly = 60.0
)

// activate counts the entries that the load needs and those whose cache is
// worth their price; all of them while nothing was reported.
func (g *group) activate(s *fleet.Snapshot) {
	worth, reports := 0, 0
	for i, e := range g.entries {
		load := s.Endpoints[e.index].Load
		if !load.At.IsZero() {
			reports++
		}
		held := g.service.RecomputeWeight * float64(load.CacheCapacity) * reuseHourly
		if held > g.service.CostWeight*e.price*time.Hour.Seconds() {
			worth = i + 1
		}
	}
	needed := int(math.Ceil(g.demand*(1+headroom)/occupancy)) + 1
	if g.service.Kind == configuration.Plain || reports == 0 {
		needed = g.reachable
	}
	g.active = min(g.reachable, max(needed, worth))
	if g.active > 0 {
		g.load = g.demand / float64(g.active)
	}
	g.findOpen(s)
}

// findOpen lists the active entries within the bounded load. Those are never
// few: no more than four in five can be above 1.25 of the mean.
func (g *group) findOpen(s *fleet.Snapshot) {
	all := make([]int, 0, g.active)
	for i := range g.active {
		all = append(all, i)
		load := s.Endpoints[g.entries[i].index].Load
		if float64(load.Running+load.Waiting) <= max(occupancy, boundedLoadRatio*g.load) {
			g.open = append(g.open, i)
		}
	}
	if len(g.open) == 0 {
		g.open = all
	}
}

// rendezvous gives the two active entries that rank highest for key, or -1.
func (g *group) rendezvous(key uint64) (first, second int) {
	first, second = -1, -1
	var high, next uint64
	for i, hash := range g.hashes[:g.active] {
		rank := mix(key ^ hash)
		if second >= 0 && rank <= next {
			continue
		}
		if first < 0 || rank > high {
			second, next = first, high
			first, high = i, rank
			continue
		}
		second, next = i, rank
	}
	return first, second
}

// mix spreads the bits of x by a folded product.
func mix(x uint64) uint64 {
	high, low := bits.Mul64(x, 0x9e3779b97f4a7c15)
	return high ^ low
}
