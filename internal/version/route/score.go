package route

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Term is a bit that identifies a part of the score or of candidate selection.
type Term uint8

// The parts that can be disabled: the terms of the score, then TermSlowStart,
// TermAffinity (homes and holder) and TermAging (the weight of old load reports).
const (
	TermWait Term = 1 << iota
	TermPrice
	TermLink
	TermRecompute
	TermTarget
	TermSlowStart
	TermAffinity
	TermAging
)

// Score is a candidate's score in milliseconds; the lowest sum wins.
type Score struct {
	// Wait is the expected time to the first token.
	Wait float64
	// Price is the cost of host time, Link that of traffic between regions.
	Price float64
	Link  float64
	// Recompute is the cost of prompt tokens to prefill, and of cached tokens
	// evicted.
	Recompute float64
	// Target is the penalty for exceeding the latency target or the bounded load.
	Target float64
	// Uncached is the expected number of prompt tokens to prefill.
	Uncached unit.Tokens
}

// Total returns the score.
func (s *Score) Total() float64 {
	return s.Wait + s.Price + s.Link + s.Recompute + s.Target
}

// Assumptions about endpoints and other entry hosts, and weights of the score.
const (
	prefillTokensPerMilli = 8.0
	// A decoding step takes stepMillis, and stepPerRequestMillis more for each
	// running request.
	stepMillis           = 20.0
	stepPerRequestMillis = 1.0
	// stepTokenBudget is how many prompt tokens one step prefills.
	stepTokenBudget = 256.0
	// idleReleaseSeconds is how long an idle host is kept before its release.
	idleReleaseSeconds  = 10.0
	promptBytesPerToken = 6.0
	outputBytesPerToken = 200.0
	// reportLag is the age of a load report when it is received.
	reportLag = 300 * time.Millisecond
	// reportHalfWeightAge is the age at which a report's weight has halved.
	reportHalfWeightAge = 500 * time.Millisecond
	slowStartPeriod     = 10 * time.Second
	// targetWaitShare is the share of the first token target that the wait may
	// use without a penalty.
	targetWaitShare = 0.75
	// overTargetWeight is the penalty per millisecond of wait beyond that share,
	// overBoundPenaltyMillis the penalty per request beyond the bounded load.
	overTargetWeight       = 4.0
	overBoundPenaltyMillis = 150.0
	// expectedOutputShare is the share of MaxTokens that a call generates.
	expectedOutputShare = 0.5
	// zeroPriceLoadRatio is the mean load, relative to targetOccupancy, at which
	// the price of active endpoints no longer counts.
	zeroPriceLoadRatio = 1.5
	// A home is assumed to hold these shares of a prompt beyond what is known;
	// that of the second home is scaled by the trust in its cache data.
	firstHomeCachedShare  = 0.7
	secondHomeCachedShare = 0.6
	// evictedShare is the share of evicted tokens that would be read again.
	evictedShare = 0.5
	// peerSendRatio is how many dispatches each other entry host is assumed to
	// have made since the report, relative to this one; peerInFlightRatio is the
	// same for calls in flight.
	peerSendRatio     = 0.25
	peerInFlightRatio = 0.5
	// drainShare is the share of the prefill rate at which a backlog shrinks.
	drainShare = 0.5
	// batchTargetFactor multiplies the wait allowed to a batch call.
	batchTargetFactor = 4.0
	millisPerSecond   = 1000.0
	// An endpoint is within the bounded load if it has at most targetOccupancy
	// requests, or at most boundedLoadRatio times the mean.
	boundedLoadRatio = 1.25
)

// score returns the terms of the entry at i. cachedShare is the share of the
// prompt that it is assumed to hold beyond what cache events show.
func (c *chooser) score(i int, cachedShare float64) Score {
	e := &c.group.entries[i]
	endpoint := &c.table.snapshot.Endpoints[e.index]
	running, backlog := c.estimateLoad(endpoint)
	held, trust := c.cachedPrefix(endpoint)
	uncached := float64(c.call.PromptTokens) - c.estimateCached(held, trust, cachedShare)
	output := float64(c.call.MaxTokens) * expectedOutputShare
	service := &c.group.service
	disabled := c.localState.DisabledTerms
	s := Score{Uncached: unit.Tokens(uncached)}
	if c.call.PromptTokens == 0 {
		backlog, uncached = 0, 0
	}
	step := stepMillis + stepPerRequestMillis*running
	wait := (uncached+backlog)*(1/prefillTokensPerMilli+step/stepTokenBudget) + step + 2*millis(e.latency)
	if disabled&TermWait == 0 {
		s.Wait = wait
	}
	if disabled&TermPrice == 0 {
		s.Price = service.CostWeight * e.price * hostSeconds(running, uncached, output, i < c.group.active)
		if i < c.group.active {
			s.Price *= max(0, 1-c.group.meanLoad/(zeroPriceLoadRatio*targetOccupancy))
		}
	}
	if disabled&TermLink == 0 {
		s.Link = service.CostWeight * e.link * (float64(c.call.PromptTokens)*promptBytesPerToken + output*outputBytesPerToken)
	}
	if disabled&TermRecompute == 0 {
		s.Recompute = service.RecomputeWeight * (uncached + c.estimateEvicted(endpoint, held, trust))
	}
	if disabled&TermTarget == 0 {
		s.Target = c.targetPenalty(wait, running)
	}
	return s
}

