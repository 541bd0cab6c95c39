package member

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// beatEvery is the time between heartbeats to one neighbour.
	beatEvery    = time.Second
	beatTimeout  = 1500 * time.Millisecond
	suspectAfter = 4 * time.Second
	removeAfter  = 10 * time.Second
	queuedTasks  = 64
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
	Log     *slog.Logger

	self  Peer
	tasks chan func(*state)
	state state
	live  atomic.Pointer[[]Peer]
}

// New makes a Members for the host self.
func New(self Peer) *Members {
	m := &Members{
		Listed:  func() []Peer { return nil },
		Version: func() (identity.Version, uint64) { return 0, 0 },
		Ahead:   func(netip.AddrPort, identity.Version) {},
		Log:     slog.Default(),
		self:    self,
		tasks:   make(chan func(*state), queuedTasks),
		state: state{
			self:  self,
			known: make(map[identity.Host]record),
			links: make(map[netip.AddrPort]*link),
		},
	}
	m.publish(time.Now())
	return m
}

// Live lists the members that live, this host among them, sorted by host.
func (m *Members) Live() []Peer {
	return *m.live.Load()
}

// Mount adds the members' handlers to the peer listener's router.
func (m *Members) Mount(router peer.Router) {
	path, handler := peer.NewPeerServiceHandler(service{members: m})
	router.PathPrefix(path).Handler(handler)
}

// Run beats until ctx ends. It alone touches the state.
func (m *Members) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case task := <-m.tasks:
			task(&m.state)
		case <-ticker.C:
			m.beat(ctx, group)
		case <-ctx.Done():
			return group.Wait()
		}
		m.publish(time.Now())
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

// beat starts one exchange with each neighbour that has none under way.
func (m *Members) beat(ctx context.Context, group *errgroup.Group) {
	for _, p := range m.Listed() {
		if p.Host == m.self.Host {
			continue
		}
		l := m.state.link(p.Address, m.Connect)
		if l.busy {
			continue
		}
		l.busy = true
		client := l.client
		group.Go(func() error {
			m.exchange(ctx, p, client)
			return nil
		})
	}
}

// exchange makes one heartbeat; after a missed one the next goes over a new
// connection.
func (m *Members) exchange(ctx context.Context, p Peer, client *http.Client) {
	limited, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	request := connect.NewRequest(&peer.BeatRequest{Sender: m.sender()})
	answer, err := peer.NewPeerServiceClient(client, "http://"+p.Address.String()).Beat(limited, request)
	finish := func(s *state) {
		l := s.links[p.Address]
		l.busy = false
		if err != nil {
			m.Log.Info("heartbeat_missed", "peer", p.Host, "error", err)
			l.client = m.Connect()
			return
		}
		m.heard(s, answer.Msg.GetSender())
	}
	if err := m.do(ctx, finish); err != nil && !errors.Is(err, context.Canceled) {
		m.Log.Warn("heartbeat_dropped", "peer", p.Host, "error", err)
	}
	if err != nil {
		client.CloseIdleConnections()
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

// heard takes in what a peer says of itself.
func (m *Members) heard(s *state, sender *peer.Sender) {
	address, err := netip.ParseAddrPort(sender.GetAddress())
	if err != nil {
		return
	}
	s.heard(time.Now(), sender)
	m.Ahead(address, identity.Version(sender.GetVersion()))
}

// publish replaces the list that Live gives.
func (m *Members) publish(now time.Time) {
	live := []Peer{m.self}
	for host, r := range m.state.known {
		silent := now.Sub(r.heard)
		if silent > removeAfter {
			m.Log.Info("member_removed", "peer", host, "incarnation", r.peer.Incarnation)
			delete(m.state.known, host)
			continue
		}
		p := r.peer
		p.Suspected = silent > suspectAfter
		live = append(live, p)
	}
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	m.live.Store(&live)
}
