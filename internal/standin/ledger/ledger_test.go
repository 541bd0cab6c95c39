package ledger_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/standin/ledger"
)

// Every answer must name the request and the incarnation that answered it, so
// that an entry host can tell that the answer belongs to the caller's request.
func TestEveryAnswerNamesRequestAndIncarnation(t *testing.T) {
	l := &ledger.Ledger{Incarnation: "i", Records: ledger.NewRecords()}
	for _, test := range []struct {
		method, path, incarnation string
		status                    int
	}{
		{http.MethodPost, "/filings/f", "i", http.StatusOK},
		{http.MethodGet, "/filings/f", "i", http.StatusOK},
		{http.MethodGet, "/nowhere", "i", http.StatusNotFound},
		{http.MethodDelete, "/filings/f", "i", http.StatusMethodNotAllowed},
		{http.MethodPost, "/filings/f", "h", http.StatusMisdirectedRequest},
	} {
		c := qt.New(t)
		request := httptest.NewRequest(test.method, test.path, nil)
		request.Header.Set(engine.RequestHeader, "r")
		request.Header.Set(engine.IncarnationHeader, test.incarnation)
		answer := httptest.NewRecorder()
		l.Handler().ServeHTTP(answer, request)
		c.Check(answer.Code, qt.Equals, test.status)
		c.Check(answer.Header().Get(engine.RequestHeader), qt.Equals, "r")
		c.Check(answer.Header().Get(engine.IncarnationHeader), qt.Equals, "i")
	}
	qt.Check(t, l.Records.Runs("f"), qt.Equals, 1)
}
