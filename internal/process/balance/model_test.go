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

// The model plays the users' engines in virtual time: an engine reads prompts in
// chunks between the tokens of the calls that run, and keeps what it read until it
// yields to newer prompts. Hosts hear of each other's calls late.
const (
	tick = time.Millisecond
	// stepMillis, stepEach, readPerMilli and chunk are the engines' sheet.
	stepMillis   = 5.55
	stepEach     = 0.029
	readPerMilli = 42.6
	chunk        = 2048
	slots        = 32
	memory       = 341_743
	// firstTokens is how many tokens the first event holds.
	firstTokens = 4
	// heardEvery is the period of reports, and late their age when they are heard
	// in the own zone and in another.
	heardEvery = 250 * time.Millisecond
	lateNear   = 250 * time.Millisecond
	lateFar    = 750 * time.Millisecond
	// between is the time to another region and back.
	between = 24 * time.Millisecond
)

// load is what callers ask for in a model.
type load struct {
	hosts, endpoints int
	// perSecond is the rate of calls, by the second since the start.
	perSecond func(second float64) float64
	// sessions are drawn evenly; hot is the share of calls of one of them.
	sessions int
	hot      float64
	lasts    time.Duration
	// lost is the second at which the first zone's endpoints are gone; zero: never.
	lost float64
}

// result is what a model's callers got.
type result struct {
	calls, inAim int
	// again counts tokens that were read although some engine had read them.
	again int
}

func (r result) share() float64 { return float64(r.inAim) / float64(max(1, r.calls)) }

// policy chooses an endpoint for a call that came to a host.
type policy func(m *model, host int, ask balance.Ask) (balance.Choice, bool)

func ours(m *model, host int, ask balance.Ask) (balance.Choice, bool) {
	return m.hosts[host].Choose(m.now, ask)
}

// anywhere is the baseline: any endpoint that is there.
func anywhere(m *model, _ int, _ balance.Ask) (balance.Choice, bool) {
	e := m.engines[m.rng.IntN(len(m.engines))]
	return balance.Choice{Endpoint: e.endpoint}, !e.gone
}

type model struct {
	load
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	hosts   []*balance.Balancer
	engines []*engine
	byID    map[identity.Incarnation]*engine
	// told are reports on their way, oldest first.
	told []report
	// read is what some engine has read.
	read   map[uint64]bool
	result result
}

// report is what a host said, and when those of its zone and of others hear it.
type report struct {
	host  int
	at    time.Time
	loads map[identity.Incarnation]neighbour.Load
}

// engine is one endpoint.
type engine struct {
	endpoint fleet.Endpoint
	queue    []*run
	running  []*run
	freeAt   time.Time
	// cached says when a chain of parts was used last; tokens is its size.
	cached map[uint64]cachedPart
	held   int
	gone   bool
}

type cachedPart struct {
	tokens int
	at     time.Time
}

// run is one call at an engine.
type run struct {
	ask          balance.Ask
	use          *balance.Use
	unread       int
	tokens, left int
	aimed        time.Time
	found        bool
}

func newModel(seed uint64, l load) *model {
	m := &model{
		load: l, rng: rand.New(rand.NewPCG(seed, 0)), start: now, now: now,
		byID: make(map[identity.Incarnation]*engine), read: make(map[uint64]bool),
	}
	var list []fleet.Endpoint
	for i := range l.endpoints {
		e := fleet.Endpoint{
			Incarnation: identity.Incarnation(fmt.Sprint("e", i)), Service: "models", Zone: places[i%len(places)], Slots: slots,
		}
		list = append(list, e)
		n := &engine{endpoint: e, cached: make(map[uint64]cachedPart)}
		m.engines = append(m.engines, n)
		m.byID[e.Incarnation] = n
	}
	for i := range l.hosts {
		b := balance.New(m.zone(i), func(z identity.Zone) identity.Region { return identity.Region(z) })
		b.SetFleet(list)
		m.hosts = append(m.hosts, b)
	}
	return m
}

func (m *model) zone(host int) identity.Zone { return places[host%len(places)] }

// play runs the model.
func (m *model) play(choose policy) result {
	due := 0.0
	for ; m.now.Sub(m.start) < m.lasts; m.now = m.now.Add(tick) {
		second := m.now.Sub(m.start).Seconds()
		if m.lost > 0 && second >= m.lost {
			m.lose()
		}
		m.hear()
		for due += m.perSecond(second) * tick.Seconds(); due >= 1; due-- {
			m.call(choose)
		}
		for _, e := range m.engines {
			m.step(e)
		}
	}
	return m.result
}

// lose takes the first zone's endpoints away; the calls that ran there are lost.
func (m *model) lose() {
	m.lost = 0
	var left []fleet.Endpoint
	for _, e := range m.engines {
		e.gone = e.endpoint.Zone == places[0]
		if !e.gone {
			left = append(left, e.endpoint)
			continue
		}
		for _, r := range append(e.queue, e.running...) {
			r.use.End(m.now, balance.Failed)
		}
		e.queue, e.running = nil, nil
	}
	for _, b := range m.hosts {
		b.SetFleet(left)
	}
}

