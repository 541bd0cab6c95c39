package reclaim

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/carry"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	exportPerSecond = 1250 * unit.Megabyte
	importPerSecond = 400 * unit.Megabyte
	mostTargets     = 4
	// transferWithin bounds the transfer of one block, after which its other
	// end counts as silent.
	transferWithin = 3 * time.Second
	// tokenWorth is used where the service states no weights.
	tokenWorth unit.Money = 25
)

// carry takes one endpoint's cache elsewhere and reports whether there is
// nothing left to do for it.
func (r *Reclaim) carry(ctx context.Context, t *task, e fleet.Endpoint, end time.Time) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, release := context.WithDeadline(ctx, end)
	defer release()
	h, err := r.claim(ctx, e)
	if err != nil {
		return errors.Is(err, errFinished)
	}
	r.add(e, Event{What: Claimed, Note: fmt.Sprintf("fence %d", h.revision)})
	group, watching := errgroup.WithContext(ctx)
	watching, stop := context.WithCancel(watching)
	group.Go(func() error { return r.watch(watching, h, cancel) })
	sum, err := r.transfer(ctx, t, e, end)
	stop()
	if wait := group.Wait(); wait != nil {
		err = errors.Join(err, wait)
	}
	switch cause := context.Cause(ctx); {
	case !time.Now().Before(end):
		err = nil
	case cause != nil:
		err = cause
	}
	if err != nil {
		r.add(e, Event{What: Abandoned, Count: sum.Count, Tokens: sum.Tokens, Bytes: sum.Bytes, Paid: sum.Paid, Note: err.Error()})
		return false
	}
	r.conclude(h, sum)
	sum.What = Done
	r.add(e, sum)
	return true
}

// conclude writes the end of a carry; a lost write only makes a successor look
// again and find nothing to send.
func (r *Reclaim) conclude(h held, sum Event) {
	if h.revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askWithin)
	defer cancel()
	done := claim{Holder: r.Host, Stage: finished, Tokens: int64(sum.Tokens), Bytes: int64(sum.Bytes)}
	if _, err := r.write(ctx, h, done); err != nil {
		r.Log.Warn("reclaim_conclusion_lost", "key", h.key, "error", err)
	}
}

// transfer asks both ends, decides, and sends to all targets side by side.
func (r *Reclaim) transfer(ctx context.Context, task *task, e fleet.Endpoint, end time.Time) (Event, error) {
	var sum Event
	listed, err := r.Engine.Entries(ctx, e.Address, e.Incarnation)
	if err != nil {
		return sum, err
	}
	s := r.Snapshot()
	targets := targets(s, e, task.failed)
	ask := carry.Ask{
		Left: time.Until(end), BytesPerSecond: exportPerSecond,
		TokenWorth: worth(s.Configuration, e.Service), Entries: carry.Estimate(entries(listed.Entries)),
	}
	for _, t := range targets {
		ask.Targets = append(ask.Targets, r.target(ctx, s, e, t, len(targets)))
	}
	steps := make(map[identity.Host][]carry.Step)
	for _, step := range carry.Decide(ask) {
		steps[step.Target] = append(steps[step.Target], step)
	}
	tokens := make(map[carry.Block]unit.Tokens)
	for _, entry := range ask.Entries {
		tokens[entry.Block] = entry.Tokens
	}
	sums := make([]Event, len(targets))
	failed := make([]bool, len(targets))
	var group errgroup.Group
	for i, t := range targets {
		group.Go(func() error {
			sums[i], failed[i] = r.send(ctx, e, t, steps[t.Host], tokens)
			return nil
		})
	}
	err = group.Wait()
	for i, part := range sums {
		part.Paid = price(ask.Targets[i], part.Bytes)
		if part.Count > 0 || part.Note != "" {
			r.add(e, part)
		}
		if failed[i] {
			task.failed[targets[i].Incarnation] = true
		}
		if part.Note != "" {
			err = errors.Join(err, errors.New(part.Note))
		}
		sum.Count += part.Count
		sum.Tokens += part.Tokens
		sum.Bytes += part.Bytes
		sum.Paid += part.Paid
	}
	return sum, err
}

// send carries the steps of one target in order. It ends at the first failure:
// what follows may be of no use without what failed. It reports whether the
// target was at fault.
func (r *Reclaim) send(ctx context.Context, from, to fleet.Endpoint, steps []carry.Step, tokens map[carry.Block]unit.Tokens) (Event, bool) {
	sum := Event{What: Carried, Target: to.Host}
	for _, step := range steps {
		id := engine.Block(step.Block).ID()
		exported, err := r.export(ctx, from, id)
		if err != nil {
			sum.Note = err.Error()
			return sum, false
		}
		if err := r.importInto(ctx, to, id, exported); err != nil {
			sum.Note = err.Error()
			return sum, true
		}
		sum.Count++
		sum.Tokens += tokens[step.Block]
		sum.Bytes += step.Bytes
	}
	return sum, false
}

