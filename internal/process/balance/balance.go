// Package balance chooses an endpoint for each call by load, prefix cache and
// locality.
//
// # Inputs
//
// Each host knows its own outstanding calls at an endpoint immediately, and those
// of other hosts a few hundred milliseconds later. From both it estimates the time
// to a call's first token, at the speed that package speed has learned. The shared prefix of a prompt is expected in the cache
// of endpoints to which this host sent it before, and at the few endpoints that all
// hosts derive by rendezvous hashing: at the first of them, or at the next ones
// when it is busy.
//
// # Failures
//
// Endpoints are ejected by the outcomes of calls. An ejected endpoint is ranked
// last for a while instead of being excluded, so that the ranking is unchanged if
// all endpoints fail alike.
//
// # Advice
//
// Endpoints are excluded as they have said themselves: one that is leaving, one that
// wants no calls for a while, and one that names a limit except in this host's turns.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/process/speed"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Part is one part of a prompt. Prompts that start with the same parts can share
// cached tokens.
type Part struct {
	ID     uint64
	Tokens unit.Tokens
}

// Call describes a call that needs an endpoint.
type Call struct {
	Service *catalogue.Service
	// Parts lists the prompt's parts in order; the last one is specific to this call.
	Parts []Part
	// Prompt is the number of prompt tokens, Output the maximum number of generated
	// tokens.
	Prompt, Output unit.Tokens
	// Avoid lists endpoints that were already tried.
	Avoid []identity.Incarnation
	// Software, if set, is the software version that began the call's stream. What two
	// versions write does not fit together, so only endpoints of this one are chosen.
	Software *identity.Software
	// Unconfirmed lists endpoints that may run another software version by now.
	Unconfirmed []identity.Incarnation
}

// Choice is the endpoint chosen for a call.
type Choice struct {
	Endpoint fleet.Endpoint
	// Wait is the expected time until the first token, or until the answer of a
	// non-model service.
	Wait time.Duration
	// Uncached is the number of prompt tokens that the endpoint is expected to
	// process.
	Uncached unit.Tokens
	// LightlyLoaded is set if less than half of the endpoint's slots are in use.
	LightlyLoaded bool
	// ahead is what the endpoint has to do before the first event.
	ahead speed.Ahead
	// rank is the cost by which endpoints are compared. Unlike Wait it takes what is
	// believed of caches and queues as true: calls that go where a prefix is expected
	// make the expectation come true.
	rank time.Duration
}

// Balancer tracks the outstanding calls at each endpoint. Create one with New.
type Balancer struct {
	zone   identity.Zone
	region func(identity.Zone) identity.Region
	speed  *speed.Learner
	advice *advice.Keeper

	mu        sync.Mutex
	endpoints map[identity.Incarnation]*endpointState
	services  map[identity.Service][]*endpointState
}

// endpointState is this host's view of one endpoint.
type endpointState struct {
	endpoint fleet.Endpoint
	hash     uint64
	// own is the load of this host's calls, others that reported by other hosts.
	own, others neighbour.Load
	// prefixSentAt records when a prefix, identified by its hash, was last sent here.
	prefixSentAt map[uint64]time.Time
	health
	// fullUntil is the time until which the endpoint, having refused a call, counts
	// as full.
	fullUntil time.Time
	slowness  slowness
}

// Option configures a Balancer.
type Option func(*Balancer)

// WithSpeed sets the learner to which calls are recorded and from which waits are
// estimated.
func WithSpeed(l *speed.Learner) Option {
	return func(b *Balancer) { b.speed = l }
}

// WithAdvice sets what endpoints say of themselves.
func WithAdvice(k *advice.Keeper) Option {
	return func(b *Balancer) { b.advice = k }
}

// New returns a Balancer for a host in zone.
func New(zone identity.Zone, region func(identity.Zone) identity.Region, options ...Option) *Balancer {
	b := &Balancer{
		zone: zone, region: region, speed: speed.New(), advice: advice.New(limit.New()),
		endpoints: make(map[identity.Incarnation]*endpointState), services: make(map[identity.Service][]*endpointState),
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// SetEndpoints replaces the endpoints and keeps the state of those that remain.
func (b *Balancer) SetEndpoints(endpoints []fleet.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[identity.Incarnation]*endpointState, len(endpoints))
	services := make(map[identity.Service][]*endpointState)
	for _, e := range endpoints {
		s := b.endpoints[e.Incarnation]
		if s == nil || s.endpoint.FirstSeen != e.FirstSeen {
			s = &endpointState{hash: xxh3.HashString(string(e.Incarnation)), prefixSentAt: make(map[uint64]time.Time)}
		}
		s.endpoint = e
		next[e.Incarnation] = s
		services[e.Service] = append(services[e.Service], s)
	}
	b.endpoints, b.services = next, services
}

// Endpoints returns the endpoints of a service.
func (b *Balancer) Endpoints(service identity.Service) []fleet.Endpoint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []fleet.Endpoint
	for _, s := range b.services[service] {
		list = append(list, s.endpoint)
	}
	return list
}

