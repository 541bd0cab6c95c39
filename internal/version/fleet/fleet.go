// Package fleet models the endpoints that are known to an entry host.
//
// # Snapshots
//
// Package controller owns the mutable state and publishes a Snapshot after each
// change. The request path reads one Snapshot per decision and never modifies it.
//
// # Leaving
//
// An incarnation that is leaving stays so, unless the endpoint itself shows later that it
// serves: see package departure. A host that returns on the same address does so under a
// new incarnation.
package fleet

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Endpoint is one incarnation of a host that runs a service.
type Endpoint struct {
	Host        identity.Host
	Incarnation identity.Incarnation
	Address     netip.AddrPort
	Service     identity.Service
	Zone        identity.Zone
	Class       identity.Class
	// Reclaimable is false for an on-demand host.
	Reclaimable bool
	// Leaving returns to false for one incarnation only on a later report of the endpoint,
	// or once its entry must have been renewed since.
	Leaving bool
	// Held is set while calls should not begin at the endpoint, since not all hosts can
	// know its software version yet.
	Held bool
	// Deadline is when a leaving host shuts down; zero if unknown.
	Deadline time.Time
	// ChecksFence is false for an endpoint that executes commands with a stale
	// fencing token.
	ChecksFence bool
	// Slots is the number of requests it runs concurrently; zero if not reported.
	Slots int
	// Software is the version of its software; empty if not reported.
	Software identity.Software
	// Sequence is higher the later the incarnation reported this; zero if unknown.
	Sequence uint64
	// Started is when the incarnation started by its own clock; zero if unknown.
	Started time.Time
	// FirstSeen is when this entry host first saw the incarnation.
	FirstSeen time.Time
	Load      Load
}

// Load is an endpoint's latest load report.
type Load struct {
	// ReceivedAt is when the report was received; zero if there was none.
	ReceivedAt time.Time
	// Running and Waiting count requests.
	Running int
	Waiting int
	// WaitingTokens is the number of prompt tokens not yet prefilled.
	WaitingTokens unit.Tokens
	// CachedTokens and CacheCapacity are the use and size of the prefix cache.
	CachedTokens  unit.Tokens
	CacheCapacity unit.Tokens
	// ModelVersion and Adapter are what the endpoint has loaded, Role is the role
	// that it reports.
	ModelVersion string
	Adapter      string
	Role         string
}

// Snapshot is the state that one decision reads. It is immutable once published.
type Snapshot struct {
	// Host, Zone and Region are those of the entry host itself.
	Host          identity.Host
	Zone          identity.Zone
	Region        identity.Region
	Configuration configuration.Configuration
	// Endpoints is sorted by Host and holds one incarnation per host.
	Endpoints []Endpoint

	byService map[identity.Service][]int
}

// New returns a Snapshot of endpoints, which must be sorted by Host. It retains
// the slice.
func New(host identity.Host, zone identity.Zone, c configuration.Configuration, endpoints []Endpoint) *Snapshot {
	s := &Snapshot{Host: host, Zone: zone, Region: c.Region(zone), Configuration: c, Endpoints: endpoints}
	s.byService = make(map[identity.Service][]int)
	for i, e := range endpoints {
		s.byService[e.Service] = append(s.byService[e.Service], i)
	}
	return s
}

// Serving returns the indexes into Endpoints of those that run service.
func (s *Snapshot) Serving(service identity.Service) []int {
	return s.byService[service]
}

// Find returns the endpoint of a host, if there is one.
func (s *Snapshot) Find(host identity.Host) (Endpoint, bool) {
	i, ok := slices.BinarySearchFunc(s.Endpoints, host, func(e Endpoint, h identity.Host) int {
		return strings.Compare(string(e.Host), string(h))
	})
	if !ok {
		return Endpoint{}, false
	}
	return s.Endpoints[i], true
}
