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
	in, out       *half
	local, remote netip.AddrPort
}

func (c *conn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close ends both directions.
func (c *conn) Close() error {
	c.in.abandon()
	c.out.end()
	return nil
}

func (c *conn) LocalAddr() net.Addr               { return net.TCPAddrFromAddrPort(c.local) }
func (c *conn) RemoteAddr() net.Addr              { return net.TCPAddrFromAddrPort(c.remote) }
func (c *conn) SetDeadline(t time.Time) error     { return c.SetReadDeadline(t) }
func (c *conn) SetWriteDeadline(time.Time) error  { return nil }
func (c *conn) SetReadDeadline(t time.Time) error { return c.in.until(t) }

// chunk is bytes on their way; a nil data is the end.
type chunk struct {
	data []byte
	due  time.Time
}

// half is one direction.
type half struct {
	network  *Network
	from, to netip.Addr

	mu       sync.Mutex
	chunks   []chunk
	deadline time.Time
	// silent is set for good once a byte was lost.
	silent bool
	ended  bool
	// gone is set when the reading end was closed.
	gone    bool
	changed chan struct{}
}

func newHalf(n *Network, from, to netip.Addr) *half {
	return &half{network: n, from: from, to: to, changed: make(chan struct{})}
}

// signal wakes the reader; mu is held.
func (h *half) signal() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *half) write(p []byte) (int, error) {
	path := h.network.path(h.from, h.to, len(p))
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || h.gone {
		return 0, io.ErrClosedPipe
	}
	h.silent = h.silent || path.Lost
	if h.silent {
		return len(p), nil
	}
	h.chunks = append(h.chunks, chunk{data: append([]byte(nil), p...), due: time.Now().Add(path.Delay)})
	h.signal()
	return len(p), nil
}

// end lets the reader see the end after what was written.
func (h *half) end() {
	path := h.network.path(h.from, h.to, 0)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = h.silent || path.Lost
	if !h.ended && !h.silent {
		h.chunks = append(h.chunks, chunk{due: time.Now().Add(path.Delay)})
	}
	h.ended = true
	h.signal()
}

// abandon ends reading. The writer learns of it only if its packets come back.
func (h *half) abandon() {
	back := h.network.path(h.to, h.from, 0)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gone = !back.Lost
	h.deadline = time.Unix(1, 0)
	h.signal()
}

func (h *half) until(t time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deadline = t
	h.signal()
	return nil
}

func (h *half) read(p []byte) (int, error) {
	for {
		n, wait, err := h.take(p)
		if n > 0 || err != nil {
			return n, err
		}
		wait()
	}
}

// take gives what is due, or a function that waits for a change.
func (h *half) take(p []byte) (int, func(), error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.deadline.IsZero() && !now.Before(h.deadline) {
		return 0, nil, os.ErrDeadlineExceeded
	}
	next := h.deadline
	if len(h.chunks) > 0 {
		first := &h.chunks[0]
		if !now.Before(first.due) {
			return h.consume(first, p)
		}
		if next.IsZero() || first.due.Before(next) {
			next = first.due
		}
	}
	changed := h.changed
	return 0, func() { waitUntil(changed, next) }, nil
}

func (h *half) consume(first *chunk, p []byte) (int, func(), error) {
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