// SetPeerLoads replaces the load that other live hosts reported.
func (b *Balancer) SetPeerLoads(live []neighbour.ReceivedReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.endpoints {
		s.others = neighbour.Load{}
		s.ejectedByPeers = 0
	}
	for _, h := range live {
		for id, load := range h.Loads {
			s := b.endpoints[id]
			if s == nil {
				continue
			}
			s.others.Running += load.Running
			s.others.PendingPrefill += load.PendingPrefill
			s.others.ReservedCache += load.ReservedCache
			if load.Ejected {
				s.ejectedByPeers++
			}
		}
	}
}

// LocalLoads returns the load of this host's outstanding calls, for its report to other
// hosts.
func (b *Balancer) LocalLoads(now time.Time) map[identity.Incarnation]neighbour.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[identity.Incarnation]neighbour.Load)
	for id, s := range b.endpoints {
		load := s.own
		load.Ejected = s.ejected(now)
		if load != (neighbour.Load{}) {
			loads[id] = load
		}
	}
	return loads
}

// Choose returns the endpoint with the lowest cost among a few candidates, or
// among all endpoints if the best candidate has a penalty. It returns false if the
// service has no usable endpoint.
func (b *Balancer) Choose(now time.Time, call Call) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := query{Call: call, promptPrefix: b.prefixOf(call), speed: b.speed.Estimate(call.Service)}
	best, found := b.cheapest(now, q, b.candidates(call, q.preferred))
	if !found || best.penalised {
		best, found = b.cheapest(now, q, b.services[call.Service.ID])
	}
	if found {
		b.advice.Take(best.Endpoint.Incarnation)
	}
	return best.Choice, found
}

// Permits reports whether a call for which an endpoint was chosen earlier may still be
// sent to it: it has neither been removed nor begun to leave since, and wants calls.
func (b *Balancer) Permits(now time.Time, e fleet.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[e.Incarnation]
	return s != nil && !s.endpoint.Leaving && b.advice.Permits(now, e.Incarnation)
}

// Closed tells why a service has no endpoint for a call by what its endpoints have said.
// limited is set if one of them would serve it, had it not named a limit. quiet is for how
// long the first of those that are quiet wants no call, or zero.
func (b *Balancer) Closed(now time.Time, service identity.Service) (limited bool, quiet time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services[service] {
		id := s.endpoint.Incarnation
		if s.endpoint.Leaving || b.advice.Leaving(id) {
			continue
		}
		if closedFor := b.advice.ClosedFor(now, id); closedFor > 0 {
			if quiet == 0 || closedFor < quiet {
				quiet = closedFor
			}
			continue
		}
		if _, named := b.advice.Limits.Limited(id); named {
			limited = true
		}
	}
	return limited, quiet
}

// allows reports whether an endpoint's software may serve the call. A stream that goes on
// has begun at its version already.
func (c *Call) allows(e fleet.Endpoint) bool {
	if c.Software == nil {
		return !e.Held
	}
	return e.Software == *c.Software && !slices.Contains(c.Unconfirmed, e.Incarnation)
}

// Serves reports whether a service has an endpoint that runs the given software and is not
// leaving.
func (b *Balancer) Serves(service identity.Service, software identity.Software) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[service], func(s *endpointState) bool {
		return !s.endpoint.Leaving && s.endpoint.Software == software
	})
}

// HasOther reports whether a call may now get another endpoint than the given one.
func (b *Balancer) HasOther(now time.Time, call Call, e fleet.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.services[call.Service.ID], func(s *endpointState) bool {
		return s.endpoint.Incarnation != e.Incarnation && call.allows(s.endpoint) &&
			!s.endpoint.Leaving && b.advice.Open(now, s.endpoint.Incarnation)
	})
}

