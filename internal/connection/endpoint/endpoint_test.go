package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

// startServer runs serve in a goroutine for each accepted connection; n counts them.
func startServer(c *qt.C, serve func(n int, conn net.Conn, requests *bufio.Reader)) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	group := new(errgroup.Group)
	group.Go(func() error {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				defer conn.Close()
				serve(n, conn, bufio.NewReader(conn))
				return nil
			})
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// readRequest reads one request with its body.
func readRequest(requests *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

func newRequest(id string) endpoint.Request {
	return endpoint.Request{
		Method: http.MethodPost, Target: "/a?b=1", Host: "h.example", Body: []byte("body"),
		Header: http.Header{"Id": {id}},
		Owner: func(h http.Header) endpoint.Owner {
			switch h.Get("Id") {
			case "":
				return endpoint.NoRequest
			case id:
				return endpoint.ThisRequest
			default:
				return endpoint.OtherRequest
			}
		},
	}
}

// send returns the body of a complete answer, or the error.
func send(pool *endpoint.Pool, to netip.AddrPort, r endpoint.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := pool.Send(ctx, to, r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return string(data), err
}

func formatAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	to := startServer(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		for {
			r, err := readRequest(requests)
			if err != nil {
				return
			}
			fmt.Fprint(conn, formatAnswer(r.Header.Get("Id"), fmt.Sprintf("%d %s", n, r.RequestURI)))
		}
	})
	pool := endpoint.New(new(errgroup.Group))
	for _, id := range []string{"1", "2"} {
		got, err := send(pool, to, newRequest(id))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "0 /a?b=1")
	}
	c.Assert(pool.IdleCount(), qt.Equals, 1)
}

// Bytes after a complete answer belong to no request, so the connection must not be
// reused.
func TestExtraBytesPreventReuse(t *testing.T) {
	c := qt.New(t)
	to := startServer(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		for {
			r, err := readRequest(requests)
			if err != nil {
				return
			}
			fmt.Fprint(conn, formatAnswer(r.Header.Get("Id"), fmt.Sprint(n))+formatAnswer("0", "extra"))
		}
	})
	pool := endpoint.New(new(errgroup.Group))
	for i, id := range []string{"1", "2"} {
		got, err := send(pool, to, newRequest(id))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, fmt.Sprint(i))
	}
}

// The endpoint sends a second answer to the previous request before the answer to
// the current one; it must not be taken for the latter.
func TestLateAnswerToEarlierRequestIsDiscarded(t *testing.T) {
	c := qt.New(t)
	to := startServer(c, func(_ int, conn net.Conn, requests *bufio.Reader) {
		previousID := ""
		for {
			r, err := readRequest(requests)
			if err != nil {
				return
			}
			id := r.Header.Get("Id")
			if previousID != "" {
				fmt.Fprint(conn, formatAnswer(previousID, "late"))
			}
			previousID = id
			fmt.Fprint(conn, formatAnswer(id, "answer to "+id))
		}
	})
	pool := endpoint.New(new(errgroup.Group))
	for _, id := range []string{"1", "2"} {
		got, err := send(pool, to, newRequest(id))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "answer to "+id)
	}
	c.Assert(pool.IdleCount(), qt.Equals, 0)
}

func TestVerdicts(t *testing.T) {
	for _, test := range []struct {
		name  string
		serve func(n int, conn net.Conn, requests *bufio.Reader)
		want  verdict.Verdict
	}{
		{"closed after the request", func(_ int, _ net.Conn, requests *bufio.Reader) { _, _ = readRequest(requests) }, verdict.MayHaveRun},
		{"not an HTTP answer", func(_ int, conn net.Conn, requests *bufio.Reader) {
			_, _ = readRequest(requests)
			fmt.Fprint(conn, "these bytes are no answer\r\n\r\n")
		}, verdict.MayHaveRun},
		{"informational only", func(_ int, conn net.Conn, requests *bufio.Reader) {
			_, _ = readRequest(requests)
			fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
		}, verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := send(endpoint.New(new(errgroup.Group)), startServer(c, test.serve), newRequest("1"))
			c.Assert(verdict.FromError(err).Verdict, qt.Equals, test.want)
		})
	}
}

func TestNoListenerIsNotRun(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	to := netip.MustParseAddrPort(listener.Addr().String())
	listener.Close()
	_, err = send(endpoint.New(new(errgroup.Group)), to, newRequest("1"))
	c.Assert(verdict.FromError(err).Verdict, qt.Equals, verdict.NotRun)
}

// A truncated body ends with an error; a body without framing ends with its
// connection.
func TestEndOfBody(t *testing.T) {
	c := qt.New(t)
	bodies := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"HTTP/1.1 200 OK\r\n\r\nwhole",
	}
	to := startServer(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		_, _ = readRequest(requests)
		fmt.Fprint(conn, bodies[n])
	})
	pool := endpoint.New(new(errgroup.Group))
	for range 2 {
		_, err := send(pool, to, newRequest("1"))
		c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	}
	got, err := send(pool, to, newRequest("1"))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "whole")
}

// The endpoint answers before it has read a long body. The rest of the body would be
// read as part of the next request if the connection were reused.
func TestEarlyAnswerPreventsReuse(t *testing.T) {
	c := qt.New(t)
	to := startServer(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		fmt.Fprint(conn, formatAnswer("", fmt.Sprint(n)))
		time.Sleep(200 * time.Millisecond)
	})
	pool := endpoint.New(new(errgroup.Group))
	long := newRequest("1")
	long.Body = make([]byte, 32<<20)
	got, err := send(pool, to, long)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "0")
	c.Assert(pool.IdleCount(), qt.Equals, 0)
}

// A call that is not idempotent must not use an idle connection that the endpoint
// has closed.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	c := qt.New(t)
	to := startServer(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		if _, err := readRequest(requests); err != nil {
			return
		}
		fmt.Fprint(conn, formatAnswer("", fmt.Sprint(n)))
	})
	pool := endpoint.New(new(errgroup.Group))
	nonIdempotent := newRequest("1")
	nonIdempotent.NonIdempotent = true
	for i := range 3 {
		got, err := send(pool, to, nonIdempotent)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, fmt.Sprint(i))
		time.Sleep(20 * time.Millisecond)
	}
}

func TestCloseIdleClosesConnectionsNotKept(t *testing.T) {
	c := qt.New(t)
	to := startServer(c, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			r, err := readRequest(requests)
			if err != nil {
				return
			}
			fmt.Fprint(conn, formatAnswer(r.Header.Get("Id"), "x"))
		}
	})
	pool := endpoint.New(new(errgroup.Group))
	_, err := send(pool, to, newRequest("1"))
	c.Assert(err, qt.IsNil)
	pool.CloseIdle(time.Now(), func(netip.AddrPort) bool { return true })
	c.Assert(pool.IdleCount(), qt.Equals, 1)
	pool.CloseIdle(time.Now(), func(netip.AddrPort) bool { return false })
	c.Assert(pool.IdleCount(), qt.Equals, 0)
}
