package engine

import (
	"net/http"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// LeavingHeader is "1" in all answers of an endpoint that is leaving.
const LeavingHeader = "Dandelionlift-Leaving"

// Said is what an endpoint says of itself in an answer.
type Said struct {
	Leaving bool
	// Quiet is for how long it wants no calls from this host, as Retry-After of a refusal
	// with status 503 names; zero if it has not said.
	Quiet time.Duration
	// SentBefore is how long before the answer the call was sent.
	SentBefore time.Duration
}

// report calls OnSaid with what an answer says, unless it is that of another request or
// incarnation.
func (c Client) report(response *http.Response, incarnation identity.Incarnation, request identity.Request, sent time.Time) {
	if c.OnSaid == nil || response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(RequestHeader) != string(request) {
		return
	}
	if named := response.Header.Get(IncarnationHeader); named != "" && named != string(incarnation) {
		return
	}
	said := Said{Leaving: response.Header.Get(LeavingHeader) == "1", SentBefore: time.Since(sent)}
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(RefusedHeader) != "" {
		said.Quiet = endpoint.RetryAfter(response.Header["Retry-After"])
	}
	if said.Leaving || said.Quiet > 0 {
		c.OnSaid(incarnation, said)
	}
}
