// Package ledger simulates a plain service for tests and demos. It executes
// filings, calls that must be executed at most once, looks them up and counts how
// often each was executed.
package ledger

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/standin/reply"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Records counts the executions of filings on all ledgers of a deployment.
type Records struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRecords returns empty Records.
func NewRecords() *Records { return &Records{runs: make(map[string]int)} }

// CountRun counts an execution of filing and returns the number of its executions.
func (r *Records) CountRun(filing string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[filing]++
	return r.runs[filing]
}

// Runs returns the number of executions of filing.
func (r *Records) Runs(filing string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[filing]
}

// All returns the number of executions of each filing.
func (r *Records) All() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

// Filing is the response to a filing or a lookup.
type Filing struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
	Body string `json:"body,omitempty"`
}

// Ledger is one endpoint of a plain service.
type Ledger struct {
	// Incarnation must match the incarnation that a call is addressed to.
	Incarnation identity.Incarnation
	Records     *Records
	// CallTime is the duration of each call.
	CallTime time.Duration
}

// Handler returns a handler for POST and GET on /filings/{id}, and for load
// reports.
func (l *Ledger) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(l.checkIncarnation)
	router.HandleFunc("/filings/{id}", l.runFiling).Methods(http.MethodPost)
	router.HandleFunc("/filings/{id}", l.lookUpFiling).Methods(http.MethodGet)
	router.HandleFunc(engine.LoadPath, l.load).Methods(http.MethodGet)
	router.NotFoundHandler = l.checkIncarnation(http.NotFoundHandler())
	router.MethodNotAllowedHandler = l.checkIncarnation(http.HandlerFunc(notAllowed))
	return router
}

func notAllowed(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
}

// checkIncarnation names the ledger's incarnation and the request in every
// answer, and refuses calls addressed to another incarnation without executing
// them.
func (l *Ledger) checkIncarnation(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.IncarnationHeader, string(l.Incarnation))
		w.Header().Set(engine.RequestHeader, r.Header.Get(engine.RequestHeader))
		target := r.Header.Get(engine.IncarnationHeader)
		if target != "" && target != string(l.Incarnation) {
			w.Header().Set(engine.RefusedHeader, "not_run")
			http.Error(w, "another incarnation", http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (l *Ledger) runFiling(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.Header().Set(engine.RefusedHeader, "not_run")
		http.Error(w, "body cut off", http.StatusBadRequest)
		return
	}
	id := mux.Vars(r)["id"]
	runs := l.Records.CountRun(id)
	time.Sleep(l.CallTime)
	reply.JSON(w, http.StatusOK, Filing{ID: id, Runs: runs, Body: string(body)})
}

func (l *Ledger) lookUpFiling(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	time.Sleep(l.CallTime)
	reply.JSON(w, http.StatusOK, Filing{ID: id, Runs: l.Records.Runs(id)})
}

func (l *Ledger) load(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, engine.LoadReport{Incarnation: l.Incarnation})
}
