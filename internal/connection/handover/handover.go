// Package handover lets entry hosts transfer requests to other entry hosts and
// locate their answers.
//
// # Locating a request
//
// A request ID contains a hash of the host that accepted the request. When that
// host leaves, it offers its unfinished requests to other hosts of its zone in
// the order that RankHosts returns. Any host can thus compute where to look for a
// request.
package handover

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// RankHosts ranks hosts for a request by rendezvous hashing, the first choice first.
func RankHosts(request identity.Request, hosts []identity.Host) []identity.Host {
	weight := func(h identity.Host) uint64 { return xxh3.HashString(string(request) + "/" + string(h)) }
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b identity.Host) int { return cmp.Compare(weight(b), weight(a)) })
	return ordered
}
