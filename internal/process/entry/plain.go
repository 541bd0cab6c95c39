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

// plain passes a call to a plain service and its answer back whole.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	c, failure := s.readPlainCall(r)
	if failure != nil {
		s.refuse(w, "", failure)
		return
	}
	running, ok := s.requests.start(c)
	if !ok {
		s.refuse(w, string(c.Request), s.full())
		return
	}
	s.group.Go(func() error {
		defer s.requests.end(c.Request)
		running.plain.finish(s.execute(c))
		return nil
	})
	s.followPlain(w, r, running)
}

// execute makes the call, even if its caller has disconnected.
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
	if !c.Repeatable {
		return s.once(ctx, c)
	}
	return s.dispatch(ctx, c)
}

// followPlain waits for the outcome and writes it.
func (s *Server) followPlain(w http.ResponseWriter, r *http.Request, running work) {
	id := string(running.call.Request)
	w.Header().Set(engine.RequestHeader, id)
	select {
	case <-running.plain.done:
	case <-r.Context().Done():
		return
	}
	if failure := running.plain.failure; failure != nil {
		s.refuse(w, id, failure)
		return
	}
	answered := running.plain.answer
	w.Header().Set("Content-Type", answered.ContentType)
	w.WriteHeader(answered.Status)
	w.Write(answered.Body)
}

// plainResult is how a call to a plain service ended; done is closed once the
// other fields are set.
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
		Request:      identity.NewRequestAt(s.settings.Host),
		Organisation: organisation,
		Service:      id,
		Key:          r.Header.Get("Idempotency-Key"),
		Deadline:     deadline,
		Method:       r.Method,
		Path:         path,
		Query:        r.URL.RawQuery,
		ContentType:  r.Header.Get("Content-Type"),
		Body:         body,
		Repeatable:   service.Repeatable(r.Method, path),
	}, nil
}

// dispatch tries endpoints; after MayHaveRun only a repeatable call goes on.
func (s *Server) dispatch(ctx context.Context, c call.Call) (engine.PlainAnswer, *verdict.Error) {
	var tried []identity.Incarnation
	failure := verdict.New(verdict.NotRun, verdict.NoEndpoint, "")
	for attempts := range mostAttempts {
		endpoint, ok := s.choose(c, tried)
		if !ok {
			return engine.PlainAnswer{}, failure
		}
		tried = append(tried, endpoint.Incarnation)
		answered, err := s.forward(ctx, c, endpoint)
		if err == nil {
			s.retries.succeeded(c.Service, s.share(c.Service))
			return answered, nil
		}
		failure = ended(ctx, verdict.Of(err)).After(failure.Verdict)
		if failure.Verdict != verdict.NotRun && !c.Repeatable {
			return engine.PlainAnswer{}, failure
		}
		if ctx.Err() != nil {
			return engine.PlainAnswer{}, failure
		}
		if refused := s.retry(ctx, c, failure, attempts); refused != nil {
			return engine.PlainAnswer{}, refused
		}
	}
	return engine.PlainAnswer{}, failure
}

// forward tries an endpoint. A repeatable call that failed on a connection is
// tried once more on a new one, if the endpoint answers there, before the
// endpoint is blamed. It then has all the time that is left: an endpoint that
// answers may just be slow.
func (s *Server) forward(ctx context.Context, c call.Call, endpoint fleet.Endpoint) (engine.PlainAnswer, error) {
	p := plainOf(c, endpoint.Incarnation)
	if !c.Repeatable {
		return s.Engine.Forward(ctx, endpoint.Address, p)
	}
	answered, err := s.forwardWithin(ctx, endpoint, p)
	if err == nil || verdict.Of(err).Verdict == verdict.NotRun || ctx.Err() != nil {
		return answered, err
	}
	if !s.retries.spend(c.Service) || !s.answers(ctx, endpoint) {
		return answered, err
	}
	s.Meter.Retried(verdict.Of(err).Reason)
	p.Repeatable = false
	return s.Engine.Forward(ctx, endpoint.Address, p)
}

// answers asks an endpoint for its load over a new connection.
func (s *Server) answers(ctx context.Context, endpoint fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	report, err := engine.Client{HTTP: s.Engine.Fresh}.Load(ctx, endpoint.Address)
	return err == nil && report.Incarnation == endpoint.Incarnation
}

// forwardWithin gives an attempt up when it is silent for too long.
func (s *Server) forwardWithin(ctx context.Context, endpoint fleet.Endpoint, p engine.Plain) (engine.PlainAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Silence.Between)
	defer cancel()
	answered, err := s.Engine.Forward(ctx, endpoint.Address, p)
	if err != nil && ctx.Err() != nil {
		return answered, verdict.Wrap(verdict.Of(err).Verdict, verdict.EndpointSilent, err)
	}
	return answered, err
}

func plainOf(c call.Call, incarnation identity.Incarnation) engine.Plain {
	target := url.URL{Path: c.Path, RawQuery: c.Query}
	return engine.Plain{
		Method:      c.Method,
		Target:      target.String(),
		ContentType: c.ContentType,
		Key:         c.Key,
		Request:     c.Request,
		Incarnation: incarnation,
		Body:        c.Body,
		Repeatable:  c.Repeatable,
	}
}
