// Package balance chooses an endpoint for each call by what is under way.
//
// # What is known
//
// Each host knows its own calls at an endpoint at once, and those of other hosts
// a few hundred milliseconds later. From both follows how long a call would wait
// for its first token. A prompt's shared parts are looked for where this host
// sent them before, and at the few endpoints that all hosts agree on by rendezvous
// hashing: the first of them, and those next to it when it is busy.
//
// # Faults
//
// Endpoints are judged by outcomes. One that fails is put last for a while
// rather than left out: where all fail alike, the choice stays what it was.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Part is one part of a prompt; equal parts in front can be cached.
type Part struct {
	ID     uint64
	Tokens unit.Tokens
}

// Ask is a call that needs an endpoint.
type Ask struct {
	Service *catalogue.Service
	// Parts lists the prompt's parts in order; the last belongs to this call.
	Parts []Part
	// Prompt and Output are the tokens read and the most generated.
	Prompt, Output unit.Tokens
	// Avoid names endpoints that were tried.
	Avoid []identity.Incarnation
}

// Choice is an endpoint for a call.
type Choice struct {
	Endpoint fleet.Endpoint
	// Wait is the expected time until the first token or the answer.
	Wait time.Duration
	// Uncached is the prompt's part that is expected to be read.
	Uncached unit.Tokens
	// Idle tells that under half of the endpoint's places are taken.
	Idle bool
}

// Balancer keeps what is under way. Make one with New.
type Balancer struct {
	zone   identity.Zone
	region func(identity.Zone) identity.Region

	mu        sync.Mutex
	endpoints map[identity.Incarnation]*state
	services  map[identity.Service][]*state
}

// state is one endpoint as this host sees it.
type state struct {
	endpoint fleet.Endpoint
	hash     uint64
	// own and others are this host's calls and those that others told.
	own, others neighbour.Load
	// parts says when a part was last sent here.
	parts map[uint64]time.Time
	health
	// fullUntil is set when the endpoint refused a call.
	fullUntil time.Time
}

// New makes a Balancer for a host in zone.
func New(zone identity.Zone, region func(identity.Zone) identity.Region) *Balancer {
	return &Balancer{
		zone: zone, region: region,
		endpoints: make(map[identity.Incarnation]*state), services: make(map[identity.Service][]*state),
	}
}

// SetFleet replaces the endpoints, and keeps what is known of those that stay.
func (b *Balancer) SetFleet(endpoints []fleet.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[identity.Incarnation]*state, len(endpoints))
	services := make(map[identity.Service][]*state)
	for _, e := range endpoints {
		s := b.endpoints[e.Incarnation]
		if s == nil || s.endpoint.Since != e.Since {
			s = &state{hash: xxh3.HashString(string(e.Incarnation)), parts: make(map[uint64]time.Time)}
		}
		s.endpoint = e
		next[e.Incarnation] = s
		services[e.Service] = append(services[e.Service], s)
	}
	b.endpoints, b.services = next, services
}

// Fleet lists the endpoints of a service.
func (b *Balancer) Fleet(service identity.Service) []fleet.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []fleet.Endpoint
	for _, s := range b.services[service] {
		list = append(list, s.endpoint)
	}
	return list
}

// SetOthers takes what live neighbours have under way.
func (b *Balancer) SetOthers(live []neighbour.Heard) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.endpoints {
		s.others = neighbour.Load{}
		s.doubted = 0
	}
	for _, h := range live {
		for id, load := range h.Loads {
			s := b.endpoints[id]
			if s == nil {
				continue
			}
			s.others.Running += load.Running
			s.others.Unread += load.Unread
			s.others.Held += load.Held
			if load.Failing {
				s.doubted++
			}
		}
	}
}

