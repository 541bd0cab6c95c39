// Package endpoint sends HTTP/1.1 requests to endpoints over a connection pool.
//
// # Connection reuse
//
// A connection carries one call at a time. It is reused only after the answer was
// read to its end, the request was written completely and no further bytes were
// received. Bytes that arrive while a connection is idle belong to no request, so
// the connection is closed.
//
// An endpoint may write an earlier answer once more while the next request is on its
// way. A connection is therefore reused only if its answer named its request, and on
// a reused connection only an answer that names the request belongs to it.
//
// # Verdicts
//
// Send never sends a call twice. Its error is NotRun only if no byte of the
// request was passed to a write call. A call that is not idempotent uses a new
// connection, or one that has been idle for less than maxIdleTimeNonIdempotent.
package endpoint

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

const (
	// dialTimeout leaves time to try another endpoint within a call's latency
	// target. Two round trips between the farthest regions take a fifth of
	// dialTimeout.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead
	// connection within about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// maxIdleTime is how long a connection may be idle before it is closed, unless
	// the endpoint advertises less.
	maxIdleTime = 8 * time.Second
	// maxIdleTimeNonIdempotent is the same limit for calls that are not idempotent.
	maxIdleTimeNonIdempotent = time.Second
	// maxIdlePerEndpoint is the maximum number of idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	bufferBytes        = 4 << 10
	// maxAnswers limits the answers that are read for one request, informational,
	// mismatched and final ones.
	maxAnswers = 8
	// maxHeadBytes limits what is read of an answer until the end of its head, and
	// maxForeignBytes the body of an answer to another request. An endpoint in trouble
	// may send bytes without end.
	maxHeadBytes    = 64 << 10
	maxForeignBytes = 4 << 20
)

// Request is a call to an endpoint.
type Request struct {
	Method string
	// Target is the path and query as received from the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// NonIdempotent allows only a new connection, or one that has been idle for
	// less than maxIdleTimeNonIdempotent, as the endpoint may have closed an
	// older one.
	NonIdempotent bool
	// NewConnection is set for a request that answers can't tell from an earlier one: it
	// has no id, or was sent to this endpoint before.
	NewConnection bool
	// Owner returns which request an answer with these headers names: a late second
	// answer to an earlier request may precede it. If nil, answers name none.
	Owner func(http.Header) Owner
	// Permitted, if set, is called once there is a connection, with the time at which it
	// was opened. If it returns false, nothing is written and the error's cause is
	// ErrNotPermitted.
	Permitted func(opened time.Time) bool
}

// ErrNotPermitted is the cause of the error for a request that Permitted stopped.
var ErrNotPermitted = errors.New("no longer permitted")

// Owner is the request that an answer names.
type Owner uint8

// The owners of answers.
const (
	// NoRequest means that the answer names no request. It is accepted only if a
	// single request was written to the connection.
	NoRequest Owner = iota
	ThisRequest
	OtherRequest
)

// Answer is an endpoint's answer. Body, which must be closed, ends with io.EOF only
// if the answer was complete.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if unknown.
	Length int64
	Body   io.ReadCloser
	// Delimited is false if the body ends with its connection, so that an answer that was
	// broken off can look complete.
	Delimited bool
	// OpenedConnection says that the call opened a connection.
	OpenedConnection bool
}

// Pool is a pool of connections to endpoints. Create one with New.
type Pool struct {
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	maxIdle func(netip.AddrPort) int
	group   *errgroup.Group

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithMaxIdle sets the function that returns how many idle connections to an endpoint are
// kept; at most maxIdlePerEndpoint are. It must be quick and safe for concurrent use.
func WithMaxIdle(maxIdle func(netip.AddrPort) int) Option {
	return func(p *Pool) { p.maxIdle = maxIdle }
}

// NewDialer returns a dialer whose connections detect within seconds that they are
// dead.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}

// New returns a Pool whose write goroutines run in group.
func New(group *errgroup.Group, options ...Option) *Pool {
	p := &Pool{
		dial: NewDialer().DialContext, maxIdle: func(netip.AddrPort) int { return maxIdlePerEndpoint }, group: group,
		idle: make(map[netip.AddrPort][]*conn),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// conn is a connection with its state.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// opened is when the connection was opened.
	opened time.Time
	// readable is how many bytes may still be read of the current part of an answer.
	readable int64
	// lastUsed is when the last answer ended; maxIdle is how long the connection
	// may be idle.
	lastUsed time.Time
	maxIdle  time.Duration
	// maybeSent is set once a byte of the current request may have been sent.
	maybeSent atomic.Bool
	// reused is set if an earlier request was written to the connection.
	reused bool
	// named is set if the answer to the current request named it.
	named bool
	// mismatched is set once an answer to another request was received.
	mismatched bool
}

// Send makes one attempt of a call and returns the answer when its headers have
// been read. Its error is a *verdict.Error. The connection is closed when ctx ends.
func (p *Pool) Send(ctx context.Context, address netip.AddrPort, r Request) (*Answer, error) {
	c, opened, err := p.acquire(ctx, address, r)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.EndpointUnreachable, err)
	}
	if r.Permitted != nil && !r.Permitted(c.opened) {
		c.Close()
		return nil, verdict.Wrap(verdict.NotRun, verdict.EndpointLeaving, ErrNotPermitted)
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	writeDone := make(chan error, 1)
	p.group.Go(func() error {
		writeDone <- c.write(r)
		return nil
	})
	//nolint:bodyclose // Answer.Body closes it.
	response, err := c.read(r)
	if err != nil {
		stop()
		c.Close()
		return nil, sendError(ctx, c, errors.Join(err, writeOutcome(writeDone)))
	}
	delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	body := &body{pool: p, conn: c, address: address, response: response, stop: stop, writeResult: writeDone, delimited: delimited}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, Body: body, OpenedConnection: opened,
		Delimited: delimited,
	}, nil
}

