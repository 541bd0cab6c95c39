package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// maxAnswerBytes bounds the answer of a plain service.
const maxAnswerBytes = 8 << 20

// Plain is one call to a plain service.
type Plain struct {
	Method string
	// Target is the path with its query.
	Target      string
	ContentType string
	// Key is passed on as Idempotency-Key unless empty.
	Key         string
	Request     identity.Request
	Incarnation identity.Incarnation
	Body        []byte
	// Repeatable lets the call travel on a kept-alive connection.
	Repeatable bool
}

// PlainAnswer is a plain service's whole answer.
type PlainAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Forward sends one call to a plain service and reads the whole answer, which
// must name the request and the incarnation that was meant. An error is a
// *verdict.Error. A call that may not be repeated travels on a connection of its
// own, because net/http sends a request again when a kept-alive one fails.
func (c Client) Forward(ctx context.Context, address netip.AddrPort, p Plain) (PlainAnswer, error) {
	request, err := p.request(ctx, address)
	if err != nil {
		return PlainAnswer{}, verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)
	}
	client := c.HTTP
	if !p.Repeatable {
		client = c.Fresh
	}
	response, err := once(client, request)
	if err != nil {
		return PlainAnswer{}, err
	}
	defer response.Body.Close()
	return p.read(response)
}

func (p Plain) request(ctx context.Context, address netip.AddrPort) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(p.Body))
	request, err := http.NewRequestWithContext(ctx, p.Method, "http://"+address.String()+p.Target, body)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(p.Body))
	if p.ContentType != "" {
		request.Header.Set("Content-Type", p.ContentType)
	}
	if p.Key != "" {
		request.Header.Set("Idempotency-Key", p.Key)
	}
	request.Header.Set(RequestHeader, string(p.Request))
	request.Header.Set(IncarnationHeader, string(p.Incarnation))
	return request, nil
}

// read takes the answer whole; one whose end can't be told from a cut is lost.
func (p Plain) read(response *http.Response) (PlainAnswer, error) {
	if response.Header.Get(RefusedHeader) != "" {
		return PlainAnswer{}, refusal(response, p.Request)
	}
	if response.Header.Get(RequestHeader) != string(p.Request) ||
		response.Header.Get(IncarnationHeader) != string(p.Incarnation) {
		return PlainAnswer{}, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "")
	}
	if p.Method != http.MethodHead && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return PlainAnswer{}, verdict.New(verdict.MayHaveRun, verdict.EndpointLost, "answer of unknown length")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return PlainAnswer{}, verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
	}
	if len(body) > maxAnswerBytes {
		return PlainAnswer{}, verdict.New(verdict.MayHaveRun, verdict.EndpointLost, "answer too large")
	}
	return PlainAnswer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}
