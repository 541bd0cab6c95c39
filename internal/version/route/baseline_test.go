package route_test

import (
	"os"
	"strconv"

	"github.com/dandelionlift/dandelionlift/internal/process/dispatch"
	"github.com/dandelionlift/dandelionlift/internal/process/prefix"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/route"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
)

// policy is a routing policy under test. choose returns the index of an engine for
// a request at a host, or -1; the other functions may be nil.
type policy struct {
	choose      func(h *fakeHost, r *request) int
	finished    func(h *fakeHost, r *request, endpoint int)
	resync      func(h *fakeHost, incarnation identity.Incarnation, sequence uint64, blocks []engine.Block)
	cacheEvents func(h *fakeHost, endpoint int, incarnation identity.Incarnation, events []engine.CacheEvent)
}

var policies = []struct {
	name string
	make func(*sim) policy
}{
	{"dandelionlift", dandelionlift},
	{"round_robin", func(s *sim) policy { return policy{choose: s.roundRobin} }},
	{"least_outstanding", func(s *sim) policy { return policy{choose: s.leastOutstanding} }},
	{"cheapest_first", func(s *sim) policy { return policy{choose: s.cheapestFirst} }},
	{"prefix_hash", func(s *sim) policy { return policy{choose: s.prefixHash} }},
}

// dandelionlift is the policy of package route, with a dispatch tracker and a prefix
// index for each host.
func dandelionlift(s *sim) policy {
	trackers, indexes := make([]*dispatch.Tracker, len(s.hosts)), make([]*prefix.Index, len(s.hosts))
	localStates := make([]route.LocalState, len(s.hosts))
	tables := make([]*route.Table, len(s.hosts))
	for i := range s.hosts {
		trackers[i], indexes[i] = dispatch.New(), prefix.New()
		localStates[i] = route.LocalState{Dispatches: trackers[i].Dispatches, Cached: indexes[i].Cached, Holder: indexes[i].Holder, Hosts: len(s.hosts), DisabledTerms: disabledTerms()}
	}
	choose := func(h *fakeHost, r *request) int {
		if tables[h.index] == nil || tables[h.index].Snapshot() != h.snapshot {
			tables[h.index] = route.New(h.snapshot, tables[h.index], simTime(s.now), nil)
		}
		call := route.Call{Service: "model", Blocks: r.blocks, PromptTokens: unit.Tokens(r.prompt()), MaxTokens: unit.Tokens(r.output - r.generated), Batch: r.batch}
		var d route.Decision
		if !tables[h.index].Choose(&call, &localStates[h.index], simTime(s.now), h.random, &d) {
			return -1
		}
		e := tables[h.index].ChosenEndpoint(&d)
		trackers[h.index].Begin(r.id, e.Incarnation, d.Candidates[d.Winner].Score.Uncached, simTime(s.now))
		return s.endpointIndex(e)
	}
	return policy{
		choose:   choose,
		finished: func(h *fakeHost, r *request, _ int) { trackers[h.index].End(r.id, true, simTime(s.now)) },
		cacheEvents: func(h *fakeHost, _ int, incarnation identity.Incarnation, events []engine.CacheEvent) {
			indexes[h.index].Apply(incarnation, events)
		},
		resync: func(h *fakeHost, incarnation identity.Incarnation, sequence uint64, blocks []engine.Block) {
			indexes[h.index].Resync(incarnation, sequence, blocks)
		},
	}
}

// disabledTerms returns the terms to disable in trials, read as a bit set from the
// environment.
func disabledTerms() route.Term {
	n, _ := strconv.ParseUint(os.Getenv("DANDELIONLIFT_WITHOUT"), 10, 8)
	return route.Term(n)
}

func (s *sim) endpointIndex(e fleet.Endpoint) int { return s.engineIndex(&fakeEngine{endpoint: e}) }

// usableEndpoints returns the endpoints of a host's snapshot that aren't leaving.
func usableEndpoints(h *fakeHost) []fleet.Endpoint {
	var list []fleet.Endpoint
	for _, e := range h.snapshot.Endpoints {
		if !e.Leaving {
			list = append(list, e)
		}
	}
	return list
}

func (s *sim) roundRobin(h *fakeHost, _ *request) int {
	list := usableEndpoints(h)
	h.rounds++
	return s.endpointIndex(list[(h.rounds+h.index)%len(list)])
}

// leastOutstanding picks the endpoint with the fewest of the host's own requests in
// flight; ties are broken at random.
func (s *sim) leastOutstanding(h *fakeHost, _ *request) int {
	return s.minBy(h, func(e fleet.Endpoint) float64 { return float64(h.outstanding[s.endpointIndex(e)]) })
}

// cheapestFirst picks the cheapest endpoint with a free batch slot in its last
// report, or the cheapest of all if none has one.
func (s *sim) cheapestFirst(h *fakeHost, _ *request) int {
	return s.minBy(h, func(e fleet.Endpoint) float64 {
		cost := s.engines[s.endpointIndex(e)].hourlyPrice
		if e.Load.Running+e.Load.Waiting >= batchSize {
			cost += 1e9
		}
		return cost
	})
}

// prefixHash uses rendezvous hashing of a block beyond the organisation's common
// prefix.
func (s *sim) prefixHash(h *fakeHost, r *request) int {
	key := uint64(r.blocks[min(15, len(r.blocks)-1)])
	return s.minBy(h, func(e fleet.Endpoint) float64 {
		return float64(xxh3.HashStringSeed(string(e.Incarnation), key))
	})
}

func (s *sim) minBy(h *fakeHost, value func(fleet.Endpoint) float64) int {
	best, lowest, tied := -1, 0.0, 0
	for _, e := range usableEndpoints(h) {
		v := value(e)
		switch {
		case best < 0 || v < lowest:
			best, lowest, tied = s.endpointIndex(e), v, 1
		case v == lowest:
			tied++
			if h.random.IntN(tied) == 0 {
				best = s.endpointIndex(e)
			}
		}
	}
	return best
}
