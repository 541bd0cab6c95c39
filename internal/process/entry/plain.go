package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const plainTimeout = 10 * time.Second

// plain passes a call to a plain service and its answer back whole.
func (s *Server) plain(w http.ResponseWriter, r *http.Request) {
	c, failure := s.readPlainCall(r)
	if failure != nil {
		s.refuse(w, "", failure)
		return
	}
	w.Header().Set(engine.RequestHeader, string(c.Request))
	ctx, cancel := context.WithTimeout(r.Context(), plainTimeout)
	defer cancel()
	release, failure := s.admit(ctx, c)
	if failure != nil {
		s.refuse(w, string(c.Request), failure)
		return
	}
	defer release()
	answered, failure := s.dispatch(ctx, c)
	if failure != nil {
		s.refuse(w, string(c.Request), failure)
		return
	}
	w.Header().Set("Content-Type", answered.contentType)
	w.WriteHeader(answered.status)
	w.Write(answered.body)
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
	path := strings.TrimPrefix(r.URL.Path, "/v1/services/"+string(id))
	return call.Call{
		Request:      identity.NewRequest(),
		Organisation: organisation,
		Service:      id,
		Key:          r.Header.Get("Idempotency-Key"),
		Method:       r.Method,
		Path:         path,
		Query:        r.URL.RawQuery,
		ContentType:  r.Header.Get("Content-Type"),
		Body:         body,
		Repeatable:   service.Repeatable(r.Method, path),
	}, nil
}

// plainAnswer is a plain service's whole answer.
type plainAnswer struct {
	status      int
	contentType string
	body        []byte
}

// dispatch tries endpoints; after MayHaveRun only a repeatable call goes on.
func (s *Server) dispatch(ctx context.Context, c call.Call) (plainAnswer, *verdict.Error) {
	var tried []identity.Incarnation
	failure := verdict.New(verdict.NotRun, verdict.NoEndpoint, "")
	for range mostAttempts {
		endpoint, ok := s.choose(c, tried)
		if !ok {
			return plainAnswer{}, failure
		}
		tried = append(tried, endpoint.Incarnation)
		answered, err := s.forward(ctx, c, endpoint.Address.String(), endpoint.Incarnation)
		if err == nil {
			return answered, nil
		}
		failure = verdict.Of(err)
		if failure.Verdict != verdict.NotRun && !c.Repeatable {
			return plainAnswer{}, failure
		}
		s.Meter.Retried(failure.Reason)
	}
	return plainAnswer{}, failure
}

// forward makes one attempt at a plain service.
func (s *Server) forward(ctx context.Context, c call.Call, address string, incarnation identity.Incarnation) (plainAnswer, error) {
	target := "http://" + address + c.Path
	if c.Query != "" {
		target += "?" + c.Query
	}
	response, err := s.Engine.Forward(ctx, c.Method, target, c.ContentType, c.Request, incarnation, bytes.NewReader(c.Body))
	if err != nil {
		return plainAnswer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return plainAnswer{}, verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
	}
	return plainAnswer{status: response.StatusCode, contentType: response.Header.Get("Content-Type"), body: body}, nil
}
