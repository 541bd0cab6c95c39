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

// Table is an immutable index of a snapshot for routing decisions.
type Table struct {
	snapshot *fleet.Snapshot
	at       time.Time
	groups   map[identity.Service]*group
}

// group holds the endpoints of one service.
type group struct {
	service configuration.Service
	// entries is sorted by price, without leaving and ejected endpoints. Those
	// from index reachable on are in unreachable zones.
	entries   []entry
	reachable int
	// hashes holds the entries' hashes contiguously for the rendezvous scan.
	hashes []uint64
	// active is the number of leading entries that get work first, at least 1
	// unless entries is empty.
	active int
	// underBound lists the active entries within the bounded load, or all active
	// ones if there are none.
	underBound []int
	// sameZone lists the entries of the host's own zone.
	sameZone      []int
	byIncarnation map[identity.Incarnation]int
	// meanLoad is the mean of running and waiting over the active entries.
	meanLoad float64
	// demand is the number of requests running and waiting; it rises at once and
	// decays with demandDecay.
	demand float64
}

type entry struct {
	index int
	hash  uint64
	// price is in coins per second, link in coins per byte between the entry
	// host's region and the endpoint's.
	price   float64
	link    float64
	latency time.Duration
}

// New builds a table of s at time now. The decayed demand of the previous table,
// which may be nil, is a lower bound on the new demand. Endpoints for which
// failing reports true are ejected, but never more than a third of a service nor
// half of its endpoints in a zone.
func New(s *fleet.Snapshot, previous *Table, now time.Time, failing func(identity.Incarnation) bool) *Table {
	t := &Table{snapshot: s, at: now, groups: make(map[identity.Service]*group)}
	for _, service := range s.Configuration.Services {
		g := newGroup(s, service, failing)
		g.demand = reportedDemand(s, service.ID)
		if previous != nil && previous.groups[service.ID] != nil {
			elapsed := now.Sub(previous.at).Seconds()
			g.demand = max(g.demand, previous.groups[service.ID].demand*math.Exp(-elapsed/demandDecay.Seconds()))
		}
		g.activate(s)
		t.groups[service.ID] = g
	}
	return t
}

// reportedDemand sums the load that endpoints report, including leaving ones,
// since their work moves elsewhere.
func reportedDemand(s *fleet.Snapshot, service identity.Service) float64 {
	sum := 0.0
	for _, i := range s.Serving(service) {
		sum += float64(s.Endpoints[i].Load.Running + s.Endpoints[i].Load.Waiting)
	}
	return sum
}

// Snapshot returns the snapshot that the table was built from.
func (t *Table) Snapshot() *fleet.Snapshot { return t.snapshot }

// BuiltAt returns when the table was built.
func (t *Table) BuiltAt() time.Time { return t.at }

// Serving returns the indexes into the snapshot's Endpoints that can get a
// service's calls, cheapest first and unreachable zones last.
func (t *Table) Serving(service identity.Service) []int {
	var list []int
	if g := t.groups[service]; g != nil {
		for _, e := range g.entries {
			list = append(list, e.index)
		}
	}
	return list
}

// Capacity returns how many calls the reachable endpoints of a service can run
// within its latency target, and how many they report as running and waiting. An
// endpoint that has calls waiting is taken to have no more slots than the calls
// it runs.
func (t *Table) Capacity(service identity.Service) (slots, running, waiting int) {
	g := t.groups[service]
	if g == nil {
		return 0, 0, 0
	}
	perEndpoint := slotsPerEndpoint(g.service)
	for _, e := range g.entries[:g.reachable] {
		load := t.snapshot.Endpoints[e.index].Load
		running += load.Running
		waiting += load.Waiting
		if load.Waiting > 0 && load.Running > 0 {
			slots += min(perEndpoint, load.Running)
			continue
		}
		slots += perEndpoint
	}
	return slots, running, waiting
}

// HasUnreachableZone reports whether a zone with endpoints of a service is unreachable.
func (t *Table) HasUnreachableZone(service identity.Service) bool {
	g := t.groups[service]
	return g != nil && g.reachable < len(g.entries)
}

