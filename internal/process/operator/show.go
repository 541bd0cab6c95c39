package operator

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

func (in Interpreter) show(text string, s show) Table {
	t := in.table(s.Table.Name)
	if t.Error != "" {
		return t
	}
	if err := t.filter(text, s.Where); err != nil {
		return errorTable(err)
	}
	return t
}

func (in Interpreter) table(name string) Table {
	snapshot := in.Snapshot()
	switch name {
	case "work":
		return in.work()
	case "leaving":
		return in.endpoints(snapshot, func(e fleet.Endpoint) bool { return e.Leaving })
	case "endpoints":
		return in.endpoints(snapshot, func(fleet.Endpoint) bool { return true })
	case "hosts":
		return in.hosts(snapshot)
	case "services":
		return services(snapshot)
	case "organisations":
		return organisations(snapshot.Configuration)
	case "prices":
		return prices(snapshot.Configuration)
	default:
		return in.configuration(snapshot.Configuration)
	}
}

func (in Interpreter) endpoints(s *fleet.Snapshot, include func(fleet.Endpoint) bool) Table {
	t := Table{Columns: []string{
		"endpoint", "incarnation", "service", "zone", "class", "reclaimable", "address", "state", "gone_at", "running", "waiting", "quiet_ms",
	}}
	for _, e := range s.Endpoints {
		if !include(e) {
			continue
		}
		t.Rows = append(t.Rows, []string{
			string(e.Host), string(e.Incarnation), string(e.Service), string(e.Zone), string(e.Class),
			strconv.FormatBool(e.Reclaimable), e.Address.String(), state(e), formatTime(e.Deadline),
			strconv.Itoa(e.Load.Running), strconv.Itoa(e.Load.Waiting),
			strconv.FormatInt(in.quietFor(e.Incarnation).Milliseconds(), 10),
		})
	}
	return t
}

func (in Interpreter) quietFor(id identity.Incarnation) time.Duration {
	if in.QuietFor == nil {
		return 0
	}
	return in.QuietFor(id)
}

func state(e fleet.Endpoint) string {
	if e.Leaving {
		return "leaving"
	}
	return "live"
}

// formatTime formats a time; the zero time gives "-".
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func (in Interpreter) work() Table {
	if in.UnfinishedRequests == nil {
		return unavailable("show work")
	}
	t := Table{Columns: []string{"request", "organisation", "service", "endpoint", "tokens", "age_ms"}}
	for _, w := range in.UnfinishedRequests() {
		t.Rows = append(t.Rows, []string{
			string(w.Request), string(w.Organisation), string(w.Service), string(w.Endpoint),
			strconv.FormatInt(w.Tokens, 10), strconv.FormatInt(w.AgeMillis, 10),
		})
	}
	return t
}

// hosts lists entry hosts and endpoints, with "entry" or the service that each
// runs.
func (in Interpreter) hosts(s *fleet.Snapshot) Table {
	t := Table{Columns: []string{"host", "runs", "zone", "address", "state"}}
	if in.LiveEntryHosts == nil {
		t.Rows = append(t.Rows, []string{string(s.Host), "entry", string(s.Zone), "-", "live"})
		t.Note = "only this entry host is listed; the others are not known here"
	} else {
		for _, e := range in.LiveEntryHosts() {
			t.Rows = append(t.Rows, []string{string(e.Host), "entry", string(e.Zone), e.Address.String(), "live"})
		}
	}
	for _, e := range s.Endpoints {
		t.Rows = append(t.Rows, []string{string(e.Host), string(e.Service), string(e.Zone), e.Address.String(), state(e)})
	}
	return t
}

func services(s *fleet.Snapshot) Table {
	t := Table{Columns: []string{"service", "kind"}}
	for _, f := range serviceFields {
		t.Columns = append(t.Columns, f.name)
	}
	t.Columns = append(t.Columns, "endpoints", "leaving")
	for _, service := range s.Configuration.Services {
		row := []string{string(service.ID), string(service.Kind)}
		for _, f := range serviceFields {
			row = append(row, f.get(service))
		}
		all, leaving := 0, 0
		for _, i := range s.Serving(service.ID) {
			all++
			if s.Endpoints[i].Leaving {
				leaving++
			}
		}
		t.Rows = append(t.Rows, append(row, strconv.Itoa(all), strconv.Itoa(leaving)))
	}
	return t
}

func organisations(c configuration.Configuration) Table {
	t := Table{Columns: []string{"organisation", "weight", "tokens_per_second", "keys"}}
	for _, organisation := range c.Organisations {
		t.Rows = append(t.Rows, []string{
			string(organisation.ID), formatNumber(organisation.Weight),
			strconv.FormatInt(int64(organisation.TokensPerSecond), 10), strconv.Itoa(len(organisation.KeySHA256)),
		})
	}
	return t
}

