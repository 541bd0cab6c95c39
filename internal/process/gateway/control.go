package gateway

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/mirror"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// tick is the period of what time alone changes.
	tick = 100 * time.Millisecond
	// sweepEvery is the period of dropping what has expired.
	sweepEvery = time.Second
	// troubleFor is how long after the store's last failure removals may be
	// entries that lapsed meanwhile.
	troubleFor = 4 * time.Second
	// massRemoval is how many entries at once are taken for such, too.
	massRemoval = 3
	// misdirectedFor is how long an endpoint is not used after another one
	// answered at its address.
	misdirectedFor = 3 * time.Second
)

// control is what the control goroutine owns.
type control struct {
	// entries are the endpoints that the store names, by key.
	entries map[string]entry
	// lapsed are entries that were removed in trouble, and until when they hold.
	lapsed map[string]lapse
	// leaving are endpoints that leave, by whatever source; kept while named.
	leaving map[identity.Incarnation]time.Time
	// misdirected are endpoints at whose address another answered.
	misdirected map[identity.Incarnation]time.Time
	// unreadable are the revisions of entries that name no endpoint, so that
	// each is logged once.
	unreadable map[string]keyvalue.Revision
	trouble    time.Time
	swept      time.Time
}

type entry struct {
	endpoint fleet.Endpoint
	revision keyvalue.Revision
}

type lapse struct {
	endpoint fleet.Endpoint
	until    time.Time
}

func newControl() control {
	return control{
		entries: make(map[string]entry), lapsed: make(map[string]lapse),
		leaving:     make(map[identity.Incarnation]time.Time),
		misdirected: make(map[identity.Incarnation]time.Time),
		unreadable:  make(map[string]keyvalue.Revision),
	}
}

