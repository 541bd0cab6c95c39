package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
)

// takeOver returns a handler that reads a request and lets serve write the answer, and
// whatever else, to the connection.
func takeOver(serve func(conn net.Conn, requests *bufio.Reader)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn, buffered.Reader)
	}
}

// Guards against TWICE and REFUSED: a refused call goes to the same endpoint again, which
// writes the refusal once more while it runs the call. Both carry the call's id.
func TestEarlierRefusalOfTheSameCallDoesNotRefuseItsRetry(t *testing.T) {
	for _, kind := range []catalogue.Kind{catalogue.NonIdempotent, catalogue.Stream} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			c := qt.New(t)
			const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
			var refused atomic.Bool
			var runs atomic.Int32
			run := func(conn net.Conn) {
				runs.Add(1)
				text := eventText(0, 1)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			}
			env := newTestEnv(c, takeOver(func(conn net.Conn, requests *bufio.Reader) {
				if !refused.CompareAndSwap(false, true) {
					run(conn)
					return
				}
				fmt.Fprint(conn, refusal)
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				fmt.Fprint(conn, refusal)
				run(conn)
			}))
			got, _, failure := env.serve(kind, false, 1)
			c.Check(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
			c.Check(got.Body.String(), qt.Equals, eventText(0, 1))
			c.Check(runs.Load(), qt.Equals, int32(1))
		})
	}
}
