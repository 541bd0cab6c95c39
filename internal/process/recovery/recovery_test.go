package recovery_test

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/recovery"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

// A panic in the handler of a call closed its connection without an answer and without
// a line at the level in use. It is answered if nothing was written, and else cut, since
// an answer that ends early must not look complete.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		// status is 0 if the connection is closed.
		status int
		logged bool
	}{
		{"before the answer", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Signature", "s")
			panic("broken")
		}, http.StatusBadGateway, true},
		{"with a nil pointer", func(http.ResponseWriter, *http.Request) {
			var missing *struct{ next *int }
			fmt.Println(missing.next)
		}, http.StatusBadGateway, true},
		{"invalid status", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(99) }, http.StatusBadGateway, true},
		{"in the answer", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "half")
			panic("broken")
		}, 0, true},
		{"abort", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, false},
		{"no panic", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) }, http.StatusAccepted, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m, log := meter.New(), new(bytes.Buffer)
			server := httptest.NewServer(recovery.Handler{
				Next: test.handler, Meter: m, Log: slog.New(slog.NewTextHandler(log, nil)),
				RequestID: func(r *http.Request) string { return r.Header.Get("Id") },
				Answer: func(w http.ResponseWriter, _ *http.Request, failure *verdict.Error) {
					c.Check(failure.Verdict, qt.Equals, verdict.MayHaveRun)
					w.WriteHeader(http.StatusBadGateway)
				},
			})
			request, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("body"))
			c.Assert(err, qt.IsNil)
			request.Header.Set("Id", "r-1")
			response, err := http.DefaultClient.Do(request)
			if test.status == 0 {
				c.Check(err, qt.ErrorIs, io.EOF)
			} else if c.Check(err, qt.IsNil) {
				response.Body.Close()
				c.Check(response.StatusCode, qt.Equals, test.status)
				c.Check(response.Header.Get("Signature"), qt.Equals, "")
			}
			server.Close()
			c.Check(strings.Contains(log.String(), "level=ERROR msg=call_panicked request=r-1"), qt.Equals, test.logged)
			c.Check(m.Counter("call_panics_total").Get(), qt.Equals, map[bool]uint64{true: 1}[test.logged])
		})
	}
}