// Loads is what this host has under way, for its neighbours.
func (b *Balancer) Loads(now time.Time) map[identity.Incarnation]neighbour.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[identity.Incarnation]neighbour.Load)
	for id, s := range b.endpoints {
		load := s.own
		load.Failing = s.failing(now)
		if load != (neighbour.Load{}) {
			loads[id] = load
		}
	}
	return loads
}

// Choose picks the endpoint at which a call would cost least, or reports that
// the service has none to use.
func (b *Balancer) Choose(now time.Time, ask Ask) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.prompt(ask)
	best, found := b.least(now, ask, p, b.candidates(ask, p.homes))
	if !found || best.penalised {
		best, found = b.least(now, ask, p, b.services[ask.Service.ID])
	}
	return best.Choice, found
}

// candidates are a prompt's homes and some endpoints drawn at random. What is known
// of other hosts' calls is old: if all hosts looked at all endpoints, all would send
// to the same ones until they hear of it.
func (b *Balancer) candidates(ask Ask, homes homes) []*state {
	all := b.services[ask.Service.ID]
	if len(all) <= drawn {
		return all
	}
	list := make([]*state, 0, len(homes)+drawn)
	for _, s := range homes {
		if s != nil {
			list = append(list, s)
		}
	}
	for range drawn {
		list = append(list, all[rand.IntN(len(all))])
	}
	return list
}

// priced is a choice that is penalised for its endpoint's faults.
type priced struct {
	Choice
	penalised bool
}

// least gives the choice of the least cost from a list.
func (b *Balancer) least(now time.Time, ask Ask, p prompt, list []*state) (best priced, found bool) {
	lowest := 0.0
	for _, s := range list {
		if s.endpoint.Leaving || slices.Contains(ask.Avoid, s.endpoint.Incarnation) {
			continue
		}
		choice := b.estimate(now, s, ask, p)
		penalty := s.penalty(now)
		cost := float64(choice.Wait)/float64(time.Millisecond) + b.distance(s.endpoint.Zone, ask.Service) + penalty
		cost += rand.Float64() * spread
		if !found || cost < lowest {
			best, lowest, found = priced{choice, penalty > 0}, cost, true
		}
	}
	return best, found
}

// estimate says how long a call would wait at an endpoint.
func (b *Balancer) estimate(now time.Time, s *state, ask Ask, p prompt) Choice {
	running := s.own.Running + s.others.Running
	choice := Choice{Endpoint: s.endpoint, Idle: 2*running < s.endpoint.Slots}
	over := max(0, running+1-s.endpoint.Slots)
	if ask.Service.Engine == nil {
		work := plainWorkMillis * float64(1+over) / float64(max(1, s.endpoint.Slots))
		choice.Wait = millis(work + plainWorkMillis)
		return choice
	}
	choice.Uncached = ask.Prompt - s.cached(now, ask, p)
	unread := float64(s.own.Unread + s.others.Unread + choice.Uncached)
	wait := unread/prefillPerMilli + stepMillis + stepEachMillis*float64(running)
	wait += float64(over) * slotWaitMillis
	held := s.own.Held + s.others.Held + ask.Prompt + ask.Output
	if short := float64(held) - memoryUsed*float64(ask.Service.Engine.Memory); short > 0 && running > 0 {
		wait += memoryWaitMillis * (1 + short/float64(ask.Prompt+ask.Output+1))
	}
	choice.Wait = millis(wait)
	return choice
}

// cached estimates the tokens of the prompt that an endpoint holds: what this host
// sent there, or the share of its common parts that hosts together have.
func (s *state) cached(now time.Time, ask Ask, p prompt) unit.Tokens {
	var known unit.Tokens
	for i, part := range ask.Parts {
		at, sent := s.parts[p.chains[i]]
		if !sent || now.Sub(at) > cachedFor {
			break
		}
		known += part.Tokens
	}
	guessed := unit.Tokens(p.homes.share(s) * float64(p.common))
	return min(ask.Prompt, max(known, guessed))
}

