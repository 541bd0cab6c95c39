package server_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/server"
)

const request = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"

// testServer is a server on the loopback.
type testServer struct {
	c       *qt.C
	server  *server.Server
	address string
	group   errgroup.Group
}

func start(c *qt.C, handler http.HandlerFunc) *testServer {
	return startServer(c, &http.Server{Handler: handler})
}

func startServer(c *qt.C, h *http.Server, options ...server.Option) *testServer {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	c.Assert(err, qt.IsNil)
	s := &testServer{c: c, server: server.New(h, listener, options...), address: listener.Addr().String()}
	s.group.Go(s.server.Serve)
	return s
}

// stop stops the server in the background and returns when it refuses connections.
// The returned function waits for the result.
func (s *testServer) stop(timeout time.Duration) (wait func() error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	s.c.Cleanup(cancel)
	var stopping errgroup.Group
	stopping.Go(func() error { return s.server.Stop(ctx) })
	for {
		other, err := net.Dial("tcp", s.address)
		if err != nil {
			return stopping.Wait
		}
		other.Close()
		time.Sleep(5 * time.Millisecond)
	}
}

func (s *testServer) dial() net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { conn.Close() })
	return conn
}

func (s *testServer) write(conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	s.c.Assert(err, qt.IsNil)
}

// readAnswer reads an answer with its body.
func readAnswer(conn net.Conn) (string, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		fmt.Fprintf(w, "got %s", body)
	}
}

// A request that the host reads only after it began to stop gets an answer: net/http
// would close its connection without one.
func TestRequestReadWhileStoppingIsAnswered(t *testing.T) {
	for _, sent := range []string{"", "PO", "POST /x HTTP/1.1\r\nHost: a\r\n", strings.TrimSuffix(request, "dy")} {
		t.Run(fmt.Sprint(len(sent), " bytes before"), func(t *testing.T) {
			c := qt.New(t)
			s := start(c, echo)
			conn := s.dial()
			s.write(conn, sent)
			// A later connection is accepted after this one.
			later := s.dial()
			s.write(later, request)
			_, err := readAnswer(later)
			c.Assert(err, qt.IsNil)
			wait := s.stop(5 * time.Second)
			s.write(conn, strings.TrimPrefix(request, sent))
			body, err := readAnswer(conn)
			c.Assert(err, qt.IsNil)
			c.Check(body, qt.Equals, "got body")
			c.Check(wait(), qt.IsNil)
			c.Check(s.group.Wait(), qt.IsNil)
		})
	}
}

// The rest of a request on a kept connection is read and answered, too.
func TestPartOfRequestOnKeptConnectionIsAnswered(t *testing.T) {
	c := qt.New(t)
	s := start(c, echo)
	conn := s.dial()
	s.write(conn, request)
	_, err := readAnswer(conn)
	c.Assert(err, qt.IsNil)
	s.write(conn, "POST /x")
	time.Sleep(50 * time.Millisecond)
	wait := s.stop(5 * time.Second)
	s.write(conn, strings.TrimPrefix(request, "POST /x"))
	body, err := readAnswer(conn)
	c.Assert(err, qt.IsNil)
	c.Check(body, qt.Equals, "got body")
	c.Check(wait(), qt.IsNil)
}

// Idle connections do not hold the stop up.
func TestIdleConnectionsAreClosed(t *testing.T) {
	c := qt.New(t)
	s := start(c, echo)
	conn := s.dial()
	s.write(conn, request)
	_, err := readAnswer(conn)
	c.Assert(err, qt.IsNil)
	began := time.Now()
	c.Assert(s.stop(5*time.Second)(), qt.IsNil)
	c.Check(time.Since(began) < time.Second, qt.IsTrue)
	_, err = conn.Read(make([]byte, 1))
	c.Check(err, qt.Equals, io.EOF)
	c.Check(s.group.Wait(), qt.IsNil)
}

// What is left at the end of the time is cut, and Stop says so.
func TestStopCutsWhatIsLeft(t *testing.T) {
	c := qt.New(t)
	began, release := make(chan struct{}), make(chan struct{})
	s := start(c, func(http.ResponseWriter, *http.Request) { close(began); <-release })
	conn := s.dial()
	s.write(conn, request)
	<-began
	c.Check(s.stop(100*time.Millisecond)(), qt.ErrorIs, context.DeadlineExceeded)
	_, err := readAnswer(conn)
	c.Check(err, qt.IsNotNil)
	close(release)
}

// Whenever the server stops, each request that was executed is answered.
func TestExecutedRequestsAreAnswered(t *testing.T) {
	for range 20 {
		c := qt.New(t)
		var mu sync.Mutex
		executed, answered := make(map[string]bool), make(map[string]bool)
		note := func(set map[string]bool, id string) {
			mu.Lock()
			defer mu.Unlock()
			set[id] = true
		}
		s := start(c, func(w http.ResponseWriter, r *http.Request) {
			note(executed, r.URL.Path)
			fmt.Fprint(w, "done")
		})
		var callers errgroup.Group
		for i := range 8 {
			// A busy machine may start a caller after the stop, so they connect before.
			conn := s.dial()
			callers.Go(func() error {
				defer conn.Close()
				for n := 0; ; n++ {
					id := fmt.Sprintf("/%d-%d", i, n)
					if _, err := io.WriteString(conn, "GET "+id+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
						return nil //nolint:nilerr // The server has stopped.
					}
					body, err := readAnswer(conn)
					if err != nil {
						return nil //nolint:nilerr // The server has stopped.
					}
					if body != "done" {
						return errors.New(body)
					}
					note(answered, id)
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		c.Assert(s.stop(5*time.Second)(), qt.IsNil)
		c.Assert(callers.Wait(), qt.IsNil)
		c.Assert(len(executed) > 0, qt.IsTrue)
		c.Assert(executed, qt.DeepEquals, answered)
	}
}

// A request that arrives, whole or in part, before the one ahead of it on the connection
// was answered while the server stops is answered, too.
func TestRequestBehindAnotherIsAnsweredWhileStopping(t *testing.T) {
	for _, cut := range []int{0, 30, len(request) - 2} {
		c := qt.New(t)
		began, release := make(chan struct{}, 2), make(chan struct{})
		s := start(c, func(w http.ResponseWriter, r *http.Request) {
			began <- struct{}{}
			<-release
			echo(w, r)
		})
		conn := s.dial()
		s.write(conn, request)
		<-began
		wait := s.stop(5 * time.Second)
		s.write(conn, request[:cut])
		time.Sleep(30 * time.Millisecond)
		s.write(conn, request[cut:])
		close(release)
		answers := bufio.NewReader(conn)
		for range 2 {
			response, err := http.ReadResponse(answers, nil)
			c.Assert(err, qt.IsNil, qt.Commentf("cut at %d", cut))
			body, err := io.ReadAll(response.Body)
			response.Body.Close()
			c.Assert(err, qt.IsNil)
			c.Check(string(body), qt.Equals, "got body")
		}
		c.Check(wait(), qt.IsNil)
	}
}
