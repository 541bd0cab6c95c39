package member

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// heartbeatInterval is the interval between rounds of heartbeats. Urgent changes
	// are sent at the next tick.
	heartbeatInterval = time.Second
	tickInterval      = 250 * time.Millisecond
	heartbeatTimeout  = 1500 * time.Millisecond
	suspectAfter      = 4 * time.Second
	removeAfter       = 10 * time.Second
	// zoneSuspectAfter and zoneRemoveAfter apply to the members of another zone,
	// counted from that zone's last summary, which its first relay makes.
	zoneSuspectAfter = 8 * time.Second
	zoneRemoveAfter  = 30 * time.Second
	summaryInterval  = 2 * time.Second
	demandInterval   = 3 * time.Second
	// forgetAfter is how long records of silent members, and departures, are kept.
	forgetAfter    = 15 * time.Minute
	maxQueuedTasks = 64
)

// Members tracks the entry hosts. Create one with New, mount its handlers with
// Mount and call Run.
type Members struct {
	// Listed returns the entry hosts in the host list.
	Listed func() []Peer
	// NewClient returns a new client that shares no connections with others.
	NewClient func() *http.Client
	// Version returns the configuration version in force at this host and the
	// digest of the configuration's log. OnPeerVersion is called with the version that
	// a peer has. Neither may block.
	Version       func() (identity.Version, uint64)
	OnPeerVersion func(netip.AddrPort, identity.Version)
	// OnDeparture is called for each departure of an endpoint learned from a peer.
	// LocalDemand returns the organisations' demand at this host.
	OnDeparture func(Departure)
	LocalDemand func() []Demand
	Log         *slog.Logger

	self  Peer
	tasks chan func(*state)
	state state
	view  atomic.Pointer[view]

	// lastHeartbeat, lastSummary and lastDemand are the times of the last round of
	// heartbeats, the last summary and the last update of this host's demand.
	// sentVersion is the version sent with the last heartbeats. Only Run uses these
	// fields.
	lastHeartbeat time.Time
	lastSummary   time.Time
	lastDemand    time.Time
	sentVersion   identity.Version
}

// view is the immutable snapshot that Live, Confirmations and Demands read.
type view struct {
	live          []Peer
	confirmations []Confirmation
	demands       []Demand
}

// Confirmation is the configuration version that a member has in force, as far as
// this host knows.
type Confirmation struct {
	Host    identity.Host
	Zone    identity.Zone
	Version identity.Version
}

// New returns a Members for the host self.
func New(self Peer) *Members {
	m := &Members{
		Listed:        func() []Peer { return nil },
		Version:       func() (identity.Version, uint64) { return 0, 0 },
		OnPeerVersion: func(netip.AddrPort, identity.Version) {},
		Log:           slog.Default(),
		OnDeparture:   func(Departure) {},
		LocalDemand:   func() []Demand { return nil },
		self:          self,
		tasks:         make(chan func(*state), maxQueuedTasks),
		state:         newState(self, time.Now()),
	}
	m.publish(time.Now())
	return m
}

// Self returns this host.
func (m *Members) Self() Peer {
	return m.self
}

// Live returns the members that are not removed, including this host and suspected
// members, sorted by host.
func (m *Members) Live() []Peer {
	return m.view.Load().live
}

// Confirmations returns the members' versions. For a member of another zone it is
// the version in the zone's summary, or one less if the summary lists the member
// as behind.
func (m *Members) Confirmations() []Confirmation {
	return m.view.Load().confirmations
}

// Demands returns the organisations' demand at the other hosts of the zone.
func (m *Members) Demands() []Demand {
	return m.view.Load().demands
}

// AnnounceDeparture announces to the peers that an endpoint is leaving.
func (m *Members) AnnounceDeparture(ctx context.Context, d Departure) error {
	return m.do(ctx, func(s *state) { s.addDeparture(time.Now(), "", d) })
}

// Mount adds the members' handlers to the peer listener's router.
func (m *Members) Mount(router peer.Router) {
	path, handler := peer.NewPeerServiceHandler(service{members: m})
	router.PathPrefix(path).Handler(handler)
}

