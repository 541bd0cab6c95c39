package controller

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
)

// Watcher asks the platform and the endpoints, and posts what it sees.
type Watcher struct {
	Controller *Controller
	Cloud      cloud.Client
	Engine     engine.Client
	Log        *slog.Logger
	// HostsEvery, NoticesEvery and LoadsEvery are the times between questions.
	HostsEvery   time.Duration
	NoticesEvery time.Duration
	LoadsEvery   time.Duration
	// Notice, if set, is told of each notice that was not withdrawn.
	Notice func(cloud.Notice)
}

const (
	askTimeout    = 2 * time.Second
	loadsAtOnce   = 16
	askedEachTime = 8
	firstSequence = 0
)

// Run asks until ctx ends.
func (w Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, w.HostsEvery, w.hosts) })
	group.Go(func() error { return w.notices(ctx) })
	group.Go(func() error {
		turn := 0
		return every(ctx, w.LoadsEvery, func(ctx context.Context) { turn = w.loads(ctx, turn) })
	})
	return group.Wait()
}

// every calls ask at once and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, ask func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		ask(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (w Watcher) hosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	hosts, err := w.Cloud.List(ctx)
	if err != nil {
		w.Log.Warn("host_list_unavailable", "error", err)
		return
	}
	w.Controller.Post(ctx, HostsSeen{At: time.Now(), Hosts: hosts})
}

func (w Watcher) notices(ctx context.Context) error {
	after := uint64(firstSequence)
	return every(ctx, w.NoticesEvery, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		notices, err := w.Cloud.Notices(ctx, after)
		if err != nil {
			w.Log.Warn("notices_unavailable", "error", err)
			return
		}
		for _, n := range notices {
			w.Log.Info("notice", "endpoint", n.Host, "incarnation", n.Incarnation,
				"deadline", n.Deadline, "withdrawn", n.Withdrawn)
			if !n.Withdrawn {
				w.Controller.Post(ctx, LeavingSeen{Host: n.Host, Incarnation: n.Incarnation, Deadline: n.Deadline})
				w.tell(n)
			}
			if ctx.Err() != nil {
				return
			}
			after = max(after, n.Sequence)
		}
	})
}

func (w Watcher) tell(n cloud.Notice) {
	if w.Notice != nil {
		w.Notice(n)
	}
}

// loads asks askedEachTime endpoints for their load, from the turn-th on, and
// gives the next turn, so that asking costs the same however many there are.
func (w Watcher) loads(ctx context.Context, turn int) int {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(loadsAtOnce)
	endpoints := w.Controller.Snapshot().Endpoints
	asked := min(len(endpoints), askedEachTime)
	for i := range asked {
		e := endpoints[(turn+i)%len(endpoints)]
		group.Go(func() error {
			report, err := w.Engine.Load(ctx, e.Address)
			if err != nil {
				return nil
			}
			w.Controller.Post(ctx, LoadSeen{At: time.Now(), Host: e.Host, Report: report})
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		w.Log.Warn("loads_unavailable", "error", err)
	}
	return turn + asked
}
