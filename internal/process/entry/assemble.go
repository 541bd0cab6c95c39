package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/request/attempt"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	endpointPollInterval = 100 * time.Millisecond
	cancelTimeout        = time.Second
	// endpointWait bounds how long a call that was already attempted waits for
	// an available endpoint.
	endpointWait = 30 * time.Second
)

// startAssembly assembles a request's answer in the background, independent of
// the caller's connection, once admit lets it start. When the request is to be
// handed over and no peer takes it, assembly continues on this host.
func (s *Server) startAssembly(tracked trackedRequest, admit admitFunc) {
	s.group.Go(func() error {
		defer s.requests.end(tracked.call.Request)
		ctx, cancel := context.WithCancelCause(s.ctx)
		defer cancel(nil)
		s.requests.setCancel(tracked.call.Request, cancel)
		s.admitAndAssemble(ctx, tracked, admit)
		if !errors.Is(context.Cause(ctx), errHandover) || tracked.answer.Ended() {
			return nil
		}
		if s.offerToPeers(s.ctx, tracked) {
			tracked.answer.Fail(verdict.New(verdict.MayHaveRun, verdict.HostStopping, "the answer continues on another host"))
			return nil
		}
		s.admitAndAssemble(s.ctx, tracked, s.admitHandedOver)
		return nil
	})
}

// admitAndAssemble assembles a request's answer as soon as admit lets it start.
// A request whose handover begins while it waits for admission is not refused.
func (s *Server) admitAndAssemble(ctx context.Context, tracked trackedRequest, admit admitFunc) {
	release, failure := admit(ctx, tracked.call)
	if failure == nil {
		defer release()
		s.assemble(ctx, tracked)
		return
	}
	if !errors.Is(context.Cause(ctx), errHandover) {
		tracked.answer.Fail(failure)
	}
}

// isHandedOver reports whether a peer has taken over the request.
func isHandedOver(tracked trackedRequest) bool {
	failure := tracked.answer.Failure()
	return failure != nil && failure.Reason == verdict.HostStopping
}

