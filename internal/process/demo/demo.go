// Package demo runs a whole deployment in one process: stand-ins, entry hosts and
// callers. During the run, a zone is reclaimed and an entry host is stopped.
//
// # Counts
//
// The final counts compare the answers that callers received with the records of
// the stand-ins. They use nothing that the entry hosts report of themselves.
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
	readyTimeout   = 20 * time.Second
	readyPoll      = 100 * time.Millisecond
	duration       = 24 * time.Second
	reclaimAt      = 8 * time.Second
	stopAt         = 14 * time.Second
	noticePeriod   = 5 * time.Second
	callsPerSecond = 25
	callTimeout    = 40 * time.Second
	// The deployment listens on 127.N.x.x, where N is one of networkCount numbers
	// from firstNetwork on, by process id, so that several demos can run at once.
	networkCount = 200
	firstNetwork = 20
)

// Demo is one run of the demo. Create it with New.
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

// Counts is the result of a run, printed as its last line.
type Counts struct {
	Accepted, Complete, Lost, Duplicated, WronglyNotRun, Misdelivered int
	Recomputed                                                        unit.Tokens
	Cost                                                              unit.Money
}

// String returns the result line.
func (c Counts) String() string {
	return fmt.Sprintf("demo accepted=%d whole=%d lost=%d doubled=%d wrongly_not_run=%d misdelivered=%d recomputed_tokens=%d cost=%s",
		c.Accepted, c.Complete, c.Lost, c.Duplicated, c.WronglyNotRun, c.Misdelivered, c.Recomputed, c.Cost)
}

// GuaranteeViolated reports whether an answer was lost or misdelivered, a filing was
// executed more than once, or a filing reported as not executed was executed.
func (c Counts) GuaranteeViolated() bool {
	return c.Lost+c.Duplicated+c.WronglyNotRun+c.Misdelivered > 0
}

// New returns a Demo of a user's deployment.
func New(user scenario.User, seed uint64, out io.Writer, log *slog.Logger) *Demo {
	return &Demo{User: user, Seed: seed, Out: out, Log: log}
}

// Run starts the deployment, sends the load, stops the deployment and returns the
// counts.
func (d *Demo) Run(ctx context.Context) (Counts, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := scenario.Addresses{Net: byte(firstNetwork + os.Getpid()%networkCount)}
	standins, err := deployment.Start(ctx, d.User.Deployment(addresses), d.Log)
	if err != nil {
		return Counts{}, err
	}
	if err := d.startEntries(ctx, addresses); err != nil {
		return Counts{}, err
	}
	d.printf("%s: %d zones, %d model engines, %d entry hosts, seed %d",
		d.User.Name, len(d.User.Zones), d.User.ModelEngines, len(d.entries), d.Seed)
	outcomes, err := d.runLoad(ctx, standins)
	if err != nil {
		return Counts{}, err
	}
	counts := d.countOutcomes(outcomes, standins)
	if err := load.NewReport(outcomes).WriteText(d.Out); err != nil {
		return counts, err
	}
	err = d.stopEntries(ctx)
	cancel()
	return counts, errors.Join(err, standins.Wait())
}

func (d *Demo) printf(format string, arguments ...any) {
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
	for d.updateReady(ctx) < len(d.entries) {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return fmt.Errorf("only %d of %d entry hosts became ready", len(d.ready), len(d.entries))
		}
	}
	return nil
}

// updateReady polls the readiness of every entry host, as a load balancer does,
// and returns how many are ready.
func (d *Demo) updateReady(ctx context.Context) int {
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

func (d *Demo) pickEntryHost() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ready) == 0 {
		return d.entries[0].Listen.String()
	}
	return d.ready[rand.IntN(len(d.ready))]
}

// runLoad sends the load while runEvents runs.
func (d *Demo) runLoad(ctx context.Context, standins *deployment.Deployment) ([]load.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			d.updateReady(ctx)
			pause.For(ctx, readyPoll)
		}
		return nil
	})
	group.Go(func() error { return d.runEvents(ctx, standins) })
	client := caller.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, PickAddress: d.pickEntryHost}
	outcomes, err := load.Run(ctx, client, d.loadPlan())
	cancel()
	return outcomes, errors.Join(err, group.Wait())
}

func (d *Demo) loadPlan() load.Plan {
	plan := load.Plan{
		Rate: callsPerSecond, Duration: duration, Mix: load.Mix{Draft: 3, Lookup: 5, Filing: 1}, Seed: d.Seed,
		Model: d.User.Model, Ledger: d.User.Ledger, PromptTokens: 400, AnswerTokens: 80, Conversations: 4,
		Timeout: callTimeout,
	}
	for _, o := range d.User.Organisations {
		plan.Organisations = append(plan.Organisations, load.Organisation{Key: o.Key, Share: o.Share})
	}
	return plan
}

// runEvents reclaims a zone and stops an entry host while calls are running.
func (d *Demo) runEvents(ctx context.Context, standins *deployment.Deployment) error {
	zone := d.User.Zones[int(d.Seed)%len(d.User.Zones)].ID
	pause.For(ctx, reclaimAt)
	reclaimed := standins.Cloud.Reclaim(cloud.Reclaim{Zone: zone, NoticeMillis: noticePeriod.Milliseconds()})
	d.printf("t=%v zone %s: %d hosts reclaimed with %v of notice, while answers stream", reclaimAt, zone, len(reclaimed), noticePeriod)
	pause.For(ctx, stopAt-reclaimAt)
	last := len(d.apps) - 1
	d.printf("t=%v entry host %s: planned stop begins", stopAt, d.entries[last].Host)
	err := d.apps[last].Stop(context.WithoutCancel(ctx))
	d.printf("entry host %s: stopped when its work had ended", d.entries[last].Host)
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

// countOutcomes compares the outcomes of calls with the records of the stand-ins.
func (d *Demo) countOutcomes(outcomes []load.Outcome, standins *deployment.Deployment) Counts {
	c := Counts{Recomputed: standins.Models.Totals().Recomputed, Cost: standins.Cost(d.User.Configuration())}
	for _, o := range outcomes {
		if o.Kind == load.Filing {
			runs := standins.Filings.Runs(o.ID)
			if runs > 1 {
				c.Duplicated++
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
		case o.Complete():
			c.Complete++
		case o.Misdelivered:
			c.Misdelivered++
		default:
			c.Lost++
			d.printLoss(o)
		}
	}
	return c
}

func (d *Demo) printLoss(o load.Outcome) {
	reason, detail := verdict.Reason(""), ""
	if o.Result.Failure != nil {
		reason, detail = o.Result.Failure.Reason, o.Result.Failure.Error()
	}
	d.printf("lost: %s request=%s reason=%s detail=%q cut=%v status=%d", o.Kind, o.Result.Request, reason, detail, o.Truncated, o.Result.Status)
}
