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

const maxDetailBytes = 512

// Client calls engines and plain services. Make one with New: its HTTP clients
// must not follow redirects nor time out as a whole, since answers are streams.
type Client struct {
	// HTTP keeps connections alive; Fresh opens one for each request.
	HTTP  *http.Client
	Fresh *http.Client
	// Pace is the least time between two reads of one stream after its first
	// token; nil has no bound.
	Pace func() time.Duration
}

// Complete starts a completion. An error is a *verdict.Error: NotRun if the
// endpoint was not reached or refused, MayHaveRun otherwise.
func (c Client) Complete(ctx context.Context, address netip.AddrPort, ask Completion) (*Stream, error) {
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)
	}
	response, err := post(ctx, c.HTTP, address, CompletionsPath, ask.Request, body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, refusal(response, ask.Request)
	}
	return newStream(response.Body, c.Pace), nil
}

// post sends one request that net/http cannot send again.
func post(ctx context.Context, client *http.Client, address netip.AddrPort, path string, id identity.Request, body []byte) (*http.Response, error) {
	url := "http://" + address.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(RequestHeader, string(id))
	return once(client, request)
}

// refusal is NotRun only if the endpoint says so of this very request.
func refusal(response *http.Response, id identity.Request) *verdict.Error {
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
	text := fmt.Sprintf("status %d: %s", response.StatusCode, bytes.TrimSpace(detail))
	said := response.Header.Get(RefusedHeader) == verdict.NotRun.String()
	if said && response.Header.Get(RequestHeader) == string(id) {
		return verdict.New(verdict.NotRun, verdict.EndpointRefused, text)
	}
	return verdict.New(verdict.MayHaveRun, verdict.EndpointLost, text)
}

// Cancel tells an engine to stop a request; a lost answer does not matter.
func (c Client) Cancel(ctx context.Context, address netip.AddrPort, ask Cancel) error {
	body, err := json.Marshal(ask)
	if err != nil {
		return err
	}
	response, err := post(ctx, c.HTTP, address, CancelPath, ask.Request, body)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Load asks an endpoint for its load.
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
