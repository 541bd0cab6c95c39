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
	exportBandwidth = 1250 * unit.Megabyte
	importBandwidth = 400 * unit.Megabyte
	maxTargets      = 4
	// transferTimeout bounds one call to an endpoint, such as the export or
	// import of one entry. A call that takes longer fails.
	transferTimeout = 3 * time.Second
	// defaultTokenValue is the value of one token that need not be recomputed,
	// for services whose configuration sets no weights.
	defaultTokenValue unit.Money = 25
)

// transferCache copies the KV cache of a leaving endpoint to other endpoints. It
// reports whether the transfer is over: what was planned was sent, the time is up,
// or another host has finished the transfer.
func (r *Reclaim) transferCache(ctx context.Context, t *task, e fleet.Endpoint, end time.Time) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ctx, release := context.WithDeadline(ctx, end)
	defer release()
	h, err := r.acquireClaim(ctx, e)
	if err != nil {
		return errors.Is(err, errFinished)
	}
	r.recordEvent(e, Event{Type: TransferClaimed, Note: fmt.Sprintf("fence %d", h.revision)})
	group, watching := errgroup.WithContext(ctx)
	watching, stop := context.WithCancel(watching)
	group.Go(func() error { return r.watchClaim(watching, h, cancel) })
	total, err := r.transferEntries(ctx, t, e, end)
	stop()
	if watchErr := group.Wait(); watchErr != nil {
		err = errors.Join(err, watchErr)
	}
	switch cause := context.Cause(ctx); {
	case !time.Now().Before(end):
		err = nil
	case cause != nil:
		err = cause
	}
	if err != nil {
		r.recordEvent(e, Event{Type: TransferAbandoned, Count: total.Count, Tokens: total.Tokens, Bytes: total.Bytes, TransferCost: total.TransferCost, Note: err.Error()})
		return false
	}
	r.recordFinished(h, total)
	total.Type = TransferFinished
	r.recordEvent(e, total)
	return true
}

// recordFinished marks the claim as finished. If the write is lost, a successor
// lists the source and the targets again and finds nothing to send.
func (r *Reclaim) recordFinished(h heldClaim, total Event) {
	if h.revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), keyValueTimeout)
	defer cancel()
	done := claim{Holder: r.Host, Stage: finished, Tokens: int64(total.Tokens), Bytes: int64(total.Bytes)}
	if _, err := r.writeClaim(ctx, h, done); err != nil {
		r.Log.Warn("reclaim_conclusion_lost", "key", h.key, "error", err)
	}
}

// transferEntries lists the cache entries of the source and its targets, decides
// which entry goes where, and sends to all targets in parallel.
func (r *Reclaim) transferEntries(ctx context.Context, task *task, e fleet.Endpoint, end time.Time) (Event, error) {
	var total Event
	listed, err := r.Engine.Entries(ctx, e.Address, e.Incarnation)
	if err != nil {
		return total, err
	}
	s := r.Snapshot()
	targets := selectTargets(s, e, task.failedTargets)
	input := carry.Input{
		TimeLeft: time.Until(end), BytesPerSecond: exportBandwidth,
		TokenValue: tokenValue(s.Configuration, e.Service), Entries: carry.EstimateReuse(convertEntries(listed.Entries)),
	}
	for _, to := range targets {
		input.Targets = append(input.Targets, r.describeTarget(ctx, s, e, to, len(targets)))
	}
	transfers := make(map[identity.Host][]carry.Transfer)
	for _, transfer := range carry.Decide(input) {
		transfers[transfer.Target] = append(transfers[transfer.Target], transfer)
	}
	tokens := make(map[carry.Block]unit.Tokens)
	for _, entry := range input.Entries {
		tokens[entry.Block] = entry.Tokens
	}
	totals := make([]Event, len(targets))
	failed := make([]bool, len(targets))
	var group errgroup.Group
	for i, to := range targets {
		group.Go(func() error {
			totals[i], failed[i] = r.sendTransfers(ctx, e, to, transfers[to.Host], tokens)
			return nil
		})
	}
	err = group.Wait()
	for i, part := range totals {
		part.TransferCost = transferPrice(input.Targets[i], part.Bytes)
		if part.Count > 0 || part.Note != "" {
			r.recordEvent(e, part)
		}
		if failed[i] {
			task.failedTargets[targets[i].Incarnation] = true
		}
		if part.Note != "" {
			err = errors.Join(err, errors.New(part.Note))
		}
		total.Count += part.Count
		total.Tokens += part.Tokens
		total.Bytes += part.Bytes
		total.TransferCost += part.TransferCost
	}
	return total, err
}

