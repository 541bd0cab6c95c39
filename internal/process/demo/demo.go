// Package demo runs a whole deployment in one process: the stand-ins, the entry
// hosts and callers, while a zone is reclaimed and an entry host is stopped.
//
// # What is counted
//
// The counts at the end compare what callers saw with what the stand-ins
// recorded. Nothing in them is the system's own claim.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/caller"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/process/entry"
	"github.com/dandelionlift/dandelionlift/internal/process/load"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/standin/cloud"
	"github.com/dandelionlift/dandelionlift/internal/standin/deployment"
	"github.com/dandelionlift/dandelionlift/internal/standin/scenario"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 100 * time.Millisecond
	duration     = 24 * time.Second
	reclaimAt    = 8 * time.Second
	stopAt       = 14 * time.Second
	notice       = 5 * time.Second
	rate         = 25
	callTimeout  = 40 * time.Second
	netNumbers   = 200
	firstNet     = 20
)

// Demo is one run. Make one with New.
type Demo struct {
	User scenario.User
	Seed uint64
	Out  io.Writer
	Log  *slog.Logger

	entries []settings.Entry
	apps    []*fx.App

	mu    sync.Mutex
	ready []string
}

// Counts is the demo's last line.
type Counts struct {
	Accepted, Whole, Lost, Doubled, WronglyNotRun, Misdelivered int
	Recomputed                                                  unit.Tokens
	Cost                                                        unit.Money
}

// String renders the line.
func (c Counts) String() string {
	return fmt.Sprintf("demo accepted=%d whole=%d lost=%d doubled=%d wrongly_not_run=%d misdelivered=%d recomputed_tokens=%d cost=%s",
		c.Accepted, c.Whole, c.Lost, c.Doubled, c.WronglyNotRun, c.Misdelivered, c.Recomputed, c.Cost)
}

// Broken tells that a promise was not kept.
func (c Counts) Broken() bool {
	return c.Lost+c.Doubled+c.WronglyNotRun+c.Misdelivered > 0
}

// New makes a run for a user.
func New(user scenario.User, seed uint64, out io.Writer, log *slog.Logger) *Demo {
	return &Demo{User: user, Seed: seed, Out: out, Log: log}
}

// Run goes from start to the counts.
func (d *Demo) Run(ctx context.Context) (Counts, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := scenario.Addresses{Net: byte(firstNet + os.Getpid()%netNumbers)}
	standins, err := deployment.Start(ctx, d.User.Deployment(addresses), d.Log)
	if err != nil {
		return Counts{}, err
	}
	if err := d.startEntries(ctx, addresses); err != nil {
		return Counts{}, err
	}
	d.say("%s: %d zones, %d model engines, %d entry hosts, seed %d",
		d.User.Name, len(d.User.Zones), d.User.Runners, len(d.entries), d.Seed)
	outcomes, err := d.drive(ctx, standins)
	if err != nil {
		return Counts{}, err
	}
	counts := d.count(outcomes, standins)
	if err := load.Sum(outcomes).WriteText(d.Out); err != nil {
		return counts, err
	}
	err = d.stopEntries(ctx)
	cancel()
	return counts, errors.Join(err, standins.Wait())
}

func (d *Demo) say(format string, arguments ...any) {
	fmt.Fprintf(d.Out, format+"\n", arguments...)
}

func (d *Demo) startEntries(ctx context.Context, a scenario.Addresses) error {
	d.entries = d.User.Entries(a)
	for _, s := range d.entries {
		log := d.Log.With("host", s.Host, "zone", s.Zone)
		app := entry.App(entry.Options{Settings: s, Bootstrap: d.User.Configuration(), Log: log})
		if err := app.Start(ctx); err != nil {
			return err
		}
		d.apps = append(d.apps, app)
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for d.balance(ctx) < len(d.entries) {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return fmt.Errorf("only %d of %d entry hosts became ready", len(d.ready), len(d.entries))
		}
	}
	return nil
}

