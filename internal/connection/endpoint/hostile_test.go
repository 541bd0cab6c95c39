package endpoint_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

// maxReadOfEndlessHead is the number of bytes that may be taken from an endpoint that
// sends no end of a head: the limit of a head and what the buffers of both sockets hold.
const maxReadOfEndlessHead = 16 << 20

// endless writes the same bytes until the peer closes or limit is reached, and returns
// the number of bytes written.
func endless(conn net.Conn, first, repeated string, limit int) int {
	chunk := []byte(strings.Repeat(repeated, 4096/len(repeated)))
	written, err := conn.Write([]byte(first))
	for err == nil && written < limit {
		var n int
		n, err = conn.Write(chunk)
		written += n
	}
	return written
}

// An endpoint in trouble sends bytes that are no answer without end. The caller closes
// the connection after a bounded number of bytes, in whatever part of an answer they
// come, and the call may have run.
func TestEndlessBytesAreBounded(t *testing.T) {
	for name, answer := range map[string]struct{ first, repeated string }{
		"status line":              {"HTTP/1.1 200 ", "x"},
		"no answer at all":         {"", "\x00"},
		"header line":              {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"headers":                  {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"informational answers":    {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body of another answer":   {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		"chunk size":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailers of chunked body": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			written := make(chan int, 1)
			to := startServer(c, func(_ int, conn net.Conn, requests *bufio.Reader) {
				if _, err := readRequest(requests); err == nil {
					written <- endless(conn, answer.first, answer.repeated, 4*maxReadOfEndlessHead)
				}
			})
			_, err := send(endpoint.New(new(errgroup.Group)), to, newRequest("1"))
			c.Assert(err, qt.IsNotNil)
			var failure *verdict.Error
			if errors.As(err, &failure) {
				c.Check(failure.Verdict, qt.Equals, verdict.MayHaveRun)
			}
			c.Check(<-written < maxReadOfEndlessHead, qt.IsTrue)
		})
	}
}

// Bytes without end that follow a complete answer on a kept connection reach no call,
// whether they arrive before the next call is sent or while it waits for its answer.
func TestEndlessBytesAfterAnAnswerReachNoCall(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
	t.Run("before the next call", func(t *testing.T) {
		c := qt.New(t)
		written := make(chan struct{})
		to := startServer(c, func(n int, conn net.Conn, requests *bufio.Reader) {
			if _, err := readRequest(requests); err != nil {
				return
			}
			if n == 0 {
				_, _ = io.WriteString(conn, formatAnswer("1", "one")+foreign)
				close(written)
				endless(conn, "", foreign, maxReadOfEndlessHead)
				return
			}
			// A write error means that the test has ended.
			_, _ = io.WriteString(conn, formatAnswer("2", "two"))
		})
		pool := endpoint.New(new(errgroup.Group))
		body, err := send(pool, to, newRequest("1"))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "one")
		<-written
		body, err = send(pool, to, newRequest("2"))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "two")
	})
	t.Run("while the next call waits", func(t *testing.T) {
		c := qt.New(t)
		to := startServer(c, func(_ int, conn net.Conn, requests *bufio.Reader) {
			if _, err := readRequest(requests); err != nil {
				return
			}
			_, _ = io.WriteString(conn, formatAnswer("1", "one"))
			if _, err := readRequest(requests); err != nil {
				return
			}
			endless(conn, "", foreign, maxReadOfEndlessHead)
		})
		pool := endpoint.New(new(errgroup.Group))
		body, err := send(pool, to, newRequest("1"))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.Equals, "one")
		// The endpoint has got the call, so nobody can tell whether it runs it.
		body, err = send(pool, to, newRequest("2"))
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", body))
		c.Check(verdict.FromError(err).Verdict, qt.Equals, verdict.MayHaveRun)
	})
}
