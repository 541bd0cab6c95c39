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
	// dispatchWithin bounds the time from a claim to its dispatch, so that a
	// host that was paused does not send a call whose claim has lapsed.
	dispatchWithin = 30 * time.Second
	claimRetry     = time.Second
	claimRetryMost = 4 * time.Second

	// claimReads and claimWrites are shared by all hosts, for claims that the
	// shard's writer did not take; shardReads and shardWrites are a writer's.
	claimReads  = 100.0
	claimWrites = 50.0
	shardReads  = 6.0
	shardWrites = 6.0
)

// Claims is how calls that may not be repeated are claimed.
type Claims struct {
	Claim  func(ctx context.Context, wanted *claim.Entry) claimer.Result
	Settle func(ctx context.Context, end *claim.Entry) error
	// Kept is how long a claim is sure to be found.
	Kept time.Duration
}

// WithClaims sets how calls that may not be repeated are claimed. Without it
// they are refused.
func WithClaims(c Claims) Option {
	return func(s *Server) { s.claims = c }
}

// ClaimsOf makes Claims that a claimer carries out.
func ClaimsOf(c *claimer.Claimer) Claims {
	return Claims{Claim: c.Claim, Settle: c.Settle, Kept: c.Kept}
}

// newClaimer gives the claimer call rates of its own, apart from control's.
func newClaimer(given settings.Entry, members *member.Members, m *meter.Meter) *claimer.Claimer {
	budget := keyvalue.NewBudget(func() keyvalue.Rates {
		hosts := writers(members.Live())
		all, own := float64(max(1, len(hosts))), 0.0
		for shard := range claim.Shards {
			if claims.Writer(shard, hosts) == given.Host {
				own++
			}
		}
		return keyvalue.Rates{
			Reads:  claimReads/all + own*shardReads,
			Writes: claimWrites/all + own*shardWrites,
		}
	})
	budget.Count = countCalls(m)
	c := claimer.New(budget.Limit(keyvalue.HTTP(given.Platform.KeyValue, platformTransport(m, "claims"))))
	c.Forward = ForwardClaims(Peers{
		Self: given.Host, Zone: given.Zone, Live: members.Live, Client: peer.Connect(given.Peer.Keys, m.Dial("claims")),
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

// once sends a call that may not be repeated, if its claim can be had.
func (s *Server) once(ctx context.Context, c call.Call) (engine.PlainAnswer, *verdict.Error) {
	began := time.Now()
	if claim.Expired(c.Key, began, s.claims.Kept-dispatchWithin) {
		return engine.PlainAnswer{}, verdict.New(verdict.MayHaveRun, verdict.KeyExpired, "")
	}
	if s.claims.Claim == nil {
		return engine.PlainAnswer{}, unclaimed(nil)
	}
	held := claim.Of(c)
	result := s.claims.Claim(ctx, held)
	s.Meter.Counter(fmt.Sprintf("claims_total{outcome=%q}", outcomeOf(result))).Inc()
	if result.Err != nil {
		return engine.PlainAnswer{}, unclaimed(result.Err)
	}
	if result.Decision != claim.Held {
		return earlier(result)
	}
	if time.Since(began) > dispatchWithin {
		return engine.PlainAnswer{}, s.release(ctx, held, unclaimed(context.DeadlineExceeded))
	}
	answered, failure := s.dispatch(ctx, c)
	if failure == nil {
		s.record(claim.Ran(held, claim.Record(answered.Status, answered.ContentType, answered.Body)))
		return answered, nil
	}
	if failure.Verdict == verdict.NotRun {
		return engine.PlainAnswer{}, s.release(ctx, held, failure)
	}
	return engine.PlainAnswer{}, failure
}

// outcomeOf names the outcome of a claim for its counter.
func outcomeOf(result claimer.Result) string {
	switch {
	case result.Err != nil || result.Decision == claim.Free:
		return "unconfirmed"
	case result.Decision == claim.Held:
		return "held"
	case result.Decision == claim.Taken:
		return "taken"
	default:
		return "reused"
	}
}

// unclaimed refuses a call that was not sent, and spreads its repeats.
func unclaimed(cause error) *verdict.Error {
	failure := verdict.Wrap(verdict.NotRun, verdict.ClaimUnavailable, cause)
	failure.RetryAfter = claimRetry + rand.N(claimRetryMost-claimRetry)
	return failure
}

// earlier answers a call whose claim another request holds.
func earlier(result claimer.Result) (engine.PlainAnswer, *verdict.Error) {
	if result.Decision == claim.Reused {
		return engine.PlainAnswer{}, verdict.New(verdict.NotRun, verdict.KeyReused, "")
	}
	if result.Decision != claim.Taken || result.Entry == nil {
		return engine.PlainAnswer{}, unclaimed(nil)
	}
	if result.Entry.State != claim.State_RAN {
		failure := verdict.New(verdict.MayHaveRun, verdict.DuplicateRunning, "request "+result.Entry.Request)
		failure.RetryAfter = claimRetry
		return engine.PlainAnswer{}, failure
	}
	o := result.Entry.Outcome
	if o.BodyLeftOut {
		return engine.PlainAnswer{}, verdict.New(verdict.Ran, verdict.AlreadyRan, "request "+result.Entry.Request)
	}
	return engine.PlainAnswer{Status: int(o.Status), ContentType: o.ContentType, Body: o.Body}, nil
}

// release frees the claim of a call that did not run, so that the caller's
// repeat can. Where that fails the repeat is told MayHaveRun.
func (s *Server) release(ctx context.Context, held *claim.Entry, failure *verdict.Error) *verdict.Error {
	if err := s.claims.Settle(context.WithoutCancel(ctx), claim.Release(held)); err != nil {
		s.Log.Warn("claim_not_released", "request", held.Request, "error", err)
	}
	return failure
}

// record keeps the outcome for repeats, without the caller waiting for it.
func (s *Server) record(end *claim.Entry) {
	s.group.Go(func() error {
		if err := s.claims.Settle(context.WithoutCancel(s.ctx), end); err != nil {
			s.Log.Warn("outcome_not_recorded", "request", end.Request, "error", err)
		}
		return nil
	})
}
