package server_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/server"
)

// A connection that ends without an answer to what was read from it left no trace: callers'
// reports of it could not be told from requests that the host never read.
func TestUnansweredRequestIsReported(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"echo":  echo,
		"abort": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"wait":  func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"partial": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "8")
			fmt.Fprint(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
	}
	tests := []struct {
		name, handler, sent string
		// leave closes the caller's connection, stop stops the server.
		leave, stop bool
		reason      server.LossReason
		// written is set if a part of an answer was: net/http answers half a request.
		written bool
	}{
		{name: "half a request, caller leaves", handler: "echo", sent: request[:30], leave: true, reason: server.CallerLeft, written: true},
		{name: "half a request, time is up", handler: "echo", sent: request[:30], reason: server.Unfinished, written: true},
		{name: "half a request, stop", handler: "echo", sent: request[:30], stop: true, reason: server.Cut},
		{name: "handler aborts", handler: "abort", sent: request, reason: server.Abandoned},
		{name: "handler aborts in the answer", handler: "partial", sent: request, reason: server.Abandoned, written: true},
		{name: "no answer before the end of the stop", handler: "wait", sent: request, stop: true, reason: server.Cut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			losses := make(chan server.Loss, 4)
			s := startServer(c, &http.Server{Handler: handlers[test.handler], ReadHeaderTimeout: 300 * time.Millisecond},
				server.WithOnLost(func(loss server.Loss) { losses <- loss }))
			conn := s.dial()
			s.write(conn, test.sent)
			if test.stop {
				time.Sleep(50 * time.Millisecond)
				c.Check(s.stop(50*time.Millisecond)(), qt.IsNotNil)
			}
			if test.leave {
				conn.Close()
			}
			var loss server.Loss
			select {
			case loss = <-losses:
			case <-time.After(5 * time.Second):
				c.Fatal("no loss reported after 5 s")
			}
			c.Check(loss.Reason, qt.Equals, test.reason)
			c.Check(loss.Read, qt.Equals, len(test.sent))
			c.Check(loss.Written > 0, qt.Equals, test.written)
			c.Check(loss.Stopping, qt.Equals, test.stop)
			c.Check(loss.Caller.String(), qt.Equals, conn.LocalAddr().String())
			c.Check(losses, qt.HasLen, 0)
		})
	}
}

// Connections whose requests were answered, by the handler or by net/http, are not
// reported, however they end.
func TestAnsweredRequestIsNotReported(t *testing.T) {
	for _, sent := range []string{
		request, request + request, "nonsense\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
	} {
		c := qt.New(t)
		losses := make(chan server.Loss, 4)
		s := startServer(c, &http.Server{Handler: http.HandlerFunc(echo)}, server.WithOnLost(func(loss server.Loss) { losses <- loss }))
		conn := s.dial()
		s.write(conn, sent)
		_, err := readAnswer(conn)
		c.Assert(err, qt.IsNil)
		c.Check(s.stop(5*time.Second)(), qt.IsNil, qt.Commentf("%q", sent))
		c.Check(losses, qt.HasLen, 0, qt.Commentf("%q", sent))
	}
}