// hostSeconds returns the host time that one more request costs. Active
// endpoints are paid for in any case, so a request is charged its share of a step
// at the target occupancy. On an inactive endpoint it also delays the release of
// an idle host.
func hostSeconds(running, uncached, output float64, active bool) float64 {
	idleSeconds := 0.0
	if active {
		running = targetOccupancy
	} else if running < 1 {
		idleSeconds = idleReleaseSeconds * (1 - running)
	}
	return idleSeconds + (uncached/prefillTokensPerMilli+output*(stepMillis/(running+1)+stepPerRequestMillis))/millisPerSecond
}

// targetPenalty returns a weighted penalty for the wait beyond targetWaitShare of
// the first token target, and a fixed one for each request beyond the bounded
// load.
func (c *chooser) targetPenalty(wait, running float64) float64 {
	limit := millis(time.Duration(c.group.service.FirstTokenTarget)) * targetWaitShare
	bound := max(targetOccupancy, boundedLoadRatio*c.group.meanLoad)
	if c.call.Batch {
		limit *= batchTargetFactor
	}
	penalty := 0.0
	if limit > 0 && wait > limit {
		penalty += overTargetWeight * (wait - limit)
	}
	if running > bound {
		penalty += overBoundPenaltyMillis * (running - bound)
	}
	return penalty
}

// estimateLoad estimates the requests on an endpoint and its prefill backlog in
// tokens from its last load report, the dispatches of this host since then, and
// those assumed of other entry hosts. The older the report, the more weight is
// given to the mean load and to this host's calls in flight.
func (c *chooser) estimateLoad(endpoint *fleet.Endpoint) (running, backlog float64) {
	report := &endpoint.Load
	var dispatches Dispatches
	if c.localState.Dispatches != nil {
		dispatches = c.localState.Dispatches(endpoint.Incarnation, report.ReceivedAt.Add(-reportLag))
	}
	peers := float64(max(1, c.localState.Hosts) - 1)
	sendFactor := 1 + peers*peerSendRatio
	drained := millis(max(0, c.now.Sub(report.ReceivedAt))) * prefillTokensPerMilli * drainShare
	backlog = max(0, float64(report.WaitingTokens)+float64(dispatches.TokensSinceReport)*sendFactor-drained)
	if report.ReceivedAt.IsZero() {
		return float64(dispatches.InFlight) * sendFactor, float64(dispatches.TokensSinceReport)
	}
	reported := float64(report.Running+report.Waiting) + float64(dispatches.SinceReport)*sendFactor
	if c.localState.DisabledTerms&TermAging != 0 {
		return reported, backlog
	}
	freshness := float64(reportHalfWeightAge) / float64(reportHalfWeightAge+max(0, c.now.Sub(report.ReceivedAt)))
	ownInFlight := float64(dispatches.InFlight) * (1 + peers*peerInFlightRatio)
	expected := c.group.meanLoad*(1-peerInFlightRatio)*peers/(peers+1) + ownInFlight
	return freshness*reported + (1-freshness)*expected, freshness * backlog
}

// cachedPrefix returns how many leading prompt tokens an endpoint is known to
// hold, and the trust in that number.
func (c *chooser) cachedPrefix(endpoint *fleet.Endpoint) (tokens, trust float64) {
	if c.localState.Cached == nil || len(c.call.Blocks) == 0 {
		return 0, 0
	}
	n, trust := c.localState.Cached(endpoint.Incarnation, c.call.Blocks)
	return float64(n), trust
}

// estimateCached estimates the leading prompt tokens that an endpoint holds.
func (c *chooser) estimateCached(held, trust, cachedShare float64) float64 {
	total := float64(len(c.call.Blocks)) * float64(engine.BlockTokens)
	known := trust * held
	return known + cachedShare*(total-known)
}

// estimateEvicted estimates how many cached tokens that would be read again are
// evicted to store the prompt. The fuller the cache, the more are lost. The less
// is known of the cache, the less they count.
func (c *chooser) estimateEvicted(endpoint *fleet.Endpoint, held, trust float64) float64 {
	report := &endpoint.Load
	if report.CacheCapacity == 0 || len(c.call.Blocks) == 0 {
		return 0
	}
	weightedTokens := trust * trust * (float64(c.call.PromptTokens) - held)
	fillRatio := float64(report.CachedTokens) / float64(report.CacheCapacity)
	return evictedShare * weightedTokens * fillRatio * fillRatio
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
