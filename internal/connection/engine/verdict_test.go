package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

// reaction is the behaviour of rawEndpoint on a connection.
type reaction string

const (
	refuses         reaction = "refuses the connection"
	closes          reaction = "accepts and closes"
	readsThenCloses reaction = "reads and closes"
	runsThenCloses  reaction = "reads, runs and closes"
	answersHalf     reaction = "answers half"
	answersLate     reaction = "answers after the deadline"
	neverAnswers    reaction = "never answers"
	unframed        reaction = "answers without a length and closes"
	answers         reaction = "answers"
)

// rawEndpoint implements HTTP on a raw connection, so that it can stop at any point.
type rawEndpoint struct {
	listener net.Listener
	// onRequest is called when a complete request has arrived.
	onRequest func()

	mu       sync.Mutex
	reaction reaction
	requests int
	runs     int
	group    sync.WaitGroup
}

func newRawEndpoint(c *qt.C, initial reaction) *rawEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	e := &rawEndpoint{listener: listener, reaction: initial, onRequest: func() {}}
	e.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.group.Go(func() { e.serve(conn) })
		}
	})
	return e
}

func (e *rawEndpoint) address() netip.AddrPort {
	return netip.MustParseAddrPort(e.listener.Addr().String())
}

func (e *rawEndpoint) setReaction(r reaction) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reaction, e.requests, e.runs = r, 0, 0
	if r == refuses {
		e.listener.Close()
	}
}

func (e *rawEndpoint) counts() (requests, runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests, e.runs
}

// countRequest counts a received request, and a run unless the reaction is
// readsThenCloses. It returns the reaction.
func (e *rawEndpoint) countRequest() reaction {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	if e.reaction != readsThenCloses {
		e.runs++
	}
	return e.reaction
}

func (e *rawEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	e.mu.Lock()
	current := e.reaction
	e.mu.Unlock()
	if current == closes {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: inc\r\n", engine.RequestHeader,
			request.Header.Get(engine.RequestHeader), engine.IncarnationHeader)
		switch e.countRequest() {
		case answers:
			fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nok", head)
		case answersHalf:
			fmt.Fprintf(conn, "%sContent-Length: 20\r\n\r\nhalf", head)
			return
		case unframed:
			fmt.Fprintf(conn, "%s\r\nhalf", head)
			return
		case answersLate:
			e.onRequest()
			_, _ = io.Copy(io.Discard, reader)
			fmt.Fprintf(conn, "%sContent-Length: 2\r\n\r\nok", head)
			return
		case neverAnswers:
			e.onRequest()
			_, _ = io.Copy(io.Discard, reader)
			return
		default:
			return
		}
	}
}

// TestVerdictOfEachFault makes one call for each fault on new and kept-alive
// connections, with and without a key. The call must reach the endpoint at most
// once, and NotRun must be reported only if the endpoint read nothing.
func TestVerdictOfEachFault(t *testing.T) {
	for _, fault := range []reaction{refuses, closes, readsThenCloses, runsThenCloses, answersHalf, answersLate, neverAnswers, unframed} {
		for _, keepAlive := range []bool{false, true} {
			for _, key := range []string{"", "key"} {
				for _, plain := range []engine.Plain{
					{Method: http.MethodPost, Body: []byte("filing")}, {Method: http.MethodPost}, {Method: http.MethodGet},
				} {
					for _, idempotent := range []bool{false, true} {
						plain.Key, plain.Idempotent = key, idempotent
						t.Run(fmt.Sprintf("%s/kept=%v/key=%s/%s-%d/repeatable=%v", fault, keepAlive, key, plain.Method, len(plain.Body), idempotent), func(t *testing.T) {
							checkVerdict(qt.New(t), plain, fault, keepAlive)
						})
					}
				}
			}
		}
	}
}

func checkVerdict(c *qt.C, plain engine.Plain, fault reaction, keepAlive bool) {
	e := newRawEndpoint(c, answers)
	client := engine.New(nil)
	defer e.group.Wait()
	defer e.listener.Close()
	defer client.HTTP.CloseIdleConnections()
	plain.Target, plain.Incarnation, plain.Request = "/filings/1", "inc", "first"
	if keepAlive {
		warm := plain
		warm.Idempotent = true
		_, err := client.Forward(c.Context(), e.address(), warm)
		c.Assert(err, qt.IsNil)
	}
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	e.onRequest = cancel
	e.setReaction(fault)
	if fault == refuses {
		client.HTTP.CloseIdleConnections()
	}
	plain.Request = "second"
	_, err := client.Forward(ctx, e.address(), plain)
	var failure *verdict.Error
	c.Assert(errors.As(err, &failure), qt.IsTrue)
	requests, _ := e.counts()
	c.Assert(requests <= 1, qt.IsTrue, qt.Commentf("request was sent %d times", requests))
	want := verdict.MayHaveRun
	if fault == refuses {
		want = verdict.NotRun
	}
	c.Assert(failure.Verdict, qt.Equals, want, qt.Commentf("%v", failure))
}

// TestVerdictReplayTrap checks that rawEndpoint detects a request that net/http
// sends twice, with a client that doesn't prevent that.
func TestVerdictReplayTrap(t *testing.T) {
	c := qt.New(t)
	e := newRawEndpoint(c, answers)
	transport := &http.Transport{}
	defer e.group.Wait()
	defer e.listener.Close()
	defer transport.CloseIdleConnections()
	post := func() error {
		request, err := http.NewRequest(http.MethodPost, "http://"+e.address().String()+"/filings/1", bytes.NewReader([]byte("filing")))
		c.Assert(err, qt.IsNil)
		request.Header.Set("Idempotency-Key", "key")
		response, err := transport.RoundTrip(request)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	c.Assert(post(), qt.IsNil)
	e.setReaction(runsThenCloses)
	c.Assert(post(), qt.IsNotNil)
	_, runs := e.counts()
	c.Assert(runs, qt.Equals, 2)
}

// TestVerdictOfRedirect checks that a redirect is returned, not followed.
func TestVerdictOfRedirect(t *testing.T) {
	c := qt.New(t)
	requests := 0
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		w.Header().Set(engine.RequestHeader, r.Header.Get(engine.RequestHeader))
		w.Header().Set(engine.IncarnationHeader, "inc")
		http.Redirect(w, r, "/elsewhere", http.StatusFound)
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	defer group.Wait()
	defer server.Close()
	answer, err := engine.New(nil).Forward(c.Context(), netip.MustParseAddrPort(listener.Addr().String()), engine.Plain{
		Method: http.MethodPost, Target: "/filings/1", Request: "r", Incarnation: "inc", Body: []byte("x"),
	})
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Status, qt.Equals, http.StatusFound)
	c.Assert(requests, qt.Equals, 1)
}
