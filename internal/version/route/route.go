// Package route selects the endpoint for each attempt of a call.
//
// # The decision
//
// Choose is a pure function of a Table built from one snapshot, the call, the
// entry host's local state, the clock and a random source. It scores only a few
// candidates, in milliseconds, and picks the one with the lowest score.
//
// # Candidates
//
// The homes of a prompt are the two active endpoints that rank highest by
// rendezvous hashing of its prefix, so that all entry hosts send the same prefix
// to the same place without a fleet-wide index. Further candidates are an
// endpoint known to hold the prefix, and endpoints drawn at random: two random
// choices balance the load where prefixes don't matter, and entry hosts draw
// independently.
//
// # The active set
//
// Endpoints are ordered by price, and only as many as the load needs are active.
// One inactive endpoint is a candidate too and wins once the active candidates
// score worse. An endpoint whose prefix cache is worth more than its price stays
// active.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Call describes the call to be routed.
type Call struct {
	Service identity.Service
	// Blocks are the prompt's prefix block hashes. They include the organisation,
	// so that no two organisations share a block.
	Blocks []engine.Block
	// PromptTokens is the length of the prompt, MaxTokens the output limit.
	PromptTokens unit.Tokens
	MaxTokens    unit.Tokens
	// Batch marks a call that tolerates a longer wait.
	Batch bool
	// Tried are the incarnations that this call has already failed on.
	Tried []identity.Incarnation
}

// Dispatches counts this host's own dispatches to an endpoint.
type Dispatches struct {
	// InFlight counts dispatches that have not ended, SinceReport those sent
	// after the endpoint's last load report.
	InFlight    int
	SinceReport int
	// TokensSinceReport is the number of prompt tokens of the dispatches in
	// SinceReport.
	TokensSinceReport unit.Tokens
}

// LocalState is an entry host's local state beyond the snapshot. A nil function
// provides no data.
type LocalState struct {
	// Dispatches counts this host's dispatches to an endpoint. Those sent after
	// the time since are counted in SinceReport.
	Dispatches func(to identity.Incarnation, since time.Time) Dispatches
	// Cached returns how many leading tokens of blocks an endpoint holds, and the
	// trust in that number, from 0 to 1.
	Cached func(at identity.Incarnation, blocks []engine.Block) (unit.Tokens, float64)
	// Holder returns the endpoint that holds the longest known prefix of blocks.
	Holder func(blocks []engine.Block) (identity.Incarnation, bool)
	// Hosts is the number of entry hosts that dispatch calls, this one included;
	// at least 1.
	Hosts int
	// DisabledTerms is the set of disabled terms.
	DisabledTerms Term
}

// maxCandidates bounds the endpoints that one decision scores.
const maxCandidates = 8

// Candidate is one endpoint that was scored.
type Candidate struct {
	// Index is the index into the snapshot's Endpoints.
	Index int
	Score Score
}

// Decision is the result of Choose.
type Decision struct {
	// Candidates holds Count candidates; Winner is the index of the chosen one.
	Candidates [maxCandidates]Candidate
	Count      int
	Winner     int
}

// EndpointIndex returns the winner's index into the snapshot's Endpoints.
func (d *Decision) EndpointIndex() int { return d.Candidates[d.Winner].Index }

// Choose writes the decision for call to d. It reports false if no endpoint can
// take the call.
func (t *Table) Choose(call *Call, local *LocalState, now time.Time, random *rand.Rand, d *Decision) bool {
	d.Count, d.Winner = 0, 0
	g := t.groups[call.Service]
	if g == nil || len(g.entries) == 0 {
		return false
	}
	c := chooser{table: t, group: g, call: call, localState: local, now: now, random: random, decision: d}
	c.addHomes()
	c.addHolder()
	c.addRandom()
	if d.Count == 0 {
		c.addAny()
	}
	for i := 1; i < d.Count; i++ {
		if d.Candidates[i].Score.Total() < d.Candidates[d.Winner].Score.Total() {
			d.Winner = i
		}
	}
	return d.Count > 0
}

