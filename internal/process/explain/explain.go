// Package explain records the routing decisions of recent calls, so that operators
// can see why a call was sent where it was.
//
// # Bounded memory
//
// A DecisionLog holds a fixed number of calls with their decisions and, if a call
// was refused, the refusal. The oldest calls are overwritten.
package explain

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/route"
)

const (
	// capacity is how many calls are held.
	capacity = 4096
	// maxDecisions is how many decisions are held per call.
	maxDecisions = 8
)

// Candidate is an endpoint that was considered.
type Candidate struct {
	Host  identity.Host
	Zone  identity.Zone
	Score route.Score
}

// Decision is one choice of an endpoint.
type Decision struct {
	DecidedAt  time.Time
	Candidates []Candidate
	// Winner is the index of the chosen candidate, or -1 if there was none.
	Winner int
}

// Record holds the decisions and the refusal of one call.
type Record struct {
	Request   identity.Request
	Decisions []Decision
	// RefusedAt and RefusalReason are the time and the reason of a refusal; zero if
	// the call was not refused.
	RefusedAt     time.Time
	RefusalReason string
}

// DecisionLog is safe for concurrent use. Create one with New.
type DecisionLog struct {
	mu    sync.Mutex
	ring  []Record
	next  int
	index map[identity.Request]int
}

// New returns an empty DecisionLog.
func New() *DecisionLog {
	return &DecisionLog{ring: make([]Record, capacity), index: make(map[identity.Request]int)}
}

// RecordDecision records a routing decision for a call. Decisions beyond maxDecisions
// are dropped.
func (l *DecisionLog) RecordDecision(request identity.Request, s *fleet.Snapshot, d *route.Decision, at time.Time) {
	decision := Decision{DecidedAt: at, Winner: d.Winner, Candidates: make([]Candidate, 0, d.Count)}
	for _, c := range d.Candidates[:d.Count] {
		e := &s.Endpoints[c.Index]
		decision.Candidates = append(decision.Candidates, Candidate{Host: e.Host, Zone: e.Zone, Score: c.Score})
	}
	if d.Count == 0 {
		decision.Winner = -1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(request)
	if len(r.Decisions) < maxDecisions {
		r.Decisions = append(r.Decisions, decision)
	}
}

// RecordRefusal records that a call was refused, and the reason.
func (l *DecisionLog) RecordRefusal(request identity.Request, reason string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(request)
	r.RefusedAt, r.RefusalReason = at, reason
}

// record returns the record of a call, or a new one that overwrites the oldest; the
// caller holds mu.
func (l *DecisionLog) record(request identity.Request) *Record {
	if i, ok := l.index[request]; ok {
		return &l.ring[i]
	}
	r := &l.ring[l.next]
	delete(l.index, r.Request)
	*r = Record{Request: request}
	l.index[request] = l.next
	l.next = (l.next + 1) % len(l.ring)
	return r
}

// Lookup returns the record of a call and reports whether there is one.
func (l *DecisionLog) Lookup(request identity.Request) (Record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.index[request]
	if !ok {
		return Record{}, false
	}
	r := l.ring[i]
	r.Decisions = slices.Clone(r.Decisions)
	return r, true
}

// Columns are the column names of Rows.
var Columns = []string{"at", "attempt", "endpoint", "zone", "wait_ms", "price_ms", "link_ms", "recompute_ms", "target_ms", "sum_ms", "read_tokens", "outcome"}

// Rows returns a record as table rows, one per candidate, the best first.
func (r Record) Rows() [][]string {
	var rows [][]string
	for n, d := range r.Decisions {
		at, attempt := d.DecidedAt.UTC().Format(time.RFC3339Nano), fmt.Sprint(n+1)
		if len(d.Candidates) == 0 {
			rows = append(rows, padRow([]string{at, attempt}, "no endpoint could take the call"))
			continue
		}
		ranking := d.rankCandidates()
		for rank, i := range ranking {
			c := &d.Candidates[i]
			row := []string{at, attempt, string(c.Host), string(c.Zone)}
			for _, ms := range []float64{c.Score.Wait, c.Score.Price, c.Score.Link, c.Score.Recompute, c.Score.Target, c.Score.Total()} {
				row = append(row, fmt.Sprintf("%.1f", ms))
			}
			row = append(row, fmt.Sprint(c.Score.Uncached), d.outcome(ranking, rank))
			rows = append(rows, row)
		}
	}
	if r.RefusalReason != "" {
		rows = append(rows, padRow([]string{r.RefusedAt.UTC().Format(time.RFC3339Nano)}, "refused: "+r.RefusalReason))
	}
	return rows
}

// padRow pads a row with empty cells and puts last into the last column.
func padRow(row []string, last string) []string {
	for len(row) < len(Columns)-1 {
		row = append(row, "")
	}
	return append(row, last)
}

// rankCandidates returns the indexes of the candidates, ordered by increasing sum.
func (d *Decision) rankCandidates() []int {
	ranking := make([]int, len(d.Candidates))
	for i := range ranking {
		ranking[i] = i
	}
	slices.SortStableFunc(ranking, func(a, b int) int {
		switch sumA, sumB := d.Candidates[a].Score.Total(), d.Candidates[b].Score.Total(); {
		case sumA < sumB:
			return -1
		case sumA > sumB:
			return 1
		}
		return 0
	})
	return ranking
}

// outcome states why a candidate was chosen or, if it was not, which term put it
// furthest behind the chosen one.
func (d *Decision) outcome(ranking []int, rank int) string {
	c, winner := &d.Candidates[ranking[rank]].Score, &d.Candidates[d.Winner].Score
	if ranking[rank] == d.Winner {
		if len(ranking) == 1 {
			return "chosen: the only candidate"
		}
		next := &d.Candidates[ranking[1]].Score
		return fmt.Sprintf("chosen: %.1f ms below the next, most by %s", next.Total()-c.Total(), largestDifference(next, c))
	}
	return fmt.Sprintf("%.1f ms above, most by %s", c.Total()-winner.Total(), largestDifference(c, winner))
}

// largestDifference returns the name of the term in which a exceeds b most.
func largestDifference(a, b *route.Score) string {
	name, largest := "none", 0.0
	for _, t := range []struct {
		name       string
		difference float64
	}{
		{"wait", a.Wait - b.Wait}, {"price", a.Price - b.Price}, {"link", a.Link - b.Link},
		{"recompute", a.Recompute - b.Recompute}, {"target", a.Target - b.Target},
	} {
		if t.difference > largest {
			name, largest = t.name, t.difference
		}
	}
	return name
}
