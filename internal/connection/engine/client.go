package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes  = 1 << 20
	maxDetailBytes = 512
)

// Client calls engines and plain services. Make one with New: its HTTP clients
// must not follow redirects nor time out as a whole, since answers are streams.
type Client struct {
	// HTTP keeps connections alive; Fresh opens one for each request.
	HTTP  *http.Client
	Fresh *http.Client
}

// Stream is an answer being read. Close it in any case.
type Stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
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
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxEventBytes)
	return &Stream{body: response.Body, scanner: scanner}, nil
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

// Next reads one frame. At the end of the body without a frame whose Done is
// set the error is io.ErrUnexpectedEOF.
func (s *Stream) Next() (Frame, error) {
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var frame Frame
		if err := json.Unmarshal(data, &frame); err != nil {
			return Frame{}, fmt.Errorf("frame: %w", err)
		}
		if frame.Error != "" {
			return Frame{}, errors.New(frame.Error)
		}
		return frame, nil
	}
	if err := s.scanner.Err(); err != nil {
		return Frame{}, err
	}
	return Frame{}, io.ErrUnexpectedEOF
}

// Close ends the stream and its connection if the answer is not complete.
func (s *Stream) Close() error {
	return s.body.Close()
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
