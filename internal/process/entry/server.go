// Package entry implements the entry host, which serves callers by forwarding
// their calls to endpoints.
//
// # Request handling
//
// A call is authorised, validated, given a request id and admitted. One goroutine
// then assembles its answer from attempts at endpoints, while the caller's
// connection only follows that answer. A caller that lost its connection can
// fetch the answer again from its start.
//
// # Stopping
//
// A planned stop first reports the host as unready, goes on accepting requests for
// the configured time after which the load balancer sends no more, and ends when all
// requests have.
package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/recovery"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/request/attempt"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Server serves callers. Create one with New.
type Server struct {
	// Snapshot returns the state of the deployment that decisions are based on.
	Snapshot func() *fleet.Snapshot
	Engine   engine.Client
	Meter    *meter.Meter
	Log      *slog.Logger
	// ProgressTimeouts bounds how long an attempt may go without progress.
	ProgressTimeouts attempt.ProgressTimeouts
	// OnResumed, if set, is called for each answer that moved off a leaving
	// endpoint.
	OnResumed func(Resumption)
	// OnLeaving is called with an endpoint that says in an answer that it is leaving, unless
	// it has said so before. It must be quick and safe for concurrent use.
	OnLeaving func(identity.Incarnation)

	// advice is what endpoints say of themselves in their answers to this host.
	advice *advice.Keeper
	// adviceRetained is when retainAdvice last ran, in Unix nanoseconds.
	adviceRetained atomic.Int64

	claims       Claims
	peers        Peers
	settings     settings.Entry
	requests     *requestTable
	retryBudgets *retryBudgets
	group        *errgroup.Group
	ctx          context.Context
	// stopping is set once the host reports itself unready. It still accepts requests
	// from callers until requests.cancelAll is called.
	stopping atomic.Bool
	// leaving is set once a notice of this host's reclaim was acted on.
	leaving atomic.Bool
	routing *routingState
}

// New returns a server whose background goroutines run in group until ctx ends.
func New(ctx context.Context, group *errgroup.Group, s settings.Entry, options ...Option) *Server {
	server := &Server{
		Engine:           engine.New(nil),
		Meter:            meter.New(),
		Log:              slog.Default(),
		ProgressTimeouts: attempt.ProgressTimeouts{FirstToken: firstTokenTimeout, BetweenTokens: betweenTokensTimeout},
		OnLeaving:        func(identity.Incarnation) {},
		advice:           advice.New(limit.New()),
		settings:         s,
		requests:         newRequestTable(s.Limits.MaxRequests, time.Duration(s.Limits.AnswerRetention)),
		retryBudgets:     newRetryBudgets(),
		group:            group,
		ctx:              ctx,
	}
	server.Engine.MinReadInterval = server.readInterval
	server.routing = newRoutingState(server)
	for _, option := range options {
		option(server)
	}
	return server
}

const (
	firstTokenTimeout    = 10 * time.Second
	betweenTokensTimeout = 3 * time.Second
)

// Option configures a Server.
type Option func(*Server)

// WithSnapshot sets the source of the deployment's state.
func WithSnapshot(snapshot func() *fleet.Snapshot) Option {
	return func(s *Server) { s.Snapshot = snapshot }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(s *Server) { s.Log = log }
}

// WithMeter sets the metrics.
func WithMeter(m *meter.Meter) Option {
	return func(s *Server) { s.Meter = m }
}

// Routes adds the routes of the public API to router.
func (s *Server) Routes(router *mux.Router) {
	router.HandleFunc("/healthz", s.healthz).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet)
	router.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	router.HandleFunc("/v1/completions", s.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc("/v1/chat/completions", s.serveChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/requests/{id}", s.reattach).Methods(http.MethodGet)
	router.PathPrefix("/v1/services/{service}/").HandlerFunc(s.servePlain)
}

// Handler returns router with an answer to calls whose handler panics.
func (s *Server) Handler(router http.Handler) http.Handler {
	return recovery.Handler{
		Next: router, RequestID: func(r *http.Request) string { return r.Header.Get("Idempotency-Key") },
		Answer: func(w http.ResponseWriter, _ *http.Request, failure *verdict.Error) { s.writeProblem(w, "", failure) },
		Meter:  s.Meter, Log: s.Log,
	}
}

// Running returns the number of unfinished requests.
func (s *Server) Running() int { return s.requests.countRunning() }

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// readyz reports whether the load balancer may send requests to this host.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if s.stopping.Load() || s.Snapshot().Configuration.Version == 0 {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.Meter.Write(w)
}

// problem is the body of an error response as defined by RFC 9457.
type problem struct {
	Type    string         `json:"type"`
	Title   string         `json:"title"`
	Status  int            `json:"status"`
	Detail  string         `json:"detail,omitempty"`
	Verdict string         `json:"verdict"`
	Reason  verdict.Reason `json:"reason"`
	Request string         `json:"request,omitempty"`
}

// writeProblem writes an error response, logs it and counts its reason.
func (s *Server) writeProblem(w http.ResponseWriter, request string, e *verdict.Error) {
	s.Meter.Refused(e.Reason)
	s.Log.Info("request_refused", "request", request, "reason", e.Reason, "verdict", e.Verdict, "detail", e.Error())
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(httpStatus(e.Reason))
	json.NewEncoder(w).Encode(newProblem(request, e))
}

func newProblem(request string, e *verdict.Error) problem {
	return problem{
		Type: "about:blank", Title: string(e.Reason), Status: httpStatus(e.Reason), Detail: e.Detail,
		Verdict: e.Verdict.String(), Reason: e.Reason, Request: request,
	}
}

// httpStatus returns the HTTP status for a reason.
func httpStatus(reason verdict.Reason) int {
	switch reason {
	case verdict.BadRequest:
		return http.StatusBadRequest
	case verdict.Unauthorised:
		return http.StatusUnauthorized
	case verdict.UnknownService, verdict.UnknownRequest:
		return http.StatusNotFound
	case verdict.OrganisationLimit:
		return http.StatusTooManyRequests
	case verdict.KeyReused, verdict.KeyExpired, verdict.DuplicateRunning, verdict.AlreadyRan:
		return http.StatusConflict
	case verdict.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case verdict.InternalError:
		return http.StatusInternalServerError
	case verdict.EndpointLost, verdict.EndpointSilent, verdict.AnswerGap, verdict.AnswerMismatch:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
