// Package reclaim sees a leaving endpoint off, from the notice to the last byte
// carried.
//
// # Who does it
//
// One entry host of the zone carries for an endpoint: the first of the live
// ones by rendezvous. It claims the endpoint in the key-value service, so that
// a host that was only thought dead stops when its successor takes over. While
// the service can't be reached the zone goes on without claims: transfers are
// idempotent, and the worst of two carriers is bandwidth spent twice.
//
// # Nothing to undo
//
// The engines themselves hold how far a reclaim has come: an entry is imported
// whole or not at all, and those that a target has are not sent again. A
// successor asks both ends anew and decides anew for the time that is left.
//
// # What it protects
//
// Targets that several sources leave for are shared between these, so that
// importing neither evicts a target's own entries nor takes its bandwidth.
package reclaim

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	lookEvery = 250 * time.Millisecond
	// retryAfter is the wait after a carry that failed or lost its claim.
	retryAfter = 2 * time.Second
	// carriesAtOnce bounds the endpoints that one entry host carries for.
	carriesAtOnce = 32
	// stopWindow is the time for carrying from an endpoint without a deadline.
	stopWindow = 30 * time.Second
	// margin is kept before the deadline.
	margin = 500 * time.Millisecond
)

// Reclaim sees off the leaving endpoints of one zone.
type Reclaim struct {
	Host identity.Host
	// Snapshot and Live give what this host knows: the deployment, and the
	// entry hosts of the zone that live, itself among them.
	Snapshot func() *fleet.Snapshot
	Live     func() []identity.Host
	Engine   engine.Client
	KeyValue keyvalue.Client
	Record   *Record
	Log      *slog.Logger

	mu sync.Mutex
	// tasks are by incarnation, kept while its endpoint is listed.
	tasks map[identity.Incarnation]*task
}

// task is one endpoint that leaves.
type task struct {
	endpoint fleet.Endpoint
	// end is when carrying has to be over.
	end     time.Time
	running bool
	done    bool
	again   time.Time
	// failed are targets that an import failed at; only the carry touches it.
	failed map[identity.Incarnation]bool
}

// Run looks for leaving endpoints until ctx ends.
func (r *Reclaim) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(carriesAtOnce)
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		for _, t := range r.due(time.Now()) {
			e, end := t.endpoint, t.end
			started := group.TryGo(func() error {
				done := r.carry(ctx, t, e, end)
				r.finish(t, done)
				return nil
			})
			if !started {
				r.finish(t, false)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// due notes who leaves and who is gone, and marks as running what to start now.
func (r *Reclaim) due(now time.Time) []*task {
	s := r.Snapshot()
	live := r.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tasks == nil {
		r.tasks = make(map[identity.Incarnation]*task)
	}
	listed := make(map[identity.Incarnation]bool)
	var due []*task
	for _, e := range s.Endpoints {
		listed[e.Incarnation] = true
		if !e.Leaving || e.Zone != s.Zone {
			continue
		}
		t := r.note(now, e)
		service, _ := s.Configuration.Service(e.Service)
		mine := First(live, e.Incarnation) == r.Host
		idle := !t.running && !t.done && !now.Before(t.again) && now.Before(t.end)
		if mine && idle && service.Kind == configuration.Model {
			t.running = true
			due = append(due, t)
		}
	}
	for incarnation, t := range r.tasks {
		if !listed[incarnation] && !t.running {
			r.add(t.endpoint, Event{What: Gone})
			delete(r.tasks, incarnation)
		}
	}
	return due
}

// note finds or makes the task of a leaving endpoint; mu is held.
func (r *Reclaim) note(now time.Time, e fleet.Endpoint) *task {
	t, ok := r.tasks[e.Incarnation]
	if !ok {
		t = &task{end: now.Add(stopWindow), failed: make(map[identity.Incarnation]bool)}
		r.tasks[e.Incarnation] = t
		r.add(e, Event{What: Noticed, Count: e.Load.Running + e.Load.Waiting, Note: deadlineNote(e)})
	}
	t.endpoint = e
	if !e.Deadline.IsZero() {
		t.end = e.Deadline.Add(-margin)
	}
	return t
}

func deadlineNote(e fleet.Endpoint) string {
	if e.Deadline.IsZero() {
		return "no deadline"
	}
	return "until " + e.Deadline.UTC().Format(time.RFC3339)
}

func (r *Reclaim) finish(t *task, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.running = false
	t.done = done
	t.again = time.Now().Add(retryAfter)
}

// add records an event of an endpoint and logs it.
func (r *Reclaim) add(e fleet.Endpoint, event Event) {
	event.At = time.Now()
	event.Host = e.Host
	event.Incarnation = e.Incarnation
	r.Record.Add(event)
	r.Log.Info(string(event.What), "endpoint", e.Host, "incarnation", e.Incarnation, "target", event.Target,
		"count", event.Count, "tokens", event.Tokens, "bytes", event.Bytes, "note", event.Note)
}

// First gives the host that takes care of an incarnation: by rendezvous, so
// that a host's end moves only what was its own.
func First(live []identity.Host, incarnation identity.Incarnation) identity.Host {
	if len(live) == 0 {
		return ""
	}
	seed := xxh3.HashString(string(incarnation))
	return slices.MaxFunc(live, func(a, b identity.Host) int {
		x, y := xxh3.HashStringSeed(string(a), seed), xxh3.HashStringSeed(string(b), seed)
		if x < y {
			return -1
		}
		return 1
	})
}
