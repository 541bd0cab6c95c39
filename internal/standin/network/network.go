// Package network is an in-memory network for tests in the virtual time of
// package testing/synctest.
//
// # Faults
//
// A rule decides for each pair of addresses and each direction whether bytes
// pass and with what delay. As TCP never skips bytes, a connection that lost
// some stalls permanently in that direction, even after the rule is removed. A
// new connection needs both directions.
package network

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// connectTimeout limits a dial between addresses that can't reach each other.
const connectTimeout = 5 * time.Second

// Path is the condition of one direction between two addresses.
type Path struct {
	// Lost drops all bytes; otherwise Delay is their latency.
	Lost  bool
	Delay time.Duration
}

// Network connects addresses. Use New to create one.
type Network struct {
	mu        sync.Mutex
	rule      func(from, to netip.Addr) Path
	listeners map[string]*listener
	bytes     int64
}

// New returns a network without loss or delay.
func New() *Network {
	return &Network{
		rule:      func(netip.Addr, netip.Addr) Path { return Path{} },
		listeners: make(map[string]*listener),
	}
}

// SetRule replaces the rule; nil removes loss and delay.
func (n *Network) SetRule(rule func(from, to netip.Addr) Path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rule == nil {
		rule = func(netip.Addr, netip.Addr) Path { return Path{} }
	}
	n.rule = rule
}

// Bytes returns the number of bytes written to all connections.
func (n *Network) Bytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

// path returns the condition of a direction, and adds written to the number of
// bytes sent.
func (n *Network) path(from, to netip.Addr, written int) Path {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += int64(written)
	return n.rule(from, to)
}

// Listen returns a listener for connections to address.
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

// Dial returns a dial function for a process at from.
func (n *Network) Dial(from netip.Addr) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		outbound, inbound := n.path(from, to.Addr(), 0), n.path(to.Addr(), from, 0)
		if outbound.Lost || inbound.Lost {
			ctx, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[to.String()]
		n.mu.Unlock()
		if l == nil {
			return nil, fmt.Errorf("dial %s: connection refused", address)
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
	toListener, toDialler := newHalfConn(l.network, from, l.address.Addr()), newHalfConn(l.network, l.address.Addr(), from)
	dialler := netip.AddrPortFrom(from, 0)
	select {
	case l.accept <- &conn{in: toListener, out: toDialler, local: l.address, remote: dialler}:
		return &conn{in: toDialler, out: toListener, local: dialler, remote: l.address}, nil
	case <-l.closed:
		return nil, fmt.Errorf("dial %s: connection refused", l.address)
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

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// Partitioned reports whether bytes between two addresses are lost in either direction.
func (n *Network) Partitioned(a, b netip.Addr) bool {
	return n.path(a, b, 0).Lost || n.path(b, a, 0).Lost
}
