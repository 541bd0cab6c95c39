// Package keyvalue simulates the platform's key-value service for tests and
// demos.
//
// # Faults
//
// Faults make the service unavailable or slow, or lose responses to writes that
// took effect. They can be changed at run time.
package keyvalue

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/reply"
)

// Faults configures injected faults. The zero value injects none.
type Faults struct {
	// Down makes the service answer 503 to every call without executing it.
	Down bool `json:"down"`
	// DelayMillis delays the execution of each call.
	DelayMillis int64 `json:"delay_ms"`
	// LoseAnswerEvery closes the connection without an answer after every n-th
	// write that took effect; zero never does.
	LoseAnswerEvery int `json:"lose_answer_every"`
	// LateMillis delays each write, which then takes effect even if the caller
	// has given up.
	LateMillis int64 `json:"late_ms"`
}

// Counts is the number of calls received; a watch counts as one read.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Service stores keys in memory. Use New to create one.
type Service struct {
	mu       sync.Mutex
	values   map[string]entry
	revision wire.Revision
	changed  chan struct{}
	faults   Faults
	counts   Counts
}

// entry is a stored value; it doesn't expire if expires is zero.
type entry struct {
	value   wire.Value
	expires time.Time
}

// New returns an empty service.
func New() *Service {
	return &Service{values: make(map[string]entry), changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the number of calls so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler returns a handler for the key-value protocol, and for test controls
// under /standin.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/standin/faults", s.putFaults).Methods(http.MethodPut)
	router.HandleFunc("/standin/counts", s.getCounts).Methods(http.MethodGet)
	router.HandleFunc(wire.KeysPath, s.list).Methods(http.MethodGet)
	router.PathPrefix(wire.KeysPath + "/").Methods(http.MethodGet).HandlerFunc(s.get)
	router.PathPrefix(wire.KeysPath + "/").Methods(http.MethodPut).HandlerFunc(s.put)
	return router
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Service) getCounts(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, s.Counts())
}

// admit counts a call and applies the faults that precede its execution. It
// returns false if the call must not be executed.
func (s *Service) admit(w http.ResponseWriter, r *http.Request, write bool) bool {
	s.mu.Lock()
	faults := s.faults
	if write {
		s.counts.Writes++
	} else {
		s.counts.Reads++
	}
	s.mu.Unlock()
	if faults.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return false
	}
	if faults.DelayMillis == 0 {
		return true
	}
	select {
	case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, false) {
		return
	}
	prefix := r.URL.Query().Get("prefix")
	values := []wire.Value{}
	s.mu.Lock()
	for key := range s.values {
		if value, ok := s.current(key); ok && strings.HasPrefix(key, prefix) {
			value.Data = nil
			values = append(values, value)
		}
	}
	s.mu.Unlock()
	sort.Slice(values, func(i, j int) bool { return values[i].Key < values[j].Key })
	reply.JSON(w, http.StatusOK, values)
}

func (s *Service) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, false) {
		return
	}
	key := strings.TrimPrefix(r.URL.Path, wire.KeysPath+"/")
	query := r.URL.Query()
	if !query.Has("after") {
		s.mu.Lock()
		value, ok := s.current(key)
		s.mu.Unlock()
		if !ok {
			http.Error(w, "absent", http.StatusNotFound)
			return
		}
		reply.JSON(w, http.StatusOK, value)
		return
	}
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || err2 != nil {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	s.watch(w, r, key, wire.Revision(after), time.Duration(wait)*time.Millisecond)
}

// watch serves the value of key once its revision is higher than after, or 304
// after wait.
func (s *Service) watch(w http.ResponseWriter, r *http.Request, key string, after wire.Revision, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		value, ok := s.current(key)
		nextChange, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if ok && value.Revision > after {
			reply.JSON(w, http.StatusOK, value)
			return
		}
		select {
		case <-nextChange:
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Service) put(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r, true) {
		return
	}
	var put wire.Put
	if err := json.NewDecoder(r.Body).Decode(&put); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(put.Data) > wire.MaxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.delayWrite()
	key := strings.TrimPrefix(r.URL.Path, wire.KeysPath+"/")
	value, swapped, loseAnswer := s.compareAndSwap(key, put)
	if loseAnswer {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !swapped {
		status = http.StatusConflict
	}
	reply.JSON(w, status, value)
}

// delayWrite applies Faults.LateMillis.
func (s *Service) delayWrite() {
	s.mu.Lock()
	delay := time.Duration(s.faults.LateMillis) * time.Millisecond
	s.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// compareAndSwap applies a put if key is at the expected revision, and returns
// the value that is then stored under key. loseAnswer reports whether a fault
// suppresses the answer.
func (s *Service) compareAndSwap(key string, put wire.Put) (value wire.Value, swapped, loseAnswer bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing, _ := s.current(key)
	if existing.Revision != put.IfRevision {
		existing.Key = key
		return existing, false, false
	}
	s.revision++
	value = wire.Value{Key: key, Data: put.Data, Revision: s.revision, WriterToken: put.WriterToken}
	next := entry{value: value}
	if put.TTLMillis > 0 {
		next.expires = time.Now().Add(time.Duration(put.TTLMillis) * time.Millisecond)
	}
	if put.Delete {
		delete(s.values, key)
	} else {
		s.values[key] = next
	}
	close(s.changed)
	s.changed = make(chan struct{})
	loseEvery := s.faults.LoseAnswerEvery
	return value, true, loseEvery > 0 && int(s.revision)%loseEvery == 0
}

// current returns the value of key unless it has expired; the caller holds mu.
func (s *Service) current(key string) (wire.Value, bool) {
	found, ok := s.values[key]
	if !ok {
		return wire.Value{}, false
	}
	if !found.expires.IsZero() && !time.Now().Before(found.expires) {
		delete(s.values, key)
		return wire.Value{}, false
	}
	return found.value, true
}
