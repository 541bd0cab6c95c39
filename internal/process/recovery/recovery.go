// Package recovery answers calls whose handler panics.
//
// net/http closes the connection of such a call without an answer, and the caller can't
// tell it from a lost host.
package recovery

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

// Handler is a handler that recovers from panics of Next.
type Handler struct {
	Next http.Handler
	// RequestID returns the id of a call for the log.
	RequestID func(*http.Request) string
	// Answer answers a call that may have run, with a header that holds nothing of what
	// Next has set.
	Answer func(http.ResponseWriter, *http.Request, *verdict.Error)
	Meter  *meter.Meter
	Log    *slog.Logger
}

// ServeHTTP passes a call to Next. If that panics, the panic is logged and counted, and
// the call is answered, or its connection closed if its answer has begun.
// http.ErrAbortHandler, which closes a connection on purpose, is passed on.
func (h Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	tracked := &responseWriter{ResponseWriter: w}
	defer func() {
		//nolint:errorlint // net/http compares it in the same way.
		if value := recover(); value == http.ErrAbortHandler {
			panic(value)
		} else if value != nil {
			h.recovered(tracked, r, value)
		}
	}()
	h.Next.ServeHTTP(tracked, r)
}

func (h Handler) recovered(w *responseWriter, r *http.Request, value any) {
	h.Meter.Counter("call_panics_total").Inc()
	h.Log.Error("call_panicked", "request", h.RequestID(r), "answer_begun", w.begun, "panic", fmt.Sprint(value), "stack", string(debug.Stack()))
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	clear(w.Header())
	// The handler may have left the connection in any state.
	w.Header().Set("Connection", "close")
	h.Answer(w, r, verdict.New(verdict.MayHaveRun, verdict.InternalError, ""))
}

// responseWriter records whether an answer has begun.
type responseWriter struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader begins the answer, unless it is an informational one.
func (w *responseWriter) WriteHeader(status int) {
	w.ResponseWriter.WriteHeader(status)
	w.begun = w.begun || status >= http.StatusOK
}

// Write begins the answer.
func (w *responseWriter) Write(data []byte) (int, error) {
	w.begun = true
	return w.ResponseWriter.Write(data)
}

// Unwrap is used by http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
