package balance_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// The model simulates the engines in virtual time: an engine processes prompts in
// chunks between the tokens of running calls, and caches prompt prefixes until
// newer ones evict them. Hosts receive each other's load reports with a delay.
const (
	tick = time.Millisecond
	// stepMillis, stepMillisPerCall, prefillPerMilli (tokens) and chunkTokens are
	// the engines' speed according to their data sheet.
	stepMillis        = 5.55
	stepMillisPerCall = 0.029
	prefillPerMilli   = 42.6
	chunkTokens       = 2048
	slots             = 32
	cacheCapacity     = 341_743
	// firstTokens is the number of tokens in the first event.
	firstTokens = 4
	// reportInterval is the period of load reports. sameZoneDelay and
	// crossZoneDelay are their age on arrival at hosts of the same zone and of
	// other zones.
	reportInterval = 250 * time.Millisecond
	sameZoneDelay  = 250 * time.Millisecond
	crossZoneDelay = 750 * time.Millisecond
	// regionRoundTrip is the round-trip time to another region.
	regionRoundTrip = 24 * time.Millisecond
)

// workload describes the calls and the fleet of a simulation.
type workload struct {
	hosts, endpoints int
	// perSecond returns the rate of calls at a number of seconds after the start.
	perSecond func(second float64) float64
	// sessions is the number of sessions, drawn uniformly; hotShare is the share
	// of calls that belong to one further session.
	sessions int
	hotShare float64
	duration time.Duration
	// zoneLossSecond is the second at which the endpoints of the first zone are
	// lost, or zero.
	zoneLossSecond float64
}

// result counts the outcomes of a simulation.
type result struct {
	calls, inTarget int
	// recomputed counts prompt tokens that were processed although some engine had
	// processed them before.
	recomputed int
}

func (r result) targetShare() float64 { return float64(r.inTarget) / float64(max(1, r.calls)) }

// policy chooses an endpoint for a call that arrives at a host.
type policy func(m *model, host int, call balance.Call) (balance.Choice, bool)

func balanced(m *model, host int, call balance.Call) (balance.Choice, bool) {
	return m.hosts[host].Choose(m.now, call)
}

// randomEndpoint is the baseline policy: it draws from all endpoints, and the call
// fails if the one drawn is lost.
func randomEndpoint(m *model, _ int, _ balance.Call) (balance.Choice, bool) {
	e := m.engines[m.rng.IntN(len(m.engines))]
	return balance.Choice{Endpoint: e.endpoint}, !e.lost
}

type model struct {
	workload
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	hosts   []*balance.Balancer
	engines []*simulatedEngine
	byID    map[identity.Incarnation]*simulatedEngine
	// reports holds the load reports in transit, oldest first.
	reports []report
	// processed holds the prompt prefixes that some engine has processed.
	processed map[uint64]bool
	result    result
}

// report is a host's load report.
type report struct {
	host  int
	at    time.Time
	loads map[identity.Incarnation]neighbour.Load
}

// simulatedEngine is the engine of one endpoint.
type simulatedEngine struct {
	endpoint fleet.Endpoint
	queue    []*engineCall
	running  []*engineCall
	freeAt   time.Time
	// prefixes holds the cached prompt prefixes; cachedTokens is their total size.
	prefixes     map[uint64]cachedPrefix
	cachedTokens int
	lost         bool
}

type cachedPrefix struct {
	tokens   int
	lastUsed time.Time
}

// engineCall is a call at an engine.
type engineCall struct {
	call                 balance.Call
	outstanding          *balance.OutstandingCall
	pendingPrefill       int
	generated, remaining int
	target               time.Time
	prefixChecked        bool
}

func newModel(seed uint64, l workload) *model {
	m := &model{
		workload: l, rng: rand.New(rand.NewPCG(seed, 0)), start: now, now: now,
		byID: make(map[identity.Incarnation]*simulatedEngine), processed: make(map[uint64]bool),
	}
	var list []fleet.Endpoint
	for i := range l.endpoints {
		e := fleet.Endpoint{
			Incarnation: identity.Incarnation(fmt.Sprint("e", i)), Service: "models", Zone: zones[i%len(zones)], Slots: slots,
		}
		list = append(list, e)
		n := &simulatedEngine{endpoint: e, prefixes: make(map[uint64]cachedPrefix)}
		m.engines = append(m.engines, n)
		m.byID[e.Incarnation] = n
	}
	for i := range l.hosts {
		b := balance.New(m.zone(i), func(z identity.Zone) identity.Region { return identity.Region(z) })
		b.SetEndpoints(list)
		m.hosts = append(m.hosts, b)
	}
	return m
}

func (m *model) zone(host int) identity.Zone { return zones[host%len(zones)] }

// run runs the simulation and returns its result.
func (m *model) run(choose policy) result {
	due := 0.0
	for ; m.now.Sub(m.start) < m.duration; m.now = m.now.Add(tick) {
		second := m.now.Sub(m.start).Seconds()
		if m.zoneLossSecond > 0 && second >= m.zoneLossSecond {
			m.loseZone()
		}
		m.exchangeReports()
		for due += m.perSecond(second) * tick.Seconds(); due >= 1; due-- {
			m.sendCall(choose)
		}
		for _, e := range m.engines {
			m.step(e)
		}
	}
	return m.result
}

// loseZone removes the endpoints of the first zone; the calls in progress there
// fail.
func (m *model) loseZone() {
	m.zoneLossSecond = 0
	var left []fleet.Endpoint
	for _, e := range m.engines {
		e.lost = e.endpoint.Zone == zones[0]
		if !e.lost {
			left = append(left, e.endpoint)
			continue
		}
		for _, r := range append(e.queue, e.running...) {
			r.outstanding.End(m.now, balance.Failed)
		}
		e.queue, e.running = nil, nil
	}
	for _, b := range m.hosts {
		b.SetEndpoints(left)
	}
}