// runControl owns control's state.
func (g *Gateway) runControl(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-g.changed:
			g.configure()
			g.renewFleet(time.Now())
		case r := <-g.told:
			g.learnLeaving(r)
		case id := <-g.gone:
			g.control.misdirected[id] = time.Now().Add(misdirectedFor)
			g.publish(time.Now())
		case now := <-ticker.C:
			g.tick(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// configure puts a newer configuration in force.
func (g *Gateway) configure() {
	copied, ok := g.mirror.Copy(g.edge.ConfigurationKey)
	if !ok {
		return
	}
	i := slices.IndexFunc(copied.Items, func(i mirror.Item) bool { return i.Key == g.edge.ConfigurationKey })
	if i < 0 {
		return
	}
	item := copied.Items[i]
	now := g.catalogue.Load()
	next, err := g.edge.Catalogue(item.Data)
	if err != nil {
		if g.control.unreadable[item.Key] != item.Revision {
			g.control.unreadable[item.Key] = item.Revision
			g.log.Error("configuration_unreadable", "revision", item.Revision, "error", err)
		}
		return
	}
	if now != nil && next.Version <= now.Version {
		return
	}
	g.catalogue.Store(next)
	g.log.Info("configuration_in_force", "version", next.Version, "revision", item.Revision,
		"routes", len(next.Routes), "organisations", len(next.Organisations))
}

// renewFleet reads the endpoints that the store names now.
func (g *Gateway) renewFleet(now time.Time) {
	if _, failing := g.mirror.Failing(g.edge.EndpointPrefix); failing {
		g.control.trouble = now
	}
	copied, ok := g.mirror.Copy(g.edge.EndpointPrefix)
	if !ok {
		return
	}
	before := g.control.entries
	g.control.entries = make(map[string]entry, len(copied.Items))
	for _, item := range copied.Items {
		g.readEntry(now, item, before[item.Key])
	}
	g.lapse(now, before)
	g.publish(now)
}

// readEntry decodes an endpoint unless it is the same as before.
func (g *Gateway) readEntry(now time.Time, item mirror.Item, before entry) {
	if before.revision == item.Revision {
		g.control.entries[item.Key] = before
		return
	}
	e, err := g.edge.Endpoint(item.Key, item.Data)
	if err != nil {
		if g.control.unreadable[item.Key] != item.Revision {
			g.control.unreadable[item.Key] = item.Revision
			g.log.Warn("endpoint_unreadable", "key", item.Key, "revision", item.Revision, "error", err)
		}
		return
	}
	e.Since = now
	if before.endpoint.Incarnation == e.Incarnation {
		e.Since = before.endpoint.Since
	} else {
		g.log.Info("endpoint_found", "endpoint", e.Host, "service", e.Service, "zone", e.Zone, "address", e.Address, "reclaimable", e.Reclaimable)
	}
	if e.Leaving {
		g.leave(now, e.Incarnation, "store", item.Revision)
	}
	g.control.entries[item.Key] = entry{endpoint: e, revision: item.Revision}
	delete(g.control.lapsed, item.Key)
}

// lapse handles entries that are gone. Around the store's trouble they may have
// lapsed while it was away, and are back soon if the endpoint lives.
func (g *Gateway) lapse(now time.Time, before map[string]entry) {
	var gone []string
	for key := range before {
		if _, ok := g.control.entries[key]; !ok {
			gone = append(gone, key)
		}
	}
	trouble := now.Sub(g.control.trouble) < troubleFor || len(gone) >= massRemoval
	for _, key := range gone {
		e := before[key].endpoint
		_, leaving := g.control.leaving[e.Incarnation]
		g.log.Info("endpoint_removed", "endpoint", e.Host, "service", e.Service, "leaving", leaving, "store_trouble", trouble)
		if trouble && !leaving && !e.Leaving {
			g.control.lapsed[key] = lapse{endpoint: e, until: now.Add(g.bounds.Reappear)}
			continue
		}
		g.control.leaving[e.Incarnation] = now
	}
}

// leave marks an endpoint as leaving for good.
func (g *Gateway) leave(now time.Time, id identity.Incarnation, source string, version any) {
	if _, known := g.control.leaving[id]; known {
		return
	}
	g.control.leaving[id] = now
	g.log.Info("endpoint_leaving", "endpoint", id, "source", source, "version", version)
}

// learnLeaving takes what a neighbour knows to leave, of the endpoints that are
// known here: of others nothing is to be done, and they would be told in circles.
func (g *Gateway) learnLeaving(r neighbour.Report) {
	changed := false
	for _, id := range r.Leaving {
		if _, known := g.control.leaving[id]; !known && g.named(id) {
			g.leave(time.Now(), id, string(r.Host), r.Sequence)
			changed = true
		}
	}
	if changed {
		g.publish(time.Now())
	}
}

// leavingTold is how long an endpoint that leaves is told to neighbours.
const leavingTold = 30 * time.Second

// publish makes the endpoints that traffic uses.
func (g *Gateway) publish(now time.Time) {
	var list []fleet.Endpoint
	for _, e := range g.control.entries {
		list = append(list, g.asKnown(now, e.endpoint))
	}
	for _, l := range g.control.lapsed {
		list = append(list, g.asKnown(now, l.endpoint))
	}
	slices.SortFunc(list, func(a, b fleet.Endpoint) int { return strings.Compare(string(a.Host), string(b.Host)) })
	leaving := make([]identity.Incarnation, 0, len(g.control.leaving))
	for id := range g.control.leaving {
		leaving = append(leaving, id)
	}
	g.balancer.SetFleet(list)
	g.fleet.Store(&list)
	g.leaving.Store(&leaving)
}

func (g *Gateway) asKnown(now time.Time, e fleet.Endpoint) fleet.Endpoint {
	if _, leaving := g.control.leaving[e.Incarnation]; leaving {
		e.Leaving = true
	}
	if until, ok := g.control.misdirected[e.Incarnation]; ok && now.Before(until) {
		e.Leaving = true
	}
	return e
}

// tick does what time alone brings about.
func (g *Gateway) tick(now time.Time) {
	g.clock.Hear(g.place.Host, time.Now())
	live := g.neighbours.Live()
	g.live.Store(&live)
	g.balancer.SetOthers(live)
	g.shareQuota(now, live)
	expired := false
	for key, l := range g.control.lapsed {
		if now.After(l.until) {
			delete(g.control.lapsed, key)
			g.control.leaving[l.endpoint.Incarnation] = now
			g.log.Info("endpoint_gone", "endpoint", l.endpoint.Host, "waited", g.bounds.Reappear)
			expired = true
		}
	}
	if now.Sub(g.control.swept) > sweepEvery {
		g.control.swept = now
		expired = g.sweep(now) || expired
	}
	if expired {
		g.publish(now)
	}
}

// shareQuota divides limits by the demand that was told.
func (g *Gateway) shareQuota(now time.Time, live []neighbour.Heard) {
	own := quota.Told{Hosts: 1, Demand: *g.demand.Load()}
	others := make([]quota.Told, 0, len(live))
	for i := range live {
		others = append(others, quota.Told{Hosts: live[i].Count(), Demand: live[i].Demand})
	}
	g.quota.Share(own, others, g.neighbours.Hosts(hostsWithin))
}

// sweep drops what has expired, and tells whether endpoints changed by it.
func (g *Gateway) sweep(now time.Time) bool {
	g.balancer.Sweep(now)
	g.usage.Forget(g.clock.Now())
	kept := make(map[netip.AddrPort]bool)
	for _, e := range *g.fleet.Load() {
		kept[e.Address] = true
	}
	g.pool.Sweep(now, func(a netip.AddrPort) bool { return kept[a] })
	changed := false
	for id, since := range g.control.leaving {
		if now.Sub(since) > leavingTold && !g.named(id) {
			delete(g.control.leaving, id)
		}
	}
	for id, until := range g.control.misdirected {
		if now.After(until) {
			delete(g.control.misdirected, id)
			changed = true
		}
	}
	return changed
}

// named tells whether the store still names an endpoint.
func (g *Gateway) named(id identity.Incarnation) bool {
	for _, e := range g.control.entries {
		if e.endpoint.Incarnation == id {
			return true
		}
	}
	return false
}
