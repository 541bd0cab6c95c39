package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// silentBeats is the number of heartbeats after whose absence an entry is removed.
	silentBeats = 3
	// defaultEvents and eventInterval make a stream.
	defaultEvents = 80
	eventInterval = 50 * time.Millisecond
)

// streamEvents is the number of events of a stream.
var streamEvents = defaultEvents

// runner stands in for a runner with streams. It may crash and start again under its id.
type runner struct {
	id, zone, address string
	store             *store
	record            *record
	run               func(func() error)

	mu       sync.Mutex
	version  string
	born     int64
	seq      int
	server   *http.Server
	open     map[net.Conn]bool
	stopped  chan struct{}
	crashed  bool
	cut      bool
	draining bool
	// ran holds the requests that the runner has run.
	ran map[string]bool
}

func newRunner(id, zone, version string, s *store, rec *record, run func(func() error)) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, zone: zone, address: listener.Addr().String(), store: s, record: rec, run: run, ran: make(map[string]bool)}
	r.serve(listener, version)
	return r, nil
}

// serve starts an incarnation of the runner.
func (r *runner) serve(listener net.Listener, version string) {
	stopped := make(chan struct{})
	server := &http.Server{ReadHeaderTimeout: time.Minute}
	server.Handler = r.handler(version)
	server.ConnState = func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		switch state {
		case http.StateNew:
			r.open[c] = true
		case http.StateClosed:
			delete(r.open, c)
		}
	}
	r.mu.Lock()
	r.version, r.born, r.seq = version, time.Now().UnixMilli(), 0
	r.server, r.open, r.stopped, r.crashed, r.draining = server, make(map[net.Conn]bool), stopped, false, false
	r.mu.Unlock()
	r.record.logf("runner %s starts with software %s", r.id, version)
	r.run(func() error {
		// Serve returns once the runner has crashed.
		_ = server.Serve(listener)
		return nil
	})
	r.run(func() error {
		r.beats(stopped)
		return nil
	})
}

// beats writes the runner's entry until it crashes. A write that fails is made again soon.
func (r *runner) beats(stopped <-chan struct{}) {
	for {
		wait := heartbeat
		entry, born, cut := r.entry()
		if cut || !r.store.beat("servers/"+r.id, entry, born, silentBeats*heartbeat) {
			wait = heartbeat / 4
		}
		select {
		case <-stopped:
			return
		case <-time.After(wait):
		}
	}
}

// entry returns the runner's next entry, when it started, and whether it is cut off.
func (r *runner) entry() (entry map[string]any, born int64, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	return map[string]any{
		"service": "s", "address": r.address, "zone": r.zone, "version": r.version, "slots": 64, "state": r.state(),
		"coldMs": 0, "seq": r.seq, "born": r.born,
	}, r.born, r.cut
}

// state returns the state in the runner's entry. The caller holds the lock.
func (r *runner) state() string {
	if r.draining {
		return "draining"
	}
	return "ready"
}

// drain makes the runner say that it leaves, and ends it after a while.
func (r *runner) drain(serves time.Duration) {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.record.logf("runner %s drains", r.id)
	entry, born, _ := r.entry()
	r.store.put("servers/"+r.id, entry)
	r.store.beat("servers/"+r.id, entry, born, silentBeats*heartbeat)
	time.Sleep(serves)
	r.crash()
}

// beatLate makes a heartbeat that gets no answer and takes effect after a delay.
func (r *runner) beatLate(delay time.Duration) {
	entry, born, _ := r.entry()
	r.record.logf("runner %s, born %d, makes a heartbeat that gets no answer", r.id, born)
	r.run(func() error {
		time.Sleep(delay)
		r.store.beat("servers/"+r.id, entry, born, silentBeats*heartbeat)
		r.record.logf("the store carries out the heartbeat of %s, born %d", r.id, born)
		return nil
	})
}

// setCut cuts the runner off from the store, or ends that.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.record.logf("runner %s cut off from the store: %v", r.id, cut)
}

// crash ends the runner with a reset of all its connections.
func (r *runner) crash() {
	r.mu.Lock()
	server, open := r.server, r.open
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	close(r.stopped)
	for c := range open {
		if tcp, ok := c.(*net.TCPConn); ok {
			// An error means that the connection is closed.
			_ = tcp.SetLinger(0)
		}
	}
	r.mu.Unlock()
	r.record.logf("runner %s crashes", r.id)
	server.Close()
}

// restart starts the runner again under its id and address.
func (r *runner) restart(version string) error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.serve(listener, version)
	return nil
}

// handler runs the requests of one incarnation.
func (r *runner) handler(version string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("X-Dandelionlift-Request-Id")
		w.Header().Set("X-Dandelionlift-Request-Id", id)
		if req.Header.Get("X-Dandelionlift-Target-Instance") != r.id {
			w.Header().Set("X-Dandelionlift-Instance-Id", r.id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		r.mu.Lock()
		if r.draining {
			w.Header().Set("Server-Leaving", "1")
		}
		r.mu.Unlock()
		if req.Method == http.MethodGet {
			r.record.logf("runner %s runs %s", r.id, id)
			w.Header().Set("X-Dandelionlift-Response-Signature", r.id+"."+version)
			fmt.Fprintf(w, "answer to %s", id)
			return
		}
		first := 0
		if last := req.Header.Get("Last-Event-Id"); last != "" {
			n, err := strconv.Atoi(last)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			first = n + 1
		}
		r.mu.Lock()
		r.ran[id] = true
		r.mu.Unlock()
		r.record.logf("runner %s (%s) runs %s from event %d", r.id, version, id, first)
		w.Header().Set("X-Dandelionlift-Response-Signature", r.id+"."+version)
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for i := first; i < streamEvents; i++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", i, version, r.id); err != nil {
				return
			}
			if control.Flush() != nil {
				return
			}
			select {
			case <-req.Context().Done():
				return
			case <-time.After(eventInterval):
			}
		}
	})
}