// balance asks every entry host whether it is ready, as a balancer does.
func (d *Demo) balance(ctx context.Context) int {
	var ready []string
	for _, s := range d.entries {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Listen.String()+"/readyz", nil)
		if err != nil {
			continue
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusNoContent {
			ready = append(ready, s.Listen.String())
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = ready
	return len(ready)
}

func (d *Demo) pick() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ready) == 0 {
		return d.entries[0].Listen.String()
	}
	return d.ready[rand.IntN(len(d.ready))]
}

// drive sends the load while the events happen.
func (d *Demo) drive(ctx context.Context, standins *deployment.Deployment) ([]load.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			d.balance(ctx)
			pause.For(ctx, readyPoll)
		}
		return nil
	})
	group.Go(func() error { return d.events(ctx, standins) })
	client := caller.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, Pick: d.pick}
	outcomes, err := load.Run(ctx, client, d.plan())
	cancel()
	return outcomes, errors.Join(err, group.Wait())
}

func (d *Demo) plan() load.Plan {
	plan := load.Plan{
		Rate: rate, Duration: duration, Mix: load.Mix{Draft: 3, Lookup: 5, Filing: 1}, Seed: d.Seed,
		Model: d.User.Model, Ledger: d.User.Ledger, PromptTokens: 400, AnswerTokens: 80, Conversations: 4,
		Timeout: callTimeout,
	}
	for _, o := range d.User.Organisations {
		plan.Organisations = append(plan.Organisations, load.Organisation{Key: o.Key, Share: o.Share})
	}
	return plan
}

// events reclaims a zone and stops an entry host while calls run.
func (d *Demo) events(ctx context.Context, standins *deployment.Deployment) error {
	zone := d.User.Zones[int(d.Seed)%len(d.User.Zones)].ID
	pause.For(ctx, reclaimAt)
	taken := standins.Cloud.Reclaim(cloud.Reclaim{Zone: zone, NoticeMillis: notice.Milliseconds()})
	d.say("t=%v zone %s: %d hosts reclaimed with %v of notice, while answers stream", reclaimAt, zone, len(taken), notice)
	pause.For(ctx, stopAt-reclaimAt)
	last := len(d.apps) - 1
	d.say("t=%v entry host %s: planned stop begins", stopAt, d.entries[last].Host)
	err := d.apps[last].Stop(context.WithoutCancel(ctx))
	d.say("entry host %s: stopped when its work had ended", d.entries[last].Host)
	d.apps = d.apps[:last]
	return err
}

func (d *Demo) stopEntries(ctx context.Context) error {
	var group errgroup.Group
	for _, app := range d.apps {
		group.Go(func() error { return app.Stop(ctx) })
	}
	return group.Wait()
}

// count compares what callers saw with what the stand-ins recorded.
func (d *Demo) count(outcomes []load.Outcome, standins *deployment.Deployment) Counts {
	c := Counts{Recomputed: standins.Models.Totals().Recomputed, Cost: standins.Bill(d.User.Configuration())}
	for _, o := range outcomes {
		if o.Kind == load.Filing {
			runs := standins.Filings.Runs(o.ID)
			if runs > 1 {
				c.Doubled++
			}
			if !o.Accepted() && runs > 0 {
				c.WronglyNotRun++
			}
		}
		if !o.Accepted() {
			continue
		}
		c.Accepted++
		switch {
		case o.Whole():
			c.Whole++
		case o.Swapped:
			c.Misdelivered++
		default:
			c.Lost++
			d.explainLoss(o)
		}
	}
	return c
}

func (d *Demo) explainLoss(o load.Outcome) {
	reason, detail := verdict.Reason(""), ""
	if o.Result.Failure != nil {
		reason, detail = o.Result.Failure.Reason, o.Result.Failure.Error()
	}
	d.say("lost: %s request=%s reason=%s detail=%q cut=%v status=%d", o.Kind, o.Result.Request, reason, detail, o.Cut, o.Result.Status)
}
