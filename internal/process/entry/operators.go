package entry

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/operator"
	"github.com/dandelionlift/dandelionlift/internal/process/reclaim"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/migration"
)

func newOperator(
	s settings.Entry, c *controller.Controller, server *Server, j *journal.Journal, members *member.Members,
	r *reclaim.Reclaim, log *slog.Logger,
) operator.Interpreter {
	return operator.Interpreter{
		Snapshot:           c.Snapshot,
		UnfinishedRequests: server.UnfinishedRequests,
		Tokens:             s.Operator.Tokens,
		Propose:            j.Propose,
		History:            j.History,
		OnStop: func(ctx context.Context, stop configuration.Stop) error {
			c.Post(ctx, controller.LeavingUpdate{Host: stop.Host, Incarnation: stop.Incarnation})
			return nil
		},
		Confirmations: func() []operator.Confirmation {
			var list []operator.Confirmation
			for _, confirmation := range members.Confirmations() {
				list = append(list, operator.Confirmation{Host: confirmation.Host, Zone: confirmation.Zone, Version: confirmation.Version})
			}
			return list
		},
		LiveEntryHosts: func() []operator.EntryHost {
			var hosts []operator.EntryHost
			for _, p := range members.Live() {
				hosts = append(hosts, operator.EntryHost{Host: p.Host, Zone: p.Zone, Address: p.Address})
			}
			return hosts
		},
		// The move is stored in the configuration, from which the lease holder of
		// its zone carries it out.
		OnMove: func(context.Context, configuration.Move) error { return nil },
		CostOfMove: func(ctx context.Context, move configuration.Move) (operator.Table, error) {
			return costTable(r.CostOfMove(ctx, move)), nil
		},
		HostEvents: func(host identity.Host) []operator.HostEvent {
			var events []operator.HostEvent
			for _, e := range r.Record.History(host) {
				events = append(events, operator.HostEvent{At: e.At, Type: string(e.Type), Target: e.Target, Detail: eventDetail(e)})
			}
			return events
		},
		QuietFor: func(id identity.Incarnation) time.Duration {
			return server.advice.ClosedFor(time.Now(), id)
		},
		Explain:   server.Explain,
		OnOutcome: countLines(server.Meter),
		Log:       log,
	}
}

// countLines creates the counters of operators' command lines for all outcomes,
// and returns the function that increments them.
func countLines(m *meter.Meter) func(operator.Outcome) {
	counter := func(outcome operator.Outcome) *metrics.Counter {
		return m.Counter(fmt.Sprintf("operator_lines_total{outcome=%q}", outcome))
	}
	for _, outcome := range operator.Outcomes {
		counter(outcome)
	}
	return func(outcome operator.Outcome) { counter(outcome).Inc() }
}

// eventDetail formats the non-zero amounts of an event and its note.
func eventDetail(e reclaim.Event) string {
	var parts []string
	add := func(name string, value int64) {
		if value != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", name, value))
		}
	}
	add("count", int64(e.Count))
	add("tokens", int64(e.Tokens))
	add("recomputed", int64(e.Recomputed))
	add("bytes", int64(e.Bytes))
	add("paid_micro", int64(e.TransferCost))
	if e.Note != "" {
		parts = append(parts, e.Note)
	}
	return strings.Join(parts, " ")
}

func costTable(c migration.Cost) operator.Table {
	t := operator.Table{Columns: []string{"cost", "amount"}}
	add := func(name, amount string) { t.Rows = append(t.Rows, []string{name, amount}) }
	add("endpoints", strconv.Itoa(c.Endpoints))
	add("requests_resumed", strconv.Itoa(c.Running))
	add("price_per_hour_before", c.PriceBefore.String())
	add("price_per_hour_after", c.PriceAfter.String())
	add("tokens_cached", strconv.FormatInt(int64(c.Cached), 10))
	add("tokens_carried", strconv.FormatInt(int64(c.Transferred), 10))
	add("tokens_recomputed", strconv.FormatInt(int64(c.Recomputed), 10))
	add("tokens_recomputed_at_worst", strconv.FormatInt(int64(c.RecomputedWithoutTransfer), 10))
	add("bytes_across", strconv.FormatInt(int64(c.Bytes), 10))
	add("price_of_bytes", c.TransferPrice.String())
	add("carry_time", c.TransferTime.Round(time.Millisecond).String())
	add("first_token_added", c.AddedLatency.String())
	add("first_token_added_once", c.RecomputeTime.Round(time.Millisecond).String())
	add("first_token_target", c.FirstTokenTarget.String())
	add("risk_to_target", string(c.Risk()))
	if c.Unreported > 0 {
		t.Note = fmt.Sprintf("%d endpoints did not report what they have cached: tokens and bytes are underestimates", c.Unreported)
	}
	if c.Unpriced > 0 {
		t.Note = strings.TrimPrefix(fmt.Sprintf("%s; %d endpoints have a class without a price in the new zone", t.Note, c.Unpriced), "; ")
	}
	return t
}
