// Package gateway implements an entry host that learns its deployment from the
// platform's key-value store.
//
// # Ownership
//
// One goroutine owns the host's control state: the configuration, the endpoints and
// which of them are leaving, and the shares of limits. It publishes immutable
// values that the request path reads. Changes of this host's copy of the store and
// reports of neighbours reach it as events.
//
// # Store outages
//
// A host that gets no answers from the store continues with its last known state,
// and takes newer copies from its neighbours.
package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/clock"
	"github.com/dandelionlift/dandelionlift/internal/process/departure"
	"github.com/dandelionlift/dandelionlift/internal/process/duty"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/mirror"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/process/origin"
	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/process/speed"
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// HostInfo identifies and locates an entry host.
type HostInfo struct {
	Host identity.Host
	Zone identity.Zone
	// Regions maps each zone to its region.
	Regions map[identity.Zone]identity.Region
	// Address is where neighbours reach the host, over both UDP and TCP.
	Address netip.AddrPort
	// Seeds are addresses at which there may be other hosts.
	Seeds []netip.AddrPort
}

// Bounds holds the deployment's time and retry limits.
type Bounds struct {
	// LeaseDuration is how long the leader's lease lasts without renewal.
	LeaseDuration time.Duration
	// UsageWindow is the length of a usage window; its report is due UsageReportDue
	// after its end.
	UsageWindow, UsageReportDue time.Duration
	Retries                     retry.Limits
	// QuotaSlack is by how many units the calls of an organisation may exceed its
	// limit in a window.
	QuotaSlack float64
	// StoreWritesPerSecond is how many writes the store takes from all hosts; zero if
	// unlimited.
	StoreWritesPerSecond float64
	// ReappearTimeout is how long endpoints whose entries expired during a store outage
	// may take to register again once the store is back.
	ReappearTimeout time.Duration
	// HeartbeatInterval is how often endpoints renew their entries. The store removes an
	// entry after three intervals of silence.
	HeartbeatInterval time.Duration
}

// Platform gives access to the platform: its services, the formats of its data and its
// request protocol.
type Platform struct {
	Store       keyvalue.Store
	LeaderCalls cloud.LeaderCalls
	// ConfigurationKey is the key of the configuration, EndpointPrefix the prefix
	// of the endpoints' keys.
	ConfigurationKey, EndpointPrefix string
	DecodeCatalogue                  func(data []byte) (*catalogue.Catalogue, error)
	DecodeEndpoint                   func(key string, data []byte) (fleet.Endpoint, error)
	Protocol                         forward.Protocol
}

// Gateway is an entry host. Create one with New and call Run.
type Gateway struct {
	self     HostInfo
	bounds   Bounds
	platform Platform
	log      *slog.Logger
	meter    *meter.Meter

	incarnation   identity.Incarnation
	started       time.Time
	clock         *clock.Clock
	mirror        *mirror.Mirror
	balancer      *balance.Balancer
	speed         *speed.Learner
	budget        *retry.Budget
	quota         *quota.Quota
	quarantine    *quarantine.Quarantine
	advice        *advice.Keeper
	origins       originState
	confirmations *confirmations
	usage         *usage.Counter
	recorder      *usage.Recorder
	neighbours    *neighbour.Neighbours
	elector       *duty.Elector
	pool          *endpoint.Pool
	idleLimits    idleLimits
	forwarder     *forward.Forwarder
	group         *errgroup.Group
	serviceDemand demandMeter

	// mirrorChanged, reports, misdirections and announcements are the events that the
	// control goroutine handles.
	mirrorChanged chan struct{}
	// restored makes the registration start again.
	restored      chan struct{}
	reports       chan neighbour.Report
	misdirections chan identity.Incarnation
	announcements chan identity.Incarnation
	control       controlState

	catalogue atomic.Pointer[catalogue.Catalogue]
	endpoints atomic.Pointer[[]fleet.Endpoint]
	// departures holds what is reported of the endpoints that are leaving.
	departures atomic.Pointer[departure.Departures]
	// liveReports covers each other host once, heardReports holds those that this host
	// hears itself.
	liveReports  atomic.Pointer[[]neighbour.ReceivedReport]
	heardReports atomic.Pointer[[]neighbour.ReceivedReport]
	tokenDemand  atomic.Pointer[tokenDemand]
	draining     atomic.Bool
}

const (
	// dutyKey, hostsPrefix, usagePrefix and quarantineKey are this system's own keys in the store.
	dutyKey       = "dandelionlift/duty"
	hostsPrefix   = "dandelionlift/hosts/"
	usagePrefix   = "dandelionlift/usage/"
	quarantineKey = "dandelionlift/quarantine"
	// eventQueueSize is the capacity of the control goroutine's event queues. Reports
	// that exceed it are dropped: the next one repeats the complete state.
	eventQueueSize = 256
)

