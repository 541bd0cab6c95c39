package gateway

import (
	"math"
	"net/netip"
	"sync/atomic"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
)

// idleLimits holds how many idle connections this host may keep to each endpoint.
type idleLimits struct {
	// basis is what the published limits follow from. The control goroutine owns it.
	basis     idleBasis
	published atomic.Pointer[map[netip.AddrPort]int]
}

type idleBasis struct {
	hosts     int
	catalogue *catalogue.Catalogue
	endpoints *[]fleet.Endpoint
}

// maxIdle returns the limit of an endpoint. One without a limit is bounded by the pool.
func (l *idleLimits) maxIdle(to netip.AddrPort) int {
	if published := l.published.Load(); published != nil {
		if limit, ok := (*published)[to]; ok {
			return limit
		}
	}
	return math.MaxInt
}

// updateIdleLimits divides the connections that endpoints accept among the hosts. Those
// that stopped reporting within hostCountWindow count: they may still keep theirs.
func (g *Gateway) updateIdleLimits() {
	basis := idleBasis{
		hosts: g.neighbours.HostCount(hostCountWindow), catalogue: g.catalogue.Load(), endpoints: g.endpoints.Load(),
	}
	if basis == g.idleLimits.basis || basis.catalogue == nil {
		return
	}
	limits := make(map[netip.AddrPort]int, len(*basis.endpoints))
	for _, e := range *basis.endpoints {
		if s, ok := basis.catalogue.Service(e.Service); ok {
			limits[e.Address] = endpoint.IdleShare(s.MaxConnections, basis.hosts, g.self.Address, e.Address)
		}
	}
	g.idleLimits.basis = basis
	g.idleLimits.published.Store(&limits)
}
