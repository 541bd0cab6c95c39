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

// server accepts connections and hands each to serve, one after the other.
func server(c *qt.C, serve func(n int, conn net.Conn, requests *bufio.Reader)) netip.AddrPort {
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

// take reads one request.
func take(requests *bufio.Reader) (*http.Request, error) {
	r, err := http.ReadRequest(requests)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

func call(id string) endpoint.Request {
	return endpoint.Request{
		Method: http.MethodPost, Target: "/a?b=1", Host: "h.example", Body: []byte("body"),
		Header: http.Header{"Id": {id}},
		Mine:   func(h http.Header) bool { return h.Get("Id") == "" || h.Get("Id") == id },
	}
}

// send gives the body of a whole answer, or the error.
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

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestAConnectionIsUsedAgain(t *testing.T) {
	c := qt.New(t)
	to := server(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		for {
			r, err := take(requests)
			if err != nil {
				return
			}
			fmt.Fprint(conn, answer(r.Header.Get("Id"), fmt.Sprintf("%d %s", n, r.RequestURI)))
		}
	})
	pool := endpoint.New(new(errgroup.Group))
	for _, id := range []string{"1", "2"} {
		got, err := send(pool, to, call(id))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "0 /a?b=1")
	}
	c.Assert(pool.Idle(), qt.Equals, 1)
}

// Bytes behind a whole answer belong to no request.
func TestExtraBytesEndTheUseOfAConnection(t *testing.T) {
	c := qt.New(t)
	to := server(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		for {
			r, err := take(requests)
			if err != nil {
				return
			}
			fmt.Fprint(conn, answer(r.Header.Get("Id"), fmt.Sprint(n))+answer("0", "extra"))
		}
	})
	pool := endpoint.New(new(errgroup.Group))
	for i, id := range []string{"1", "2"} {
		got, err := send(pool, to, call(id))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, fmt.Sprint(i))
	}
}

// A second answer to the request before comes where the next one is expected.
func TestALateAnswerToAnEarlierRequestIsPassedOver(t *testing.T) {
	c := qt.New(t)
	to := server(c, func(_ int, conn net.Conn, requests *bufio.Reader) {
		before := ""
		for {
			r, err := take(requests)
			if err != nil {
				return
			}
			id := r.Header.Get("Id")
			if before != "" {
				fmt.Fprint(conn, answer(before, "late"))
			}
			before = id
			fmt.Fprint(conn, answer(id, "answer to "+id))
		}
	})
	pool := endpoint.New(new(errgroup.Group))
	for _, id := range []string{"1", "2"} {
		got, err := send(pool, to, call(id))
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, "answer to "+id)
	}
	c.Assert(pool.Idle(), qt.Equals, 0)
}

func TestVerdicts(t *testing.T) {
	for _, test := range []struct {
		name  string
		serve func(n int, conn net.Conn, requests *bufio.Reader)
		want  verdict.Verdict
	}{
		{"closed after the request", func(_ int, _ net.Conn, requests *bufio.Reader) { _, _ = take(requests) }, verdict.MayHaveRun},
		{"no answer at all", func(_ int, conn net.Conn, requests *bufio.Reader) {
			_, _ = take(requests)
			fmt.Fprint(conn, "these bytes are no answer\r\n\r\n")
		}, verdict.MayHaveRun},
		{"informational only", func(_ int, conn net.Conn, requests *bufio.Reader) {
			_, _ = take(requests)
			fmt.Fprint(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
		}, verdict.MayHaveRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := send(endpoint.New(new(errgroup.Group)), server(c, test.serve), call("1"))
			c.Assert(verdict.Of(err).Verdict, qt.Equals, test.want)
		})
	}
}

func TestNoListenerIsNotRun(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	to := netip.MustParseAddrPort(listener.Addr().String())
	listener.Close()
	_, err = send(endpoint.New(new(errgroup.Group)), to, call("1"))
	c.Assert(verdict.Of(err).Verdict, qt.Equals, verdict.NotRun)
}

// A cut answer is not whole; one without framing ends with its connection.
func TestTheEndOfABody(t *testing.T) {
	c := qt.New(t)
	bodies := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"HTTP/1.1 200 OK\r\n\r\nwhole",
	}
	to := server(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		_, _ = take(requests)
		fmt.Fprint(conn, bodies[n])
	})
	pool := endpoint.New(new(errgroup.Group))
	for range 2 {
		_, err := send(pool, to, call("1"))
		c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
	}
	got, err := send(pool, to, call("1"))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "whole")
}

// An endpoint answers before it has read a long body, and would read on from the
// same connection.
func TestAnEarlyAnswerEndsTheUseOfAConnection(t *testing.T) {
	c := qt.New(t)
	to := server(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		fmt.Fprint(conn, answer("", fmt.Sprint(n)))
		time.Sleep(200 * time.Millisecond)
	})
	pool := endpoint.New(new(errgroup.Group))
	long := call("1")
	long.Body = make([]byte, 32<<20)
	got, err := send(pool, to, long)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, "0")
	c.Assert(pool.Idle(), qt.Equals, 0)
}

// A call that may not be repeated does not travel on a connection that the
// endpoint closed meanwhile.
func TestAClosedIdleConnectionIsNotUsed(t *testing.T) {
	c := qt.New(t)
	to := server(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		if _, err := take(requests); err != nil {
			return
		}
		fmt.Fprint(conn, answer("", fmt.Sprint(n)))
	})
	pool := endpoint.New(new(errgroup.Group))
	once := call("1")
	once.Once = true
	for i := range 3 {
		got, err := send(pool, to, once)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.Equals, fmt.Sprint(i))
		time.Sleep(20 * time.Millisecond)
	}
}

func TestSweepClosesWhatIsNotKept(t *testing.T) {
	c := qt.New(t)
	to := server(c, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			if _, err := take(requests); err != nil {
				return
			}
			fmt.Fprint(conn, answer("", "x"))
		}
	})
	pool := endpoint.New(new(errgroup.Group))
	_, err := send(pool, to, call("1"))
	c.Assert(err, qt.IsNil)
	pool.Sweep(time.Now(), func(netip.AddrPort) bool { return true })
	c.Assert(pool.Idle(), qt.Equals, 1)
	pool.Sweep(time.Now(), func(netip.AddrPort) bool { return false })
	c.Assert(pool.Idle(), qt.Equals, 0)
}
