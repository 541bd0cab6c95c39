package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	leases    map[uint64]lease
	lastLease uint64
	changed   chan struct{}
	// latency is how long a call takes, with its way there and back.
	latency time.Duration
	// down makes all calls get 503. Leases and entries pause meanwhile.
	down     bool
	downFrom time.Time
	// entryUntil holds when a runner's entry expires, entryOf which incarnation wrote it.
	entryUntil map[string]time.Time
	entryOf    map[string]int64
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	CreateRev uint64 `json:"createRev,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Deleted   bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	return &store{
		revision: 1, items: make(map[string]item), leases: make(map[uint64]lease), changed: make(chan struct{}),
		entryUntil: make(map[string]time.Time), entryOf: make(map[string]int64),
	}
}

// write applies a change. The caller holds the lock.
func (s *store) write(i item) {
	s.revision++
	i.Revision, i.CreateRev = s.revision, s.revision
	if old, found := s.items[i.Key]; found {
		i.CreateRev = old.CreateRev
	}
	if i.Deleted {
		delete(s.items, i.Key)
		i.Value, i.CreateRev = nil, 0
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(item{Key: key, Value: data})
}

// beat writes or renews the entry of an incarnation of a runner, which expires after the
// given time of silence, and reports whether the store took it. The stored entry changes if
// it was another incarnation's.
func (s *store) beat(key string, value any, born int64, silence time.Duration) bool {
	s.mu.Lock()
	down, same := s.down, s.entryOf[key] == born
	_, found := s.items[key]
	if !down {
		s.entryOf[key] = born
	}
	s.mu.Unlock()
	if down {
		return false
	}
	if !same || !found {
		s.put(key, value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryUntil[key] = time.Now().Add(silence)
	return true
}

// lists reports whether the store lists a key.
func (s *store) lists(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	_, found := s.items[key]
	return found
}

// incarnation returns which incarnation wrote an entry.
func (s *store) incarnation(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entryOf[key]
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down == down {
		return
	}
	s.down = down
	if down {
		s.downFrom = time.Now()
		close(s.changed)
		s.changed = make(chan struct{})
		return
	}
	paused := time.Since(s.downFrom)
	for id, l := range s.leases {
		l.until = l.until.Add(paused)
		s.leases[id] = l
	}
	for key, until := range s.entryUntil {
		s.entryUntil[key] = until.Add(paused)
	}
}

// expire removes what has expired. The caller holds the lock.
func (s *store) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for key, until := range s.entryUntil {
		if now.After(until) {
			delete(s.entryUntil, key)
			if _, found := s.items[key]; found {
				s.write(item{Key: key, Deleted: true})
			}
		}
	}
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(item{Key: key, Deleted: true})
		}
	}
}

// run expires leases and entries until done is closed.
func (s *store) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s.mu.Lock()
		s.expire()
		s.mu.Unlock()
	}
}

// ServeHTTP handles the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/"), "/")
	switch name {
	case "kv-key":
		s.get(w, r)
	case "kv-range":
		s.list(w, r)
	case "kv-watch":
		s.watch(w, r)
	case "kv-txn":
		s.commit(w, r)
	case "kv-lease", "kv-keep", "kv-lease-end":
		s.lease(w, r, name, number(id))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(text string) uint64 {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left does not need its answer.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		item
		AsOf uint64 `json:"asOf"`
	}{i, s.revision})
}

const pageItems = 500

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	writeJSON(w, map[string]any{"items": items, "truncated": truncated, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("prefix"), number(query.Get("after"))
	end := time.After(time.Duration(min(number(query.Get("waitMs")), 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, i := range s.history {
			if strings.HasPrefix(i.Key, prefix) && i.Revision > after {
				events = append(events, i)
			}
		}
		asOf, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				ended = true
			}
		}
		if len(events) > 0 || ended {
			writeJSON(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectRev []item   `json:"expectRev"`
		Puts      []item   `json:"puts"`
		Deletes   []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	present, held := []item{}, true
	for _, c := range t.ExpectRev {
		i := s.items[c.Key]
		present = append(present, i)
		held = held && i.Revision == c.Revision
	}
	if !held {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"items": present})
		return
	}
	for _, p := range t.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Puts {
		s.write(item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Deletes {
		if _, found := s.items[key]; found {
			s.write(item{Key: key, Deleted: true})
		}
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *store) lease(w http.ResponseWriter, r *http.Request, name string, id uint64) {
	var body struct {
		TTL int64 `json:"ttlMs"`
	}
	if name == "kv-lease" {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL <= 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if name == "kv-lease" {
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.lastLease++
		s.leases[s.lastLease] = lease{ttl: ttl, until: time.Now().Add(ttl)}
		writeJSON(w, map[string]any{"lease": s.lastLease, "ttlMs": body.TTL})
		return
	}
	l, found := s.leases[id]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if name == "kv-lease-end" {
		s.endLease(id)
	} else {
		l.until = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	writeJSON(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}
