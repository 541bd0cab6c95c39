package endpoint

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// writeResultTimeout is how long Close waits for the result of writing the
// request: the answer may arrive before the goroutine that wrote the request has
// reported its result.
const writeResultTimeout = 50 * time.Millisecond

// keepAliveMargin is subtracted from the keep-alive timeout that an endpoint
// advertises in whole seconds, to allow for network latency.
const keepAliveMargin = 500 * time.Millisecond

// body is the body of an answer. Close returns the connection to the pool if it can
// be reused.
type body struct {
	pool        *Pool
	conn        *conn
	address     netip.AddrPort
	response    *http.Response
	stop        func() bool
	writeResult <-chan error
	// delimited is false if the body ends with its connection.
	delimited bool
	// endError is what Read returns once the body has ended.
	endError error
	closed   bool
}

// Read returns io.EOF only at the end of the body according to its framing. A body
// without framing ends when the connection is closed in order.
func (b *body) Read(data []byte) (int, error) {
	if b.endError != nil {
		return 0, b.endError
	}
	n, err := b.response.Body.Read(data)
	if err == io.EOF {
		b.endError = b.end()
		err = b.endError
	}
	return n, err
}

// end returns io.EOF if the body that has ended is complete. The kernel reports a reset
// once: if it told the writing side, the reading side only sees an end.
func (b *body) end() error {
	if b.delimited {
		return io.EOF
	}
	// The end of the call's context closes the connection, and so ends the writing.
	if err := <-b.writeResult; err != nil {
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
	}
	return io.EOF
}

// Close returns the connection to the pool, or closes it if it can't be reused.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	ctxActive := b.stop()
	if !ctxActive || !b.reusable() {
		return b.conn.Close()
	}
	b.conn.maxIdle = idleLimit(b.response.Header)
	b.pool.put(b.address, b.conn)
	return nil
}

// reusable reports whether exactly one request was written and one answer read, which
// named the request.
func (b *body) reusable() bool {
	if !errors.Is(b.endError, io.EOF) || b.response.Close || !b.conn.named || b.conn.mismatched || b.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-b.writeResult:
		return err == nil
	case <-time.After(writeResultTimeout):
		return false
	}
}

// idleLimit returns how long a connection may be idle: maxIdleTime, or less if the
// endpoint advertises a shorter keep-alive timeout.
func idleLimit(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		return min(maxIdleTime, max(0, time.Duration(seconds)*time.Second-keepAliveMargin))
	}
	return maxIdleTime
}
