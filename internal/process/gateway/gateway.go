// Package gateway is an entry host whose deployment is described by its
// platform's store.
//
// # Ownership
//
// One goroutine owns what the host believes: the configuration, the endpoints
// and which of them leave, shares of limits. It publishes immutable values that
// traffic reads. The store's copy and neighbours' reports reach it as events.
//
// # Losing the platform
//
// A host that the store does not answer goes on with what it knows, and takes
// newer copies from its neighbours.
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
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/clock"
	"github.com/dandelionlift/dandelionlift/internal/process/duty"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/mirror"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/process/quota"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Place is where a host stands.
type Place struct {
	Host identity.Host
	Zone identity.Zone
	// Regions gives the region of each zone.
	Regions map[identity.Zone]identity.Region
	// Address is where neighbours reach it, by datagrams and connections alike.
	Address netip.AddrPort
	// Seeds are addresses at which other hosts may be.
	Seeds []netip.AddrPort
}

// Bounds are the deployment's promises that the host's decisions depend on.
type Bounds struct {
	// Lease is how long a duty is held without a renewal.
	Lease time.Duration
	// UsageWindow is the length of a window of usage; its report is due
	// UsageLate after its end.
	UsageWindow, UsageLate time.Duration
	Retries                retry.Limits
	// Reappear is how long after the store's return endpoints that lapsed
	// meanwhile may take to be back.
	Reappear time.Duration
}

// Edge is how the platform's data and protocols are read.
type Edge struct {
	Store  keyvalue.Store
	Duties cloud.Duties
	// ConfigurationKey holds the configuration, EndpointPrefix the endpoints.
	ConfigurationKey, EndpointPrefix string
	Catalogue                        func(data []byte) (*catalogue.Catalogue, error)
	Endpoint                         func(key string, data []byte) (fleet.Endpoint, error)
	Protocol                         forward.Protocol
}

// Gateway is one entry host. Make one with New and call Run.
type Gateway struct {
	place  Place
	bounds Bounds
	edge   Edge
	log    *slog.Logger
	meter  *meter.Meter

	incarnation identity.Incarnation
	started     time.Time
	clock       *clock.Clock
	mirror      *mirror.Mirror
	balancer    *balance.Balancer
	budget      *retry.Budget
	quota       *quota.Quota
	usage       *usage.Usage
	neighbours  *neighbour.Neighbours
	duty        *duty.Duty
	pool        *endpoint.Pool
	forwarder   *forward.Forwarder
	group       *errgroup.Group
	work        work

	// changed wakes the control goroutine; told holds reports for it.
	changed chan struct{}
	told    chan neighbour.Report
	gone    chan identity.Incarnation
	control control

	catalogue atomic.Pointer[catalogue.Catalogue]
	fleet     atomic.Pointer[[]fleet.Endpoint]
	leaving   atomic.Pointer[[]identity.Incarnation]
	live      atomic.Pointer[[]neighbour.Heard]
	demand    atomic.Pointer[quota.Demand]
	draining  atomic.Bool
}

const (
	// dutyKey and hostsPrefix are this system's own keys in the store.
	dutyKey     = "dandelionlift/duty"
	hostsPrefix = "dandelionlift/hosts/"
	usagePrefix = "dandelionlift/usage/"
	// toldMost bounds the reports that wait for the control goroutine; further
	// ones are dropped, as the next report says it all again.
	toldMost = 256
)

