package controller

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
)

// Poller polls the platform and the endpoints and posts the results as events.
type Poller struct {
	Controller *Controller
	Cloud      cloud.Client
	Engine     engine.Client
	Log        *slog.Logger
	// HostsInterval, NoticesInterval and LoadsInterval are the polling intervals.
	HostsInterval   time.Duration
	NoticesInterval time.Duration
	LoadsInterval   time.Duration
	// OnNotice, if set, is called for each notice that is not a withdrawal.
	OnNotice func(cloud.Notice)
}

const (
	pollTimeout        = 2 * time.Second
	maxConcurrentLoads = 16
	loadsPerRound      = 8
	beforeFirstNotice  = 0
)

// Run polls until ctx ends.
func (p Poller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return pollEvery(ctx, p.HostsInterval, p.pollHosts) })
	group.Go(func() error { return p.pollNotices(ctx) })
	group.Go(func() error {
		offset := 0
		return pollEvery(ctx, p.LoadsInterval, func(ctx context.Context) { offset = p.pollLoads(ctx, offset) })
	})
	return group.Wait()
}

// pollEvery calls poll immediately and then at each interval until ctx ends.
func pollEvery(ctx context.Context, interval time.Duration, poll func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (p Poller) pollHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	hosts, err := p.Cloud.List(ctx)
	if err != nil {
		p.Log.Warn("host_list_unavailable", "error", err)
		return
	}
	p.Controller.Post(ctx, HostListUpdate{ReceivedAt: time.Now(), Hosts: hosts})
}

func (p Poller) pollNotices(ctx context.Context) error {
	after := uint64(beforeFirstNotice)
	return pollEvery(ctx, p.NoticesInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		notices, err := p.Cloud.Notices(ctx, after)
		if err != nil {
			p.Log.Warn("notices_unavailable", "error", err)
			return
		}
		for _, n := range notices {
			p.Log.Info("notice", "endpoint", n.Host, "incarnation", n.Incarnation,
				"deadline", n.Deadline, "withdrawn", n.Withdrawn)
			if !n.Withdrawn {
				p.Controller.Post(ctx, LeavingUpdate{Host: n.Host, Incarnation: n.Incarnation, Deadline: n.Deadline})
				p.notify(n)
			}
			if ctx.Err() != nil {
				return
			}
			after = max(after, n.Sequence)
		}
	})
}

func (p Poller) notify(n cloud.Notice) {
	if p.OnNotice != nil {
		p.OnNotice(n)
	}
}

// pollLoads requests the load of up to loadsPerRound endpoints, starting at offset,
// and returns the next offset. The bound makes the cost of a round independent of
// the number of endpoints.
func (p Poller) pollLoads(ctx context.Context, offset int) int {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentLoads)
	endpoints := p.Controller.Snapshot().Endpoints
	polled := min(len(endpoints), loadsPerRound)
	for i := range polled {
		e := endpoints[(offset+i)%len(endpoints)]
		group.Go(func() error {
			report, err := p.Engine.Load(ctx, e.Address)
			if err != nil {
				return nil
			}
			p.Controller.Post(ctx, LoadUpdate{ReceivedAt: time.Now(), Host: e.Host, Report: report})
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		p.Log.Warn("loads_unavailable", "error", err)
	}
	return offset + polled
}
