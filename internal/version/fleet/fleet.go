// Package fleet holds what an entry host knows of the endpoints it can use.
//
// # Snapshots
//
// The controller owns the changing state and publishes a Snapshot after each
// change. Traffic reads one Snapshot for one decision and never writes to it.
//
// # Leaving
//
// Leaving is a property of an incarnation and never turns back. A host that
// returns on the same address does so under a new incarnation.
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

// Endpoint is one host that runs a service, in one incarnation.
type Endpoint struct {
	Host        identity.Host
	Incarnation identity.Incarnation
	Address     netip.AddrPort
	Service     identity.Service
	Zone        identity.Zone
	Class       identity.Class
	// Reclaimable is false for an on-demand host.
	Reclaimable bool
	// Leaving never returns to false for one incarnation.
	Leaving bool
	// Deadline is when a leaving host is gone; zero when not known.
	Deadline time.Time
	// ChecksFence is false for an endpoint that obeys orders with old fences.
	ChecksFence bool
	// Slots is how many requests it runs at once; zero means not told.
	Slots int
	// Since is when this host first saw the incarnation.
	Since time.Time
	Load  Load
}

// Load is what an endpoint last said of itself.
type Load struct {
	// At is when the report was received; zero means there was none.
	At time.Time
	// Running and Waiting count requests.
	Running int
	Waiting int
	// WaitingTokens are prompt tokens not yet read.
	WaitingTokens unit.Tokens
	// CachedTokens and CacheCapacity describe the prefix cache.
	CachedTokens  unit.Tokens
	CacheCapacity unit.Tokens
	// ModelVersion, Adapter and Role are what it has loaded.
	ModelVersion string
	Adapter      string
	Role         string
}

// Snapshot is everything one decision needs. It is immutable once published.
type Snapshot struct {
	// Host, Zone and Region place the entry host itself.
	Host          identity.Host
	Zone          identity.Zone
	Region        identity.Region
	Configuration configuration.Configuration
	// Endpoints is sorted by Host and holds one incarnation a host.
	Endpoints []Endpoint

	byService map[identity.Service][]int
}

// New indexes endpoints, which must be sorted by Host; it keeps the slice.
func New(host identity.Host, zone identity.Zone, c configuration.Configuration, endpoints []Endpoint) *Snapshot {
	s := &Snapshot{Host: host, Zone: zone, Region: c.Region(zone), Configuration: c, Endpoints: endpoints}
	s.byService = make(map[identity.Service][]int)
	for i, e := range endpoints {
		s.byService[e.Service] = append(s.byService[e.Service], i)
	}
	return s
}

// Serving lists the indexes into Endpoints of those that run service.
func (s *Snapshot) Serving(service identity.Service) []int {
	return s.byService[service]
}

// Find gives the endpoint of a host.
func (s *Snapshot) Find(host identity.Host) (Endpoint, bool) {
	i, ok := slices.BinarySearchFunc(s.Endpoints, host, func(e Endpoint, h identity.Host) int {
		return strings.Compare(string(e.Host), string(h))
	})
	if !ok {
		return Endpoint{}, false
	}
	return s.Endpoints[i], true
}
