// Package ledger is a small stand-in of a plain service: it records filings and
// looks them up, and keeps count of what really ran.
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

// Records counts what ran over all ledgers of a deployment.
type Records struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRecords makes empty Records.
func NewRecords() *Records { return &Records{runs: make(map[string]int)} }

// Run counts one run of the filing and gives how often it has run by now.
func (r *Records) Run(filing string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[filing]++
	return r.runs[filing]
}

// Runs tells how often the filing ran.
func (r *Records) Runs(filing string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[filing]
}

// All gives how often each filing ran.
func (r *Records) All() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

// Filing is the answer to a filing or a lookup.
type Filing struct {
	ID   string `json:"id"`
	Runs int    `json:"runs"`
	Body string `json:"body,omitempty"`
}

// Ledger is one endpoint of a plain service.
type Ledger struct {
	// Incarnation is checked against the one that a call means.
	Incarnation identity.Incarnation
	Records     *Records
	// Work is how long each call takes.
	Work time.Duration
}

// Handler serves POST /filings/{id} and GET /filings/{id}.
func (l *Ledger) Handler() http.Handler {
	router := mux.NewRouter()
	router.Use(l.identify)
	router.HandleFunc("/filings/{id}", l.file).Methods(http.MethodPost)
	router.HandleFunc("/filings/{id}", l.look).Methods(http.MethodGet)
	router.HandleFunc(engine.LoadPath, l.load).Methods(http.MethodGet)
	router.NotFoundHandler = l.identify(http.NotFoundHandler())
	router.MethodNotAllowedHandler = l.identify(http.HandlerFunc(notAllowed))
	return router
}

func notAllowed(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
}

// identify refuses calls meant for another incarnation, before anything runs.
func (l *Ledger) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.IncarnationHeader, string(l.Incarnation))
		w.Header().Set(engine.RequestHeader, r.Header.Get(engine.RequestHeader))
		meant := r.Header.Get(engine.IncarnationHeader)
		if meant != "" && meant != string(l.Incarnation) {
			w.Header().Set(engine.RefusedHeader, "not_run")
			http.Error(w, "another incarnation", http.StatusMisdirectedRequest)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (l *Ledger) file(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.Header().Set(engine.RefusedHeader, "not_run")
		http.Error(w, "body cut off", http.StatusBadRequest)
		return
	}
	id := mux.Vars(r)["id"]
	runs := l.Records.Run(id)
	time.Sleep(l.Work)
	reply.JSON(w, http.StatusOK, Filing{ID: id, Runs: runs, Body: string(body)})
}

func (l *Ledger) look(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	time.Sleep(l.Work)
	reply.JSON(w, http.StatusOK, Filing{ID: id, Runs: l.Records.Runs(id)})
}

func (l *Ledger) load(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, engine.LoadReport{Incarnation: l.Incarnation})
}