// Run sends heartbeats until ctx ends. Only its goroutine uses the state.
func (m *Members) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer m.disconnect()
	for {
		select {
		case task := <-m.tasks:
			task(&m.state)
		case <-ticker.C:
			m.tick(ctx, group, time.Now())
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

func (m *Members) disconnect() {
	for _, l := range m.state.links {
		l.client.CloseIdleConnections()
	}
}

// do runs a task in Run's goroutine and waits until it is done.
func (m *Members) do(ctx context.Context, task func(*state)) error {
	done := make(chan struct{})
	run := func(s *state) {
		task(s)
		close(done)
	}
	select {
	case m.tasks <- run:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tick sends heartbeats if they are due, or if there are urgent changes or a new
// version.
func (m *Members) tick(ctx context.Context, group *errgroup.Group, now time.Time) {
	s := &m.state
	version, _ := m.Version()
	due := now.Sub(m.lastHeartbeat) >= heartbeatInterval
	if due || s.urgent || version != m.sentVersion {
		m.lastHeartbeat, m.sentVersion, s.urgent = now, version, false
		s.countHeartbeat(now, version)
		m.updateOwnDemand(now)
		m.sendHeartbeats(ctx, group, now)
	}
	if now.Sub(m.lastSummary) >= summaryInterval && s.isFirstRelay(now) {
		m.lastSummary = now
		s.updateOwnSummary(now)
	}
	if due {
		s.removeExpired(now)
	}
	m.publish(now)
}

// updateOwnDemand records the demand at this host of each organisation for which it
// changed enough.
func (m *Members) updateOwnDemand(now time.Time) {
	if now.Sub(m.lastDemand) < demandInterval {
		return
	}
	m.lastDemand = now
	s := &m.state
	for _, d := range m.LocalDemand() {
		key := demandKey{host: m.self.Host, organisation: d.Organisation}
		if known, ok := s.demands[key]; !ok || known.differsEnough(d.TokensPerSecond) {
			s.demands[key] = &demand{tokensPerSecond: d.TokensPerSecond, change: s.nextChange("")}
		}
	}
}

// sendHeartbeats starts an exchange with each target that has none in flight.
func (m *Members) sendHeartbeats(ctx context.Context, group *errgroup.Group, now time.Time) {
	for _, p := range m.state.heartbeatTargets(now, m.Listed()) {
		if p.Address == m.self.Address {
			continue
		}
		l := m.state.link(now, p.Address, m.NewClient)
		if l.inFlight {
			continue
		}
		l.inFlight = true
		upto, client := m.state.changes, l.client
		request := &peer.BeatRequest{
			Sender: m.sender(), Have: l.received, HaveOf: l.incarnation, News: m.state.newsFor(l.acked, p.Host, p.Zone),
		}
		group.Go(func() error {
			m.exchange(ctx, p, client, request, upto)
			return nil
		})
	}
}

// exchange sends one heartbeat and handles its response. If it fails, the next one
// uses a new connection. If the peer turns out to be another incarnation, the next
// one sends all records.
func (m *Members) exchange(ctx context.Context, p Peer, client *http.Client, request *peer.BeatRequest, upto uint64) {
	heartbeatCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	response, err := peer.NewPeerServiceClient(client, "http://"+p.Address.String()).Beat(heartbeatCtx, connect.NewRequest(request))
	if err != nil {
		client.CloseIdleConnections()
	}
	finish := func(s *state) {
		l := s.links[p.Address]
		l.inFlight = false
		if err != nil {
			m.Log.Info("heartbeat_missed", "peer", p.Host, "error", err)
			l.client = m.NewClient()
			return
		}
		l.acked, l.received = upto, response.Msg.GetUpto()
		if incarnation := response.Msg.GetSender().GetIncarnation(); incarnation != l.incarnation {
			l.incarnation, l.acked = incarnation, 0
		}
		m.receive(s, response.Msg.GetSender(), response.Msg.GetNews())
	}
	if err := m.do(ctx, finish); err != nil && !errors.Is(err, context.Canceled) {
		m.Log.Warn("heartbeat_dropped", "peer", p.Host, "error", err)
	}
}

// sender describes this host and the configuration in force here.
func (m *Members) sender() *peer.Sender {
	version, digest := m.Version()
	return &peer.Sender{
		Host: string(m.self.Host), Incarnation: string(m.self.Incarnation), Zone: string(m.self.Zone),
		Address: m.self.Address.String(), Version: uint64(version), Digest: digest,
	}
}

// receive applies a heartbeat or its response from a peer.
func (m *Members) receive(s *state, sender *peer.Sender, news *peer.News) {
	for _, d := range s.applyNews(time.Now(), identity.Host(sender.GetHost()), news) {
		m.OnDeparture(d)
	}
	if address, err := netip.ParseAddrPort(sender.GetAddress()); err == nil {
		m.OnPeerVersion(address, identity.Version(sender.GetVersion()))
	}
}

// respond returns the changes that a caller lacks, or everything if the last
// response that the caller received was from another incarnation of this host.
func (m *Members) respond(s *state, request *peer.BeatRequest) *peer.BeatResponse {
	have := request.GetHave()
	if request.GetHaveOf() != string(m.self.Incarnation) {
		have = 0
	}
	sender := request.GetSender()
	return &peer.BeatResponse{
		Sender: m.sender(), Upto: s.changes,
		News: s.newsFor(have, identity.Host(sender.GetHost()), identity.Zone(sender.GetZone())),
	}
}