// assemble makes attempts until the answer is complete or can't be completed.
// Each attempt that delivers tokens restarts the count towards maxAttempts, but not that
// towards maxLostEngines.
func (s *Server) assemble(ctx context.Context, tracked trackedRequest) {
	ctx, cancel := withDeadline(ctx, tracked.call.Deadline)
	defer cancel()
	failure := verdict.New(verdict.NotRun, verdict.NoEndpoint, "")
	var tried []identity.Incarnation
	attemptsSinceProgress, offset := 0, tracked.answer.TokenCount()
	lostEngines := 0
	var leavingEndpoint fleet.Endpoint
	for attemptsSinceProgress < maxAttempts && lostEngines < maxLostEngines {
		canWait := offset > 0 || attemptsSinceProgress > 0 && s.quietFor(tracked.call.Service) == 0
		endpoint, ok := s.chooseOrWait(ctx, tracked, &tried, canWait)
		if !ok {
			failure = s.withoutEndpoint(tracked.call.Service, failure)
			break
		}
		s.requests.setEndpoint(tracked.call.Request, endpoint.Host)
		err := s.attempt(ctx, tracked, endpoint)
		if err == nil {
			s.retryBudgets.recordSuccess(tracked.call.Service, s.retryShare(tracked.call.Service))
			s.reportResumption(ctx, tracked, leavingEndpoint, endpoint)
			return
		}
		if errors.Is(context.Cause(ctx), errHandover) {
			return
		}
		failure = attributeToDeadline(ctx, verdict.FromError(err)).WithEarlier(failure.Verdict)
		s.Log.Info("attempt_failed", "request", tracked.call.Request, "endpoint", endpoint.Host,
			"reason", failure.Reason, "offset", tracked.answer.TokenCount(), "error", err)
		if failure.Reason == verdict.EndpointLeaving {
			leavingEndpoint = endpoint
		}
		if failure.Reason == verdict.EndpointLost && failure.Verdict != verdict.NotRun {
			lostEngines++
		}
		attemptsSinceProgress++
		if now := tracked.answer.TokenCount(); now > offset {
			attemptsSinceProgress, offset = 1, now
		}
		if refused := s.awaitRetry(ctx, tracked.call, failure, attemptsSinceProgress); refused != nil {
			failure = refused
			break
		}
	}
	if errors.Is(context.Cause(ctx), errHandover) {
		return
	}
	tracked.answer.Fail(attributeToDeadline(ctx, failure))
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// chooseOrWait picks an endpoint and adds it to tried. If none is available and
// canWait is set, it clears tried, so that endpoints which failed the call
// before are considered again, and waits for up to endpointWait.
func (s *Server) chooseOrWait(ctx context.Context, tracked trackedRequest, tried *[]identity.Incarnation, canWait bool) (fleet.Endpoint, bool) {
	waitStart := time.Now()
	for {
		endpoint, ok := s.choose(tracked.call, *tried)
		if ok {
			*tried = append(*tried, endpoint.Incarnation)
			return endpoint, true
		}
		if !canWait || time.Since(waitStart) > endpointWait {
			return endpoint, false
		}
		*tried = nil
		if !pause.For(ctx, endpointPollInterval) {
			return endpoint, false
		}
	}
}

// attempt sends the call to an endpoint, and cancels an attempt that failed but may
// still run there. If the connection may be the cause and the endpoint answers the
// cancellation, which uses a new one, the call is retried once on a new connection
// before the endpoint counts as failed.
func (s *Server) attempt(ctx context.Context, tracked trackedRequest, endpoint fleet.Endpoint) error {
	err := s.attemptOnce(ctx, tracked, endpoint, s.engineClient(s.Engine))
	if err == nil {
		return nil
	}
	failure := verdict.FromError(err)
	if failure.Verdict == verdict.NotRun {
		return err
	}
	connectionSuspect := failure.Reason == verdict.EndpointSilent || failure.Reason == verdict.EndpointLost
	if errors.Is(context.Cause(ctx), errHandover) {
		// A cancel request could hit the peer's attempt, which has the same
		// request id. Closing the connection ends this host's attempt.
		return err
	}
	if !connectionSuspect || ctx.Err() != nil {
		s.group.Go(func() error {
			s.cancelAttempt(tracked, endpoint)
			return nil
		})
		return err
	}
	if !s.cancelAttempt(tracked, endpoint) || !s.retryBudgets.spend(tracked.call.Service) {
		return err
	}
	s.Meter.Retried(failure.Reason)
	fresh := engine.Client{HTTP: s.Engine.NoKeepAliveHTTP, NoKeepAliveHTTP: s.Engine.NoKeepAliveHTTP}
	return s.attemptOnce(ctx, tracked, endpoint, s.engineClient(fresh))
}

// cancelAttempt cancels an attempt at the engine over a new connection. It
// reports whether the engine answered.
func (s *Server) cancelAttempt(tracked trackedRequest, endpoint fleet.Endpoint) bool {
	if s.Engine.NoKeepAliveHTTP == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
	defer cancel()
	fresh := engine.Client{HTTP: s.Engine.NoKeepAliveHTTP}
	err := fresh.Cancel(ctx, endpoint.Address, engine.Cancel{Request: tracked.call.Request})
	s.Meter.Counter("attempts_superseded_total").Inc()
	return err == nil
}

// attemptOnce makes one attempt and ends it early when the endpoint starts to
// leave and another one can take over.
func (s *Server) attemptOnce(ctx context.Context, tracked trackedRequest, endpoint fleet.Endpoint, client engine.Client) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// The function uses leavingCheck, so its first run is scheduled by Reset, after
	// the assignment.
	var leavingCheck *time.Timer
	leavingCheck = time.AfterFunc(time.Hour, func() {
		if shouldMove(s.Snapshot(), endpoint) {
			cancel(verdict.New(verdict.MayHaveRun, verdict.EndpointLeaving, ""))
			return
		}
		leavingCheck.Reset(endpointPollInterval)
	})
	leavingCheck.Reset(endpointPollInterval)
	defer leavingCheck.Stop()
	return attempt.Run(ctx, client, tracked.call, endpoint, tracked.answer, s.ProgressTimeouts)
}

// shouldMove reports whether endpoint is leaving while another endpoint of its
// service is not.
func shouldMove(snapshot *fleet.Snapshot, endpoint fleet.Endpoint) bool {
	current, ok := snapshot.Find(endpoint.Host)
	if !ok || current.Incarnation != endpoint.Incarnation || !current.Leaving {
		return false
	}
	return slices.ContainsFunc(snapshot.Serving(endpoint.Service), func(i int) bool { return !snapshot.Endpoints[i].Leaving })
}

// attributeToDeadline sets the reason of failure to DeadlineExceeded if the
// deadline of ctx caused it.
func attributeToDeadline(ctx context.Context, failure *verdict.Error) *verdict.Error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || failure.Reason == verdict.DeadlineExceeded {
		return failure
	}
	return verdict.Wrap(failure.Verdict, verdict.DeadlineExceeded, failure)
}
