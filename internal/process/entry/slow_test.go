package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"

	standinengine "github.com/dandelionlift/dandelionlift/internal/standin/engine"
)

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l singleConnListener) Close() error   { return nil }
func (l singleConnListener) Addr() net.Addr { return new(net.TCPAddr) }

// TestResumeOfSlowCaller makes a call from a caller that does not read, on a
// connection without buffers. The connection must be closed and the answer kept.
func TestResumeOfSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := newDeployment(1, 1, 0, nil)
		defer d.stop()
		near, far := net.Pipe()
		listener := singleConnListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		listener.conns <- far
		router := mux.NewRouter()
		d.hosts[0].server.Routes(router)
		server := &http.Server{Handler: router}
		d.group.Go(func() error { return server.Serve(listener) })
		defer close(listener.closed)
		body := `{"model":"model","prompt":"history","max_tokens":400,"stream":true}`
		fmt.Fprintf(near, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", callerKey, len(body), body)
		time.Sleep(time.Second)
		request := d.hosts[0].server.UnfinishedRequests()[0].Request
		time.Sleep(40 * time.Second)
		began := time.Now()
		_, err := io.Copy(io.Discard, near)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		again := d.call(2, d.hosts[0], http.MethodGet, "/v1/requests/"+string(request), "", "")
		c.Assert(completionText(again.body), qt.Equals, standinengine.ExpectedText("history", 400))
	})
}
