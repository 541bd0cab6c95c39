// Package route decides which endpoint an attempt goes to.
//
// # The decision
//
// Choose is a pure function: a Table made from one snapshot, the call, what the
// host knows beside the snapshot, the clock and a random source go in, a
// Decision comes out. It looks at a few candidates only, scores each in
// milliseconds, and takes the lowest.
//
// # Candidates
//
// The homes of a prompt are the first endpoints in rendezvous order over its
// prefix, so that all entry hosts send the same prefix to the same place
// without an index of the fleet. Beside them stand an endpoint that is known to
// hold the prefix, and endpoints drawn at random: two choices spread load where
// prefixes say nothing, and no two hosts draw the same ones.
//
// # The active set
//
// Endpoints are ordered by price, and only as many as the load needs are
// active; the others get work when every active one is over its bound. An
// endpoint whose prefix cache is worth more than its price stays active.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Ask is what a decision needs to know of the call.
type Ask struct {
	Service identity.Service
	// Blocks are the prompt's prefix blocks, which cover the organisation, so
	// that no two organisations have one in common.
	Blocks []engine.Block
	// PromptTokens and MaxTokens are what the call may take.
	PromptTokens unit.Tokens
	MaxTokens    unit.Tokens
	// Batch is a call that may wait.
	Batch bool
	// Tried are incarnations that already failed this call.
	Tried []identity.Incarnation
}

// Own is what one host knows of its own dispatches to an endpoint.
type Own struct {
	// InFlight have not ended; Since were sent since the report.
	InFlight int
	Since    int
	// SinceTokens are the prompt tokens of Since.
	SinceTokens unit.Tokens
}

// Knowledge is what a host knows beside the snapshot. Nil fields know nothing.
type Knowledge struct {
	// Own tells of dispatches to an endpoint, those after since apart.
	Own func(to identity.Incarnation, since time.Time) Own
	// Cached tells how many leading tokens of blocks an endpoint holds, and how
	// far that can be trusted, 0 to 1.
	Cached func(at identity.Incarnation, blocks []engine.Block) (unit.Tokens, float64)
	// Holder names an endpoint that holds most of blocks.
	Holder func(blocks []engine.Block) (identity.Incarnation, bool)
	// Hosts is how many entry hosts dispatch as this one does, at least 1.
	Hosts int
	// Without switches terms off.
	Without Term
}

// mostCandidates bounds the endpoints that one decision looks at.
const mostCandidates = 8

// Candidate is one endpoint that was looked at.
type Candidate struct {
	// Index is that in the snapshot's Endpoints.
	Index int
	Terms Terms
}

// Decision tells what was chosen, and from what.
type Decision struct {
	// Candidates holds Count that were looked at; Winner is the index of one.
	Candidates [mostCandidates]Candidate
	Count      int
	Winner     int
}

// Endpoint gives the winner's index in the snapshot.
func (d *Decision) Endpoint() int { return d.Candidates[d.Winner].Index }

// Choose decides, or reports false when no endpoint can take the call.
func (t *Table) Choose(ask *Ask, k *Knowledge, now time.Time, random *rand.Rand, d *Decision) bool {
	d.Count, d.Winner = 0, 0
	g := t.groups[ask.Service]
	if g == nil || len(g.entries) == 0 {
		return false
	}
	c := chooser{table: t, group: g, ask: ask, know: k, now: now, random: random, decision: d}
	c.homes()
	c.holder()
	c.draw()
	if d.Count == 0 {
		c.any()
	}
	for i := 1; i < d.Count; i++ {
		if d.Candidates[i].Terms.Sum() < d.Candidates[d.Winner].Terms.Sum() {
			d.Winner = i
		}
	}
	return d.Count > 0
}

// Find gives the snapshot's endpoint of a decision.
func (t *Table) Find(d *Decision) fleet.Endpoint {
	return t.snapshot.Endpoints[d.Endpoint()]
}

// chooser gathers the candidates of one decision.
type chooser struct {
	table    *Table
	group    *group
	ask      *Ask
	know     *Knowledge
	now      time.Time
	random   *rand.Rand
	decision *Decision
}

// keyBlocks is how deep the block lies that a prompt's home is found by: past
// what all prompts of an organisation begin with.
const keyBlocks = 16

// homes adds the first two endpoints in rendezvous order of the prefix.
func (c *chooser) homes() {
	if len(c.ask.Blocks) == 0 || c.know.Without&Affinity != 0 {
		return
	}
	key := uint64(c.ask.Blocks[min(keyBlocks, len(c.ask.Blocks))-1])
	first, second := c.group.rendezvous(key)
	c.add(first, homeTrust)
	c.add(second, secondTrust*c.trust(second))
}

// trust tells how far what is known of an entry's cache can be trusted.
func (c *chooser) trust(i int) float64 {
	if i < 0 || c.know.Cached == nil {
		return 0
	}
	_, trust := c.know.Cached(c.table.snapshot.Endpoints[c.group.entries[i].index].Incarnation, nil)
	return trust
}

func (c *chooser) holder() {
	if c.know.Holder == nil || len(c.ask.Blocks) == 0 || c.know.Without&Affinity != 0 {
		return
	}
	incarnation, ok := c.know.Holder(c.ask.Blocks)
	if !ok {
		return
	}
	if i, ok := c.group.byIncarnation[incarnation]; ok && i < c.group.reachable {
		c.add(i, 0)
	}
}

// draw adds two active endpoints with room, one in the host's own zone, and one
// beyond the active ones.
func (c *chooser) draw() {
	g := c.group
	c.add(g.open[c.random.IntN(len(g.open))], 0)
	c.add(g.open[c.random.IntN(len(g.open))], 0)
	if len(g.near) > 0 {
		c.add(g.near[c.random.IntN(len(g.near))], 0)
	}
	if beyond := g.reachable - g.active; beyond > 0 {
		c.add(g.active+c.random.IntN(min(beyond, spillFrom)), 0)
	}
}

// spillFrom is how many of the cheapest inactive endpoints work spills to.
const spillFrom = 3

// any adds the endpoint after a random one that was not tried yet.
func (c *chooser) any() {
	n := len(c.group.entries)
	start := c.random.IntN(n)
	for i := 0; i < n && c.decision.Count == 0; i++ {
		c.take((start+i)%n, 0)
	}
}

// add takes an entry unless it is too new for this call: the chance grows with
// its age.
func (c *chooser) add(i int, guess float64) {
	if i < 0 {
		return
	}
	since := c.table.snapshot.Endpoints[c.group.entries[i].index].Since
	age := c.now.Sub(since)
	if !since.IsZero() && age < slowStart && c.know.Without&SlowStart == 0 && c.random.Float64() > float64(age)/float64(slowStart) {
		return
	}
	c.take(i, guess)
}

// take scores an entry unless it was tried or is a candidate already.
func (c *chooser) take(i int, guess float64) {
	if c.decision.Count == mostCandidates {
		return
	}
	e := &c.group.entries[i]
	d := c.decision
	for n := range d.Count {
		if d.Candidates[n].Index == e.index {
			return
		}
	}
	if tried(c.ask.Tried, c.table.snapshot.Endpoints[e.index].Incarnation) {
		return
	}
	d.Candidates[d.Count] = Candidate{Index: e.index, Terms: c.score(i, guess)}
	d.Count++
}

func tried(list []identity.Incarnation, incarnation identity.Incarnation) bool {
	for _, t := range list {
		if t == incarnation {
			return true
		}
	}
	return false
}
