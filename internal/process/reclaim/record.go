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

// EventType is the type of an event.
type EventType string

// The events of a leaving host, in their usual order.
const (
	LeaveNoticed       EventType = "noticed"
	StreamsResumed     EventType = "resumed"
	TransferClaimed    EventType = "carry_claimed"
	EntriesTransferred EventType = "carried"
	TransferAbandoned  EventType = "carry_abandoned"
	TransferFinished   EventType = "carry_done"
	HostGone           EventType = "gone"
	ReplacementOrdered EventType = "replacement_ordered"
	ReplacementRefused EventType = "replacement_refused"
	ReplacementStarted EventType = "replacement_started"
	HostReleased       EventType = "given_back"
)

// Event is one entry in a host's history.
type Event struct {
	At          time.Time
	Host        identity.Host
	Incarnation identity.Incarnation
	Type        EventType
	// Target is the endpoint that received work or cache entries, if any.
	Target identity.Host
	// Count is the number of cache entries or streams.
	Count        int
	Tokens       unit.Tokens
	Recomputed   unit.Tokens
	Bytes        unit.Bytes
	TransferCost unit.Money
	// Note is a short detail for operators, such as an error.
	Note string
}

// maxEvents is how many events a Record keeps; the oldest are dropped first.
const maxEvents = 8192

// Record keeps the latest events of all hosts in memory. The zero value is ready
// to use.
type Record struct {
	mu     sync.Mutex
	events []Event
}

// Add appends an event.
func (r *Record) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
	if len(r.events) >= 2*maxEvents {
		r.events = slices.Clone(r.events[len(r.events)-maxEvents:])
	}
}

// History returns the events of a host, oldest first.
func (r *Record) History(host identity.Host) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for _, e := range r.events[max(0, len(r.events)-maxEvents):] {
		if e.Host == host {
			found = append(found, e)
		}
	}
	slices.SortStableFunc(found, func(a, b Event) int { return cmp.Or(a.At.Compare(b.At), 0) })
	return found
}

// HistoryColumns names the columns of HistoryRows.
var HistoryColumns = []string{"at", "incarnation", "event", "target", "count", "tokens", "recomputed", "bytes", "paid", "note"}

// HistoryRows returns a host's history as text cells, one row for each event.
func (r *Record) HistoryRows(host identity.Host) [][]string {
	var rows [][]string
	for _, e := range r.History(host) {
		rows = append(rows, []string{
			e.At.UTC().Format(time.RFC3339Nano), string(e.Incarnation), string(e.Type), string(e.Target),
			strconv.Itoa(e.Count), strconv.FormatInt(int64(e.Tokens), 10), strconv.FormatInt(int64(e.Recomputed), 10),
			strconv.FormatInt(int64(e.Bytes), 10), e.TransferCost.String(), e.Note,
		})
	}
	return rows
}