// writeOutcome returns the error of a write that has finished, else nil.
func writeOutcome(writeDone <-chan error) error {
	select {
	case err := <-writeDone:
		return err
	default:
		return nil
	}
}

func sendError(ctx context.Context, c *conn, err error) error {
	result := verdict.MayHaveRun
	if !c.maybeSent.Load() {
		result = verdict.NotRun
	}
	if ctx.Err() != nil {
		return verdict.Wrap(result, verdict.EndpointSilent, context.Cause(ctx))
	}
	return verdict.Wrap(result, verdict.EndpointLost, err)
}

// Disconnected reports whether an attempt failed because the endpoint closed or reset
// the connection while the call was in progress, as a crashing endpoint does.
func Disconnected(failure *verdict.Error) bool {
	if failure.Reason != verdict.EndpointLost || failure.Verdict == verdict.NotRun {
		return false
	}
	return slices.ContainsFunc(disconnections, func(target error) bool { return errors.Is(failure, target) })
}

var disconnections = []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}

// acquire returns a usable idle connection or opens one, and reports whether it is
// new.
func (p *Pool) acquire(ctx context.Context, address netip.AddrPort, r Request) (*conn, bool, error) {
	for !r.NewConnection {
		c := p.pop(address)
		if c == nil {
			break
		}
		if c.usable(time.Now(), r.NonIdempotent) {
			c.maybeSent.Store(false)
			c.reused, c.named = true, false
			return c, false, nil
		}
		c.Close()
	}
	opened, err := p.dial(ctx, "tcp", address.String())
	if err != nil {
		return nil, true, err
	}
	c := &conn{Conn: opened, opened: time.Now(), maxIdle: maxIdleTime}
	c.reader = bufio.NewReaderSize(c, bufferBytes)
	return c, true, nil
}

var errTooLong = errors.New("answer exceeds the size limit")

// Read reads at most the bytes that may be read of the current part of an answer.
func (c *conn) Read(data []byte) (int, error) {
	if c.readable <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(data[:min(int64(len(data)), c.readable)])
	c.readable -= int64(n)
	return n, err
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
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= p.maxIdleTo(address) {
		c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// maxIdleTo returns how many idle connections to an endpoint are kept.
func (p *Pool) maxIdleTo(address netip.AddrPort) int {
	return max(0, min(maxIdlePerEndpoint, p.maxIdle(address)))
}

// CloseIdle closes connections that have been idle for too long, those that exceed the
// number to keep, and all idle connections to addresses for which keep returns false.
func (p *Pool) CloseIdle(now time.Time, keep func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if keep(address) && now.Sub(c.lastUsed) < c.maxIdle {
				remaining = append(remaining, c)
				continue
			}
			c.Close()
		}
		excess := max(0, len(remaining)-p.maxIdleTo(address))
		for _, c := range remaining[:excess] {
			c.Close()
		}
		remaining = slices.Delete(remaining, 0, excess)
		p.idle[address] = remaining
		if len(remaining) == 0 {
			delete(p.idle, address)
		}
	}
}

// IdleCount returns the number of idle connections.
func (p *Pool) IdleCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// usable reports whether an idle connection has not expired, is still open and has
// nothing to read.
func (c *conn) usable(now time.Time, nonIdempotent bool) bool {
	limit := c.maxIdle
	if nonIdempotent {
		limit = min(limit, maxIdleTimeNonIdempotent)
	}
	return now.Sub(c.lastUsed) < limit && c.reader.Buffered() == 0 && c.openWithNothingToRead()
}

// openWithNothingToRead makes a non-blocking read, which returns EAGAIN if the
// connection is open and has nothing to read.
func (c *conn) openWithNothingToRead() bool {
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

// Write marks the request as possibly sent before it writes the first byte.
func (c *conn) Write(data []byte) (int, error) {
	c.maybeSent.Store(true)
	return c.Conn.Write(data)
}

// write sends the request with a Content-Length header for its body.
func (c *conn) write(r Request) error {
	buffered := bufio.NewWriterSize(c, bufferBytes)
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

// read returns the final answer to this request with its headers, and discards
// informational answers and answers to other requests before it.
func (c *conn) read(r Request) (*http.Response, error) {
	request := &http.Request{Method: r.Method}
	for range maxAnswers {
		c.readable = maxHeadBytes
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
		if c.accepts(r, response.Header) {
			// The forwarder and the call's deadline bound the body.
			c.readable = math.MaxInt64
			return response, nil
		}
		c.mismatched = true
		c.readable = maxForeignBytes
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("no final answer to the request")
}

// accepts reports whether an answer belongs to this request. The only answer on a new
// connection needs no name.
func (c *conn) accepts(r Request, header http.Header) bool {
	owner := NoRequest
	if r.Owner != nil {
		owner = r.Owner(header)
	}
	c.named = owner == ThisRequest
	return c.named || owner == NoRequest && !c.reused
}