// query is a call with what is derived for it once for all endpoints.
type query struct {
	Call
	promptPrefix
	speed speed.Estimate
}

// candidates returns the preferred endpoints of a prompt and a random sample of
// the service's endpoints. Reported loads are stale: if every host compared all
// endpoints, all hosts would pick the same ones until the next reports arrive.
func (b *Balancer) candidates(call Call, preferred preferredEndpoints) []*endpointState {
	all := b.services[call.Service.ID]
	if len(all) <= sampleSize {
		return all
	}
	list := make([]*endpointState, 0, len(preferred)+sampleSize)
	for _, s := range preferred {
		if s != nil {
			list = append(list, s)
		}
	}
	for range sampleSize {
		list = append(list, all[rand.IntN(len(all))])
	}
	return list
}

// rankedChoice is a choice with a flag that is set if the cost of its endpoint
// includes a penalty.
type rankedChoice struct {
	Choice
	penalised bool
}

// cheapest returns the choice with the lowest cost among the endpoints of list.
func (b *Balancer) cheapest(now time.Time, q query, list []*endpointState) (best rankedChoice, found bool) {
	lowestCost := 0.0
	for _, s := range list {
		if s.endpoint.Leaving || !q.allows(s.endpoint) || slices.Contains(q.Avoid, s.endpoint.Incarnation) || !b.advice.Open(now, s.endpoint.Incarnation) {
			continue
		}
		choice := b.estimate(now, s, q)
		penalty := s.penalty(now)
		cost := float64(choice.rank)/float64(time.Millisecond) + b.localityCost(s.endpoint.Zone, q.Service) + penalty
		cost += rand.Float64() * jitterMillis
		if !found || cost < lowestCost {
			best, lowestCost, found = rankedChoice{choice, penalty > 0}, cost, true
		}
	}
	return best, found
}

// promptPrefix holds what is derived from a call's parts, for all endpoints alike.
type promptPrefix struct {
	// prefixHashes holds the hash of the first part, of the first two parts, and so
	// on.
	prefixHashes []uint64
	// sharedTokens is the size of all parts but the last.
	sharedTokens unit.Tokens
	preferred    preferredEndpoints
}

func (b *Balancer) prefixOf(call Call) promptPrefix {
	p := promptPrefix{prefixHashes: prefixHashes(call.Parts)}
	if len(call.Parts) < 2 {
		return p
	}
	for _, part := range call.Parts[:len(call.Parts)-1] {
		p.sharedTokens += part.Tokens
	}
	p.preferred = b.rendezvous(call.Service.ID, p.prefixHashes[len(p.prefixHashes)-2])
	return p
}

// preferredEndpoints are the endpoints at which all hosts expect the shared parts
// of a prompt, in order of preference.
type preferredEndpoints [len(preferredCachedFractions)]*endpointState

// cachedFraction returns the fraction of sharedTokens that s is expected to have
// cached.
func (h *preferredEndpoints) cachedFraction(s *endpointState) float64 {
	for i, preferred := range h {
		if preferred == s {
			return preferredCachedFractions[i]
		}
	}
	return 0
}

// rendezvous ranks the endpoints of all zones by rendezvous hashing. Calls whose
// prompts share parts reach hosts in every zone; separate preferred endpoints in
// each zone would process the shared parts once per zone.
func (b *Balancer) rendezvous(service identity.Service, key uint64) preferredEndpoints {
	var best preferredEndpoints
	var ranks [len(preferredCachedFractions)]uint64
	for _, s := range b.services[service] {
		if s.endpoint.Leaving {
			continue
		}
		rank, candidate := mix(key^s.hash), s
		for i := range best {
			if best[i] == nil || rank > ranks[i] {
				best[i], candidate = candidate, best[i]
				ranks[i], rank = rank, ranks[i]
			}
			if candidate == nil {
				break
			}
		}
	}
	return best
}

// preferredCachedFractions holds the fraction of sharedTokens that is expected to
// be cached at the first preferred endpoint and at the ones that calls overflow to.
var preferredCachedFractions = [...]float64{0.85, 0.5, 0.25}

const (
	// prefixCacheTTL is how long a prefix counts as cached after it was sent; newer
	// prefixes evict it.
	prefixCacheTTL = 20 * time.Second
	// sampleSize is the number of random candidates besides the preferred endpoints.
	sampleSize = 6
	// jitterMillis keeps hosts with the same information from choosing the same
	// endpoint.
	jitterMillis = 3.0
)
