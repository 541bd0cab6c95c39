package gateway

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/process/duty"
	"github.com/dandelionlift/dandelionlift/internal/process/scaling"
	"github.com/dandelionlift/dandelionlift/internal/process/speed"
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// usageInterval is the period of checking for windows to report. It is longer than
	// the time between two reports to the other hosts.
	usageInterval = 500 * time.Millisecond
	// usageReportDelay is how long after a window's end all hosts' counts have arrived.
	usageReportDelay = 1500 * time.Millisecond
)

// runUsage reports each window's usage while this host is the leader.
func (g *Gateway) runUsage(ctx context.Context) error {
	reported := make(map[usage.Window]bool)
	for pause.For(ctx, usageInterval) {
		now := g.clock.Now()
		first, last := g.usage.WindowAt(now.Add(-g.bounds.UsageReportDue))-1, g.usage.WindowAt(now.Add(-usageReportDelay))-1
		g.recorder.Retain(first, g.usage.WindowAt(now))
		maps.DeleteFunc(reported, func(w usage.Window, _ bool) bool { return w < first })
		fence, ok := g.elector.Fence()
		if !ok {
			continue
		}
		for w := first; w <= last; w++ {
			// The other hosts are told one tick before a window is reported.
			if !reported[w] && g.usage.WindowEnd(w).Add(g.bounds.UsageReportDue).After(now) && g.recorder.Begin(w, keyvalue.Revision(fence).Era()) {
				reported[w] = g.reportUsage(ctx, w)
			}
		}
	}
	return nil
}

// reportUsage records a window's counts in the store and then reports them to the
// platform. It reports whether that is done or can't be done.
func (g *Gateway) reportUsage(ctx context.Context, w usage.Window) bool {
	ctx, cancel := context.WithTimeout(ctx, duty.CallTimeout)
	defer cancel()
	fence, ok := g.elector.Fence()
	if !ok {
		return false
	}
	counts, err := g.recorder.Record(ctx, w, keyvalue.Condition{Key: dutyKey, Revision: keyvalue.Revision(fence)})
	if err != nil {
		g.log.Info("usage_not_recorded", "window", w, "error", err)
		return errors.Is(err, usage.ErrLost)
	}
	if fence, ok = g.elector.Fence(); !ok {
		return false
	}
	err = g.platform.LeaderCalls.ReportUsage(ctx, fence, int64(w), counts)
	g.raiseFenceIfUnanswered(err)
	g.log.Info("usage_reported", "window", w, "fence", fence, "counts", counts, "error", err)
	return err == nil
}

// raiseFenceIfUnanswered requests a higher fence if err says that a call got no answer.
func (g *Gateway) raiseFenceIfUnanswered(err error) {
	if errors.Is(err, cloud.ErrOutcomeUnknown) {
		g.elector.RaiseFence()
	}
}

const (
	// planInterval is the period of scaling decisions.
	planInterval = 500 * time.Millisecond
	// repeatDelay is how long after an accepted order it is repeated if there are
	// fewer endpoints than ordered. It is longer than an endpoint takes to boot.
	repeatDelay = 7 * time.Second
	// failedOrderDelay is how long after an order failed or was refused it is tried
	// again.
	failedOrderDelay = 1500 * time.Millisecond
	// decreaseDelay is how long an order stands before it is lowered: it takes
	// seconds to get released endpoints again.
	decreaseDelay = 4 * time.Second
	// bootMargin is how much longer than the boot time an endpoint may take from its
	// order until it is discovered.
	bootMargin = time.Second
	// minSlackDivisor bounds the time that calls may wait from below, as a fraction of
	// the latency target: slow endpoints are not made up for by any number of them.
	minSlackDivisor = 4
)

// orderKey identifies a number of endpoints that is ordered separately.
type orderKey struct {
	service     identity.Service
	zone        identity.Zone
	reclaimable bool
}

// order is the last order placed for an orderKey.
type order struct {
	fence     identity.Fence
	desired   int
	orderedAt time.Time
	accepted  bool
}

// planner makes the scaling decisions of one host.
type planner struct {
	g          *Gateway
	trackers   map[identity.Service]*scaling.Tracker
	lastOrders map[orderKey]order
	// initial holds, by service and zone, the largest result of
	// scaling.InitialReclaimable before demand was known.
	initial map[orderKey]int
}

// runScaling plans each service, and orders endpoints while this host is the leader.
func (g *Gateway) runScaling(ctx context.Context) error {
	p := planner{g: g, trackers: make(map[identity.Service]*scaling.Tracker), lastOrders: make(map[orderKey]order), initial: make(map[orderKey]int)}
	for pause.For(ctx, planInterval) {
		c := g.catalogue.Load()
		if c == nil {
			continue
		}
		_, isLeader := g.elector.Fence()
		for i := range c.Services {
			if s := &c.Services[i]; s.Scaling != nil {
				p.planService(ctx, s, isLeader)
			}
		}
	}
	return nil
}

