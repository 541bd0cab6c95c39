// Package reclaim transfers the KV cache of a leaving endpoint to endpoints that
// stay, in the time between the notice that it will leave and its deadline.
//
// # Assignment
//
// One entry host of the zone handles a leaving endpoint: the live host that
// rendezvous hashing selects. It claims the endpoint in the key-value service,
// so that a wrongly suspected host stops when its successor takes over.
// While the service can't be reached, transfers go on without claims: they are
// idempotent, and two hosts doing the same work only waste bandwidth.
//
// # Recovery
//
// Which entries were transferred is known only from the engines: an entry is
// imported whole or not at all, and entries that a target already has are not sent
// again. A successor lists the entries of the source and the targets and plans the
// rest of the transfer for the remaining time.
//
// # Protection of targets
//
// A target's bandwidth and free cache are divided among the sources that send to
// it, so that imports neither evict its own entries nor saturate its link.
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
	scanInterval = 250 * time.Millisecond
	// retryDelay is the wait after a transfer that failed, lost its claim or could
	// not be started.
	retryDelay = 2 * time.Second
	// maxTransfers bounds the endpoints that one entry host handles at a time.
	maxTransfers = 32
	// noDeadlineWindow is the transfer time for an endpoint without a deadline,
	// such as one in a planned stop.
	noDeadlineWindow = 30 * time.Second
	// deadlineMargin is the time before an endpoint's deadline at which its
	// transfer ends.
	deadlineMargin = 500 * time.Millisecond
)

// Reclaim transfers the caches of the leaving endpoints of one zone.
type Reclaim struct {
	Host identity.Host
	// Snapshot returns the deployment as this host knows it, LiveHosts the live
	// entry hosts of the zone including this one.
	Snapshot  func() *fleet.Snapshot
	LiveHosts func() []identity.Host
	Engine    engine.Client
	KeyValue  keyvalue.Client
	Record    *Record
	Log       *slog.Logger

	mu sync.Mutex
	// tasks holds a task for each leaving endpoint until the endpoint is gone from
	// the snapshot and its transfer no longer runs.
	tasks map[identity.Incarnation]*task
}

// task is the state of one leaving endpoint.
type task struct {
	endpoint fleet.Endpoint
	// end is when the transfer has to be over.
	end     time.Time
	running bool
	done    bool
	retryAt time.Time
	// failedTargets are the targets at which an import failed. Only the running
	// transfer accesses it.
	failedTargets map[identity.Incarnation]bool
}

// Run handles leaving endpoints until ctx ends.
func (r *Reclaim) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxTransfers)
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		for _, t := range r.updateTasks(time.Now()) {
			e, end := t.endpoint, t.end
			started := group.TryGo(func() error {
				done := r.transferCache(ctx, t, e, end)
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

// updateTasks adds tasks for endpoints that are leaving and drops those of
// endpoints that are gone. It marks the tasks to start now as running and
// returns them.
func (r *Reclaim) updateTasks(now time.Time) []*task {
	s := r.Snapshot()
	live := r.LiveHosts()
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
		t := r.taskFor(now, e)
		service, _ := s.Configuration.Service(e.Service)
		assigned := AssignedHost(live, e.Incarnation) == r.Host
		startable := !t.running && !t.done && !now.Before(t.retryAt) && now.Before(t.end)
		if assigned && startable && service.Kind == configuration.Model {
			t.running = true
			due = append(due, t)
		}
	}
	for incarnation, t := range r.tasks {
		if !listed[incarnation] && !t.running {
			r.recordEvent(t.endpoint, Event{Type: HostGone})
			delete(r.tasks, incarnation)
		}
	}
	return due
}

// taskFor returns the task of a leaving endpoint, creating it if needed. The
// caller holds mu.
func (r *Reclaim) taskFor(now time.Time, e fleet.Endpoint) *task {
	t, ok := r.tasks[e.Incarnation]
	if !ok {
		t = &task{end: now.Add(noDeadlineWindow), failedTargets: make(map[identity.Incarnation]bool)}
		r.tasks[e.Incarnation] = t
		r.recordEvent(e, Event{Type: LeaveNoticed, Count: e.Load.Running + e.Load.Waiting, Note: deadlineNote(e)})
	}
	t.endpoint = e
	if !e.Deadline.IsZero() {
		t.end = e.Deadline.Add(-deadlineMargin)
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
	t.retryAt = time.Now().Add(retryDelay)
}

// recordEvent adds an event to the endpoint's history and logs it.
func (r *Reclaim) recordEvent(e fleet.Endpoint, event Event) {
	event.At = time.Now()
	event.Host = e.Host
	event.Incarnation = e.Incarnation
	r.Record.Add(event)
	r.Log.Info(string(event.Type), "endpoint", e.Host, "incarnation", e.Incarnation, "target", event.Target,
		"count", event.Count, "tokens", event.Tokens, "bytes", event.Bytes, "note", event.Note)
}

// AssignedHost returns the live host that handles an incarnation. Rendezvous hashing
// ensures that the loss of a host moves only the incarnations it handled.
func AssignedHost(live []identity.Host, incarnation identity.Incarnation) identity.Host {
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
