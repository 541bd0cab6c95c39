// Package handover lets entry hosts pass requests on and find their answers.
//
// # Where a request is
//
// A request id names the host that accepted it by a hash. A host that leaves
// hands its unfinished requests to others of its zone, in the order that Order
// gives, so that any host can work out where to ask.
package handover

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Order sorts hosts by rendezvous hashing with a request, the first choice first.
func Order(request identity.Request, hosts []identity.Host) []identity.Host {
	weight := func(h identity.Host) uint64 { return xxh3.HashString(string(request) + "/" + string(h)) }
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b identity.Host) int { return cmp.Compare(weight(b), weight(a)) })
	return ordered
}
