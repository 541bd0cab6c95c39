// Package keyvalue is a small stand-in of the platform's key-value service.
//
// # Faults
//
// A Faults value makes the service unavailable, slow, or lose the answers of
// writes after they took effect. It can be changed while the service runs.
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

// Faults says how the service misbehaves. The zero value is a healthy service.
type Faults struct {
	// Down answers 503 without doing anything.
	Down bool `json:"down"`
	// DelayMillis is waited before each call is carried out.
	DelayMillis int64 `json:"delay_ms"`
	// LoseAnswerEvery cuts the connection after every n-th write took effect.
	LoseAnswerEvery int `json:"lose_answer_every"`
	// LateMillis holds each write on its way for as long, also when the caller
	// has given up by then.
	LateMillis int64 `json:"late_ms"`
}

// Counts tells what the service was asked; a waiting watch counts as a read.
type Counts struct {
	Reads  int64 `json:"reads"`
	Writes int64 `json:"writes"`
}

// Service holds keys in memory. Make one with New.
type Service struct {
	mu       sync.Mutex
	values   map[string]stored
	revision wire.Revision
	changed  chan struct{}
	faults   Faults
	counts   Counts
}

type stored struct {
	value   wire.Value
	expires time.Time
}

// New makes an empty service.
func New() *Service {
	return &Service{values: make(map[string]stored), changed: make(chan struct{})}
}

// SetFaults changes how the service misbehaves from now on.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts gives the calls so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Handler serves the protocol, and the controls of a test under /standin.
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

// admit applies the faults that come before a call; false means it was answered.
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
		http.Error(w, "after and wait_ms are numbers", http.StatusBadRequest)
		return
	}
	s.watch(w, r, key, wire.Revision(after), time.Duration(wait)*time.Millisecond)
}

func (s *Service) watch(w http.ResponseWriter, r *http.Request, key string, after wire.Revision, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		value, ok := s.current(key)
		changed, down := s.changed, s.faults.Down
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
		case <-changed:
		case <-end.C:
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
	s.hold()
	key := strings.TrimPrefix(r.URL.Path, wire.KeysPath+"/")
	value, swapped, lose := s.swap(key, put)
	if lose {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	if !swapped {
		status = http.StatusConflict
	}
	reply.JSON(w, status, value)
}

// hold keeps a write on its way.
func (s *Service) hold() {
	s.mu.Lock()
	late := time.Duration(s.faults.LateMillis) * time.Millisecond
	s.mu.Unlock()
	if late > 0 {
		time.Sleep(late)
	}
}

// swap carries out a put and tells whether its answer is to be lost.
func (s *Service) swap(key string, put wire.Put) (value wire.Value, swapped, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present, _ := s.current(key)
	if present.Revision != put.IfRevision {
		present.Key = key
		return present, false, false
	}
	s.revision++
	value = wire.Value{Key: key, Data: put.Data, Revision: s.revision, Writer: put.Writer}
	next := stored{value: value}
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
	every := s.faults.LoseAnswerEvery
	return value, true, every > 0 && int(s.revision)%every == 0
}

// current gives the live value of key; the caller holds mu.
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
