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
	// beatEvery is the time between heartbeats to one neighbour; news that
	// can't wait goes at the next tick.
	beatEvery    = time.Second
	tick         = 250 * time.Millisecond
	beatTimeout  = 1500 * time.Millisecond
	suspectAfter = 4 * time.Second
	removeAfter  = 10 * time.Second
	// zoneSuspectAfter and zoneRemoveAfter are for other zones' summaries.
	zoneSuspectAfter = 8 * time.Second
	zoneRemoveAfter  = 30 * time.Second
	summaryEvery     = 2 * time.Second
	demandEvery      = 3 * time.Second
	forgetAfter      = 15 * time.Minute
	queuedTasks      = 64
)

// Members follows the entry hosts. Make one with New, mount it with Mount and
// call Run.
type Members struct {
	// Listed gives the entry hosts of the host list.
	Listed func() []Peer
	// Connect makes a client with connections of its own.
	Connect func() *http.Client
	// Version gives the configuration in force here and the digest of its log;
	// Ahead is told of the versions that peers have. Neither may wait.
	Version func() (identity.Version, uint64)
	Ahead   func(netip.AddrPort, identity.Version)
	// Departed is told of endpoints that peers know to be leaving, and Demand
	// gives what organisations ask for at this host.
	Departed func(Departure)
	Demand   func() []Demand
	Log      *slog.Logger

	self  Peer
	tasks chan func(*state)
	state state
	view  atomic.Pointer[view]

	// beatAt, summaryAt and demandAt are when the last ones began, and told is the
	// version that they carried. Run alone touches them.
	beatAt    time.Time
	summaryAt time.Time
	demandAt  time.Time
	told      identity.Version
}

// view is what others read.
type view struct {
	live          []Peer
	confirmations []Confirmation
	demands       []Demand
}

// Confirmation is the version that a member last said it has in force.
type Confirmation struct {
	Host    identity.Host
	Zone    identity.Zone
	Version identity.Version
}

// New makes a Members for the host self.
func New(self Peer) *Members {
	m := &Members{
		Listed:   func() []Peer { return nil },
		Version:  func() (identity.Version, uint64) { return 0, 0 },
		Ahead:    func(netip.AddrPort, identity.Version) {},
		Log:      slog.Default(),
		Departed: func(Departure) {},
		Demand:   func() []Demand { return nil },
		self:     self,
		tasks:    make(chan func(*state), queuedTasks),
		state:    newState(self, time.Now()),
	}
	m.publish(time.Now())
	return m
}

// Self is this host.
func (m *Members) Self() Peer {
	return m.self
}

// Live lists the members that live, this host among them, sorted by host.
func (m *Members) Live() []Peer {
	return m.view.Load().live
}

// Confirmations lists the members' versions. Of another zone's members, those
// that are not behind have at least the zone's version.
func (m *Members) Confirmations() []Confirmation {
	return m.view.Load().confirmations
}

// Demands lists what organisations ask for at the other hosts of the zone.
func (m *Members) Demands() []Demand {
	return m.view.Load().demands
}

// Leaving tells the peers that an endpoint is leaving.
func (m *Members) Leaving(ctx context.Context, d Departure) error {
	return m.do(ctx, func(s *state) { s.depart(time.Now(), "", d) })
}

// Mount adds the members' handlers to the peer listener's router.
func (m *Members) Mount(router peer.Router) {
	path, handler := peer.NewPeerServiceHandler(service{members: m})
	router.PathPrefix(path).Handler(handler)
}

// Run beats until ctx ends. It alone touches the state.
func (m *Members) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(tick)
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

// do runs a task in Run's goroutine and waits for its end.
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

// tick beats when it is time, or when there is news that can't wait.
func (m *Members) tick(ctx context.Context, group *errgroup.Group, now time.Time) {
	s := &m.state
	version, _ := m.Version()
	due := now.Sub(m.beatAt) >= beatEvery
	if due || s.urgent || version != m.told {
		m.beatAt, m.told, s.urgent = now, version, false
		s.beaten(now, version)
		m.takeDemand(now)
		m.beat(ctx, group, now)
	}
	if now.Sub(m.summaryAt) >= summaryEvery && s.speaks(now) {
		m.summaryAt = now
		s.summarise(now)
	}
	if due {
		s.forget(now)
	}
	m.publish(now)
}

