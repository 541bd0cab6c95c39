package endpoint_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
)

// resetTries is how often an answer is reset. Whether the writing or the reading side is
// told of the reset is a matter of chance.
const resetTries = 60

// Guards against MIXED: an endpoint resets an answer without a length while the request is
// being written, the writing side is told of it, and the reading side takes it for the end.
func TestResetWhileWritingIsNoEndOfAnswer(t *testing.T) {
	for name, wait := range map[string]time.Duration{"at once": 0, "later": 2 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			to := startServer(c, func(_ int, conn net.Conn, requests *bufio.Reader) {
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				time.Sleep(wait)
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
			})
			pool := endpoint.New(new(errgroup.Group))
			complete := 0
			for range resetTries {
				r := newRequest("1")
				r.Body = make([]byte, longBody)
				if _, err := send(pool, to, r); err == nil {
					complete++
				}
			}
			c.Check(complete, qt.Equals, 0)
		})
	}
}

// An answer without a length may come before the request is read and end in order.
func TestEarlyAnswerWithoutLengthIsComplete(t *testing.T) {
	c := qt.New(t)
	to := startServer(c, func(_ int, conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		time.Sleep(200 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	r := newRequest("1")
	r.Body = make([]byte, longBody)
	body, err := send(endpoint.New(new(errgroup.Group)), to, r)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "whole")
}