// New returns a Gateway that exchanges reports with its neighbours over conn.
func New(self HostInfo, bounds Bounds, platform Platform, conn net.PacketConn, m *meter.Meter, log *slog.Logger) *Gateway {
	g := &Gateway{
		self: self, bounds: bounds, platform: platform, log: log, meter: m,
		incarnation: identity.NewIncarnation(), started: time.Now(),
		clock: clock.New(), quota: quota.New(time.Now(), quota.WithSlack(bounds.QuotaSlack)), group: new(errgroup.Group),
		mirrorChanged: make(chan struct{}, 1), restored: make(chan struct{}, 1), reports: make(chan neighbour.Report, eventQueueSize),
		misdirections: make(chan identity.Incarnation, eventQueueSize), announcements: make(chan identity.Incarnation, eventQueueSize),
	}
	g.control = newControl(bounds)
	g.quarantine = quarantine.New(quarantine.WithClock(g.clock.Now))
	m.Gauge("prompt_quarantines", func() float64 {
		parts, _ := g.quarantine.Counts()
		return float64(parts)
	})
	m.Gauge("call_quarantines", func() float64 {
		_, calls := g.quarantine.Counts()
		return float64(calls)
	})
	g.confirmations = newConfirmations()
	g.origins.streams = origin.NewStreams()
	g.origins.versions = origin.NewVersions(g.clock.Now, func() time.Duration { return time.Since(g.started) })
	g.usage = usage.New(g.incarnation, self.Zone, bounds.UsageWindow)
	g.recorder = usage.NewRecorder(platform.Store, usagePrefix, g.usage.Total)
	g.speed = speed.New()
	g.advice = advice.New(limit.New(limit.WithClock(g.clock.Now)))
	m.Gauge("endpoints_limited", func() float64 { return float64(g.limitedEndpoints()) })
	m.Gauge("endpoints_leaving", func() float64 { return float64(g.leavingEndpoints()) })
	m.Gauge("endpoints_quiet", func() float64 {
		_, quiet := g.advice.Counts(time.Now())
		return float64(quiet)
	})
	g.balancer = balance.New(self.Zone, g.region, balance.WithSpeed(g.speed), balance.WithAdvice(g.advice))
	g.neighbours = neighbour.New(conn, self.Address, self.Zone, g.incarnation)
	g.neighbours.LocalReport, g.neighbours.OnReport, g.neighbours.Log = g.localReport, g.onReport, log
	g.neighbours.Bytes = m.Counter(`control_bytes_total{kind="neighbours"}`)
	g.neighbours.ZoneUsage = func() map[usage.Window]usage.Counts { return g.usage.ZoneCounts(g.clock.Now()) }
	g.neighbours.ZoneAdmitted = func() map[identity.Organisation]float64 { return g.quota.PoolAdmitted() }
	for _, seed := range self.Seeds {
		g.neighbours.AddHosts(neighbour.KnownHost{Address: seed})
	}
	g.mirror = mirror.New(platform.Store, platform.ConfigurationKey, platform.EndpointPrefix)
	g.mirror.OnChange, g.mirror.OnStoreLost, g.mirror.OnStoreRegained, g.mirror.Log = g.onMirrorChange, g.onStoreLost, g.onStoreRegained, log
	g.mirror.OnStoreRestored = g.onStoreRestored
	g.mirror.HostCount = func() int { return g.neighbours.HostCount(hostCountWindow) }
	g.mirror.ShouldWatch = g.watchesStore
	g.mirror.MinInterval = func(prefix string) time.Duration {
		if prefix == platform.EndpointPrefix {
			return endpointWatchInterval
		}
		return 0
	}
	m.Gauge("store_era", func() float64 { return float64(g.storeEra()) })
	g.elector = duty.New(platform.Store, dutyKey, g.incarnation, bounds.LeaseDuration)
	g.elector.HasOtherLeader, g.elector.Rank, g.elector.Log = g.hasOtherLeader, g.rank, log
	g.pool = endpoint.New(g.group, endpoint.WithMaxIdle(g.idleLimits.maxIdle))
	g.budget = retry.New(bounds.Retries, func() int { return g.neighbours.HostCount(hostCountWindow) })
	g.forwarder = forward.New(g.pool, g.balancer, g.quota, g.budget, m)
	g.forwarder.Protocol, g.forwarder.Log, g.forwarder.Quarantine = platform.Protocol, log, g.quarantine
	g.forwarder.Advice, g.forwarder.OnLeaving = g.advice, g.onLeaving
	g.forwarder.Origin, g.forwarder.Confirm = g.findOrigin, g.confirm
	g.forwarder.OnUnreachable, g.forwarder.OnDisconnected = g.confirmations.recordDown, g.checkDown
	g.forwarder.OnStreamBegun = func(c *forward.Call, e fleet.Endpoint) {
		g.origins.streams.Record(c.ID, origin.Origin{Service: e.Service, Software: e.Software})
	}
	g.forwarder.OnExecuted = func(id identity.Organisation) { g.usage.RecordCall(g.clock.Now(), id) }
	g.forwarder.OnOffered, g.forwarder.OnMisdirected = g.recordDemand, g.onMisdirected
	g.liveReports.Store(new([]neighbour.ReceivedReport))
	g.heardReports.Store(new([]neighbour.ReceivedReport))
	g.endpoints.Store(new([]fleet.Endpoint))
	g.departures.Store(new(departure.Departures))
	g.tokenDemand.Store(new(tokenDemand))
	return g
}