// exchangeReports publishes each host's load and delivers the reports that are
// due.
func (m *model) exchangeReports() {
	if m.now.Sub(m.start)%reportInterval != 0 {
		return
	}
	for i, b := range m.hosts {
		m.reports = append(m.reports, report{host: i, at: m.now, loads: b.LocalLoads(m.now)})
	}
	for i, b := range m.hosts {
		latest := make(map[int]report)
		for _, r := range m.reports {
			delay := crossZoneDelay
			if m.zone(r.host) == m.zone(i) {
				delay = sameZoneDelay
			}
			if r.host != i && m.now.Sub(r.at) >= delay {
				latest[r.host] = r
			}
		}
		live := make([]neighbour.ReceivedReport, 0, len(latest))
		for _, r := range latest {
			live = append(live, neighbour.ReceivedReport{Report: neighbour.Report{Loads: r.loads}, ReceivedAt: r.at})
		}
		b.SetPeerLoads(live)
	}
	for len(m.reports) > 0 && m.now.Sub(m.reports[0].at) > 2*crossZoneDelay {
		m.reports = m.reports[1:]
	}
}

// sendCall generates one call at a random host and sends it to an endpoint.
func (m *model) sendCall(choose policy) {
	id := 0
	if m.rng.Float64() >= m.hotShare {
		id = 1 + m.rng.IntN(m.sessions)
	}
	m.result.calls++
	host := m.rng.IntN(len(m.hosts))
	call := sessionCall(id, m.result.calls)
	choice, found := choose(m, host, call)
	if !found {
		return
	}
	e := m.byID[choice.Endpoint.Incarnation]
	r := &engineCall{call: call, outstanding: m.hosts[host].Start(m.now, choice, call), remaining: int(call.Output), target: m.now.Add(800 * time.Millisecond)}
	if e.endpoint.Zone != m.zone(host) {
		r.target = r.target.Add(-regionRoundTrip)
	}
	if len(e.queue)+len(e.running) >= 2*slots {
		r.outstanding.End(m.now, balance.Full)
		return
	}
	e.queue = append(e.queue, r)
}

// step starts the engine's next step if the previous one is complete.
func (m *model) step(e *simulatedEngine) {
	if e.lost || m.now.Before(e.freeAt) || len(e.queue)+len(e.running) == 0 {
		return
	}
	prefilled := m.prefill(e)
	durationMillis := stepMillis + stepMillisPerCall*float64(len(e.running)) + float64(prefilled)/prefillPerMilli
	e.freeAt = m.now.Add(time.Duration(durationMillis * float64(time.Millisecond)))
	m.generate(e)
}

// prefill processes a chunk of the queued prompts, in order of arrival.
func (m *model) prefill(e *simulatedEngine) int {
	prefilled := 0
	for len(e.queue) > 0 && len(e.running) < slots && prefilled < chunkTokens {
		r := e.queue[0]
		if !r.prefixChecked {
			m.lookUpPrefix(e, r)
		}
		n := min(chunkTokens-prefilled, r.pendingPrefill)
		r.pendingPrefill -= n
		prefilled += n
		if r.pendingPrefill == 0 {
			e.queue = e.queue[1:]
			e.running = append(e.running, r)
		}
	}
	return prefilled
}

// lookUpPrefix determines the uncached tokens of a call's prompt and counts
// recomputed tokens.
func (m *model) lookUpPrefix(e *simulatedEngine, r *engineCall) {
	r.prefixChecked = true
	hit := true
	var key uint64
	for _, p := range r.call.Parts {
		key = key*1_000_003 + p.ID
		_, cached := e.prefixes[key]
		hit = hit && cached
		if hit {
			e.prefixes[key] = cachedPrefix{int(p.Tokens), m.now}
			continue
		}
		r.pendingPrefill += int(p.Tokens)
		if m.processed[key] {
			m.result.recomputed += int(p.Tokens)
		}
		m.processed[key] = true
		e.cache(key, int(p.Tokens), m.now)
	}
	r.pendingPrefill = max(1, r.pendingPrefill)
}

// cache adds a prefix to the cache and evicts the least recently used ones.
func (e *simulatedEngine) cache(key uint64, tokens int, at time.Time) {
	if _, cached := e.prefixes[key]; !cached {
		e.cachedTokens += tokens
	}
	e.prefixes[key] = cachedPrefix{tokens, at}
	for e.cachedTokens > cacheCapacity {
		var oldest uint64
		first := true
		for k, c := range e.prefixes {
			if first || c.lastUsed.Before(e.prefixes[oldest].lastUsed) {
				oldest, first = k, false
			}
		}
		e.cachedTokens -= e.prefixes[oldest].tokens
		delete(e.prefixes, oldest)
	}
}

// generate generates a token for each running call.
func (m *model) generate(e *simulatedEngine) {
	var still []*engineCall
	for _, r := range e.running {
		r.generated++
		r.remaining--
		if r.generated == firstTokens {
			r.outstanding.PromptProcessed()
			if !e.freeAt.After(r.target) {
				m.result.inTarget++
			}
		}
		if r.remaining > 0 {
			still = append(still, r)
			continue
		}
		r.outstanding.End(e.freeAt, balance.Succeeded)
	}
	e.running = still
}

// constantRate returns a rate of calls that does not change.
func constantRate(perSecond float64) func(float64) float64 {
	return func(float64) float64 { return perSecond }
}
