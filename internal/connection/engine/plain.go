package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// maxAnswerBytes is the maximum size of a plain service's answer.
const maxAnswerBytes = 8 << 20

// Plain is a call to a plain service, one that is not a model engine.
type Plain struct {
	Method string
	// Target is the path and query.
	Target      string
	ContentType string
	// Key is sent as Idempotency-Key unless it is empty.
	Key         string
	Request     identity.Request
	Incarnation identity.Incarnation
	Body        []byte
	// Idempotent allows the use of a kept-alive connection.
	Idempotent bool
}

// PlainAnswer is the complete answer of a plain service.
type PlainAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Forward sends a call to a plain service and reads the complete answer, which
// must name the request and the intended incarnation. Its error is a
// *verdict.Error. A call that is not idempotent uses a new connection, because
// net/http may resend a request if a kept-alive connection fails.
func (c Client) Forward(ctx context.Context, address netip.AddrPort, p Plain) (PlainAnswer, error) {
	request, err := p.request(ctx, address)
	if err != nil {
		return PlainAnswer{}, verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)
	}
	client := c.HTTP
	if !p.Idempotent {
		client = c.NoKeepAliveHTTP
	}
	sent := time.Now()
	response, err := sendOnce(client, request)
	if err != nil {
		return PlainAnswer{}, err
	}
	c.report(response, p.Incarnation, p.Request, sent)
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

// read reads the complete answer. It rejects a body without framing, whose end
// can't be distinguished from a lost connection.
func (p Plain) read(response *http.Response) (PlainAnswer, error) {
	if response.Header.Get(RefusedHeader) != "" {
		return PlainAnswer{}, responseError(response, p.Request)
	}
	if response.Header.Get(RequestHeader) != string(p.Request) ||
		response.Header.Get(IncarnationHeader) != string(p.Incarnation) {
		return PlainAnswer{}, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "")
	}
	if p.Method != http.MethodHead && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return PlainAnswer{}, verdict.New(verdict.MayHaveRun, verdict.EndpointLost, "answer has neither Content-Length nor chunked encoding")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return PlainAnswer{}, verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
	}
	if len(body) > maxAnswerBytes {
		return PlainAnswer{}, verdict.New(verdict.MayHaveRun, verdict.EndpointLost, "answer exceeds the size limit")
	}
	return PlainAnswer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}