// slotsPerEndpoint returns how many calls one endpoint can run before the time
// between tokens exceeds the target during a prefill step.
func slotsPerEndpoint(s configuration.Service) int {
	if s.Kind == configuration.Plain {
		return plainSlots
	}
	tokenInterval := millis(time.Duration(s.TokenIntervalTarget))
	if tokenInterval == 0 {
		return defaultSlots
	}
	return max(minSlots, int((tokenInterval-stepMillis-stepTokenBudget/prefillTokensPerMilli)/stepPerRequestMillis))
}

const (
	plainSlots = 256
	// defaultSlots applies to a model service without a token interval target.
	defaultSlots = 16
	minSlots     = 4
)

// Active returns the indexes into the snapshot's Endpoints that get a service's
// calls first.
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
	unreachable := unreachableZones(s, service.ID, failing)
	slices.SortFunc(g.entries, func(a, b entry) int {
		return cmp.Or(cmpBool(unreachable[s.Endpoints[a.index].Zone], unreachable[s.Endpoints[b.index].Zone]), cmp.Compare(a.price, b.price), cmp.Compare(a.hash, b.hash))
	})
	for i, e := range g.entries {
		endpoint := &s.Endpoints[e.index]
		g.byIncarnation[endpoint.Incarnation] = i
		if !unreachable[endpoint.Zone] {
			g.reachable = i + 1
		}
		g.hashes = append(g.hashes, e.hash)
		if endpoint.Zone == s.Zone {
			g.sameZone = append(g.sameZone, i)
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
		e.link = float64(link.PricePerGigabyte) / float64(unit.Coin) / float64(unit.Gigabyte)
		e.latency = time.Duration(link.OneWayLatency)
	}
	return e
}

const (
	// targetOccupancy is the number of requests that an active endpoint should
	// have.
	targetOccupancy = 12.0
	// activeHeadroom is the spare share of active endpoints over the demand.
	activeHeadroom = 0.25
	// demandDecay is the time constant of the exponential decay of demand.
	demandDecay = 20 * time.Second
	// cacheReadsPerHour is how often a cached token is assumed to be read.
	cacheReadsPerHour = 60.0
)

// activate sets the number of active entries: as many as the demand needs, and at
// least up to the last one whose prefix cache is worth more than its price. All
// reachable entries are active for a plain service, or while there is no load
// report.
func (g *group) activate(s *fleet.Snapshot) {
	keepCount, reports := 0, 0
	for i, e := range g.entries {
		load := s.Endpoints[e.index].Load
		if !load.ReceivedAt.IsZero() {
			reports++
		}
		cacheValue := g.service.RecomputeWeight * float64(load.CacheCapacity) * cacheReadsPerHour
		if cacheValue > g.service.CostWeight*e.price*time.Hour.Seconds() {
			keepCount = i + 1
		}
	}
	needed := int(math.Ceil(g.demand*(1+activeHeadroom)/targetOccupancy)) + 1
	if g.service.Kind == configuration.Plain || reports == 0 {
		needed = g.reachable
	}
	g.active = min(g.reachable, max(needed, keepCount))
	if g.active > 0 {
		g.meanLoad = g.demand / float64(g.active)
	}
	g.findUnderBound(s)
}

// findUnderBound lists the active entries within the bounded load, or all if
// there are none. At most four in five can be above 1.25 of the mean
// (boundedLoadRatio).
func (g *group) findUnderBound(s *fleet.Snapshot) {
	all := make([]int, 0, g.active)
	for i := range g.active {
		all = append(all, i)
		load := s.Endpoints[g.entries[i].index].Load
		if float64(load.Running+load.Waiting) <= max(targetOccupancy, boundedLoadRatio*g.meanLoad) {
			g.underBound = append(g.underBound, i)
		}
	}
	if len(g.underBound) == 0 {
		g.underBound = all
	}
}

// rendezvous returns the two active entries that rank highest for key, or -1 where
// there is none.
func (g *group) rendezvous(key uint64) (first, second int) {
	first, second = -1, -1
	var high, next uint64
	for i, hash := range g.hashes[:g.active] {
		rank := mixBits(key ^ hash)
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

// mixBits mixes the bits of x by a folded multiplication.
func mixBits(x uint64) uint64 {
	high, low := bits.Mul64(x, 0x9e3779b97f4a7c15)
	return high ^ low
}