// prompt is what follows from a call's parts alone, whatever the endpoint.
type prompt struct {
	// chains names the leading parts, one more each.
	chains []uint64
	// common is the size of the parts before the call's own.
	common unit.Tokens
	homes  homes
}

func (b *Balancer) prompt(ask Ask) prompt {
	p := prompt{chains: chains(ask.Parts)}
	if len(ask.Parts) < 2 {
		return p
	}
	for _, part := range ask.Parts[:len(ask.Parts)-1] {
		p.common += part.Tokens
	}
	p.homes = b.homes(ask.Service.ID, p.chains[len(p.chains)-2])
	return p
}

// homes are the endpoints at which all hosts look for a prompt's common parts, the
// first one first.
type homes [len(homeShares)]*state

// share is the part of a prompt's common parts that is expected at s.
func (h *homes) share(s *state) float64 {
	for i, home := range h {
		if home == s {
			return homeShares[i]
		}
	}
	return 0
}

// homes ranks endpoints by rendezvous hashing. Sessions come to hosts of all
// zones, so a zone's own homes would each read a session's parts once more.
func (b *Balancer) homes(service identity.Service, key uint64) homes {
	var found homes
	var ranks [len(homeShares)]uint64
	for _, s := range b.services[service] {
		if s.endpoint.Leaving {
			continue
		}
		rank, at := mix(key^s.hash), s
		for i := range found {
			if found[i] == nil || rank > ranks[i] {
				found[i], at = at, found[i]
				ranks[i], rank = rank, ranks[i]
			}
			if at == nil {
				break
			}
		}
	}
	return found
}

// distance is what it costs to leave the zone, as a wait.
func (b *Balancer) distance(zone identity.Zone, service *catalogue.Service) float64 {
	far := farModelMillis
	if service.Engine == nil {
		far = farPlainMillis
	}
	switch {
	case zone == b.zone:
		return 0
	case b.region(zone) == b.region(b.zone):
		return far * sameRegionShare
	default:
		return far
	}
}

// Work is the engine time that a call takes, of which so many prompt tokens are read.
func Work(uncached, output unit.Tokens) time.Duration {
	return millis(float64(uncached)/prefillPerMilli + generatedShare*float64(output)*stepMillis/sharing)
}

func millis(m float64) time.Duration { return time.Duration(m * float64(time.Millisecond)) }

// homeShares is the part of a prompt's common parts that is expected at its first
// home and at those that calls overflow to.
var homeShares = [...]float64{0.85, 0.5, 0.25}

const (
	// prefillPerMilli, stepMillis and stepEachMillis describe the users' engines,
	// from their data sheet.
	prefillPerMilli = 42.6
	stepMillis      = 5.55
	stepEachMillis  = 0.029
	// sharing is how many calls usually share a step, and generatedShare the part of
	// the most tokens asked for that is generated.
	sharing        = 24
	generatedShare = 0.4
	// plainWorkMillis is how long a plain service works on a call, from the sheet.
	plainWorkMillis = 15.0
	// slotWaitMillis is the time after which one of a full engine's slots is free:
	// half a second's stream over some tens of slots.
	slotWaitMillis = 20.0
	// memoryUsed is the part of an engine's memory that is planned for, and
	// memoryWaitMillis the least that a call waits for more.
	memoryUsed       = 0.9
	memoryWaitMillis = 300.0
	// cachedFor is how long a part is taken to be cached after it was sent: parts
	// yield to newer ones.
	cachedFor = 20 * time.Second
	// farModelMillis and farPlainMillis are the wait in the own zone at which
	// leaving the region is worth its round trip and its bytes.
	farModelMillis  = 40.0
	farPlainMillis  = 45.0
	sameRegionShare = 0.25
	// drawn is how many endpoints are looked at beside a prompt's homes.
	drawn = 6
	// spread keeps hosts that know the same from choosing the same.
	spread = 3.0
)