// New makes a Gateway that speaks to its neighbours over conn.
func New(place Place, bounds Bounds, edge Edge, conn net.PacketConn, m *meter.Meter, log *slog.Logger) *Gateway {
	g := &Gateway{
		place: place, bounds: bounds, edge: edge, log: log, meter: m,
		incarnation: identity.NewIncarnation(), started: time.Now(),
		clock: clock.New(), quota: quota.New(time.Now()), group: new(errgroup.Group),
		changed: make(chan struct{}, 1), told: make(chan neighbour.Report, toldMost),
		gone: make(chan identity.Incarnation, toldMost),
	}
	g.control = newControl()
	g.usage = usage.New(g.incarnation, place.Zone, bounds.UsageWindow)
	g.balancer = balance.New(place.Zone, g.region)
	g.neighbours = neighbour.New(conn, place.Address, place.Zone, g.incarnation)
	g.neighbours.Tell, g.neighbours.Hear, g.neighbours.Log = g.tell, g.hear, log
	g.neighbours.Bytes = m.Counter(`control_bytes_total{kind="neighbours"}`)
	g.neighbours.ZoneUsage = func() map[usage.Window]usage.Counts { return g.usage.TellZone(g.clock.Now()) }
	for _, seed := range place.Seeds {
		g.neighbours.Know(neighbour.Known{Address: seed})
	}
	g.mirror = mirror.New(edge.Store, edge.ConfigurationKey, edge.EndpointPrefix)
	g.mirror.Changed, g.mirror.Lost, g.mirror.Regained, g.mirror.Log = g.wake, g.storeLost, g.storeRegained, log
	g.mirror.Hosts = func() int { return g.neighbours.Hosts(hostsWithin) }
	g.mirror.Watch = g.watches
	g.duty = duty.New(edge.Store, dutyKey, g.incarnation, bounds.Lease)
	g.duty.Elsewhere, g.duty.Rank, g.duty.Log = g.heldElsewhere, g.rank, log
	g.pool = endpoint.New(g.group)
	g.budget = retry.New(bounds.Retries, func() int { return g.neighbours.Hosts(hostsWithin) })
	g.forwarder = forward.New(g.pool, g.balancer, g.quota, g.budget, m)
	g.forwarder.Protocol, g.forwarder.Log = edge.Protocol, log
	g.forwarder.Began = func(id identity.Organisation) { g.usage.Began(g.clock.Now(), id) }
	g.forwarder.Asked, g.forwarder.Gone = g.asked, g.misdirected
	g.live.Store(new([]neighbour.Heard))
	g.fleet.Store(new([]fleet.Endpoint))
	g.leaving.Store(new([]identity.Incarnation))
	g.demand.Store(new(quota.Demand))
	return g
}

// hostsWithin is how long a host that fell silent keeps its parts of budgets.
const hostsWithin = 45 * time.Second

func (g *Gateway) region(zone identity.Zone) identity.Region { return g.place.Regions[zone] }

// Run follows the platform and the neighbours until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return g.mirror.Run(ctx) })
	group.Go(func() error { return g.neighbours.Run(ctx) })
	group.Go(func() error { return g.duty.Run(ctx) })
	group.Go(func() error { return g.runControl(ctx) })
	group.Go(func() error { return g.runRegister(ctx) })
	group.Go(func() error { return g.runCopies(ctx) })
	group.Go(func() error { return g.runUsage(ctx) })
	group.Go(func() error { return g.runScaling(ctx) })
	return group.Wait()
}

// Catalogue is the configuration in force, or nil before there is one.
func (g *Gateway) Catalogue() *catalogue.Catalogue { return g.catalogue.Load() }

// Endpoints lists the endpoints that are believed in now, those that leave among
// them.
func (g *Gateway) Endpoints() []fleet.Endpoint { return *g.fleet.Load() }

// Forwarder serves calls.
func (g *Gateway) Forwarder() *forward.Forwarder { return g.forwarder }

// Mirror is the host's copy of the store, for neighbours that ask for it.
func (g *Gateway) Mirror() *mirror.Mirror { return g.mirror }

// Drain makes the host say that it is not ready.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Draining tells whether the host stops.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// settle is how long a new host waits for what its neighbours have to say.
const settle = 600 * time.Millisecond

// Ready tells whether callers may be sent here.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.catalogue.Load() != nil && g.mirror.Loaded(g.edge.EndpointPrefix) &&
		time.Since(g.started) > settle
}

// wake makes the control goroutine look at the store's copy.
func (g *Gateway) wake(string) {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

func (g *Gateway) storeLost(prefix string, err error) {
	g.log.Warn("store_lost", "prefix", prefix, "as_of", g.mirror.AsOf(prefix), "error", err)
	g.wake(prefix)
}

func (g *Gateway) storeRegained(prefix string) {
	g.log.Info("store_regained", "prefix", prefix, "as_of", g.mirror.AsOf(prefix))
	g.wake(prefix)
}

// hear hands a report to the control goroutine.
func (g *Gateway) hear(r neighbour.Report) {
	if r.Hosts > 0 {
		g.usage.HearZone(r.Zone, r.Usage)
	} else {
		g.clock.Hear(r.Host, time.Unix(0, r.Wall))
		g.usage.Hear(r.Incarnation, r.Zone, r.Usage)
	}
	select {
	case g.told <- r:
	default:
	}
}

// misdirected notes that another endpoint has an address.
func (g *Gateway) misdirected(id identity.Incarnation) {
	select {
	case g.gone <- id:
	default:
	}
}

// SetRetries replaces the bound on how often calls are sent again.
func (g *Gateway) SetRetries(limits retry.Limits) { g.budget.SetLimits(limits) }
