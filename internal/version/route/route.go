// Package route decides which endpoint an attempt goes to. The decision is a
// pure function of a snapshot, the call, and a random source.
package route

import (
	"math/rand/v2"

	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Ask is what a decision needs to know of the call.
type Ask struct {
	Service identity.Service
	// Tried are incarnations that already failed this call.
	Tried []identity.Incarnation
}

// Choose picks an endpoint, or reports false when none can take the call.
func Choose(s *fleet.Snapshot, ask Ask, random *rand.Rand) (fleet.Endpoint, bool) {
	var best fleet.Endpoint
	found, tied := false, 0
	for _, i := range s.Serving(ask.Service) {
		e := s.Endpoints[i]
		if e.Leaving || tried(ask.Tried, e.Incarnation) {
			continue
		}
		switch {
		case !found || queue(e) < queue(best):
			best, found, tied = e, true, 1
		case queue(e) == queue(best):
			tied++
			if random.IntN(tied) == 0 {
				best = e
			}
		}
	}
	return best, found
}

func queue(e fleet.Endpoint) int {
	return e.Load.Running + e.Load.Waiting
}

func tried(list []identity.Incarnation, incarnation identity.Incarnation) bool {
	for _, t := range list {
		if t == incarnation {
			return true
		}
	}
	return false
}
