package route

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Term names a part of the score, as a bit.
type Term uint8

// The terms that can be switched off.
const (
	Wait Term = 1 << iota
	Price
	Link
	Recompute
	Target
	SlowStart
	Affinity
	Aging
)

// Terms is a candidate's score in milliseconds; the lowest sum wins.
type Terms struct {
	// Wait is the expected time to the first token.
	Wait float64
	// Price and Link are the call's cost of host time and of volume.
	Price float64
	Link  float64
	// Recompute is the worth of tokens to be read again.
	Recompute float64
	// Target is what the call would take from the latency target.
	Target float64
	// Uncached is how many prompt tokens would be read.
	Uncached unit.Tokens
}

// Sum is the score.
func (t *Terms) Sum() float64 {
	return t.Wait + t.Price + t.Link + t.Recompute + t.Target
}

// What an endpoint is taken to do.
const (
	prefillPerMilli = 8.0
	tokenMillis     = 20.0
	tokenEachMillis = 1.0
	stepTokens      = 256.0
	handBackSeconds = 10.0
	bytesPerToken   = 6.0
	bytesPerFrame   = 200.0
	reportLag       = 300 * time.Millisecond
	agingAfter      = 500 * time.Millisecond
	slowStart       = 10 * time.Second
	targetShare     = 0.75
	overTarget      = 4.0
	overBoundMillis = 150.0
	answerShare     = 0.5
	fullOccupancy   = 1.5
	homeTrust       = 0.7
	secondTrust     = 0.6
	evictShare      = 0.5
	// alike is how far other hosts are taken to have sent what this one did.
	alike            = 0.25
	alikeInFlight    = 0.5
	drainShare       = 0.5
	batchPatience    = 4.0
	millisPerSecond  = 1000.0
	boundedLoadRatio = 1.25
)

// score rates the entry at i; guess is the share of the prompt that it is
// taken to hold whatever events say.
func (c *chooser) score(i int, guess float64) Terms {
	e := &c.group.entries[i]
	endpoint := &c.table.snapshot.Endpoints[e.index]
	running, backlog := c.load(endpoint)
	held, trust := c.held(endpoint)
	uncached := float64(c.ask.PromptTokens) - c.cached(held, trust, guess)
	output := float64(c.ask.MaxTokens) * answerShare
	service := &c.group.service
	without := c.know.Without
	t := Terms{Uncached: unit.Tokens(uncached)}
	if c.ask.PromptTokens == 0 {
		backlog, uncached = 0, 0
	}
	step := tokenMillis + tokenEachMillis*running
	wait := (uncached+backlog)*(1/prefillPerMilli+step/stepTokens) + step + 2*millis(e.latency)
	if without&Wait == 0 {
		t.Wait = wait
	}
	if without&Price == 0 {
		t.Price = service.CostWeight * e.price * busySeconds(running, uncached, output, i < c.group.active)
		if i < c.group.active {
			t.Price *= max(0, 1-c.group.load/(fullOccupancy*occupancy))
		}
	}
	if without&Link == 0 {
		t.Link = service.CostWeight * e.link * (float64(c.ask.PromptTokens)*bytesPerToken + output*bytesPerFrame)
	}
	if without&Recompute == 0 {
		t.Recompute = service.RecomputeWeight * (uncached + c.evicted(endpoint, held, trust))
	}
	if without&Target == 0 {
		t.Target = c.target(wait, running)
	}
	return t
}

// busySeconds is the host time that one more request takes. Active endpoints
// are paid for in any case, so that there all share a step alike; beyond them a
// request keeps an idle host from being handed back.
func busySeconds(running, uncached, output float64, active bool) float64 {
	hold := 0.0
	if active {
		running = occupancy
	} else if running < 1 {
		hold = handBackSeconds * (1 - running)
	}
	return hold + (uncached/prefillPerMilli+output*(tokenMillis/(running+1)+tokenEachMillis))/millisPerSecond
}

// target is the part of the wait beyond a share of the target, and a charge
// for each request beyond the bounded load.
func (c *chooser) target(wait, running float64) float64 {
	limit := millis(time.Duration(c.group.service.FirstToken)) * targetShare
	bound := max(occupancy, boundedLoadRatio*c.group.load)
	if c.ask.Batch {
		limit *= batchPatience
	}
	t := 0.0
	if limit > 0 && wait > limit {
		t += overTarget * (wait - limit)
	}
	if running > bound {
		t += overBoundMillis * (running - bound)
	}
	return t
}

// load estimates the requests on an endpoint now and its unread prompt tokens:
// the report, and what this host and others like it sent since. The older the
// report, the more counts what this host itself has there.
func (c *chooser) load(endpoint *fleet.Endpoint) (running, backlog float64) {
	report := &endpoint.Load
	var own Own
	if c.know.Own != nil {
		own = c.know.Own(endpoint.Incarnation, report.At.Add(-reportLag))
	}
	others := float64(max(1, c.know.Hosts) - 1)
	sent := 1 + others*alike
	drained := millis(max(0, c.now.Sub(report.At))) * prefillPerMilli * drainShare
	backlog = max(0, float64(report.WaitingTokens)+float64(own.SinceTokens)*sent-drained)
	if report.At.IsZero() {
		return float64(own.InFlight) * sent, float64(own.SinceTokens)
	}
	reported := float64(report.Running+report.Waiting) + float64(own.Since)*sent
	if c.know.Without&Aging != 0 {
		return reported, backlog
	}
	fresh := float64(agingAfter) / float64(agingAfter+max(0, c.now.Sub(report.At)))
	mine := float64(own.InFlight) * (1 + others*alikeInFlight)
	expected := c.group.load*(1-alikeInFlight)*others/(others+1) + mine
	return fresh*reported + (1-fresh)*expected, fresh * backlog
}

// held tells what is known of the prompt's leading tokens on an endpoint, and
// the trust in it.
func (c *chooser) held(endpoint *fleet.Endpoint) (tokens, trust float64) {
	if c.know.Cached == nil || len(c.ask.Blocks) == 0 {
		return 0, 0
	}
	n, trust := c.know.Cached(endpoint.Incarnation, c.ask.Blocks)
	return float64(n), trust
}

// cached estimates the leading prompt tokens that an endpoint holds.
func (c *chooser) cached(held, trust, guess float64) float64 {
	total := float64(len(c.ask.Blocks)) * float64(engine.BlockTokens)
	known := trust * held
	return known + guess*(total-known)
}

// evicted estimates how many tokens that others need would be lost by storing
// the prompt: the fuller the cache, the more of them.
func (c *chooser) evicted(endpoint *fleet.Endpoint, held, trust float64) float64 {
	report := &endpoint.Load
	if report.CacheCapacity == 0 || len(c.ask.Blocks) == 0 {
		return 0
	}
	stored := trust * trust * (float64(c.ask.PromptTokens) - held)
	full := float64(report.CachedTokens) / float64(report.CacheCapacity)
	return evictShare * stored * full * full
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