func (r *Reclaim) export(ctx context.Context, from fleet.Endpoint, id string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, transferWithin)
	defer cancel()
	return r.Engine.Export(ctx, from.Address, from.Incarnation, id)
}

func (r *Reclaim) importInto(ctx context.Context, to fleet.Endpoint, id string, exported []byte) error {
	ctx, cancel := context.WithTimeout(ctx, transferWithin)
	defer cancel()
	return r.Engine.Import(ctx, to.Address, to.Incarnation, id, exported)
}

// target describes one endpoint to the decision: its share of what it takes
// from all that leave.
func (r *Reclaim) target(ctx context.Context, s *fleet.Snapshot, from, to fleet.Endpoint, used int) carry.Target {
	sources, stay := 0, 0
	for _, i := range s.Serving(from.Service) {
		if s.Endpoints[i].Leaving {
			sources++
		} else {
			stay++
		}
	}
	sharers := unit.Bytes(max(1, (sources*used+stay-1)/max(1, stay)))
	t := carry.Target{
		Host: to.Host, BytesPerSecond: importPerSecond / sharers,
		PricePerGigabyte: s.Configuration.Link(s.Configuration.Region(from.Zone), s.Configuration.Region(to.Zone)).PerGigabyte,
		Held:             make(map[carry.Block]bool),
	}
	ctx, cancel := context.WithTimeout(ctx, transferWithin)
	defer cancel()
	has, err := r.Engine.Entries(ctx, to.Address, to.Incarnation)
	if err != nil {
		return t
	}
	var size unit.Bytes
	var cached unit.Tokens
	for _, entry := range has.Entries {
		t.Held[carry.Block(entry.Block)] = true
		size += entry.Bytes
		cached += entry.Tokens
	}
	t.Headroom = headroom(to, cached, size) / sharers
	return t
}

// headroom is the room in a cache in bytes, at the size of its own entries.
func headroom(to fleet.Endpoint, cached unit.Tokens, size unit.Bytes) unit.Bytes {
	free := to.Load.CacheCapacity - cached
	if free <= 0 {
		return 0
	}
	perToken := engine.BytesPerToken
	if cached > 0 {
		perToken = size / unit.Bytes(cached)
	}
	return unit.Bytes(free) * perToken
}

// targets picks endpoints that stay: of the same zone before the same region
// before others, and among equals by rendezvous, so that sources spread.
func targets(s *fleet.Snapshot, from fleet.Endpoint, failed map[identity.Incarnation]bool) []fleet.Endpoint {
	var list []fleet.Endpoint
	for _, i := range s.Serving(from.Service) {
		if e := s.Endpoints[i]; !e.Leaving && !failed[e.Incarnation] && e.Load.CacheCapacity > 0 {
			list = append(list, e)
		}
	}
	seed := xxh3.HashString(string(from.Incarnation))
	region := s.Configuration.Region(from.Zone)
	far := func(e fleet.Endpoint) int {
		switch {
		case e.Zone == from.Zone:
			return 0
		case s.Configuration.Region(e.Zone) == region:
			return 1
		default:
			return 2
		}
	}
	slices.SortFunc(list, func(a, b fleet.Endpoint) int {
		return cmp.Or(
			cmp.Compare(far(a), far(b)),
			cmp.Compare(xxh3.HashStringSeed(string(a.Host), seed), xxh3.HashStringSeed(string(b.Host), seed)),
		)
	})
	return list[:min(len(list), mostTargets)]
}

func entries(listed []engine.Entry) []carry.Entry {
	list := make([]carry.Entry, 0, len(listed))
	for _, e := range listed {
		list = append(list, carry.Entry{
			Block: carry.Block(e.Block), Parent: carry.Block(e.Parent), Tokens: e.Tokens, Bytes: e.Bytes,
			Uses: e.Uses, Age: time.Duration(e.LastUseAgeMS) * time.Millisecond,
		})
	}
	return list
}

// worth turns the service's weights into money for one token.
func worth(c configuration.Configuration, service identity.Service) unit.Money {
	s, _ := c.Service(service)
	if s.CostWeight <= 0 || s.RecomputeWeight <= 0 {
		return tokenWorth
	}
	return max(1, unit.Money(s.RecomputeWeight/s.CostWeight*float64(unit.Coin)))
}

func price(t carry.Target, bytes unit.Bytes) unit.Money {
	return unit.Money(float64(t.PricePerGigabyte) * float64(bytes) / float64(unit.Gigabyte))
}
