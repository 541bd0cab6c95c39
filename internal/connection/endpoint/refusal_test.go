package endpoint_test

import (
	"bufio"
	"context"
	"errors"
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

// formatRefusal returns a refusal that names the request with the given id, or none.
func formatRefusal(status int, id string, marked bool) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		text += "Id: " + id + "\r\n"
	}
	if marked {
		text += "Not-Executed: 1\r\n"
	}
	return text + "Content-Length: 4\r\n\r\nfull"
}

// duplicateMoment is when an endpoint writes an earlier refusal once more.
type duplicateMoment int

const (
	withTheRefusal duplicateMoment = iota
	whileIdle
	afterFirstByteOfRequest
	withinBody
	afterRequest
	afterInformational
	momentCount
)

func (m duplicateMoment) String() string {
	return [...]string{"with the refusal", "while idle", "after the first byte", "within the body", "after the request", "after an informational answer"}[m]
}

// longBody is larger than the buffers of both sockets, so that an endpoint that has read
// a part of it answers while it is being written.
const longBody = 8 << 20

// refuseOnceMore answers the first request on the first connection with a refusal, writes
// duplicate at the given moment, and then answers the second request in order. It closes
// idle once the connection is idle and all bytes that come then have been written.
func refuseOnceMore(conn net.Conn, requests *bufio.Reader, moment duplicateMoment, refusal, duplicate string, idle chan<- struct{}) error {
	if _, err := readRequest(requests); err != nil {
		return err
	}
	write := func(when duplicateMoment, text string) {
		if when == moment {
			text += duplicate
		}
		// A write error means that the caller has closed the connection.
		_, _ = io.WriteString(conn, text)
	}
	write(withTheRefusal, refusal)
	write(whileIdle, "")
	close(idle)
	if _, err := requests.Peek(1); err != nil {
		return err
	}
	write(afterFirstByteOfRequest, "")
	r, err := http.ReadRequest(requests)
	if err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, r.Body, 1); err != nil {
		return err
	}
	write(withinBody, "")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	write(afterRequest, "")
	if moment == afterInformational {
		write(afterInformational, "HTTP/1.1 103 Early Hints\r\n\r\n")
	}
	_, err = io.WriteString(conn, formatAnswer(r.Header.Get("Id"), "ran"))
	return err
}

// Guards against REFUSED and TWICE: an endpoint writes an earlier refusal once more on a
// kept connection, and the next request, which it runs, is taken for refused.
func TestEarlierRefusalOnceMoreRefusesNoOtherRequest(t *testing.T) {
	for _, status := range []int{
		http.StatusBadRequest, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		for _, id := range []string{"1", ""} {
			for _, marked := range []bool{true, false} {
				for moment := range momentCount {
					t.Run(fmt.Sprintf("%d id=%q marked=%v %v", status, id, marked, moment), func(t *testing.T) {
						c := qt.New(t)
						idle := make(chan struct{})
						to := startServer(c, func(n int, conn net.Conn, requests *bufio.Reader) {
							if n == 0 {
								_ = refuseOnceMore(conn, requests, moment, formatRefusal(status, "1", marked), formatRefusal(status, id, marked), idle)
								return
							}
							if r, err := readRequest(requests); err == nil {
								_, _ = io.WriteString(conn, formatAnswer(r.Header.Get("Id"), "ran"))
							}
						})
						pool := endpoint.New(new(errgroup.Group))
						_, err := send(pool, to, newRequest("1"))
						c.Assert(err, qt.IsNil)
						<-idle
						next := newRequest("2")
						next.NonIdempotent = true
						if moment == withinBody {
							next.Body = make([]byte, longBody)
						}
						body, err := send(pool, to, next)
						c.Assert(err, qt.IsNil)
						c.Check(body, qt.Equals, "ran")
						c.Check(pool.IdleCount() <= 1, qt.IsTrue)
					})
				}
			}
		}
	}
}

// Guards against REFUSED: the duplicate is on its way, and so not yet in the receive
// buffer, when the connection is taken from the pool. A pipe holds no bytes.
func TestRefusalOnItsWayAtReuseRefusesNoOtherRequest(t *testing.T) {
	for _, id := range []string{"1", ""} {
		t.Run("id="+id, func(t *testing.T) {
			c := qt.New(t)
			group := new(errgroup.Group)
			c.Cleanup(func() { c.Check(group.Wait(), qt.IsNil) })
			dial := func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				c.Cleanup(func() { near.Close() })
				group.Go(func() error {
					defer far.Close()
					requests := bufio.NewReader(far)
					if _, err := readRequest(requests); err != nil {
						return err
					}
					for _, id := range []string{"1", id} {
						if _, err := io.WriteString(far, formatRefusal(http.StatusServiceUnavailable, id, true)); err != nil {
							return err
						}
					}
					if _, err := readRequest(requests); err != nil {
						return err
					}
					_, err := io.WriteString(far, formatAnswer("2", "ran"))
					return err
				})
				return near, nil
			}
			pool := endpoint.New(new(errgroup.Group), endpoint.WithDial(dial))
			to := netip.MustParseAddrPort("127.0.0.1:1")
			_, err := send(pool, to, newRequest("1"))
			c.Assert(err, qt.IsNil)
			c.Assert(pool.IdleCount(), qt.Equals, 1)
			body, err := send(pool, to, newRequest("2"))
			c.Assert(err, qt.IsNil)
			c.Check(body, qt.Equals, "ran")
		})
	}
}

// Guards against REFUSED: an endpoint that runs a request writes an earlier refusal once
// more and closes. Nothing says that the request has not run.
func TestEarlierRefusalBeforeACloseIsNoVerdict(t *testing.T) {
	for _, id := range []string{"1", ""} {
		t.Run("id="+id, func(t *testing.T) {
			c := qt.New(t)
			to := startServer(c, func(_ int, conn net.Conn, requests *bufio.Reader) {
				if _, err := readRequest(requests); err != nil {
					return
				}
				_, _ = io.WriteString(conn, formatRefusal(http.StatusServiceUnavailable, "1", true))
				if _, err := readRequest(requests); err != nil {
					return
				}
				_, _ = io.WriteString(conn, formatRefusal(http.StatusServiceUnavailable, id, true))
			})
			pool := endpoint.New(new(errgroup.Group))
			_, err := send(pool, to, newRequest("1"))
			c.Assert(err, qt.IsNil)
			_, err = send(pool, to, newRequest("2"))
			var failure *verdict.Error
			c.Assert(errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(failure.Verdict, qt.Equals, verdict.MayHaveRun)
		})
	}
}

// Guards against endless waiting: an endpoint that names no request in its answers gets
// each request on a connection of its own, where its answers can only be to that request.
func TestConnectionWithUnnamedAnswerIsNotKept(t *testing.T) {
	c := qt.New(t)
	to := startServer(c, func(n int, conn net.Conn, requests *bufio.Reader) {
		for {
			if _, err := readRequest(requests); err != nil {
				return
			}
			fmt.Fprint(conn, formatAnswer("", fmt.Sprint(n)))
		}
	})
	pool := endpoint.New(new(errgroup.Group))
	for i, id := range []string{"1", "2"} {
		started := time.Now()
		body, err := send(pool, to, newRequest(id))
		c.Assert(err, qt.IsNil)
		c.Check(body, qt.Equals, fmt.Sprint(i))
		c.Check(time.Since(started) < 2*time.Second, qt.IsTrue)
	}
	c.Check(pool.IdleCount(), qt.Equals, 0)
}