// takeDemand notes what changed by more than a tenth in this host's own demand.
func (m *Members) takeDemand(now time.Time) {
	if now.Sub(m.demandAt) < demandEvery {
		return
	}
	m.demandAt = now
	s := &m.state
	for _, d := range m.Demand() {
		key := demandKey{host: m.self.Host, organisation: d.Organisation}
		if known, ok := s.demands[key]; !ok || known.differs(d.TokensPerSecond) {
			s.demands[key] = &demand{tokens: d.TokensPerSecond, changed: s.change("")}
		}
	}
}

// beat starts one exchange with each neighbour that has none under way.
func (m *Members) beat(ctx context.Context, group *errgroup.Group, now time.Time) {
	for _, p := range m.state.targets(now, m.Listed()) {
		if p.Address == m.self.Address {
			continue
		}
		l := m.state.link(now, p.Address, m.Connect)
		if l.busy {
			continue
		}
		l.busy = true
		upto, client := m.state.changes, l.client
		request := &peer.BeatRequest{
			Sender: m.sender(), Have: l.have, HaveOf: l.incarnation, News: m.state.news(l.acked, p.Host, p.Zone),
		}
		group.Go(func() error {
			m.exchange(ctx, p, client, request, upto)
			return nil
		})
	}
}

// exchange makes one heartbeat; after a missed one the next goes over a new
// connection, and after one with another incarnation tells everything.
func (m *Members) exchange(ctx context.Context, p Peer, client *http.Client, request *peer.BeatRequest, upto uint64) {
	limited, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	answer, err := peer.NewPeerServiceClient(client, "http://"+p.Address.String()).Beat(limited, connect.NewRequest(request))
	if err != nil {
		client.CloseIdleConnections()
	}
	finish := func(s *state) {
		l := s.links[p.Address]
		l.busy = false
		if err != nil {
			m.Log.Info("heartbeat_missed", "peer", p.Host, "error", err)
			l.client = m.Connect()
			return
		}
		l.acked, l.have = upto, answer.Msg.GetUpto()
		if incarnation := answer.Msg.GetSender().GetIncarnation(); incarnation != l.incarnation {
			l.incarnation, l.acked = incarnation, 0
		}
		m.heard(s, answer.Msg.GetSender(), answer.Msg.GetNews())
	}
	if err := m.do(ctx, finish); err != nil && !errors.Is(err, context.Canceled) {
		m.Log.Warn("heartbeat_dropped", "peer", p.Host, "error", err)
	}
}

// sender tells who speaks, and what is in force here.
func (m *Members) sender() *peer.Sender {
	version, digest := m.Version()
	return &peer.Sender{
		Host: string(m.self.Host), Incarnation: string(m.self.Incarnation), Zone: string(m.self.Zone),
		Address: m.self.Address.String(), Version: uint64(version), Digest: digest,
	}
}

// heard takes in what a peer says.
func (m *Members) heard(s *state, sender *peer.Sender, news *peer.News) {
	for _, d := range s.take(time.Now(), identity.Host(sender.GetHost()), news) {
		m.Departed(d)
	}
	if address, err := netip.ParseAddrPort(sender.GetAddress()); err == nil {
		m.Ahead(address, identity.Version(sender.GetVersion()))
	}
}

// answer gives what a caller lacks; one that knew another incarnation of this
// host lacks everything.
func (m *Members) answer(s *state, request *peer.BeatRequest) *peer.BeatResponse {
	have := request.GetHave()
	if request.GetHaveOf() != string(m.self.Incarnation) {
		have = 0
	}
	sender := request.GetSender()
	return &peer.BeatResponse{
		Sender: m.sender(), Upto: s.changes,
		News: s.news(have, identity.Host(sender.GetHost()), identity.Zone(sender.GetZone())),
	}
}
