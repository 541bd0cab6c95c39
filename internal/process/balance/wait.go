package balance

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/speed"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// maxCacheUse is the share of an engine's cache that may be reserved. A call that
	// exceeds it waits until calls have ended and released their part of the cache:
	// cacheWaitShare of a call's duration for each.
	maxCacheUse    = 0.9
	cacheWaitShare = 0.5
	// reportedQueueShare is the share of the prompt tokens that other hosts reported
	// as unprocessed that are still so when a choice is made: reports are older than
	// most prompts take.
	reportedQueueShare = 0.35
	// crossRegionModelMillis and crossRegionNonModelMillis are how much longer the
	// wait in the local zone must be before a call is sent to another region, which
	// costs a round trip and traffic. sameRegionFactor scales them for other zones
	// of the same region.
	crossRegionModelMillis    = 40.0
	crossRegionNonModelMillis = 45.0
	sameRegionFactor          = 0.25
)

// estimate returns the Choice for endpoint s, with the wait expected there.
func (b *Balancer) estimate(now time.Time, s *endpointState, q query) Choice {
	running := s.own.Running + s.others.Running
	choice := Choice{Endpoint: s.endpoint, LightlyLoaded: 2*running < s.endpoint.Slots}
	if q.Service.Engine == nil {
		choice.ahead.Running = running
		choice.Wait = scale(q.speed.Answer, speed.AnswerRounds(running, s.endpoint.Slots)*s.slowness.factor(now))
		choice.rank = choice.Wait
		return choice
	}
	cached := s.cachedTokens(now, q)
	choice.ahead = speed.Ahead{Own: q.Prompt - cached, Cached: cached, Queued: s.queuedTokens(), Running: running}
	choice.Uncached = choice.ahead.Own + q.speed.Uncached(cached)
	delay := b.delay(s, q, running)
	choice.Wait = delay + scale(q.speed.FirstEvent(choice.ahead), s.slowness.factor(now))
	choice.rank = delay + scale(q.speed.Prefill(choice.ahead), s.slowness.factor(now))
	return choice
}

// queuedTokens returns the prompt tokens of other calls that are probably still to be
// processed.
func (s *endpointState) queuedTokens() unit.Tokens {
	return s.own.PendingPrefill + unit.Tokens(reportedQueueShare*float64(s.others.PendingPrefill))
}

// delay returns how long a call waits for a slot and for cache memory.
func (b *Balancer) delay(s *endpointState, q query, running int) time.Duration {
	wait := 0.0
	if excess := running + 1 - s.endpoint.Slots; excess > 0 {
		wait = float64(excess) / float64(max(1, s.endpoint.Slots))
	}
	reserved := s.own.ReservedCache + s.others.ReservedCache + q.Prompt + q.Output
	if shortfall := float64(reserved) - maxCacheUse*float64(q.Service.Engine.KVCapacity); shortfall > 0 && running > 0 {
		wait += cacheWaitShare * (1 + shortfall/float64(q.Prompt+q.Output+1))
	}
	return scale(q.speed.Duration(q.Output, running), wait)
}

// cachedTokens estimates how many tokens of the prompt an endpoint has cached: the
// prefix that this host sent there recently, or, if larger, the fraction of
// sharedTokens expected at a preferred endpoint.
func (s *endpointState) cachedTokens(now time.Time, q query) unit.Tokens {
	var known unit.Tokens
	for i, part := range q.Parts {
		at, found := s.prefixSentAt[q.prefixHashes[i]]
		if !found || now.Sub(at) > prefixCacheTTL {
			break
		}
		known += part.Tokens
	}
	expected := unit.Tokens(q.preferred.cachedFraction(s) * float64(q.sharedTokens))
	return min(q.Prompt, max(known, expected))
}

// localityCost returns the cost in milliseconds of sending a call to zone.
func (b *Balancer) localityCost(zone identity.Zone, service *catalogue.Service) float64 {
	cost := crossRegionModelMillis
	if service.Engine == nil {
		cost = crossRegionNonModelMillis
	}
	switch {
	case zone == b.zone:
		return 0
	case b.region(zone) == b.region(b.zone):
		return cost * sameRegionFactor
	default:
		return cost
	}
}

// EngineTime returns the engine time of a call that processes uncached prompt tokens.
func (b *Balancer) EngineTime(s *catalogue.Service, uncached, output unit.Tokens) time.Duration {
	return b.speed.Estimate(s).EngineTime(uncached, output)
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