func prices(c configuration.Configuration) Table {
	t := Table{Columns: []string{"zone", "class"}}
	for _, f := range priceFields {
		t.Columns = append(t.Columns, f.name)
	}
	for _, price := range c.Prices {
		row := []string{string(price.Zone), string(price.Class)}
		for _, f := range priceFields {
			row = append(row, f.get(price))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// configuration lists, for each zone, the lowest version in force and the hosts
// that have not confirmed the version of this host.
func (in Interpreter) configuration(c configuration.Configuration) Table {
	t := Table{Columns: []string{"zone", "region", "lowest_version", "hosts", "not_confirmed"}}
	t.Note = fmt.Sprintf("version %d is in force on this host; pending moves %d, stops %d", c.Version, len(c.Moves), len(c.Stops))
	var all []Confirmation
	if in.Confirmations == nil {
		t.Note += "; versions of other hosts are not available on this entry host"
	} else {
		all = in.Confirmations()
	}
	for _, zone := range c.Zones {
		t.Rows = append(t.Rows, confirmationRow(zone, c.Version, all))
	}
	return t
}

func confirmationRow(zone configuration.Zone, inForce identity.Version, all []Confirmation) []string {
	var behind []string
	lowest, count := inForce, 0
	for _, confirmation := range all {
		if confirmation.Zone != zone.ID {
			continue
		}
		count++
		lowest = min(lowest, confirmation.Version)
		if confirmation.Version < inForce {
			behind = append(behind, string(confirmation.Host))
		}
	}
	if count == 0 {
		return []string{string(zone.ID), string(zone.Region), "unknown", "0", "-"}
	}
	slices.Sort(behind)
	names := strings.Join(behind, ",")
	if names == "" {
		names = "-"
	}
	return []string{string(zone.ID), string(zone.Region), strconv.FormatUint(uint64(lowest), 10), strconv.Itoa(count), names}
}

func (in Interpreter) history(ctx context.Context, text string, h history) Table {
	if in.History == nil {
		return unavailable("show history")
	}
	include := func(journal.Entry) bool { return true }
	switch {
	case h.Host != nil:
		include = func(e journal.Entry) bool { return slices.Contains(strings.Fields(e.Line), h.Host.Text) }
	case h.Move != nil:
		move, err := parseVersion(text, *h.Move)
		if err != nil {
			return errorTable(err)
		}
		cancel := fmt.Sprintf("cancel move %d", move)
		include = func(e journal.Entry) bool { return e.Version == move || hasCommandPrefix(e.Line, cancel) }
	}
	entries, err := in.History(ctx)
	if err != nil {
		return errorTable(err)
	}
	entries = slices.DeleteFunc(slices.Clone(entries), func(e journal.Entry) bool { return !include(e) })
	if h.Host != nil {
		return in.hostHistory(identity.Host(h.Host.Text), entries)
	}
	t := Table{Columns: []string{"version", "at", "operator", "line", "command"}}
	for _, e := range entries {
		t.Rows = append(t.Rows, []string{
			strconv.FormatUint(uint64(e.Version), 10), formatTime(e.At), e.Operator, e.Line, string(e.Command),
		})
	}
	return t
}

// hostHistory merges the commands that name a host with the events that this
// entry host recorded for it, ordered by time.
func (in Interpreter) hostHistory(host identity.Host, commands []journal.Entry) Table {
	var events []HostEvent
	for _, e := range commands {
		detail := fmt.Sprintf("%s (version %d, by %s)", e.Line, e.Version, e.Operator)
		events = append(events, HostEvent{At: e.At, Type: "command", Detail: detail})
	}
	if in.HostEvents != nil {
		events = append(events, in.HostEvents(host)...)
	}
	slices.SortStableFunc(events, func(a, b HostEvent) int { return a.At.Compare(b.At) })
	t := Table{Columns: []string{"at", "event", "target", "detail"}}
	for _, e := range events {
		t.Rows = append(t.Rows, []string{formatTime(e.At), e.Type, string(e.Target), e.Detail})
	}
	t.Note = "lists commands, and the events that this entry host recorded; each leaving endpoint is handled by one entry host of its zone"
	return t
}

func (in Interpreter) explain(ctx context.Context, request identity.Request) Table {
	if in.Explain == nil {
		return unavailable("explain request")
	}
	t, err := in.Explain(ctx, request)
	if err != nil {
		return errorTable(err)
	}
	return t
}

func (in Interpreter) cost(ctx context.Context, text string, clause moveClause) Table {
	move, err := in.parseMove(text, clause)
	if err != nil {
		return errorTable(err)
	}
	if in.CostOfMove == nil {
		return unavailable("cost of move")
	}
	t, err := in.CostOfMove(ctx, move)
	if err != nil {
		return errorTable(err)
	}
	return t
}

// parseVersion parses the number of a version or move.
func parseVersion(text string, n name) (identity.Version, error) {
	value, err := strconv.ParseUint(n.Text, 10, 63)
	if err != nil || value == 0 {
		return 0, mistakeAt(text, n.Pos, "%q is not a number; expected a whole number above 0", n.Text)
	}
	return identity.Version(value), nil
}