// sendTransfers transfers the entries planned for one target in order. It stops at
// the first failure, since later entries may be unusable without the one that
// failed. It reports whether the target caused the failure.
func (r *Reclaim) sendTransfers(ctx context.Context, from, to fleet.Endpoint, transfers []carry.Transfer, tokens map[carry.Block]unit.Tokens) (Event, bool) {
	total := Event{Type: EntriesTransferred, Target: to.Host}
	for _, transfer := range transfers {
		id := engine.Block(transfer.Block).ID()
		exported, err := r.exportEntry(ctx, from, id)
		if err != nil {
			total.Note = err.Error()
			return total, false
		}
		if err := r.importEntry(ctx, to, id, exported); err != nil {
			total.Note = err.Error()
			return total, true
		}
		total.Count++
		total.Tokens += tokens[transfer.Block]
		total.Bytes += transfer.Bytes
	}
	return total, false
}

func (r *Reclaim) exportEntry(ctx context.Context, from fleet.Endpoint, id string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return r.Engine.Export(ctx, from.Address, from.Incarnation, id)
}

func (r *Reclaim) importEntry(ctx context.Context, to fleet.Endpoint, id string, exported []byte) error {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	return r.Engine.Import(ctx, to.Address, to.Incarnation, id, exported)
}

// describeTarget returns one target as input for carry.Decide. Import bandwidth
// and cache headroom are divided by the number of leaving endpoints expected to
// use the target. If the target can't be listed, its headroom is zero.
func (r *Reclaim) describeTarget(ctx context.Context, s *fleet.Snapshot, from, to fleet.Endpoint, targetCount int) carry.Target {
	sources, remaining := 0, 0
	for _, i := range s.Serving(from.Service) {
		if s.Endpoints[i].Leaving {
			sources++
		} else {
			remaining++
		}
	}
	sourcesPerTarget := unit.Bytes(max(1, (sources*targetCount+remaining-1)/max(1, remaining)))
	target := carry.Target{
		Host: to.Host, BytesPerSecond: importBandwidth / sourcesPerTarget,
		PricePerGigabyte: s.Configuration.Link(s.Configuration.Region(from.Zone), s.Configuration.Region(to.Zone)).PricePerGigabyte,
		Cached:           make(map[carry.Block]bool),
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	listed, err := r.Engine.Entries(ctx, to.Address, to.Incarnation)
	if err != nil {
		return target
	}
	var size unit.Bytes
	var cached unit.Tokens
	for _, entry := range listed.Entries {
		target.Cached[carry.Block(entry.Block)] = true
		size += entry.Bytes
		cached += entry.Tokens
	}
	target.Headroom = headroom(to, cached, size) / sourcesPerTarget
	return target
}

// headroom returns the free cache space in bytes, assuming the average entry
// size per token of the target's own cache.
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

// selectTargets returns up to maxTargets endpoints that stay: those of the same
// zone first, then of the same region, then others. Equally distant ones are
// ordered by rendezvous hashing, which spreads sources over targets.
func selectTargets(s *fleet.Snapshot, from fleet.Endpoint, failed map[identity.Incarnation]bool) []fleet.Endpoint {
	var list []fleet.Endpoint
	for _, i := range s.Serving(from.Service) {
		if e := s.Endpoints[i]; !e.Leaving && !failed[e.Incarnation] && e.Load.CacheCapacity > 0 {
			list = append(list, e)
		}
	}
	seed := xxh3.HashString(string(from.Incarnation))
	region := s.Configuration.Region(from.Zone)
	distance := func(e fleet.Endpoint) int {
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
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(xxh3.HashStringSeed(string(a.Host), seed), xxh3.HashStringSeed(string(b.Host), seed)),
		)
	})
	return list[:min(len(list), maxTargets)]
}

func convertEntries(listed []engine.Entry) []carry.Entry {
	list := make([]carry.Entry, 0, len(listed))
	for _, e := range listed {
		list = append(list, carry.Entry{
			Block: carry.Block(e.Block), Parent: carry.Block(e.Parent), Tokens: e.Tokens, Bytes: e.Bytes,
			Hits: e.Hits, SinceLastHit: time.Duration(e.LastUseAgeMS) * time.Millisecond,
		})
	}
	return list
}

// tokenValue returns what one token that need not be recomputed is worth,
// according to the service's weights.
func tokenValue(c configuration.Configuration, service identity.Service) unit.Money {
	s, _ := c.Service(service)
	if s.CostWeight <= 0 || s.RecomputeWeight <= 0 {
		return defaultTokenValue
	}
	return max(1, unit.Money(s.RecomputeWeight/s.CostWeight*float64(unit.Coin)))
}

func transferPrice(t carry.Target, bytes unit.Bytes) unit.Money {
	return unit.Money(float64(t.PricePerGigabyte) * float64(bytes) / float64(unit.Gigabyte))
}
