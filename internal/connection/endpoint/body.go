package endpoint

import (
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// writeSettle is how long the end of an answer waits for its request's writer to
// report: an endpoint that read it whole has answered, but the writer may not have
// run since.
const writeSettle = 50 * time.Millisecond

// keepAliveMargin is taken off the idle time that an endpoint states in whole
// seconds, for the way there.
const keepAliveMargin = 500 * time.Millisecond

// body reads an answer and gives its connection back after a clean end.
type body struct {
	pool     *Pool
	conn     *conn
	address  netip.AddrPort
	response *http.Response
	stop     func() bool
	wrote    <-chan error
	ended    bool
	closed   bool
}

// Read gives io.EOF only at the end that the framing tells; an answer without
// framing ends with its connection.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.response.Body.Read(data)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close ends the use of the connection for this answer.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	running := b.stop()
	if !running || !b.reusable() {
		return b.conn.Close()
	}
	b.conn.keep = idle(b.response.Header)
	b.pool.put(b.address, b.conn)
	return nil
}

// reusable tells whether exactly one request and one answer have passed.
func (b *body) reusable() bool {
	if !b.ended || b.response.Close || b.conn.foreign || b.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-b.wrote:
		return err == nil
	case <-time.After(writeSettle):
		return false
	}
}

// idle is how long an endpoint keeps an idle connection open.
func idle(header http.Header) time.Duration {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			continue
		}
		return min(idleMost, max(0, time.Duration(seconds)*time.Second-keepAliveMargin))
	}
	return idleMost
}
