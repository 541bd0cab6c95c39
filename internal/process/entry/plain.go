package entry

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	plainTimeout = 10 * time.Second
	probeTimeout = time.Second
)

// servePlain forwards a call to a plain service, one that is not a model, and returns
// its complete answer.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	c, failure := s.readPlainCall(r)
	if failure != nil {
		s.writeProblem(w, "", failure)
		return
	}
	tracked, ok := s.requests.start(c)
	if !ok {
		s.writeProblem(w, string(c.Request), s.notAcceptingError())
		return
	}
	s.group.Go(func() error {
		defer s.requests.end(c.Request)
		tracked.plain.finish(s.execute(c))
		return nil
	})
	s.followPlain(w, r, tracked)
}

// execute makes a call to a plain service, and completes it even if the caller
// disconnects.
func (s *Server) execute(c call.Call) (engine.PlainAnswer, *verdict.Error) {
	ctx, cancel := context.WithTimeout(s.ctx, plainTimeout)
	defer cancel()
	ctx, cancel = withDeadline(ctx, c.Deadline)
	defer cancel()
	release, failure := s.admit(ctx, c)
	if failure != nil {
		return engine.PlainAnswer{}, failure
	}
	defer release()
	if !c.Idempotent {
		return s.dispatchOnce(ctx, c)
	}
	return s.dispatch(ctx, c)
}

// followPlain waits for the result of a plain call and writes it.
func (s *Server) followPlain(w http.ResponseWriter, r *http.Request, tracked trackedRequest) {
	id := string(tracked.call.Request)
	w.Header().Set(engine.RequestHeader, id)
	select {
	case <-tracked.plain.done:
	case <-r.Context().Done():
		return
	}
	if failure := tracked.plain.failure; failure != nil {
		s.writeProblem(w, id, failure)
		return
	}
	result := tracked.plain.answer
	w.Header().Set("Content-Type", result.ContentType)
	w.WriteHeader(result.Status)
	w.Write(result.Body)
}

// plainResult is the result of a call to a plain service. done is closed once
// the other fields are set.
type plainResult struct {
	done    chan struct{}
	answer  engine.PlainAnswer
	failure *verdict.Error
}

func (p *plainResult) finish(answer engine.PlainAnswer, failure *verdict.Error) {
	p.answer, p.failure = answer, failure
	close(p.done)
}

func (s *Server) readPlainCall(r *http.Request) (call.Call, *verdict.Error) {
	organisation, failure := s.authorise(r)
	if failure != nil {
		return call.Call{}, failure
	}
	id := identity.Service(mux.Vars(r)["service"])
	service, ok := s.Snapshot().Configuration.Service(id)
	if !ok || service.Kind != configuration.Plain {
		return call.Call{}, verdict.New(verdict.NotRun, verdict.UnknownService, string(id))
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err != nil {
		return call.Call{}, verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)
	}
	deadline, failure := deadlineOf(r, time.Now())
	if failure != nil {
		return call.Call{}, failure
	}
	path := strings.TrimPrefix(r.URL.Path, "/v1/services/"+string(id))
	return call.Call{
		Request:        identity.NewRequestFrom(s.settings.Host),
		Organisation:   organisation,
		Service:        id,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Deadline:       deadline,
		Method:         r.Method,
		Path:           path,
		Query:          r.URL.RawQuery,
		ContentType:    r.Header.Get("Content-Type"),
		Body:           body,
		Idempotent:     service.Idempotent(r.Method, path),
	}, nil
}

// dispatch tries endpoints until one answers. After an attempt that may have run,
// only a repeatable call is retried.
func (s *Server) dispatch(ctx context.Context, c call.Call) (engine.PlainAnswer, *verdict.Error) {
	var tried []identity.Incarnation
	failure := verdict.New(verdict.NotRun, verdict.NoEndpoint, "")
	for attempts := range maxAttempts {
		endpoint, ok := s.choose(c, tried)
		if !ok {
			return engine.PlainAnswer{}, s.withoutEndpoint(c.Service, failure)
		}
		tried = append(tried, endpoint.Incarnation)
		answer, err := s.forward(ctx, c, endpoint)
		if err == nil {
			s.retryBudgets.recordSuccess(c.Service, s.retryShare(c.Service))
			return answer, nil
		}
		failure = attributeToDeadline(ctx, verdict.FromError(err)).WithEarlier(failure.Verdict)
		if failure.Verdict != verdict.NotRun && !c.Idempotent {
			return engine.PlainAnswer{}, failure
		}
		if ctx.Err() != nil {
			return engine.PlainAnswer{}, failure
		}
		if refused := s.awaitRetry(ctx, c, failure, attempts); refused != nil {
			return engine.PlainAnswer{}, refused
		}
	}
	return engine.PlainAnswer{}, failure
}

// forward sends a call to an endpoint. An idempotent call that failed on one
// connection is retried once on a new one, if the endpoint answers there, before
// the endpoint counts as failed. The retry has all the time that is left, since
// an endpoint that answers may just be slow.
func (s *Server) forward(ctx context.Context, c call.Call, endpoint fleet.Endpoint) (engine.PlainAnswer, error) {
	plainCall := plainCallOf(c, endpoint.Incarnation)
	if !c.Idempotent {
		return s.engineClient(s.Engine).Forward(ctx, endpoint.Address, plainCall)
	}
	answer, err := s.forwardWithTimeout(ctx, endpoint, plainCall)
	if err == nil || verdict.FromError(err).Verdict == verdict.NotRun || ctx.Err() != nil {
		return answer, err
	}
	if !s.retryBudgets.spend(c.Service) || !s.answersOnNewConnection(ctx, endpoint) {
		return answer, err
	}
	s.Meter.Retried(verdict.FromError(err).Reason)
	// Forward uses a new connection for a call that is not idempotent.
	plainCall.Idempotent = false
	return s.engineClient(s.Engine).Forward(ctx, endpoint.Address, plainCall)
}

// answersOnNewConnection reports whether an endpoint answers a load request on a
// new connection.
func (s *Server) answersOnNewConnection(ctx context.Context, endpoint fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := engine.Client{HTTP: s.Engine.NoKeepAliveHTTP}.Load(ctx, endpoint.Address)
	return err == nil && report.Incarnation == endpoint.Incarnation
}

// forwardWithTimeout gives up an attempt that is not answered within
// ProgressTimeouts.BetweenTokens, which for model calls bounds the time between tokens.
func (s *Server) forwardWithTimeout(ctx context.Context, endpoint fleet.Endpoint, plainCall engine.Plain) (engine.PlainAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.ProgressTimeouts.BetweenTokens)
	defer cancel()
	answer, err := s.engineClient(s.Engine).Forward(ctx, endpoint.Address, plainCall)
	if err != nil && ctx.Err() != nil {
		return answer, verdict.Wrap(verdict.FromError(err).Verdict, verdict.EndpointSilent, err)
	}
	return answer, err
}

func plainCallOf(c call.Call, incarnation identity.Incarnation) engine.Plain {
	target := url.URL{Path: c.Path, RawQuery: c.Query}
	return engine.Plain{
		Method:      c.Method,
		Target:      target.String(),
		ContentType: c.ContentType,
		Key:         c.IdempotencyKey,
		Request:     c.Request,
		Incarnation: incarnation,
		Body:        c.Body,
		Idempotent:  c.Idempotent,
	}
}
