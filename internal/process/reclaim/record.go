package reclaim

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// What names one kind of thing that happened to a host.
type What string

// What happens to a host that leaves, in the usual order.
const (
	Noticed   What = "noticed"
	Resumed   What = "resumed"
	Claimed   What = "carry_claimed"
	Carried   What = "carried"
	Abandoned What = "carry_abandoned"
	Done      What = "carry_done"
	Gone      What = "gone"
	Ordered   What = "replacement_ordered"
	Refused   What = "replacement_refused"
	Started   What = "replacement_started"
	GivenBack What = "given_back"
)

// Event is one line of a host's history.
type Event struct {
	At          time.Time
	Host        identity.Host
	Incarnation identity.Incarnation
	What        What
	// Target is the endpoint that work or cache went to, if any.
	Target identity.Host
	// Count is of entries or streams.
	Count      int
	Tokens     unit.Tokens
	Recomputed unit.Tokens
	Bytes      unit.Bytes
	Paid       unit.Money
	// Note tells why, in a few words.
	Note string
}

// keptEvents bounds the record; the oldest go first.
const keptEvents = 8192

// Record keeps the last events of all hosts in memory. The zero value is ready.
type Record struct {
	mu     sync.Mutex
	events []Event
}

// Add keeps an event.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	if len(r.events) >= 2*keptEvents {
		r.events = slices.Clone(r.events[len(r.events)-keptEvents:])
	}
}

// History gives the events of a host in order of time.
func (r *Record) History(host identity.Host) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for _, e := range r.events[max(0, len(r.events)-keptEvents):] {
		if e.Host == host {
			found = append(found, e)
		}
	}
	slices.SortStableFunc(found, func(a, b Event) int { return cmp.Or(a.At.Compare(b.At), 0) })
	return found
}

// Columns are those of Rows.
var Columns = []string{"at", "incarnation", "event", "target", "count", "tokens", "recomputed", "bytes", "paid", "note"}

// Rows gives a host's history as plain cells under Columns.
func (r *Record) Rows(host identity.Host) [][]string {
	var rows [][]string
	for _, e := range r.History(host) {
		rows = append(rows, []string{
			e.At.UTC().Format(time.RFC3339Nano), string(e.Incarnation), string(e.What), string(e.Target),
			strconv.Itoa(e.Count), strconv.FormatInt(int64(e.Tokens), 10), strconv.FormatInt(int64(e.Recomputed), 10),
			strconv.FormatInt(int64(e.Bytes), 10), e.Paid.String(), e.Note,
		})
	}
	return rows
}
