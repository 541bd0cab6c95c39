// Package server serves HTTP, and stops without leaving a request unanswered.
//
// The server of net/http closes the connection of a request that it has read after
// Shutdown was called, without an answer. The caller may have sent that request long
// before: on a busy host it waits until the host gets to read it.
//
// Here the reader of a connection closes it, once it has found nothing to read. A
// request that is not read before is the caller's to send again.
package server

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// pollInterval is how often a stopping server looks for connections to close.
	pollInterval = 20 * time.Millisecond
	// freshTimeout is how long a stopping server waits for the first request on a
	// connection since it was accepted. Callers send it at once.
	freshTimeout = 5 * time.Second
)

// Server is an HTTP server with one listener. Create one with New.
type Server struct {
	http     *http.Server
	listener net.Listener
	served   chan struct{}
	stopping atomic.Bool

	onLost func(Loss)

	mu          sync.Mutex
	connections map[*connection]struct{}
}

// Option configures a Server.
type Option func(*Server)

// WithOnLost sets the function that is called for each connection that ends with a
// request, or a part of one, that got no answer or only a part of it. It must be safe for
// concurrent use.
func WithOnLost(onLost func(Loss)) Option {
	return func(s *Server) { s.onLost = onLost }
}

// New returns a Server that serves with h on listener. It sets h.ConnState and
// h.ConnContext and wraps h.Handler.
func New(h *http.Server, listener *net.TCPListener, options ...Option) *Server {
	s := &Server{
		http: h, served: make(chan struct{}), onLost: func(Loss) {}, connections: make(map[*connection]struct{}),
	}
	s.listener = trackingListener{listener, s}
	h.ConnState = s.onState
	h.ConnContext = func(ctx context.Context, tracked net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, tracked)
	}
	h.Handler = followHandler(h.Handler)
	for _, option := range options {
		option(s)
	}
	return s
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// followHandler tells a request's connection when its handler begins and returns.
func followHandler(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		c.setProgress(handling)
		// A handler that panics leaves its request without an answer.
		handler.ServeHTTP(w, r)
		c.setProgress(handled)
	})
}

// Serve serves until Stop is called.
func (s *Server) Serve() error {
	defer close(s.served)
	err := s.http.Serve(s.listener)
	if s.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Stop closes the listener and all idle connections, and returns when the other
// connections have been answered. If ctx ends before, it closes them and returns an
// error.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	err := s.listener.Close()
	<-s.served
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for s.wakeUnused(time.Now()) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.cut()
			return ctx.Err()
		}
	}
	return err
}

// cut closes all connections. They are reported here, since the process may end before
// net/http does so.
func (s *Server) cut() {
	s.mu.Lock()
	left := slices.Collect(maps.Keys(s.connections))
	s.mu.Unlock()
	for _, c := range left {
		c.report(Cut)
	}
	s.http.Close()
}

// wakeUnused wakes the readers of connections from which nothing of a request has been
// read, so that they close them, and returns the number of open connections.
func (s *Server) wakeUnused(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		c.wakeIfUnused(now)
	}
	return len(s.connections)
}

// onState follows the connections. It is called by net/http.
func (s *Server) onState(tracked net.Conn, state http.ConnState) {
	c, ok := tracked.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.connections[c] = struct{}{}
	case http.StateActive:
		// The request may have been read together with the one before it.
		c.begin()
	case http.StateIdle:
		c.finish()
	case http.StateClosed, http.StateHijacked:
		if state == http.StateClosed {
			c.report("")
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.connections, c)
	}
}

// trackingListener accepts connections whose phase is known.
type trackingListener struct {
	*net.TCPListener
	server *Server
}

// Accept returns a *connection.
func (l trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &connection{TCPConn: accepted, server: l.server, accepted: time.Now()}, nil
}

// phase is the phase of a connection.
type phase int

const (
	// fresh means that nothing has been read yet.
	fresh phase = iota
	// busy means that at least a part of a request was read that has not been answered.
	busy
	// idle means that all requests that were read have been answered.
	idle
)

// connection is a caller's connection with its phase.
type connection struct {
	*net.TCPConn
	server   *Server
	accepted time.Time

	// mu makes a change of the phase and the deadline that belongs to it one step.
	mu    sync.Mutex
	phase phase
	// began is when the connection became busy; progress, read and written count from
	// then on.
	began         time.Time
	progress      progress
	read, written int
	// readError and writeError are the errors that ended reading and writing, or nil.
	readError, writeError error
	// reported is set once the loss of the connection was reported.
	reported bool
}

// wakeTime is a deadline that has passed.
var wakeTime = time.Unix(1, 0)

// wakeIfUnused makes Read return unless the connection is busy, or fresh and may still
// bring its first request.
func (c *connection) wakeIfUnused(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle || c.phase == fresh && now.Sub(c.accepted) > freshTimeout {
		// An error means that the connection is closed.
		_ = c.TCPConn.SetReadDeadline(wakeTime)
	}
}

// SetReadDeadline sets the deadline, or wakes the reader if the connection is idle and
// the server is stopping.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle && c.server.stopping.Load() {
		t = wakeTime
	}
	return c.TCPConn.SetReadDeadline(t)
}

// begin makes the connection busy.
func (c *connection) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == busy {
		return
	}
	if c.server.stopping.Load() {
		// The reader may have been woken after it had read this request.
		_ = c.TCPConn.SetReadDeadline(time.Time{})
	}
	c.phase, c.progress = busy, reading
	c.began, c.read, c.written = time.Now(), 0, 0
}

// finish makes the connection idle.
func (c *connection) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = idle
}

// unused reports whether the server is stopping and has read nothing of a request from
// the connection.
func (c *connection) unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != busy && c.server.stopping.Load()
}

// Read makes the connection busy. If it is woken, it returns what can be read without
// waiting, since a deadline that has passed hides it, or an error if that is nothing;
// net/http then closes the connection.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.unused() {
		n, err = c.readAvailable(data, err)
	}
	if n > 0 {
		c.begin()
	}
	c.countRead(n, err)
	return n, err
}

// readAvailable reads without waiting, and returns nothing if there is nothing to read.
func (c *connection) readAvailable(data []byte, nothing error) (int, error) {
	if err := c.TCPConn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	n, readErr := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		for n, readErr = syscall.Read(int(fd), data); errors.Is(readErr, syscall.EINTR); {
			n, readErr = syscall.Read(int(fd), data)
		}
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return 0, nothing
	case n == 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}
