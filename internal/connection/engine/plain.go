package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Forward sends one call to a plain service. The answer is checked to come from
// the incarnation that was meant and to be for this request.
func (c Client) Forward(ctx context.Context, method, target, contentType string, id identity.Request, incarnation identity.Incarnation, body io.Reader) (*http.Response, error) {
	connected := new(atomic.Bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)
	}
	request.GetBody = nil
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	request.Header.Set(RequestHeader, string(id))
	request.Header.Set(IncarnationHeader, string(incarnation))
	response, err := c.HTTP.Do(request)
	if err != nil && connected.Load() {
		return nil, verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
	}
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.EndpointUnreachable, err)
	}
	if response.Header.Get(RefusedHeader) != "" {
		defer response.Body.Close()
		return nil, refusal(response)
	}
	if response.Header.Get(RequestHeader) != string(id) || response.Header.Get(IncarnationHeader) != string(incarnation) {
		response.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "")
	}
	return response, nil
}
