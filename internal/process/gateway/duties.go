package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/process/duty"
	"github.com/dandelionlift/dandelionlift/internal/process/scaling"
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// usageEvery is the period of looking for windows to report.
	usageEvery = 500 * time.Millisecond
	// usageSettle is how long after a window's end all counts have been told.
	usageSettle = 1500 * time.Millisecond
	// usageKept is how many windows' records stay in the store, for a successor.
	usageKept = 12
)

// runUsage reports each window's usage while this host holds the duty.
func (g *Gateway) runUsage(ctx context.Context) error {
	reported := make(map[usage.Window]bool)
	for pause.For(ctx, usageEvery) {
		if _, ok := g.duty.Fence(); !ok {
			continue
		}
		now := g.clock.Now()
		last := g.usage.WindowAt(now.Add(-usageSettle)) - 1
		for w := g.usage.WindowAt(now.Add(-g.bounds.UsageLate)) - 1; w <= last; w++ {
			if !reported[w] && g.usage.End(w).Add(g.bounds.UsageLate).After(now) {
				reported[w] = g.report(ctx, w)
			}
		}
		for w := range reported {
			if w < last-usageKept {
				delete(reported, w)
			}
		}
	}
	return nil
}

// report writes a window's counts to the store first, so that whoever holds the
// duty later repeats the same, and then tells the platform.
func (g *Gateway) report(ctx context.Context, w usage.Window) bool {
	ctx, cancel := context.WithTimeout(ctx, duty.CallWithin)
	defer cancel()
	counts, err := g.record(ctx, w)
	if err != nil {
		g.log.Info("usage_not_recorded", "window", w, "error", err)
		return false
	}
	fence, ok := g.duty.Fence()
	if !ok {
		return false
	}
	err = g.edge.Duties.ReportUsage(ctx, fence, int64(w), counts)
	g.outcome(err)
	g.log.Info("usage_reported", "window", w, "fence", fence, "counts", counts, "error", err)
	return err == nil
}

// record gives the counts of a window that the store holds, after writing them
// if it holds none.
func (g *Gateway) record(ctx context.Context, w usage.Window) (usage.Counts, error) {
	key := usagePrefix + strconv.FormatInt(int64(w), 10)
	counts := g.usage.Sum(w)
	data, err := json.Marshal(counts)
	if err != nil {
		return nil, err
	}
	_, err = g.edge.Store.Commit(ctx, keyvalue.Transaction{
		Conditions: []keyvalue.Condition{{Key: key}},
		Writes:     []keyvalue.Entry{{Key: key, Data: data}},
		Deletes:    []string{usagePrefix + strconv.FormatInt(int64(w)-usageKept, 10)},
	})
	if err == nil {
		return counts, nil
	}
	if !errors.Is(err, keyvalue.ErrConflict) && !errors.Is(err, keyvalue.ErrAmbiguous) {
		return nil, err
	}
	value, err := g.edge.Store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	held := make(usage.Counts)
	return held, json.Unmarshal(value.Data, &held)
}

// outcome raises the fence after a call of which no answer came.
func (g *Gateway) outcome(err error) {
	if errors.Is(err, cloud.ErrUnanswered) {
		g.duty.Unanswered()
	}
}

const (
	// scaleEvery is the period of planning.
	scaleEvery = 500 * time.Millisecond
	// repeatAfter is how long after an order that was done it is given again while
	// fewer endpoints are there than were ordered: more than a boot takes.
	repeatAfter = 7 * time.Second
	// refusedAfter is how long an order that was refused waits.
	refusedAfter = 1500 * time.Millisecond
	// fewerAfter is how long an order stands before it is lowered: what is handed
	// back takes seconds to return.
	fewerAfter = 4 * time.Second
)

// kind is one thing that is ordered.
type kind struct {
	service     identity.Service
	zone        identity.Zone
	reclaimable bool
}

// order is the last order of a kind.
type order struct {
	fence   identity.Fence
	desired int
	at      time.Time
	done    bool
}

