package forward_test

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
)

// sendUnframed returns a handler whose answer has neither a length nor chunks and ends
// with the connection.
func sendUnframed(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n%s", body)
	}
}

// A stream without framing that ends within an event has been broken off, although its
// connection was closed in order.
func TestUnframedStreamIsResumedWithinAnEvent(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, sendUnframed(eventText(0, 3)+"id: 4\nda"), sendUnframed(eventText(4, 9)))
	got, _, failure := env.serve(catalogue.Stream, true, 2)
	c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
	c.Assert(got.Body.String(), qt.Equals, eventText(0, 9))
}

// A crash can end a stream without framing between two events. That is no proof that the
// stream's parts are sound.
func TestUnframedStreamClearsNoSuspect(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, sendUnframed(eventText(0, 1)), sendEvents(0, 1, true))
	q := env.forwarder.Quarantine
	q.RecordCrash(quarantine.Attempt{Service: "s", Endpoint: "crashed", Parts: []quarantine.PartID{sharedPart}})
	c.Assert(env.serveParts(sharedPart, 1) == nil, qt.IsTrue)
	c.Assert(env.receivers(), qt.Equals, "a")
	c.Assert(q.Evidence(true).Answered, qt.HasLen, 0)
	env.balancer.SetEndpoints(env.endpoints[1:])
	c.Assert(env.serveParts(sharedPart, 2) == nil, qt.IsTrue)
	c.Assert(q.Evidence(true).Answered, qt.HasLen, 1)
}
