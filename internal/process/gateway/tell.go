package gateway

import (
	"cmp"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// tell is what this host has to say now.
func (g *Gateway) tell() neighbour.Report {
	now := time.Now()
	demand := g.quota.Demand(now)
	g.demand.Store(&demand)
	r := neighbour.Report{
		Host: g.place.Host, Zone: g.place.Zone,
		Revisions: map[string]keyvalue.Revision{
			g.edge.ConfigurationKey: g.mirror.Last(g.edge.ConfigurationKey),
			g.edge.EndpointPrefix:   g.mirror.Last(g.edge.EndpointPrefix),
		},
		Demand:  demand,
		Work:    g.work.perSecond(now),
		Usage:   g.usage.Tell(g.clock.Now()),
		Loads:   g.balancer.Loads(now),
		Leaving: *g.leaving.Load(),
		Relay:   g.neighbours.Relay() && !g.storeFailing(),
	}
	if fence, ok := g.duty.Fence(); ok {
		r.Duty = &neighbour.Duty{Fence: fence}
	}
	return r
}

// storeFailing tells that the store does not answer this host.
func (g *Gateway) storeFailing() bool {
	_, configuration := g.mirror.Failing(g.edge.ConfigurationKey)
	_, endpoints := g.mirror.Failing(g.edge.EndpointPrefix)
	return configuration || endpoints
}

// heldElsewhere tells that a live neighbour holds the duty.
func (g *Gateway) heldElsewhere() bool {
	for _, h := range *g.live.Load() {
		if h.Duty != nil && time.Since(h.At) < g.bounds.Lease/2 {
			return true
		}
	}
	return false
}

// rank is the host's place among the live ones, by address.
func (g *Gateway) rank() int {
	rank := 0
	for _, h := range *g.live.Load() {
		if h.Address.Compare(g.place.Address) < 0 {
			rank++
		}
	}
	return rank
}

// work measures the endpoint time that callers ask for.
type work struct {
	mu       sync.Mutex
	services map[identity.Service]*rate
}

// rate is a sum that decays with workWindow.
type rate struct {
	sum float64
	at  time.Time
}

// workWindow smooths the demand that scaling follows.
const workWindow = 4 * time.Second

// asked counts a model call's work.
func (g *Gateway) asked(c *forward.Call, uncached unit.Tokens) {
	if c.Service.Engine == nil {
		return
	}
	g.work.add(time.Now(), c.Service.ID, balance.Work(uncached, c.Output).Seconds())
}

func (w *work) add(now time.Time, id identity.Service, seconds float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.services == nil {
		w.services = make(map[identity.Service]*rate)
	}
	r := w.services[id]
	if r == nil {
		r = &rate{at: now}
		w.services[id] = r
	}
	r.decay(now)
	r.sum += seconds
}

func (r *rate) decay(now time.Time) {
	passed := now.Sub(r.at).Seconds() / workWindow.Seconds()
	r.sum *= max(0, 1-passed)
	r.at = now
}

// perSecond gives the endpoint seconds a second by service.
func (w *work) perSecond(now time.Time) map[identity.Service]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	told := make(map[identity.Service]float64, len(w.services))
	for id, r := range w.services {
		r.decay(now)
		told[id] = r.sum / workWindow.Seconds()
	}
	return told
}

// zoneWork sums the work that callers of each zone ask for.
func (g *Gateway) zoneWork(service identity.Service) map[identity.Zone]float64 {
	sum := map[identity.Zone]float64{g.place.Zone: g.work.perSecond(time.Now())[service]}
	for _, h := range *g.live.Load() {
		sum[cmp.Or(h.Zone, g.place.Zone)] += h.Work[service]
	}
	return sum
}