// planner is the scaling of one host while it holds the duty.
type planner struct {
	g      *Gateway
	memory map[identity.Service]*scaling.Memory
	orders map[kind]order
	// initial is the largest First of each zone until demand was known.
	initial map[kind]int
}

// runScaling plans and orders while this host holds the duty.
func (g *Gateway) runScaling(ctx context.Context) error {
	p := planner{g: g, memory: make(map[identity.Service]*scaling.Memory), orders: make(map[kind]order), initial: make(map[kind]int)}
	for pause.For(ctx, scaleEvery) {
		c := g.catalogue.Load()
		if c == nil {
			continue
		}
		_, holds := g.duty.Fence()
		for i := range c.Services {
			if s := &c.Services[i]; s.Scaling != nil {
				p.step(ctx, s, holds)
			}
		}
	}
	return nil
}

// step plans one service; a host that does not hold the duty only looks on.
func (p *planner) step(ctx context.Context, s *catalogue.Service, holds bool) {
	now := time.Now()
	zones := p.zones(now, s)
	memory := p.memory[s.ID]
	if !holds {
		clear(p.orders)
		return
	}
	settled := memory.Settled(now)
	wants := scaling.Plan(s.Scaling, zones, memory.Known(now))
	p.g.log.Debug("scaling_planned", "service", s.ID, "zones", zones, "wants", wants)
	for i, w := range wants {
		if settled {
			p.order(ctx, kind{s.ID, w.Zone, false}, w.Stable, zones[i].Stable)
		}
		p.order(ctx, kind{s.ID, w.Zone, true}, w.Reclaimable, zones[i].Reclaimable)
	}
}

// zones counts what there is of a service.
func (p *planner) zones(now time.Time, s *catalogue.Service) []scaling.Zone {
	memory := p.memory[s.ID]
	if memory == nil {
		memory = new(scaling.Memory)
		p.memory[s.ID] = memory
	}
	memory.Pass(now)
	demand := p.g.zoneWork(s.ID)
	byZone := make(map[identity.Zone]*scaling.Zone)
	for zone := range p.g.place.Regions {
		byZone[zone] = &scaling.Zone{
			Zone: zone, Demand: memory.Smooth(zone, demand[zone]), Ordered: p.orders[kind{s.ID, zone, true}].desired,
		}
	}
	stable := 0
	for _, e := range p.g.balancer.Fleet(s.ID) {
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
	memory.Seen(now, stable)
	zones := make([]scaling.Zone, 0, len(byZone))
	for _, z := range byZone {
		k := kind{service: s.ID, zone: z.Zone}
		if !memory.Known(now) {
			p.initial[k] = max(p.initial[k], scaling.First(z.Stable, z.Reclaimable))
		}
		z.Initial = p.initial[k]
		zones = append(zones, *z)
	}
	scaling.Sort(zones)
	return zones
}

// due tells whether an order is to be given, by the last one of its kind.
func (o order) due(fence identity.Fence, desired, present int) bool {
	age := time.Since(o.at)
	switch {
	case o.fence != fence:
		return desired != present
	case !o.done && desired >= o.desired:
		return age >= refusedAfter
	case o.desired == desired:
		return present < desired && age >= repeatAfter
	case desired < o.desired:
		return age >= fewerAfter
	default:
		return true
	}
}

// order tells the platform what is wanted, unless it was told.
func (p *planner) order(ctx context.Context, k kind, desired, present int) {
	fence, ok := p.g.duty.Fence()
	if !ok || !p.orders[k].due(fence, desired, present) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, duty.CallWithin)
	defer cancel()
	err := p.g.edge.Duties.Order(ctx, fence, cloud.Count{Service: k.service, Zone: k.zone, Reclaimable: k.reclaimable, Desired: desired})
	p.g.outcome(err)
	p.orders[k] = order{fence: fence, desired: desired, at: time.Now(), done: err == nil}
	p.g.log.Info("endpoints_ordered", "service", k.service, "zone", k.zone, "reclaimable", k.reclaimable,
		"desired", desired, "present", present, "fence", fence, "error", err)
}
