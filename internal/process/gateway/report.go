package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// localReport returns this host's report, and keeps its token demand for
// shareQuota.
func (g *Gateway) localReport() neighbour.Report {
	now := time.Now()
	demand := tokenDemand{requested: g.quota.Demand(now), admitted: g.quota.Admitted()}
	g.tokenDemand.Store(&demand)
	busy, squares := make(map[identity.Service]float64), make(map[identity.Service]float64)
	for id, d := range g.serviceDemand.perSecond(now) {
		busy[id], squares[id] = d.busy, d.squares
	}
	r := neighbour.Report{
		Host: g.self.Host, Zone: g.self.Zone,
		Revisions: map[string]keyvalue.Revision{
			g.platform.ConfigurationKey: g.mirror.LatestRevision(g.platform.ConfigurationKey),
			g.platform.EndpointPrefix:   g.mirror.LatestRevision(g.platform.EndpointPrefix),
		},
		TokenDemand: demand.requested, TokensAdmitted: demand.admitted,
		ServiceDemand: busy, ServiceDemandSquares: squares,
		Speeds:       g.speed.Local(),
		Usage:        g.usage.LocalCounts(g.clock.Now()),
		UsageBegun:   g.recorder.Begun(),
		Loads:        g.balancer.LocalLoads(now),
		Departures:   *g.departures.Load(),
		Limits:       g.advice.Limits.Reported(g.neighbours.IsRelay()),
		Quarantine:   g.quarantine.Evidence(g.neighbours.Relayed() && g.neighbours.IsRelay()),
		WatchesStore: g.neighbours.IsRelay() && !g.storeFailing(),
		StoreFailing: g.storeFailing(),
	}
	if len(r.Limits) > 0 && g.neighbours.Relayed() && g.neighbours.IsRelay() {
		r.ZoneHosts = g.neighbours.ZoneHosts()
	}
	if fence, ok := g.elector.Fence(); ok {
		r.Leader = &neighbour.Leader{Fence: fence}
	}
	return r
}

// tokenDemand is what this host last reported of the organisations' use of their
// limits.
type tokenDemand struct{ requested, admitted quota.Demand }

// storeFailing reports whether the store fails to answer this host.
func (g *Gateway) storeFailing() bool {
	_, configuration := g.mirror.FailingSince(g.platform.ConfigurationKey)
	_, endpoints := g.mirror.FailingSince(g.platform.EndpointPrefix)
	return configuration || endpoints
}

// hasOtherLeader reports whether a live neighbour is the leader.
func (g *Gateway) hasOtherLeader() bool {
	reported := func(h neighbour.ReceivedReport) bool {
		return h.Leader != nil && time.Since(h.ReceivedAt) < g.bounds.LeaseDuration/2
	}
	// A leader that is not a relay is heard by the relays of its zone only.
	return slices.ContainsFunc(*g.heardReports.Load(), reported) || slices.ContainsFunc(*g.liveReports.Load(), reported)
}

// rank returns the host's position among the live hosts in the order of addresses. A
// host that is not a relay comes after the relays of all zones.
func (g *Gateway) rank() int {
	rank := 0
	if !g.neighbours.IsRelay() {
		rank = neighbour.RelaysPerZone * len(g.self.Regions)
	}
	for _, h := range *g.heardReports.Load() {
		if h.Address.Compare(g.self.Address) < 0 {
			rank++
		}
	}
	return rank
}

// demandMeter measures the endpoint time that callers request, by service.
type demandMeter struct {
	mu       sync.Mutex
	services map[identity.Service]*decayingDemand
}

// serviceDemand is the endpoint time requested from a service.
type serviceDemand struct {
	// busy is the endpoint time in seconds per second, squares the sum of the squared
	// times of the calls of a second.
	busy, squares float64
}

func (d serviceDemand) plus(other serviceDemand) serviceDemand {
	return serviceDemand{busy: d.busy + other.busy, squares: d.squares + other.squares}
}

func (d serviceDemand) times(factor float64) serviceDemand {
	return serviceDemand{busy: d.busy * factor, squares: d.squares * factor}
}

// decayingDemand is a sum that decays with time constant demandWindow.
type decayingDemand struct {
	sum              serviceDemand
	started, updated time.Time
}

// demandWindow is the period over which demand for scaling is averaged.
const demandWindow = 4 * time.Second

// recordDemand counts the endpoint time of a call to a model service.
func (g *Gateway) recordDemand(c *forward.Call, uncached unit.Tokens) {
	if c.Service.Engine == nil {
		return
	}
	g.serviceDemand.add(time.Now(), c.Service.ID, g.balancer.EngineTime(c.Service, uncached, c.Output).Seconds())
}

func (m *demandMeter) add(now time.Time, id identity.Service, seconds float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.services == nil {
		m.services = make(map[identity.Service]*decayingDemand)
	}
	d := m.services[id]
	if d == nil {
		d = &decayingDemand{started: now, updated: now}
		m.services[id] = d
	}
	d.decay(now)
	d.sum = d.sum.plus(serviceDemand{busy: seconds, squares: seconds * seconds})
}

func (d *decayingDemand) decay(now time.Time) {
	d.sum = d.sum.times(math.Exp(-now.Sub(d.updated).Seconds() / demandWindow.Seconds()))
	d.updated = now
}

// minDemandPeriod is the shortest period that demand is divided by, so that the first
// calls are not taken for a high rate.
const minDemandPeriod = time.Second

// perSecond returns the demand by service. Shortly after the first call it is averaged
// over the time since then.
func (m *demandMeter) perSecond(now time.Time) map[identity.Service]serviceDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	demand := make(map[identity.Service]serviceDemand, len(m.services))
	for id, d := range m.services {
		d.decay(now)
		age := max(minDemandPeriod, now.Sub(d.started)).Seconds()
		period := demandWindow.Seconds() * (1 - math.Exp(-age/demandWindow.Seconds()))
		demand[id] = d.sum.times(1 / period)
	}
	return demand
}

// totalDemand returns the demand for a service at all hosts.
func (g *Gateway) totalDemand(service identity.Service) serviceDemand {
	total := g.serviceDemand.perSecond(time.Now())[service]
	for _, h := range *g.liveReports.Load() {
		total = total.plus(serviceDemand{busy: h.ServiceDemand[service], squares: h.ServiceDemandSquares[service]})
	}
	return total
}
