package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/standin/reply"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// load serves the newest load report that is at least Speed.ReportLag old, or
// the oldest kept one if there is none. Leaving is always current.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	fresh := timedReport{at: now, report: e.report()}
	e.reports = append(e.reports, fresh)
	cutoff := now.Add(-e.Speed.ReportLag)
	first := 0
	for first+1 < len(e.reports) && !e.reports[first+1].at.After(cutoff) {
		first++
	}
	e.reports = e.reports[first:]
	report := e.reports[0].report
	report.Leaving = e.leaving
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, report)
}

// report returns the engine's current load; the caller holds mu.
func (e *Engine) report() wire.LoadReport {
	var tokens unit.Tokens
	for _, t := range e.waiting {
		tokens += t.tokens
	}
	return wire.LoadReport{
		Incarnation:   e.Incarnation,
		Running:       e.running,
		Waiting:       len(e.waiting),
		WaitingTokens: tokens,
		CachedTokens:  e.cache.size(),
		CacheCapacity: e.Speed.CacheTokens,
		Model:         e.order.Model,
		ModelVersion:  e.order.ModelVersion,
		Adapter:       e.order.Adapter,
		Role:          e.order.Role,
	}
}

// events serves the kept cache events after a sequence number.
func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	answer := wire.CacheEvents{Incarnation: e.Incarnation, Events: []wire.CacheEvent{}}
	e.mu.Lock()
	for _, event := range e.cache.events {
		if event.Sequence > after {
			answer.Events = append(answer.Events, event)
		}
	}
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, answer)
}

func (e *Engine) entries(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	answer := wire.Entries{Incarnation: e.Incarnation, Entries: e.cache.entries()}
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, answer)
}

// misdirected refuses a call that is addressed to another incarnation, and
// reports whether it did.
func (e *Engine) misdirected(w http.ResponseWriter, r *http.Request) bool {
	target := r.Header.Get(wire.IncarnationHeader)
	if target == "" || target == string(e.Incarnation) {
		return false
	}
	http.Error(w, "another incarnation", http.StatusMisdirectedRequest)
	return true
}

// exportEntry serves a cache entry after the time that its transfer takes. The
// body is the entry's metadata in place of its keys and values.
func (e *Engine) exportEntry(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	entries := e.cache.entries()
	e.mu.Unlock()
	for _, entry := range entries {
		if entry.ID != mux.Vars(r)["id"] {
			continue
		}
		if rate := e.Speed.TransferBytesPerSecond; rate > 0 {
			transferTime := time.Duration(float64(entry.Bytes) / float64(rate) * float64(time.Second))
			if sleep(r.Context(), transferTime) != nil {
				return
			}
		}
		reply.JSON(w, http.StatusOK, entry)
		return
	}
	http.Error(w, "no such entry", http.StatusNotFound)
}

// importEntry caches an entry that another engine exported. The body is the
// entry's metadata; keys and values are not transferred.
func (e *Engine) importEntry(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	var entry wire.Entry
	if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if entry.ID != mux.Vars(r)["id"] || entry.Block.ID() != entry.ID {
		http.Error(w, "entry does not match its id", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.cache.store(entry.Organisation, entry.Parent, []wire.Block{entry.Block})
	e.mu.Unlock()
}

// applyOrder puts an order into effect, unless it is for another incarnation
// or, with ChecksFence, has a lower fence than the order in effect.
func (e *Engine) applyOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if order.Incarnation != e.Incarnation {
		http.Error(w, "another incarnation", http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFence && order.Fence < e.order.Fence {
		http.Error(w, "old fence", http.StatusConflict)
		return
	}
	e.order = order
}