// hear has hosts tell what they have under way, and hear what others told.
func (m *model) hear() {
	if m.now.Sub(m.start)%heardEvery != 0 {
		return
	}
	for i, b := range m.hosts {
		m.told = append(m.told, report{host: i, at: m.now, loads: b.Loads(m.now)})
	}
	for i, b := range m.hosts {
		latest := make(map[int]report)
		for _, r := range m.told {
			late := lateFar
			if m.zone(r.host) == m.zone(i) {
				late = lateNear
			}
			if r.host != i && m.now.Sub(r.at) >= late {
				latest[r.host] = r
			}
		}
		live := make([]neighbour.Heard, 0, len(latest))
		for _, r := range latest {
			live = append(live, neighbour.Heard{Report: neighbour.Report{Loads: r.loads}, At: r.at})
		}
		b.SetOthers(live)
	}
	for len(m.told) > 0 && m.now.Sub(m.told[0].at) > 2*lateFar {
		m.told = m.told[1:]
	}
}

// call has one call come to a host, and sends it.
func (m *model) call(choose policy) {
	id := 0
	if m.rng.Float64() >= m.hot {
		id = 1 + m.rng.IntN(m.sessions)
	}
	m.result.calls++
	host := m.rng.IntN(len(m.hosts))
	ask := session(id, m.result.calls)
	choice, found := choose(m, host, ask)
	if !found {
		return
	}
	e := m.byID[choice.Endpoint.Incarnation]
	r := &run{ask: ask, use: m.hosts[host].Start(m.now, choice, ask), left: int(ask.Output), aimed: m.now.Add(800 * time.Millisecond)}
	if e.endpoint.Zone != m.zone(host) {
		r.aimed = r.aimed.Add(-between)
	}
	if len(e.queue)+len(e.running) >= 2*slots {
		r.use.End(m.now, balance.Full)
		return
	}
	e.queue = append(e.queue, r)
}

// step has an engine work until its next step is done.
func (m *model) step(e *engine) {
	if e.gone || m.now.Before(e.freeAt) || len(e.queue)+len(e.running) == 0 {
		return
	}
	taken := m.prefill(e)
	took := stepMillis + stepEach*float64(len(e.running)) + float64(taken)/readPerMilli
	e.freeAt = m.now.Add(time.Duration(took * float64(time.Millisecond)))
	m.generate(e)
}

// prefill reads a chunk of the prompts that wait, the first one first.
func (m *model) prefill(e *engine) int {
	taken := 0
	for len(e.queue) > 0 && len(e.running) < slots && taken < chunk {
		r := e.queue[0]
		if !r.found {
			m.find(e, r)
		}
		n := min(chunk-taken, r.unread)
		r.unread -= n
		taken += n
		if r.unread == 0 {
			e.queue = e.queue[1:]
			e.running = append(e.running, r)
		}
	}
	return taken
}

// find looks up what of a prompt is cached, and counts what is read again.
func (m *model) find(e *engine, r *run) {
	r.found = true
	hit := true
	var key uint64
	for _, p := range r.ask.Parts {
		key = key*1_000_003 + p.ID
		_, cached := e.cached[key]
		hit = hit && cached
		if hit {
			e.cached[key] = cachedPart{int(p.Tokens), m.now}
			continue
		}
		r.unread += int(p.Tokens)
		if m.read[key] {
			m.result.again += int(p.Tokens)
		}
		m.read[key] = true
		e.keep(key, int(p.Tokens), m.now)
	}
	r.unread = max(1, r.unread)
}

// keep caches a part; the least recently used ones yield.
func (e *engine) keep(key uint64, tokens int, at time.Time) {
	if _, cached := e.cached[key]; !cached {
		e.held += tokens
	}
	e.cached[key] = cachedPart{tokens, at}
	for e.held > memory {
		var oldest uint64
		first := true
		for k, c := range e.cached {
			if first || c.at.Before(e.cached[oldest].at) {
				oldest, first = k, false
			}
		}
		e.held -= e.cached[oldest].tokens
		delete(e.cached, oldest)
	}
}

// generate gives each running call a token.
func (m *model) generate(e *engine) {
	var still []*run
	for _, r := range e.running {
		r.tokens++
		r.left--
		if r.tokens == firstTokens {
			r.use.Read()
			if !e.freeAt.After(r.aimed) {
				m.result.inAim++
			}
		}
		if r.left > 0 {
			still = append(still, r)
			continue
		}
		r.use.End(e.freeAt, balance.Succeeded)
	}
	e.running = still
}

// steady is a rate that does not change.
func steady(perSecond float64) func(float64) float64 {
	return func(float64) float64 { return perSecond }
}
