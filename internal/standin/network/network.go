// Package network is a small in-memory network for tests in virtual time.
//
// # Faults
//
// A rule decides for each pair of addresses and each direction whether bytes
// pass and after what delay. Bytes that do not pass are lost, and as TCP never
// skips bytes, the connection is then silent for good in that direction, also
// after the rule is lifted. New connections need both directions.
package network

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// connectTimeout is when an unanswered dial gives up by itself.
const connectTimeout = 5 * time.Second

// Path is what one direction between two addresses does.
type Path struct {
	// Lost drops bytes, Delay is waited by those that pass.
	Lost  bool
	Delay time.Duration
}

// Network connects addresses. Make one with New.
type Network struct {
	mu        sync.Mutex
	rule      func(from, to netip.Addr) Path
	listeners map[string]*listener
	bytes     int64
}

// New makes a network on which everything passes at once.
func New() *Network {
	return &Network{
		rule:      func(netip.Addr, netip.Addr) Path { return Path{} },
		listeners: make(map[string]*listener),
	}
}

// SetRule replaces the rule; nil lets everything pass.
func (n *Network) SetRule(rule func(from, to netip.Addr) Path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rule == nil {
		rule = func(netip.Addr, netip.Addr) Path { return Path{} }
	}
	n.rule = rule
}

// Bytes counts what was written on all connections.
func (n *Network) Bytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

func (n *Network) path(from, to netip.Addr, written int) Path {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += int64(written)
	return n.rule(from, to)
}

// Listen accepts connections to address.
func (n *Network) Listen(address netip.AddrPort) net.Listener {
	l := &listener{
		network: n, address: address,
		accept: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address.String()] = l
	return l
}

// Dial gives a dial function for a process at from.
func (n *Network) Dial(from netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		out, back := n.path(from, to.Addr(), 0), n.path(to.Addr(), from, 0)
		if out.Lost || back.Lost {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[to.String()]
		n.mu.Unlock()
		if l == nil {
			return nil, fmt.Errorf("dial %s: refused", address)
		}
		return l.connect(ctx, from)
	}
}

type listener struct {
	network *Network
	address netip.AddrPort
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) connect(ctx context.Context, from netip.Addr) (net.Conn, error) {
	there, back := newHalf(l.network, from, l.address.Addr()), newHalf(l.network, l.address.Addr(), from)
	near := netip.AddrPortFrom(from, 0)
	select {
	case l.accept <- &conn{in: there, out: back, local: l.address, remote: near}:
		return &conn{in: back, out: there, local: near, remote: l.address}, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: refused", l.address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr is where the listener listens.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// Cut tells whether bytes are lost between two addresses, either way.
func (n *Network) Cut(a, b netip.Addr) bool {
	return n.path(a, b, 0).Lost || n.path(b, a, 0).Lost
}