// ChosenEndpoint returns the endpoint that d chose.
func (t *Table) ChosenEndpoint(d *Decision) fleet.Endpoint {
	return t.snapshot.Endpoints[d.EndpointIndex()]
}

// chooser collects the candidates of one decision.
type chooser struct {
	table      *Table
	group      *group
	call       *Call
	localState *LocalState
	now        time.Time
	random     *rand.Rand
	decision   *Decision
}

// affinityBlocks is the number of the block that determines a prompt's homes. It
// is assumed to lie beyond the prefix that all prompts of an organisation share.
const affinityBlocks = 16

// addHomes considers the two homes of the prompt.
func (c *chooser) addHomes() {
	if len(c.call.Blocks) == 0 || c.localState.DisabledTerms&TermAffinity != 0 {
		return
	}
	key := uint64(c.call.Blocks[min(affinityBlocks, len(c.call.Blocks))-1])
	first, second := c.group.rendezvous(key)
	c.consider(first, firstHomeCachedShare)
	c.consider(second, secondHomeCachedShare*c.cacheTrust(second))
}

// cacheTrust returns the trust in what is known of an entry's cache.
func (c *chooser) cacheTrust(i int) float64 {
	if i < 0 || c.localState.Cached == nil {
		return 0
	}
	_, trust := c.localState.Cached(c.table.snapshot.Endpoints[c.group.entries[i].index].Incarnation, nil)
	return trust
}

func (c *chooser) addHolder() {
	if c.localState.Holder == nil || len(c.call.Blocks) == 0 || c.localState.DisabledTerms&TermAffinity != 0 {
		return
	}
	incarnation, ok := c.localState.Holder(c.call.Blocks)
	if !ok {
		return
	}
	if i, ok := c.group.byIncarnation[incarnation]; ok && i < c.group.reachable {
		c.consider(i, 0)
	}
}

// addRandom considers two active endpoints within the bounded load (see
// boundedLoadRatio), one endpoint of the host's own zone, and one inactive
// endpoint.
func (c *chooser) addRandom() {
	g := c.group
	c.consider(g.underBound[c.random.IntN(len(g.underBound))], 0)
	c.consider(g.underBound[c.random.IntN(len(g.underBound))], 0)
	if len(g.sameZone) > 0 {
		c.consider(g.sameZone[c.random.IntN(len(g.sameZone))], 0)
	}
	if inactive := g.reachable - g.active; inactive > 0 {
		c.consider(g.active+c.random.IntN(min(inactive, spillCandidates)), 0)
	}
}

// spillCandidates is how many of the cheapest inactive endpoints may get overflow.
const spillCandidates = 3

// addAny adds the first untried endpoint from a random position on.
func (c *chooser) addAny() {
	n := len(c.group.entries)
	start := c.random.IntN(n)
	for i := 0; i < n && c.decision.Count == 0; i++ {
		c.add((start+i)%n, 0)
	}
}

// consider adds an entry, with a probability that grows with its age during the
// slow start period.
func (c *chooser) consider(i int, cachedShare float64) {
	if i < 0 {
		return
	}
	since := c.table.snapshot.Endpoints[c.group.entries[i].index].FirstSeen
	age := c.now.Sub(since)
	if !since.IsZero() && age < slowStartPeriod && c.localState.DisabledTerms&TermSlowStart == 0 && c.random.Float64() > float64(age)/float64(slowStartPeriod) {
		return
	}
	c.add(i, cachedShare)
}

// add scores an entry unless it was already tried or is a candidate already.
func (c *chooser) add(i int, cachedShare float64) {
	if c.decision.Count == maxCandidates {
		return
	}
	e := &c.group.entries[i]
	d := c.decision
	for n := range d.Count {
		if d.Candidates[n].Index == e.index {
			return
		}
	}
	if wasTried(c.call.Tried, c.table.snapshot.Endpoints[e.index].Incarnation) {
		return
	}
	d.Candidates[d.Count] = Candidate{Index: e.index, Score: c.score(i, cachedShare)}
	d.Count++
}

func wasTried(list []identity.Incarnation, incarnation identity.Incarnation) bool {
	for _, t := range list {
		if t == incarnation {
			return true
		}
	}
	return false
}
