package gateway

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/departure"
	"github.com/dandelionlift/dandelionlift/internal/process/mirror"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/process/speed"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// tickInterval is the period of time-driven updates.
	tickInterval = 200 * time.Millisecond
	// sweepInterval is the period of dropping expired state.
	sweepInterval = time.Second
	// outageGrace is how long after the store's last failure a removed entry is
	// taken to have expired in the outage.
	outageGrace = 4 * time.Second
	// massRemovalSize is how many entries removed at once are also taken to have
	// expired in an outage.
	massRemovalSize = 3
	// misdirectedTimeout is how long an endpoint is not used after another one has
	// answered at its address.
	misdirectedTimeout = 3 * time.Second
)

// controlState is the state owned by the control goroutine.
type controlState struct {
	// entries holds the endpoints listed in the store, by key.
	entries map[string]entry
	// retained holds endpoints whose entries were removed around a store outage, by
	// key.
	retained map[string]retainedEndpoint
	// starts holds the latest start of the endpoint of each key. It holds one at least
	// while the store lists it or the endpoint is retained.
	starts map[string]start
	// doubted holds the entries that may be of an earlier start than the latest one, by key.
	doubted map[string]doubtedEntry
	// leaving holds the endpoints known to be leaving, from any source but their answers.
	leaving *departure.Set
	// asOf is the revision of the endpoints' latest copy.
	asOf keyvalue.Revision
	// misdirected holds until when endpoints are not used because another one
	// answered at their address.
	misdirected map[identity.Incarnation]time.Time
	// dialled holds when this host last connected to endpoints that seem to have crashed.
	dialled map[identity.Incarnation]time.Time
	// unreadable holds the revisions of values that could not be decoded, by key,
	// so that each is logged once.
	unreadable  map[string]keyvalue.Revision
	lastFailure time.Time
	// held is how many of the published endpoints are held, which ends by itself.
	held int
	// saidLeaving is how many endpoints had said that they are leaving at the last sweep.
	saidLeaving int
	lastSweep   time.Time
}

type entry struct {
	endpoint fleet.Endpoint
	revision keyvalue.Revision
	// since is when this host first read an entry of the endpoint that has not been
	// removed since.
	since time.Time
}

type retainedEndpoint struct {
	endpoint fleet.Endpoint
	until    time.Time
}

func newControl(bounds Bounds) controlState {
	return controlState{
		entries: make(map[string]entry), retained: make(map[string]retainedEndpoint),
		starts: make(map[string]start), doubted: make(map[string]doubtedEntry),
		leaving:     departure.New(lapsedHeartbeats * bounds.HeartbeatInterval),
		misdirected: make(map[identity.Incarnation]time.Time),
		dialled:     make(map[identity.Incarnation]time.Time),
		unreadable:  make(map[string]keyvalue.Revision),
	}
}

