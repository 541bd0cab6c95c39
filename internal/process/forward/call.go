package forward

import (
	"net/http"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Call is one request of a caller, decoded.
type Call struct {
	ID           identity.Request
	Route        *catalogue.Route
	Service      *catalogue.Service
	Organisation *catalogue.Organisation
	// Urgency orders calls; zero is the most urgent.
	Urgency int
	Method  string
	// Target is the path and query as sent.
	Target string
	Host   string
	// Header holds what is passed on to any endpoint.
	Header http.Header
	Body   []byte
	// Arrived is when the head was read. Deadline is when the caller or the
	// route's timeout ends the wait, whichever is sooner.
	Arrived, Deadline time.Time
	// Parts, Prompt and Output describe a model call; Units is what the
	// organisation's limit is charged.
	Parts          []balance.Part
	Prompt, Output unit.Tokens
	Units          float64
	// LastEvent is the event after which the caller wants a stream to go on, or -1.
	LastEvent int64
}

// Standing says what an answer's head tells of the call.
type Standing uint8

// The standings.
const (
	// Executed is the endpoint's own answer, of whatever status.
	Executed Standing = iota
	// Refused tells that the endpoint did not run the call, for want of room.
	Refused
	// Misdirected tells that another endpoint has the address.
	Misdirected
	// Spoilt is no answer that can be passed on; the call may have run.
	Spoilt
)

// Protocol is how an edge speaks to endpoints.
type Protocol struct {
	// Header gives all of the header for one attempt. lastEvent is -1 for a call
	// that starts from its beginning.
	Header func(c *Call, to fleet.Endpoint, left time.Duration, lastEvent int64) http.Header
	// Mine tells whether an answer is to this call.
	Mine func(c *Call, answer http.Header) bool
	// Judge reads the head of an answer.
	Judge func(status int, answer http.Header) Standing
	// Clean gives what of an endpoint's header a caller gets.
	Clean func(answer http.Header) http.Header
}