// planService plans one service. A host that is not the leader places no orders, but
// follows demand and the number of endpoints.
func (p *planner) planService(ctx context.Context, s *catalogue.Service, isLeader bool) {
	now := time.Now()
	estimate := p.g.speed.Estimate(s)
	load, zones := p.observe(now, s, estimate)
	tracker := p.trackers[s.ID]
	if !isLeader {
		clear(p.lastOrders)
		return
	}
	settled, known := tracker.Settled(now), tracker.DemandKnown(now, estimate.Samples)
	targets := scaling.Plan(s.Scaling, load, zones, known)
	p.g.log.Debug("scaling_planned", "service", s.ID, "load", load, "known", known, "speed", estimate, "zones", zones, "targets", targets)
	for i, target := range targets {
		if settled {
			p.placeOrder(ctx, orderKey{s.ID, target.Zone, false}, target.Stable, zones[i].Stable, load)
		}
		p.placeOrder(ctx, orderKey{s.ID, target.Zone, true}, target.Reclaimable, zones[i].Reclaimable, load)
	}
}

// observe returns the load of a service and its endpoints in each zone.
func (p *planner) observe(now time.Time, s *catalogue.Service, estimate speed.Estimate) (scaling.Load, []scaling.Zone) {
	tracker := p.trackers[s.ID]
	if tracker == nil {
		tracker = new(scaling.Tracker)
		p.trackers[s.ID] = tracker
	}
	tracker.Decay(now)
	load := p.observeLoad(s, tracker, estimate)
	byZone := make(map[identity.Zone]*scaling.Zone)
	for zone := range p.g.self.Regions {
		byZone[zone] = &scaling.Zone{Zone: zone, Price: s.Scaling.ZonePrices[zone], Ordered: p.lastOrders[orderKey{s.ID, zone, true}].desired}
	}
	stable := 0
	for _, e := range p.g.balancer.Endpoints(s.ID) {
		z := byZone[e.Zone]
		switch {
		case z == nil || e.Leaving:
		case e.Reclaimable:
			z.Reclaimable++
		default:
			z.Stable++
			stable++
		}
	}
	tracker.RecordStable(now, stable)
	known := tracker.DemandKnown(now, estimate.Samples)
	zones := make([]scaling.Zone, 0, len(byZone))
	for _, z := range byZone {
		key := orderKey{service: s.ID, zone: z.Zone}
		if !known {
			p.initial[key] = max(p.initial[key], scaling.InitialReclaimable(z.Stable, z.Reclaimable))
		}
		z.Initial = p.initial[key]
		if order := p.lastOrders[orderKey{s.ID, z.Zone, true}]; order.accepted && now.Sub(order.orderedAt) < s.Scaling.BootTime+bootMargin {
			z.Arriving = max(0, order.desired-z.Reclaimable)
		}
		zones = append(zones, *z)
	}
	scaling.SortZones(zones)
	return load, zones
}

// observeLoad returns the load of a service over all zones.
func (p *planner) observeLoad(s *catalogue.Service, tracker *scaling.Tracker, estimate speed.Estimate) scaling.Load {
	demand := p.g.totalDemand(s.ID)
	load := scaling.Load{Busy: tracker.SmoothDemand(demand.busy)}
	if demand.busy > 0 {
		load.Residual = time.Duration(demand.squares / (2 * demand.busy) * float64(time.Second))
	}
	load.Missing = p.g.missingEndpoints(s.ID, demand)
	load.Slack = max(s.LatencyTarget/minSlackDivisor, s.LatencyTarget-estimate.Base-load.Residual)
	return load
}

// due reports whether to place an order, given the number of endpoints desired, the
// number present and the last order o for the same key.
func (o order) due(fence identity.Fence, desired, present int) bool {
	age := time.Since(o.orderedAt)
	switch {
	case o.fence != fence:
		return desired != present
	case !o.accepted && desired >= o.desired:
		return age >= failedOrderDelay
	case o.desired == desired:
		return present < desired && age >= repeatDelay
	case desired < o.desired:
		return age >= decreaseDelay
	default:
		return true
	}
}

// placeOrder orders the desired number of endpoints from the platform if that is due.
func (p *planner) placeOrder(ctx context.Context, key orderKey, desired, present int, load scaling.Load) {
	fence, ok := p.g.elector.Fence()
	if !ok || !p.lastOrders[key].due(fence, desired, present) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, duty.CallTimeout)
	defer cancel()
	err := p.g.platform.LeaderCalls.SetDesiredCount(ctx, fence, cloud.DesiredCount{Service: key.service, Zone: key.zone, Reclaimable: key.reclaimable, Desired: desired})
	p.g.raiseFenceIfUnanswered(err)
	p.lastOrders[key] = order{fence: fence, desired: desired, orderedAt: time.Now(), accepted: err == nil}
	p.g.log.Info("endpoints_ordered", "service", key.service, "zone", key.zone, "reclaimable", key.reclaimable,
		"desired", desired, "present", present, "busy", load.Busy, "missing", load.Missing, "residual", load.Residual, "slack", load.Slack, "fence", fence, "error", err)
}