// endpointWatchInterval is the shortest time between two watches of the endpoints,
// which often change together. It is short beside the time that a leaving endpoint
// continues to serve.
const endpointWatchInterval = 400 * time.Millisecond

// hostCountWindow is how long a host that stopped reporting keeps its share of
// budgets.
const hostCountWindow = 45 * time.Second

func (g *Gateway) region(zone identity.Zone) identity.Region { return g.self.Regions[zone] }

// Run follows the platform's store and the neighbours, and performs the leader's
// duties while this host is the leader, until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.mirror.Run(ctx) })
	group.Go(func() error { return g.neighbours.Run(ctx) })
	group.Go(func() error { return g.elector.Run(ctx) })
	group.Go(func() error { return g.runControl(ctx) })
	group.Go(func() error { return g.runRegistration(ctx) })
	group.Go(func() error { return g.runCopies(ctx) })
	group.Go(func() error { return g.runUsage(ctx) })
	group.Go(func() error { return g.runScaling(ctx) })
	group.Go(func() error { return g.runQuarantine(ctx) })
	group.Go(func() error { return g.runOrigins(ctx) })
	return group.Wait()
}

// Catalogue returns the decoded configuration in force, or nil before there is one.
func (g *Gateway) Catalogue() *catalogue.Catalogue { return g.catalogue.Load() }

// Endpoints returns the current endpoints, including those that are leaving.
func (g *Gateway) Endpoints() []fleet.Endpoint { return *g.endpoints.Load() }

// Forwarder returns the forwarder that serves calls.
func (g *Gateway) Forwarder() *forward.Forwarder { return g.forwarder }

// Mirror returns the host's copy of the store.
func (g *Gateway) Mirror() *mirror.Mirror { return g.mirror }

// Drain makes the host report that it is not ready.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Draining reports whether Drain has been called.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// startupDelay is how long a new host waits for its neighbours' reports before it is
// ready.
const startupDelay = 600 * time.Millisecond

// Ready reports whether this host can serve callers.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.catalogue.Load() != nil && g.mirror.Loaded(g.platform.EndpointPrefix) &&
		time.Since(g.started) > startupDelay
}

// onMirrorChange makes the control goroutine read the mirror, and tells the elector the
// store's era, which the first copy brings.
func (g *Gateway) onMirrorChange(string) {
	g.elector.ObserveEra(g.storeEra())
	select {
	case g.mirrorChanged <- struct{}{}:
	default:
	}
}

func (g *Gateway) onStoreLost(prefix string, err error) {
	g.log.Warn("store_lost", "prefix", prefix, "as_of", g.mirror.AsOf(prefix), "error", err)
	g.onMirrorChange(prefix)
}

func (g *Gateway) onStoreRegained(prefix string) {
	g.log.Info("store_regained", "prefix", prefix, "as_of", g.mirror.AsOf(prefix))
	g.onMirrorChange(prefix)
}

// onStoreRestored makes the host write again what it had written to the store, and the
// leader take its key again.
func (g *Gateway) onStoreRestored(prefix string) {
	asOf := g.mirror.AsOf(prefix)
	g.log.Warn("store_restored", "prefix", prefix, "as_of", asOf)
	g.elector.ObserveEra(asOf.Era())
	select {
	case g.restored <- struct{}{}:
	default:
	}
}

// storeEra returns the latest era of the store that this host has a copy of.
func (g *Gateway) storeEra() keyvalue.Era {
	return max(g.mirror.AsOf(g.platform.ConfigurationKey), g.mirror.AsOf(g.platform.EndpointPrefix)).Era()
}

// onReport records the clock and usage of a report, and queues the report for the
// control goroutine.
func (g *Gateway) onReport(r neighbour.Report) {
	switch {
	case r.EvidenceOnly:
	case r.Hosts > 0:
		g.usage.MergeZone(r.Zone, r.Usage)
	default:
		g.clock.RecordWallClock(r.Host, time.Unix(0, r.WallNanos))
		g.usage.MergeHost(r.Incarnation, r.Zone, r.Usage)
	}
	g.recorder.Merge(r.UsageBegun)
	g.quarantine.Merge(r.Quarantine)
	g.advice.Limits.Merge(r.Limits)
	if r.EvidenceOnly {
		return
	}
	select {
	case g.reports <- r:
	default:
	}
}

// onMisdirected queues an endpoint whose address now belongs to another one.
func (g *Gateway) onMisdirected(id identity.Incarnation) {
	select {
	case g.misdirections <- id:
	default:
	}
}

// onLeaving queues an endpoint that has said in an answer that it is leaving.
func (g *Gateway) onLeaving(id identity.Incarnation) {
	select {
	case g.announcements <- id:
	default:
		// The balancer knows, and the next change publishes it.
	}
}

// SetRetryLimits replaces the limits on retries.
func (g *Gateway) SetRetryLimits(limits retry.Limits) { g.budget.SetLimits(limits) }
