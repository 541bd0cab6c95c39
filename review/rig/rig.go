package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// rig is a deployment on the loopback.
type rig struct {
	dir     string
	record  *record
	store   *store
	client  *client
	hosts   []*host
	runners map[string]*runner
	group   errgroup.Group
	// playing counts the streams of clients.
	playing sync.WaitGroup
	done    chan struct{}
	mu      sync.Mutex
	// use lists the hosts that clients send to.
	use []string
}

// newRig starts a deployment with a route for streams that may be resumed.
func newRig(dir, recordPath string, hostCount int, versions map[string]string) (*rig, error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	r := &rig{dir: dir, record: rec, store: newStore(), runners: make(map[string]*runner), done: make(chan struct{})}
	r.client = &client{record: rec, hosts: func() []string {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.use
	}}
	r.run(func() error {
		r.store.run(r.done)
		return nil
	})
	r.configure(1, "first")
	storeAddress, err := r.serve(r.store)
	if err != nil {
		return nil, err
	}
	cloudAddress, err := r.serve(http.HandlerFunc(r.cloud))
	if err != nil {
		return nil, err
	}
	for id, version := range versions {
		if r.runners[id], err = newRunner(id, "za", version, r.store, rec, r.run); err != nil {
			return nil, err
		}
	}
	if r.hosts, err = newHosts(hostCount, dir, storeAddress, cloudAddress); err != nil {
		return nil, err
	}
	for _, h := range r.hosts {
		if err := h.start(r.run); err != nil {
			return nil, err
		}
		r.use = append(r.use, h.address())
	}
	for _, h := range r.hosts {
		if err := h.waitReady(15 * time.Second); err != nil {
			return r, err
		}
	}
	return r, nil
}

// configure writes a configuration with a route for streams and some for reads, each with
// its name as the prefix.
func (r *rig) configure(version int, reads ...string) {
	routes := []any{map[string]any{
		"name": "r-stream", "host": "h.example", "prefix": "/st/", "kind": "streaming", "timeoutMs": 15000,
		"latencyTargetMs": 1500, "priority": 1, "service": "s", "attempts": 2, "public": false, "canResume": true, "gapAimMs": 400,
	}}
	for _, name := range reads {
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": "h.example", "prefix": "/" + name + "/", "kind": "idempotent", "timeoutMs": 800,
			"latencyTargetMs": 150, "priority": 1, "service": "s", "attempts": 2, "public": false,
		})
	}
	r.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": "s", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "org", "apiKeys": []string{"key-1"}, "priority": 1, "unit": "requests", "ratePerS": 0, "burst": 0}},
	})
}

func (r *rig) run(f func() error) { r.group.Go(f) }

func (r *rig) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	r.run(func() error {
		// Serve returns when the rig stops.
		_ = server.Serve(listener)
		return nil
	})
	r.run(func() error {
		<-r.done
		return server.Close()
	})
	return listener.Addr().String(), nil
}

// cloud accepts the leader's calls.
func (r *rig) cloud(w http.ResponseWriter, req *http.Request) {
	// What is left unread matters to nobody.
	_, _ = io.Copy(io.Discard, req.Body)
	w.WriteHeader(http.StatusOK)
}

// setHosts sets the hosts that clients send to, as the platform's balancer does.
func (r *rig) setHosts(use ...*host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.use = nil
	for _, h := range use {
		r.use = append(r.use, h.address())
	}
}

// load starts a stream at each interval until the given time has passed.
func (r *rig) load(name string, interval, duration time.Duration) {
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%s%d", name, i)
		r.playing.Add(1)
		r.run(func() error {
			defer r.playing.Done()
			r.client.play(id)
			return nil
		})
		time.Sleep(interval)
	}
}

// stop ends everything that the rig started.
func (r *rig) stop() error {
	for _, h := range r.hosts {
		if h.command != nil && h.command.Process != nil && h.ended != nil {
			h.kill()
		}
	}
	for _, runner := range r.runners {
		runner.crash()
	}
	close(r.done)
	r.playing.Wait()
	if err := r.group.Wait(); err != nil {
		return err
	}
	return r.record.close()
}

// writeSummary writes the result as the record's last lines.
func (r *rig) writeSummary(result map[string]any) {
	data, err := json.Marshal(result)
	if err != nil {
		panic(err)
	}
	r.record.logf("result %s", data)
	fmt.Fprintln(os.Stdout, string(data))
}
