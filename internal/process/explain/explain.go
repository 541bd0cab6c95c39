// Package explain remembers why calls went where they did.
//
// # A bounded memory
//
// A Memory holds the newest calls, a fixed number of them, with the decisions
// of each and a refusal if there was one. Older ones are overwritten.
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
	// remembered is how many calls are held.
	remembered = 4096
	// mostDecisions bounds those of one call.
	mostDecisions = 8
)

// Candidate is one endpoint that was looked at.
type Candidate struct {
	Host  identity.Host
	Zone  identity.Zone
	Terms route.Terms
}

// Decision is one choice of an endpoint.
type Decision struct {
	At         time.Time
	Candidates []Candidate
	// Winner is the index of the one chosen, or -1 if there was none.
	Winner int
}

// Record is what is remembered of one call.
type Record struct {
	Request   identity.Request
	Decisions []Decision
	// Refused is when and why the call was refused; zero if it was not.
	RefusedAt time.Time
	Refused   string
}

// Memory is safe for use by several goroutines. Make one with New.
type Memory struct {
	mu    sync.Mutex
	ring  []Record
	next  int
	where map[identity.Request]int
}

// New makes an empty Memory.
func New() *Memory {
	return &Memory{ring: make([]Record, remembered), where: make(map[identity.Request]int)}
}

// Chose remembers a decision of a call.
func (m *Memory) Chose(request identity.Request, s *fleet.Snapshot, d *route.Decision, at time.Time) {
	decision := Decision{At: at, Winner: d.Winner, Candidates: make([]Candidate, 0, d.Count)}
	for _, c := range d.Candidates[:d.Count] {
		e := &s.Endpoints[c.Index]
		decision.Candidates = append(decision.Candidates, Candidate{Host: e.Host, Zone: e.Zone, Terms: c.Terms})
	}
	if d.Count == 0 {
		decision.Winner = -1
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.record(request)
	if len(r.Decisions) < mostDecisions {
		r.Decisions = append(r.Decisions, decision)
	}
}

// Refused remembers why a call was refused.
func (m *Memory) Refused(request identity.Request, why string, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.record(request)
	r.RefusedAt, r.Refused = at, why
}

// record finds a call's place or takes the oldest; mu is held.
func (m *Memory) record(request identity.Request) *Record {
	if i, ok := m.where[request]; ok {
		return &m.ring[i]
	}
	r := &m.ring[m.next]
	delete(m.where, r.Request)
	*r = Record{Request: request}
	m.where[request] = m.next
	m.next = (m.next + 1) % len(m.ring)
	return r
}

// Explain gives what is remembered of a call, or reports false.
func (m *Memory) Explain(request identity.Request) (Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i, ok := m.where[request]
	if !ok {
		return Record{}, false
	}
	r := m.ring[i]
	r.Decisions = slices.Clone(r.Decisions)
	return r, true
}

// Columns heads Rows.
var Columns = []string{"at", "attempt", "endpoint", "zone", "wait_ms", "price_ms", "link_ms", "recompute_ms", "target_ms", "sum_ms", "read_tokens", "outcome"}

// Rows renders a record with one candidate a row, best first.
func (r Record) Rows() [][]string {
	var rows [][]string
	for n, d := range r.Decisions {
		at, attempt := d.At.UTC().Format(time.RFC3339Nano), fmt.Sprint(n+1)
		if len(d.Candidates) == 0 {
			rows = append(rows, fill([]string{at, attempt}, "no endpoint could take the call"))
			continue
		}
		order := d.order()
		for place, i := range order {
			c := &d.Candidates[i]
			row := []string{at, attempt, string(c.Host), string(c.Zone)}
			for _, ms := range []float64{c.Terms.Wait, c.Terms.Price, c.Terms.Link, c.Terms.Recompute, c.Terms.Target, c.Terms.Sum()} {
				row = append(row, fmt.Sprintf("%.1f", ms))
			}
			row = append(row, fmt.Sprint(c.Terms.Uncached), d.outcome(order, place))
			rows = append(rows, row)
		}
	}
	if r.Refused != "" {
		rows = append(rows, fill([]string{r.RefusedAt.UTC().Format(time.RFC3339Nano)}, "refused: "+r.Refused))
	}
	return rows
}

// fill pads a row so that last stands in the last column.
func fill(row []string, last string) []string {
	for len(row) < len(Columns)-1 {
		row = append(row, "")
	}
	return append(row, last)
}

// order lists the candidates' indexes, the lowest sum first.
func (d *Decision) order() []int {
	order := make([]int, len(d.Candidates))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch less, more := d.Candidates[a].Terms.Sum(), d.Candidates[b].Terms.Sum(); {
		case less < more:
			return -1
		case less > more:
			return 1
		}
		return 0
	})
	return order
}

// outcome says why a candidate won, or by which term it lost most.
func (d *Decision) outcome(order []int, place int) string {
	c, winner := &d.Candidates[order[place]].Terms, &d.Candidates[d.Winner].Terms
	if order[place] == d.Winner {
		if len(order) == 1 {
			return "chosen: the only candidate"
		}
		next := &d.Candidates[order[1]].Terms
		return fmt.Sprintf("chosen: %.1f ms below the next, most by %s", next.Sum()-c.Sum(), most(next, c))
	}
	return fmt.Sprintf("%.1f ms above, most by %s", c.Sum()-winner.Sum(), most(c, winner))
}

// most names the term in which a is furthest above b.
func most(a, b *route.Terms) string {
	name, by := "none", 0.0
	for _, t := range []struct {
		name string
		by   float64
	}{
		{"wait", a.Wait - b.Wait}, {"price", a.Price - b.Price}, {"link", a.Link - b.Link},
		{"recompute", a.Recompute - b.Recompute}, {"target", a.Target - b.Target},
	} {
		if t.by > by {
			name, by = t.name, t.by
		}
	}
	return name
}
