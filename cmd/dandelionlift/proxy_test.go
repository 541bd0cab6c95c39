//go:build failure

package main_test

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sync/errgroup"
)

// proxy forwards TCP connections. freeze permanently drops the data of open
// connections, while new connections work.
type proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu     sync.Mutex
	frozen chan struct{}
}

func newProxy(listen, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &proxy{listener: listener, target: target, frozen: make(chan struct{})}
	r.group.Go(func() error {
		for {
			from, err := listener.Accept()
			if err != nil {
				return nil
			}
			r.pass(from)
		}
	})
	return r, nil
}

func (r *proxy) freeze() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.frozen)
	r.frozen = make(chan struct{})
}

func (r *proxy) pass(from net.Conn) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		from.Close()
		return
	}
	r.mu.Lock()
	frozen := r.frozen
	r.mu.Unlock()
	r.group.Go(func() error { return copyUntil(to, from, frozen) })
	r.group.Go(func() error { return copyUntil(from, to, frozen) })
}

// copyUntil copies data until either end closes; once frozen is closed it drops
// the data instead.
func copyUntil(to, from net.Conn, frozen chan struct{}) error {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-frozen:
			if err == nil {
				continue
			}
			from.Close()
			return nil
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				from.Close()
				return nil
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				from.Close()
			}
			to.Close()
			return nil
		}
	}
}

func (r *proxy) address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}
