package forward

import (
	"net/http"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Call is a decoded request of a caller.
type Call struct {
	ID           identity.Request
	Route        *catalogue.Route
	Service      *catalogue.Service
	Organisation *catalogue.Organisation
	// Priority is zero for the most urgent calls and higher for less urgent ones.
	Priority int
	Method   string
	// Target is the request target (path and query) as received.
	Target string
	Host   string
	// Header is passed on to every endpoint.
	Header http.Header
	Body   []byte
	// Arrived is when the request header had been read. Deadline is the earlier of
	// the caller's deadline and the route's timeout.
	Arrived, Deadline time.Time
	// Parts, Prompt and Output describe a model call; Units is the amount charged
	// to the organisation's limit.
	Parts          []balance.Part
	Prompt, Output unit.Tokens
	Units          float64
	// LastEvent is the event after which the caller resumes a stream, or -1.
	LastEvent int64
	// Resumes is the id of the caller's request that brought the first event of the stream
	// that this one resumes; empty if not stated.
	Resumes identity.Request
}

// AnswerClass classifies an answer by its status and header.
type AnswerClass uint8

// The classes of answers.
const (
	// Executed means that the endpoint executed the call, whatever the status.
	Executed AnswerClass = iota
	// Refused means that the endpoint did not execute the call for lack of
	// capacity.
	Refused
	// Misdirected means that the address now belongs to another endpoint.
	Misdirected
	// Unusable means that the answer can't be passed on; the call may have been
	// executed.
	Unusable
)

// Protocol defines the HTTP headers that are exchanged with endpoints.
type Protocol struct {
	// AttemptHeader returns the complete header of one attempt. lastEvent is -1
	// unless a stream is resumed.
	AttemptHeader func(c *Call, to fleet.Endpoint, left time.Duration, lastEvent int64) http.Header
	// Owner returns whether an answer names the call, another one or none.
	Owner func(c *Call, answer http.Header) endpoint.Owner
	// Classify classifies an answer by its status and header.
	Classify func(status int, answer http.Header) AnswerClass
	// Advice returns what an endpoint says of itself in an answer.
	Advice func(status int, answer http.Header) advice.Advice
	// CallerHeader returns the part of an endpoint's header that is passed to the
	// caller.
	CallerHeader func(answer http.Header) http.Header
}
