package entry

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// engineClient returns client with what endpoints say in their answers recorded.
func (s *Server) engineClient(client engine.Client) engine.Client {
	client.OnSaid = s.recordSaid
	return client
}

// recordSaid records what an endpoint says of itself in an answer.
func (s *Server) recordSaid(id identity.Incarnation, said engine.Said) {
	now := time.Now()
	change := s.advice.Record(now, id, advice.Advice{Leaving: said.Leaving, Quiet: said.Quiet}, false, said.SentBefore)
	if change.Quiet {
		s.Meter.Counter("endpoint_quiet_total").Inc()
		s.Log.Info("endpoint_quiet", "endpoint", id, "for", s.advice.ClosedFor(now, id), "named", said.Quiet)
	}
	if change.Leaving {
		s.Meter.Counter("endpoint_leaving_answers_total").Inc()
		s.Log.Info("endpoint_leaving", "endpoint", id, "source", "answer")
		s.OnLeaving(id)
	}
}

// postLeaving tells the controller, and by it the peers, that an endpoint is leaving.
func (s *Server) postLeaving(c *controller.Controller, id identity.Incarnation) {
	for _, e := range s.Snapshot().Endpoints {
		if e.Incarnation == id {
			c.Post(s.ctx, controller.LeavingUpdate{Host: e.Host, Incarnation: id})
		}
	}
}

// retainAdvice drops the advice of endpoints that are gone. It runs with the choice of an
// endpoint, at most once in retainInterval.
func (s *Server) retainAdvice(now time.Time) {
	last := s.adviceRetained.Load()
	if now.UnixNano()-last < int64(retainInterval) || !s.adviceRetained.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	listed := make(map[identity.Incarnation]bool)
	for _, e := range s.Snapshot().Endpoints {
		listed[e.Incarnation] = true
	}
	s.advice.Retain(now, listed)
}

// retainInterval is the least time between two passes over all endpoints.
const retainInterval = 5 * time.Second

// quietFor returns for how long a service has no endpoint as all of them that are not
// leaving want no calls, or zero.
func (s *Server) quietFor(service identity.Service) time.Duration {
	now, first := time.Now(), time.Duration(0)
	snapshot := s.Snapshot()
	for _, i := range snapshot.Serving(service) {
		e := snapshot.Endpoints[i]
		if e.Leaving || s.advice.Leaving(e.Incarnation) {
			continue
		}
		closedFor := s.advice.ClosedFor(now, e.Incarnation)
		if closedFor == 0 {
			return 0
		}
		if first == 0 || closedFor < first {
			first = closedFor
		}
	}
	return first
}

// withoutEndpoint returns the failure of a call for which no endpoint is left: the latest
// one, or that all endpoints are quiet.
func (s *Server) withoutEndpoint(service identity.Service, latest *verdict.Error) *verdict.Error {
	quiet := s.quietFor(service)
	if quiet == 0 {
		return latest
	}
	failure := verdict.New(verdict.NotRun, verdict.EndpointQuiet, "").WithEarlier(latest.Verdict)
	failure.RetryAfter = quiet
	return failure
}
