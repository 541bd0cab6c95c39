package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/entry"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
)

// A panic in a handler closed the caller's connection without an answer or a log line.
func TestPanicIsAnsweredWithAProblem(t *testing.T) {
	c := qt.New(t)
	log := new(bytes.Buffer)
	s := entry.New(context.Background(), new(errgroup.Group), settings.DefaultEntry(),
		entry.WithLog(slog.New(slog.NewTextHandler(log, nil))), entry.WithSnapshot(func() *fleet.Snapshot { panic("broken") }))
	router := mux.NewRouter()
	s.Routes(router)
	server := httptest.NewServer(s.Handler(router))
	response, err := http.Get(server.URL + "/readyz")
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	c.Check(response.StatusCode, qt.Equals, http.StatusInternalServerError)
	var problem struct{ Reason, Verdict string }
	c.Check(json.NewDecoder(response.Body).Decode(&problem), qt.IsNil)
	c.Check(problem.Reason, qt.Equals, "internal_error")
	c.Check(problem.Verdict, qt.Equals, "may_have_run")
	server.Close()
	c.Check(log.String(), qt.Contains, "level=ERROR msg=call_panicked")
}
