package forward_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
)

// A long answer that breaks off after its beginning was passed on is not continued with
// the answer of another endpoint: the parts of two answers would look like a whole one.
func TestLongAnswerIsNotContinuedByAnother(t *testing.T) {
	for _, kind := range []catalogue.Kind{catalogue.Idempotent, catalogue.Stream} {
		c := qt.New(t)
		env := newTestEnv(c, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "200000")
			w.WriteHeader(http.StatusInternalServerError)
			_, _ = w.Write([]byte(strings.Repeat("a", 90000)))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, answer(strings.Repeat("b", 110000)))
		got, started, failure := env.serve(kind, true, 2)
		c.Check(started, qt.IsTrue)
		c.Check(failure != nil, qt.IsTrue)
		c.Check(strings.Contains(got.Body.String(), "b"), qt.IsFalse)
		c.Check(env.receivers(), qt.Equals, "a")
	}
}
