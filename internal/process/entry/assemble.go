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
	leavingPoll   = 100 * time.Millisecond
	cancelTimeout = time.Second
	// patience is how long a call that has begun waits for an endpoint.
	patience = 30 * time.Second
)

// begin assembles the answer of a work apart from its caller's connection, once
// admit lets it start.
func (s *Server) begin(w work, admit admitting) {
	s.group.Go(func() error {
		defer s.requests.end(w.call.Request)
		ctx, stop := context.WithCancelCause(s.ctx)
		defer stop(nil)
		s.requests.stoppable(w.call.Request, stop)
		s.admitted(ctx, w, admit)
		if !errors.Is(context.Cause(ctx), errHandover) || w.answer.Ended() {
			return nil
		}
		if s.give(s.ctx, w) {
			w.answer.Fail(verdict.New(verdict.MayHaveRun, verdict.HostStopping, "the answer goes on at another host"))
			return nil
		}
		s.admitted(s.ctx, w, s.admitTaken)
		return nil
	})
}

// admitted assembles a work's answer as soon as admit lets it start. A work that
// is to be handed over while it waits is not refused.
func (s *Server) admitted(ctx context.Context, w work, admit admitting) {
	release, failure := admit(ctx, w.call)
	if failure == nil {
		defer release()
		s.assemble(ctx, w)
		return
	}
	if !errors.Is(context.Cause(ctx), errHandover) {
		w.answer.Fail(failure)
	}
}

// handedOver tells that the rest of a work's answer is at a peer.
func handedOver(w work) bool {
	failure := w.answer.Failure()
	return failure != nil && failure.Reason == verdict.HostStopping
}

// assemble makes attempts until the answer is whole or can't be. Attempts that
// brought tokens don't count against mostAttempts.
func (s *Server) assemble(ctx context.Context, w work) {
	ctx, cancel := withDeadline(ctx, w.call.Deadline)
	defer cancel()
	failure := verdict.New(verdict.NotRun, verdict.NoEndpoint, "")
	var tried []identity.Incarnation
	idle, offset := 0, w.answer.Offset()
	var left fleet.Endpoint
	for idle < mostAttempts {
		endpoint, ok := s.chooseAgain(ctx, w, &tried, idle > 0 || offset > 0)
		if !ok {
			break
		}
		s.requests.place(w.call.Request, endpoint.Host)
		err := s.attempt(ctx, w, endpoint)
		if err == nil {
			s.retries.succeeded(w.call.Service, s.share(w.call.Service))
			s.resumed(ctx, w, left, endpoint)
			return
		}
		if errors.Is(context.Cause(ctx), errHandover) {
			return
		}
		failure = ended(ctx, verdict.Of(err)).After(failure.Verdict)
		s.Log.Info("attempt_failed", "request", w.call.Request, "endpoint", endpoint.Host,
			"reason", failure.Reason, "offset", w.answer.Offset(), "error", err)
		if failure.Reason == verdict.EndpointLeaving {
			left = endpoint
		}
		idle++
		if now := w.answer.Offset(); now > offset {
			idle, offset = 1, now
		}
		if refused := s.retry(ctx, w.call, failure, idle); refused != nil {
			failure = refused
			break
		}
	}
	if errors.Is(context.Cause(ctx), errHandover) {
		return
	}
	w.answer.Fail(ended(ctx, failure))
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// chooseAgain picks an endpoint and notes it in tried. A call that has begun
// waits for one, and then also returns to those that failed it before.
func (s *Server) chooseAgain(ctx context.Context, w work, tried *[]identity.Incarnation, begun bool) (fleet.Endpoint, bool) {
	waited := time.Now()
	for {
		endpoint, ok := s.choose(w.call, *tried)
		if ok {
			*tried = append(*tried, endpoint.Incarnation)
			return endpoint, true
		}
		if !begun || time.Since(waited) > patience {
			return endpoint, false
		}
		*tried = nil
		if !pause.For(ctx, leavingPoll) {
			return endpoint, false
		}
	}
}

// attempt tries an endpoint. When the connection may be at fault and the
// endpoint answers on a new one, it is tried once more there before it is
// blamed.
func (s *Server) attempt(ctx context.Context, w work, endpoint fleet.Endpoint) error {
	err := s.try(ctx, w, endpoint, s.Engine)
	if err == nil {
		return nil
	}
	failure := verdict.Of(err)
	if failure.Verdict == verdict.NotRun {
		return err
	}
	suspect := failure.Reason == verdict.EndpointSilent || failure.Reason == verdict.EndpointLost
	if errors.Is(context.Cause(ctx), errHandover) {
		// An order to cancel could meet the peer's attempt; the closed
		// connection ends ours.
		return err
	}
	if !suspect || ctx.Err() != nil {
		s.group.Go(func() error {
			s.supersede(w, endpoint)
			return nil
		})
		return err
	}
	if !s.supersede(w, endpoint) || !s.retries.spend(w.call.Service) {
		return err
	}
	s.Meter.Retried(failure.Reason)
	fresh := engine.Client{HTTP: s.Engine.Fresh, Fresh: s.Engine.Fresh}
	return s.try(ctx, w, endpoint, fresh)
}

// supersede cancels an attempt at the engine over a new connection, and tells
// whether the engine answered.
func (s *Server) supersede(w work, endpoint fleet.Endpoint) bool {
	if s.Engine.Fresh == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), cancelTimeout)
	defer cancel()
	fresh := engine.Client{HTTP: s.Engine.Fresh}
	err := fresh.Cancel(ctx, endpoint.Address, engine.Cancel{Request: w.call.Request})
	s.Meter.Counter("attempts_superseded_total").Inc()
	return err == nil
}

// try makes one attempt and ends it early when the endpoint starts to leave and
// another could take over.
func (s *Server) try(ctx context.Context, w work, endpoint fleet.Endpoint, client engine.Client) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watch *time.Timer
	watch = time.AfterFunc(time.Hour, func() {
		if leaves(s.Snapshot(), endpoint) {
			cancel(verdict.New(verdict.MayHaveRun, verdict.EndpointLeaving, ""))
			return
		}
		watch.Reset(leavingPoll)
	})
	watch.Reset(leavingPoll)
	defer watch.Stop()
	return attempt.Run(ctx, client, w.call, endpoint, w.answer, s.Silence)
}

// leaves tells that an endpoint is leaving while another serves.
func leaves(f *fleet.Snapshot, endpoint fleet.Endpoint) bool {
	now, ok := f.Find(endpoint.Host)
	if !ok || now.Incarnation != endpoint.Incarnation || !now.Leaving {
		return false
	}
	return slices.ContainsFunc(f.Serving(endpoint.Service), func(i int) bool { return !f.Endpoints[i].Leaving })
}

// ended names the deadline as the reason of what it ended.
func ended(ctx context.Context, failure *verdict.Error) *verdict.Error {
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) || failure.Reason == verdict.DeadlineExceeded {
		return failure
	}
	return verdict.Wrap(failure.Verdict, verdict.DeadlineExceeded, failure)
}
