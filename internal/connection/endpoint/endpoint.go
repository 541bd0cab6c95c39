// Package endpoint carries calls to endpoints byte for byte.
//
// # One request, one answer
//
// A connection carries one call at a time. It is used again only after the
// answer was read to its end, the request was written whole and nothing else
// came in. Bytes that arrive while a connection lies idle belong to no request:
// the connection is closed.
//
// # Verdicts
//
// Send never sends a call twice. Its error is NotRun only if no byte of the
// request was handed to a write call. A call that may not be repeated travels on
// a connection that was used a moment ago, or on a new one.
package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

const (
	// dialTimeout leaves time for another endpoint within a call's objective: two
	// round trips between the farthest regions take a fifth of it.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection that
	// has fallen silent within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleMost is how long a connection may lie idle before it is closed, unless
	// the endpoint states less.
	idleMost = 8 * time.Second
	// idleOnce is the same for calls that may not be repeated.
	idleOnce = time.Second
	// idlePerEndpoint bounds the idle connections to one endpoint.
	idlePerEndpoint = 16
	readBuffer      = 4 << 10
	// earlyAnswers bounds the informational answers before the final one.
	earlyAnswers = 8
)

// Request is a call as it goes to an endpoint.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Once forbids a connection that may have been closed meanwhile.
	Once bool
	// Mine tells by its header whether an answer is to this request: a late
	// second answer to an earlier one may come first. Nil takes any.
	Mine func(http.Header) bool
}

// Answer is the head of an endpoint's answer; Body ends with io.EOF only where
// the answer was complete. It must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 if its framing doesn't tell.
	Length int64
	Body   io.ReadCloser
	// New tells that a connection was opened for it.
	New bool
}

// Pool keeps the connections to endpoints. Make one with New.
type Pool struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	group *errgroup.Group

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// Option changes a Pool as it is made.
type Option func(*Pool)

// WithDial replaces how connections are opened.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// Dialer opens connections that find out within seconds that they are silent.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}

// New makes a Pool whose writers run in group.
func New(group *errgroup.Group, options ...Option) *Pool {
	p := &Pool{dial: Dialer().DialContext, group: group, idle: make(map[netip.AddrPort][]*conn)}
	for _, option := range options {
		option(p)
	}
	return p
}

// conn is one connection and what is known of it.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// used is when its last answer ended, keep how long it may lie idle.
	used time.Time
	keep time.Duration
	// written is set once a byte of the present request may have left.
	written atomic.Bool
	// foreign is set once an answer came that was to another request.
	foreign bool
}

// Send makes one attempt of a call at an endpoint and gives the head of its
// answer. An error is a *verdict.Error. The connection is closed when ctx ends.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, r Request) (*Answer, error) {
	c, fresh, err := p.take(ctx, address, r.Once)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.EndpointUnreachable, err)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	done := make(chan error, 1)
	p.group.Go(func() error {
		done <- c.write(r)
		return nil
	})
	//nolint:bodyclose // The answer closes it.
	response, err := c.read(r)
	if err != nil {
		stop()
		c.Close()
		return nil, lost(ctx, c, errors.Join(err, settled(done)))
	}
	body := &body{pool: p, conn: c, address: address, response: response, stop: stop, wrote: done}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: body, New: fresh,
	}, nil
}

// settled gives the outcome of a write if it has one yet.
func settled(done <-chan error) error {
	select {
	case err := <-done:
		return err
	default:
		return nil
	}
}

func lost(ctx context.Context, c *conn, err error) error {
	said := verdict.MayHaveRun
	if !c.written.Load() {
		said = verdict.NotRun
	}
	if ctx.Err() != nil {
		return verdict.Wrap(said, verdict.EndpointSilent, context.Cause(ctx))
	}
	return verdict.Wrap(said, verdict.EndpointLost, err)
}

// take finds an idle connection or opens one.
func (p *Pool) take(ctx context.Context, address netip.AddrPort, once bool) (*conn, bool, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.usable(time.Now(), once) {
			c.written.Store(false)
			return c, false, nil
		}
		c.Close()
	}
	opened, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, true, err
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer), keep: idleMost}, true, nil
}

func (p *Pool) pop(address netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(address netip.AddrPort, c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= idlePerEndpoint {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes connections that have been idle for too long, and all those to
// addresses that are not kept.
func (p *Pool) Sweep(now time.Time, kept func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		left := list[:0]
		for _, c := range list {
			if kept(address) && now.Sub(c.used) < c.keep {
				left = append(left, c)
				continue
			}
			c.Close()
		}
		p.idle[address] = left
		if len(left) == 0 {
			delete(p.idle, address)
		}
	}
}

// Idle counts the idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// usable tells whether an idle connection is still open and has nothing to read.
func (c *conn) usable(now time.Time, once bool) bool {
	most := c.keep
	if once {
		most = min(most, idleOnce)
	}
	return now.Sub(c.used) < most && c.reader.Buffered() == 0 && c.quiet()
}

// quiet reads without waiting: an open connection with nothing to read gives
// EAGAIN.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Write marks the request as possibly sent before the first byte leaves.
func (c *conn) Write(data []byte) (int, error) {
	c.written.Store(true)
	return c.Conn.Write(data)
}

// write sends the request with a length of its own.
func (c *conn) write(r Request) error {
	buffered := bufio.NewWriterSize(c, readBuffer)
	fmt.Fprintf(buffered, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(buffered, "Content-Length: %d\r\n", len(r.Body))
	}
	if err := r.Header.Write(buffered); err != nil {
		return err
	}
	if _, err := buffered.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := buffered.Write(r.Body); err != nil {
		return err
	}
	return buffered.Flush()
}

// read takes the head of the final answer to this request, and drops what comes
// before it.
func (c *conn) read(r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for range earlyAnswers {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine == nil || r.Mine(response.Header) {
			return response, nil
		}
		c.foreign = true
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("no final answer")
}
