package endpoint

import (
	"math"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// idlePart is the part of the connections that an endpoint accepts which all hosts
// together may keep idle. The rest is for calls that exceed what their host has kept:
// neither the endpoint's queue nor how many connections fewer it accepts while that is long
// is known in advance.
const idlePart = 0.5

// IdleShare returns how many idle connections to an endpoint a host may keep if the
// endpoint accepts at most limit connections from that many hosts combined; zero means no
// limit. The share of a host is rarely a whole number, and less than one in a large fleet,
// so a hash of host and endpoint decides whether it is rounded up. The sum over all hosts
// is then right without any agreement, and each endpoint has others that keep one more.
func IdleShare(limit, hosts int, host, to netip.AddrPort) int {
	if limit <= 0 {
		return maxIdlePerEndpoint
	}
	share := idlePart * float64(limit) / float64(max(1, hosts))
	draw := float64(xxh3.HashString(host.String()+"/"+to.String())) / math.MaxUint64
	return min(maxIdlePerEndpoint, int(share+draw))
}
