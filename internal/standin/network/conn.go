package network

import (
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// conn is one end of a connection.
type conn struct {
	in, out       *halfConn
	local, remote netip.AddrPort
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close ends both directions.
func (c *conn) Close() error {
	c.in.closeRead()
	c.out.closeWrite()
	return nil
}

func (c *conn) LocalAddr() net.Addr               { return net.TCPAddrFromAddrPort(c.local) }
func (c *conn) RemoteAddr() net.Addr              { return net.TCPAddrFromAddrPort(c.remote) }
func (c *conn) SetDeadline(t time.Time) error     { return c.SetReadDeadline(t) }
func (c *conn) SetWriteDeadline(time.Time) error  { return nil }
func (c *conn) SetReadDeadline(t time.Time) error { return c.in.setReadDeadline(t) }

// chunk is data in flight; nil data marks the end of the stream.
type chunk struct {
	data    []byte
	arrival time.Time
}

// halfConn is one direction of a connection.
type halfConn struct {
	network  *Network
	from, to netip.Addr

	mu       sync.Mutex
	chunks   []chunk
	deadline time.Time
	// stalled is set once data was lost, and never cleared.
	stalled      bool
	writerClosed bool
	// readerClosed is set when the reader has closed and the writer can learn of it.
	readerClosed bool
	changed      chan struct{}
}

func newHalfConn(n *Network, from, to netip.Addr) *halfConn {
	return &halfConn{network: n, from: from, to: to, changed: make(chan struct{})}
}

// signal wakes the reader; the caller holds mu.
func (h *halfConn) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *halfConn) write(p []byte) (int, error) {
	path := h.network.path(h.from, h.to, len(p))
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.writerClosed || h.readerClosed {
		return 0, io.ErrClosedPipe
	}
	h.stalled = h.stalled || path.Lost
	if h.stalled {
		return len(p), nil
	}
	h.chunks = append(h.chunks, chunk{data: append([]byte(nil), p...), arrival: time.Now().Add(path.Delay)})
	h.signal()
	return len(p), nil
}

// closeWrite lets the reader see the end of the stream after the written data.
func (h *halfConn) closeWrite() {
	path := h.network.path(h.from, h.to, 0)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stalled = h.stalled || path.Lost
	if !h.writerClosed && !h.stalled {
		h.chunks = append(h.chunks, chunk{arrival: time.Now().Add(path.Delay)})
	}
	h.writerClosed = true
	h.signal()
}

// closeRead makes reads fail. The writer learns of it only if packets pass in
// the opposite direction.
func (h *halfConn) closeRead() {
	back := h.network.path(h.to, h.from, 0)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readerClosed = !back.Lost
	// A deadline in the past makes all reads fail.
	h.deadline = time.Unix(1, 0)
	h.signal()
}

func (h *halfConn) setReadDeadline(t time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = t
	h.signal()
	return nil
}

func (h *halfConn) read(p []byte) (int, error) {
	for {
		n, wait, err := h.tryRead(p)
		if n > 0 || err != nil {
			return n, err
		}
		wait()
	}
}

// tryRead reads data that has arrived. If there is none it returns a function
// that waits until another attempt is worthwhile.
func (h *halfConn) tryRead(p []byte) (int, func(), error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.deadline.IsZero() && !now.Before(h.deadline) {
		return 0, nil, os.ErrDeadlineExceeded
	}
	next := h.deadline
	if len(h.chunks) > 0 {
		first := &h.chunks[0]
		if !now.Before(first.arrival) {
			return h.consume(first, p)
		}
		if next.IsZero() || first.arrival.Before(next) {
			next = first.arrival
		}
	}
	changed := h.changed
	return 0, func() { waitUntil(changed, next) }, nil
}

func (h *halfConn) consume(first *chunk, p []byte) (int, func(), error) {
	if first.data == nil {
		return 0, nil, io.EOF
	}
	n := copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		h.chunks = h.chunks[1:]
	}
	return n, nil, nil
}

func waitUntil(changed <-chan struct{}, next time.Time) {
	if next.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}
