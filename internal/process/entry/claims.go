package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"

	"github.com/dandelionlift/dandelionlift/internal/connection/claims"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/process/claimer"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/claim"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

const (
	// maxClaimToDispatch bounds the time from a claim to its dispatch, so that a
	// host that was paused does not send a call whose claim has expired.
	maxClaimToDispatch = 30 * time.Second
	minClaimRetryAfter = time.Second
	maxClaimRetryAfter = 4 * time.Second

	// claimReadsPerSecond and claimWritesPerSecond are divided among the live hosts
	// that are not suspected. They are for claims that the writer of their shard did
	// not take. In addition a host has shardReadsPerSecond and shardWritesPerSecond
	// for each shard that it writes.
	claimReadsPerSecond  = 100.0
	claimWritesPerSecond = 50.0
	shardReadsPerSecond  = 6.0
	shardWritesPerSecond = 6.0
)

// Claims claims calls that may not be repeated.
type Claims struct {
	Claim  func(ctx context.Context, wanted *claim.Entry) claimer.Result
	Settle func(ctx context.Context, final *claim.Entry) error
	// Retention is how long a claim is guaranteed to be found.
	Retention time.Duration
}

// WithClaims sets how calls that may not be repeated are claimed. Without this
// option they are refused.
func WithClaims(c Claims) Option {
	return func(s *Server) { s.claims = c }
}

// ClaimsOf returns Claims backed by a claimer.
func ClaimsOf(c *claimer.Claimer) Claims {
	return Claims{Claim: c.Claim, Settle: c.Resolve, Retention: c.Retention}
}

// newClaimer makes the claimer, whose key-value calls have a budget separate
// from that of other control traffic.
func newClaimer(s settings.Entry, members *member.Members, m *meter.Meter) *claimer.Claimer {
	budget := keyvalue.NewBudget(func() keyvalue.Rates {
		hosts := eligibleWriters(members.Live())
		hostCount, ownedShards := float64(max(1, len(hosts))), 0.0
		for shard := range claim.ShardCount {
			if claims.ShardWriter(shard, hosts) == s.Host {
				ownedShards++
			}
		}
		return keyvalue.Rates{
			Reads:  claimReadsPerSecond/hostCount + ownedShards*shardReadsPerSecond,
			Writes: claimWritesPerSecond/hostCount + ownedShards*shardWritesPerSecond,
		}
	})
	budget.OnCall = countCalls(m)
	c := claimer.New(budget.Limit(keyvalue.HTTP(s.Platform.KeyValue, platformTransport(m, "claims"))))
	c.Forward = ForwardClaims(Peers{
		Self: s.Host, Zone: s.Zone, Live: members.Live, Client: peer.NewClient(s.Peer.Keys, m.Dial("claims")),
	})
	return c
}

func runClaims(lc fx.Lifecycle, l lifetime, router peer.Router, c *claimer.Claimer) {
	MountClaims(router, c)
	lc.Append(fx.Hook{OnStart: func(context.Context) error {
		l.group.Go(func() error { return c.Run(l.ctx) })
		return nil
	}})
}

// dispatchOnce claims a call that may not be repeated and, if the claim is
// granted, sends it.
func (s *Server) dispatchOnce(ctx context.Context, c call.Call) (engine.PlainAnswer, *verdict.Error) {
	began := time.Now()
	if claim.KeyExpired(c.IdempotencyKey, began, s.claims.Retention-maxClaimToDispatch) {
		return engine.PlainAnswer{}, verdict.New(verdict.MayHaveRun, verdict.KeyExpired, "")
	}
	if s.claims.Claim == nil {
		return engine.PlainAnswer{}, claimUnavailable(nil)
	}
	held := claim.NewEntry(c)
	result := s.claims.Claim(ctx, held)
	s.Meter.Counter(fmt.Sprintf("claims_total{outcome=%q}", claimOutcomeLabel(result))).Inc()
	if result.Err != nil {
		return engine.PlainAnswer{}, claimUnavailable(result.Err)
	}
	if result.Decision != claim.HeldByRequest {
		return answerDuplicate(result)
	}
	if time.Since(began) > maxClaimToDispatch {
		return engine.PlainAnswer{}, s.releaseClaim(ctx, held, claimUnavailable(context.DeadlineExceeded))
	}
	answer, failure := s.dispatch(ctx, c)
	if failure == nil {
		s.recordOutcome(claim.RanEntry(held, claim.NewOutcome(answer.Status, answer.ContentType, answer.Body)))
		return answer, nil
	}
	if failure.Verdict == verdict.NotRun {
		return engine.PlainAnswer{}, s.releaseClaim(ctx, held, failure)
	}
	return engine.PlainAnswer{}, failure
}

// claimOutcomeLabel returns the value of the label outcome of claims_total.
func claimOutcomeLabel(result claimer.Result) string {
	switch {
	case result.Err != nil || result.Decision == claim.Free:
		return "unconfirmed"
	case result.Decision == claim.HeldByRequest:
		return "held"
	case result.Decision == claim.HeldByOther:
		return "taken"
	default:
		return "reused"
	}
}

// claimUnavailable returns the error for a call that was not sent because it
// could not be claimed. A random Retry-After spreads the callers' repeats.
func claimUnavailable(cause error) *verdict.Error {
	failure := verdict.Wrap(verdict.NotRun, verdict.ClaimUnavailable, cause)
	failure.RetryAfter = minClaimRetryAfter + rand.N(maxClaimRetryAfter-minClaimRetryAfter)
	return failure
}

// answerDuplicate answers a call whose claim was not granted: another request holds
// it, its key belongs to a different call, or the result is not definite.
func answerDuplicate(result claimer.Result) (engine.PlainAnswer, *verdict.Error) {
	if result.Decision == claim.KeyReused {
		return engine.PlainAnswer{}, verdict.New(verdict.NotRun, verdict.KeyReused, "")
	}
	if result.Decision != claim.HeldByOther || result.Entry == nil {
		return engine.PlainAnswer{}, claimUnavailable(nil)
	}
	if result.Entry.State != claim.State_RAN {
		failure := verdict.New(verdict.MayHaveRun, verdict.DuplicateRunning, "request "+result.Entry.Request)
		failure.RetryAfter = minClaimRetryAfter
		return engine.PlainAnswer{}, failure
	}
	outcome := result.Entry.Outcome
	if outcome.BodyLeftOut {
		return engine.PlainAnswer{}, verdict.New(verdict.Ran, verdict.AlreadyRan, "request "+result.Entry.Request)
	}
	return engine.PlainAnswer{Status: int(outcome.Status), ContentType: outcome.ContentType, Body: outcome.Body}, nil
}

// releaseClaim frees the claim of a call that did not run, so that the caller
// can repeat it, and returns failure. If the release fails, a repeat is answered with
// MayHaveRun.
func (s *Server) releaseClaim(ctx context.Context, held *claim.Entry, failure *verdict.Error) *verdict.Error {
	if err := s.claims.Settle(context.WithoutCancel(ctx), claim.ReleasedEntry(held)); err != nil {
		s.Log.Warn("claim_not_released", "request", held.Request, "error", err)
	}
	return failure
}

// recordOutcome stores the outcome for repeats in the background, so that the
// caller does not wait for the write.
func (s *Server) recordOutcome(settled *claim.Entry) {
	s.group.Go(func() error {
		if err := s.claims.Settle(context.WithoutCancel(s.ctx), settled); err != nil {
			s.Log.Warn("outcome_not_recorded", "request", settled.Request, "error", err)
		}
		return nil
	})
}