// runControl is the control goroutine, the only one to access g.control.
func (g *Gateway) runControl(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.mirrorChanged:
			g.applyConfiguration()
			g.reloadEndpoints(time.Now())
		case r := <-g.reports:
			g.mergeLeaving(r)
		case id := <-g.misdirections:
			g.control.misdirected[id] = time.Now().Add(misdirectedTimeout)
			g.publish(time.Now())
		case id := <-g.announcements:
			g.log.Info("endpoint_leaving", "endpoint", id, "source", "answer")
			g.publish(time.Now())
		case now := <-ticker.C:
			g.tick(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// applyConfiguration puts the stored configuration in force if its version is higher.
func (g *Gateway) applyConfiguration() {
	copied, ok := g.mirror.Copy(g.platform.ConfigurationKey)
	if !ok {
		return
	}
	i := slices.IndexFunc(copied.Items, func(i mirror.Item) bool { return i.Key == g.platform.ConfigurationKey })
	if i < 0 {
		return
	}
	item := copied.Items[i]
	current := g.catalogue.Load()
	next, err := g.platform.DecodeCatalogue(item.Data)
	if err != nil {
		if g.control.unreadable[item.Key] != item.Revision {
			g.control.unreadable[item.Key] = item.Revision
			g.log.Error("configuration_unreadable", "revision", item.Revision, "error", err)
		}
		return
	}
	if current != nil && next.Version <= current.Version {
		return
	}
	g.retainStreams(next)
	g.catalogue.Store(next)
	g.log.Info("configuration_in_force", "version", next.Version, "revision", item.Revision,
		"routes", len(next.Routes), "organisations", len(next.Organisations))
}

// reloadEndpoints reads the endpoints from the mirror.
func (g *Gateway) reloadEndpoints(now time.Time) {
	if _, failing := g.mirror.FailingSince(g.platform.EndpointPrefix); failing {
		g.control.lastFailure = now
		g.confirmations.failed.Store(now.UnixNano())
	}
	copied, ok := g.mirror.Copy(g.platform.EndpointPrefix)
	if !ok {
		return
	}
	if copied.AsOf.Era() != g.control.asOf.Era() {
		// Entries that a restored store lacks are about to be written again.
		g.control.lastFailure = now
	}
	g.control.asOf = copied.AsOf
	previous := g.control.entries
	g.control.entries = make(map[string]entry, len(copied.Items))
	listed := make(map[string]bool, len(copied.Items))
	for _, item := range copied.Items {
		listed[item.Key] = true
		g.readEntry(now, item, previous[item.Key])
	}
	maps.DeleteFunc(g.control.doubted, func(key string, _ doubtedEntry) bool { return !listed[key] })
	g.handleRemovals(now, previous)
	g.settleDepartures(now)
	g.publish(now)
}

// readEntry decodes an endpoint unless its entry is unchanged.
func (g *Gateway) readEntry(now time.Time, item mirror.Item, previous entry) {
	if previous.revision == item.Revision {
		g.control.entries[item.Key] = previous
		return
	}
	e, err := g.platform.DecodeEndpoint(item.Key, item.Data)
	if err != nil {
		if g.control.unreadable[item.Key] != item.Revision {
			g.control.unreadable[item.Key] = item.Revision
			g.log.Warn("endpoint_unreadable", "key", item.Key, "revision", item.Revision, "error", err)
		}
		return
	}
	latest := g.control.starts[item.Key].endpoint
	if g.doubts(now, item, latest, e) {
		// In a restored store the later start must register again.
		if previous.revision.Era() == item.Revision.Era() {
			g.control.entries[item.Key] = previous
		}
		return
	}
	e.FirstSeen = now
	late := latest.Incarnation == e.Incarnation && e.Sequence > 0 && e.Sequence < latest.Sequence
	switch {
	case late:
		// The endpoint has reported something else since.
		e = latest
	case latest.Incarnation == e.Incarnation:
		e.FirstSeen = latest.FirstSeen
	default:
		g.log.Info("endpoint_found", "endpoint", e.Host, "service", e.Service, "zone", e.Zone, "address", e.Address, "software", e.Software, "reclaimable", e.Reclaimable)
	}
	if e.Leaving && !late {
		g.markLeaving(now, e.Incarnation, "store", departure.Evidence{Revision: item.Revision, Sequence: e.Sequence, Announced: true})
	}
	since := previous.since
	if since.IsZero() || previous.endpoint.Incarnation != e.Incarnation {
		since = now
	}
	if latest.Incarnation != "" && latest.Incarnation != e.Incarnation {
		g.markLeaving(now, latest.Incarnation, "later start", departure.Evidence{Revision: item.Revision, Sequence: latest.Sequence})
		g.recordStart(now, latest, e)
	}
	if latest.Incarnation == e.Incarnation && e.Sequence > latest.Sequence {
		g.recordStay(now, e)
	}
	g.control.starts[item.Key] = start{endpoint: e, listed: now}
	g.control.entries[item.Key] = entry{endpoint: e, revision: item.Revision, since: since}
	delete(g.control.retained, item.Key)
}

// recordStay tells the keeper of advice that an endpoint which had said that it leaves has
// reported anew that it does not. Around a store outage the report may be of any age.
func (g *Gateway) recordStay(now time.Time, e fleet.Endpoint) {
	if e.Leaving || now.Sub(g.control.lastFailure) < outageGrace {
		return
	}
	if g.advice.Stay(now, e.Incarnation) {
		g.log.Info("endpoint_stays", "endpoint", e.Incarnation, "sequence", e.Sequence)
	}
}

// publish updates the endpoints that the request path uses, and those that reports
// list as leaving.
func (g *Gateway) publish(now time.Time) {
	var published []fleet.Endpoint
	for _, e := range g.control.entries {
		published = append(published, g.withLocalState(now, e.endpoint))
	}
	for _, kept := range g.control.retained {
		published = append(published, g.withLocalState(now, kept.endpoint))
	}
	g.origins.versions.Observe(published)
	if held := g.holdUnrecorded(published); held != g.control.held {
		g.control.held = held
		g.log.Info("endpoints_held", "count", held)
	}
	slices.SortFunc(published, func(a, b fleet.Endpoint) int { return strings.Compare(string(a.Host), string(b.Host)) })
	departures := g.control.leaving.Departures()
	g.balancer.SetEndpoints(published)
	g.endpoints.Store(&published)
	g.departures.Store(&departures)
	g.updateIdleLimits()
}

// withLocalState sets Leaving on an endpoint that is leaving, by any source, or
// misdirected. That an endpoint has said so itself is not told to other hosts: a call
// that it gets from them meanwhile is served, and tells them.
func (g *Gateway) withLocalState(now time.Time, e fleet.Endpoint) fleet.Endpoint {
	if g.control.leaving.Contains(e.Incarnation) || g.advice.Leaving(e.Incarnation) {
		e.Leaving = true
	}
	if until, ok := g.control.misdirected[e.Incarnation]; ok && now.Before(until) {
		e.Leaving = true
	}
	return e
}

// tick applies what changes with time: neighbours' reports, shares of limits and
// expiries.
func (g *Gateway) tick(now time.Time) {
	g.confirmations.observe(now)
	g.clock.RecordWallClock(g.self.Host, time.Now())
	live := g.neighbours.LiveReports()
	g.liveReports.Store(&live)
	heard := g.neighbours.HeardReports()
	g.heardReports.Store(&heard)
	g.balancer.SetPeerLoads(live)
	speeds := make([]map[identity.Service]speed.Estimate, 0, len(live))
	for i := range live {
		speeds = append(speeds, live[i].Speeds)
	}
	g.speed.SetPeers(speeds)
	g.shareQuota(now, live)
	g.decideQuarantine()
	g.advice.Limits.SetTurn(g.turn(heard))
	g.updateIdleLimits()
	if _, failing := g.mirror.FailingSince(g.platform.EndpointPrefix); failing {
		g.control.lastFailure = now
		g.confirmations.failed.Store(now.UnixNano())
	}
	gone := false
	for key, kept := range g.control.retained {
		if now.After(kept.until) && now.Sub(g.control.lastFailure) > g.bounds.ReappearTimeout {
			delete(g.control.retained, key)
			g.control.leaving.Add(now, kept.endpoint.Incarnation, departure.Evidence{Revision: g.control.asOf, Sequence: kept.endpoint.Sequence})
			g.log.Info("endpoint_gone", "endpoint", kept.endpoint.Host, "waited", g.bounds.ReappearTimeout)
			gone = true
		}
	}
	if gone {
		g.reloadEndpoints(now)
	}
	if g.control.held > 0 {
		g.publish(now)
	}
	if now.Sub(g.control.lastSweep) > sweepInterval {
		g.control.lastSweep = now
		g.sweepStarts(now)
		for _, d := range g.control.doubted {
			if g.renewed(now, d) {
				g.reloadEndpoints(now)
				break
			}
		}
		if g.sweep(now) {
			g.publish(now)
		}
	}
}

// shareQuota divides the limits among pools of hosts by their reported demand. The
// hosts of a full mesh are one pool, as are those of a zone of a relayed fleet.
func (g *Gateway) shareQuota(now time.Time, live []neighbour.ReceivedReport) {
	c := g.catalogue.Load()
	if c == nil {
		return
	}
	relayed := g.neighbours.Relayed()
	peers := make([]quota.PeerReport, 0, len(live))
	for i := range live {
		r := &live[i].Report
		group := string(r.Incarnation)
		if r.Hosts > 0 {
			group = string(r.Zone)
		}
		peers = append(peers, quota.PeerReport{
			Source: quota.Source{Group: group, Sender: r.Incarnation}, HostCount: r.HostCount(),
			InPool: !relayed || r.Zone == g.self.Zone, Demand: r.TokenDemand, Admitted: r.TokensAdmitted,
		})
	}
	g.quota.Update(now, c.Organisations, g.tokenDemand.Load().requested, peers, g.neighbours.HostCount(hostCountWindow))
}

// sweep drops expired state, and reports whether the published endpoints change.
func (g *Gateway) sweep(now time.Time) bool {
	g.balancer.EvictExpired(now)
	g.usage.EvictOld(g.clock.Now())
	current, incarnations := make(map[netip.AddrPort]bool), make(map[identity.Incarnation]bool)
	for _, e := range *g.endpoints.Load() {
		current[e.Address] = true
		incarnations[e.Incarnation] = true
	}
	g.advice.Retain(now, incarnations)
	g.confirmations.retain(incarnations)
	leaving, _ := g.advice.Counts(now)
	changed := g.settleDepartures(now) || leaving != g.control.saidLeaving
	g.control.saidLeaving = leaving
	g.pool.CloseIdle(now, func(a netip.AddrPort) bool { return current[a] })
	g.control.leaving.Evict(now, g.inStore)
	maps.DeleteFunc(g.control.dialled, func(id identity.Incarnation, _ time.Time) bool { return !incarnations[id] })
	for id, until := range g.control.misdirected {
		if now.After(until) {
			delete(g.control.misdirected, id)
			changed = true
		}
	}
	return changed
}
