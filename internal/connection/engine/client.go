package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const maxErrorDetailBytes = 512

// Client calls engines and plain services. Create one with New: its HTTP clients
// must not follow redirects and must not set http.Client.Timeout, since answers
// are streams.
type Client struct {
	// HTTP reuses connections; NoKeepAliveHTTP opens a new one for each request.
	HTTP            *http.Client
	NoKeepAliveHTTP *http.Client
	// MinReadInterval returns the minimum interval between two reads of one
	// stream, except the first two, which return the first token; if nil there is
	// no minimum.
	MinReadInterval func() time.Duration
	// OnSaid, if set, is called with what an endpoint says of itself in the answer to a
	// completion or a call, before the answer is returned.
	OnSaid func(identity.Incarnation, Said)
}

// Complete starts a completion. Its error is a *verdict.Error: NotRun if the
// endpoint was not reached or refused the request, otherwise MayHaveRun.
func (c Client) Complete(ctx context.Context, address netip.AddrPort, completion Completion) (*Stream, error) {
	body, err := json.Marshal(completion)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)
	}
	sent := time.Now()
	response, err := post(ctx, c.HTTP, address, CompletionsPath, completion.Request, body)
	if err != nil {
		return nil, err
	}
	c.report(response, completion.Incarnation, completion.Request, sent)
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, responseError(response, completion.Request)
	}
	return newStream(response.Body, c.MinReadInterval), nil
}

// post sends a POST request that net/http does not retry.
func post(ctx context.Context, client *http.Client, address netip.AddrPort, path string, id identity.Request, body []byte) (*http.Response, error) {
	url := "http://" + address.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(RequestHeader, string(id))
	return sendOnce(client, request)
}

// responseError converts a failed response to an error. It is NotRun only if the
// endpoint says so and names this request.
func responseError(response *http.Response, id identity.Request) *verdict.Error {
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorDetailBytes))
	text := fmt.Sprintf("status %d: %s", response.StatusCode, bytes.TrimSpace(detail))
	notRun := response.Header.Get(RefusedHeader) == verdict.NotRun.String()
	if notRun && response.Header.Get(RequestHeader) == string(id) {
		return verdict.New(verdict.NotRun, verdict.EndpointRefused, text)
	}
	return verdict.New(verdict.MayHaveRun, verdict.EndpointLost, text)
}

// Cancel asks an engine to stop a request. It is best-effort.
func (c Client) Cancel(ctx context.Context, address netip.AddrPort, cancel Cancel) error {
	body, err := json.Marshal(cancel)
	if err != nil {
		return err
	}
	response, err := post(ctx, c.HTTP, address, CancelPath, cancel.Request, body)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Load returns an endpoint's load report.
func (c Client) Load(ctx context.Context, address netip.AddrPort) (LoadReport, error) {
	var report LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+LoadPath, nil)
	if err != nil {
		return report, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return report, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return report, fmt.Errorf("load of %s: status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&report)
	return report, err
}
