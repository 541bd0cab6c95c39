package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// Client accesses a key-value service. HTTP returns one for the platform's
// protocol; an adapter to another service sets the same fields.
type Client struct {
	// Get reads a key, or returns ErrAbsent.
	Get func(ctx context.Context, key string) (Value, error)
	// Put writes a key if its revision matches. With ErrConflict it returns the
	// current Value; ErrAmbiguous leaves open whether the write took effect.
	Put func(ctx context.Context, key string, put Put) (Value, error)
	// Watch waits until the key's revision is above after. If wait ends first it
	// returns a zero Value and no error.
	Watch func(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error)
	// List returns the keys under a prefix without their data.
	List func(ctx context.Context, prefix string) ([]Value, error)
}

const (
	// callTimeout applies to calls other than watches.
	callTimeout = 2 * time.Second
	// watchMargin is added to the wait of a watch to get its timeout, after
	// which its connection is considered dead.
	watchMargin = time.Second
)

// HTTP returns a Client that uses the platform's protocol over transport.
func HTTP(address netip.AddrPort, transport *http.Transport) Client {
	watchTransport := transport.Clone()
	watchTransport.DisableKeepAlives = true
	h := httpService{
		base:        "http://" + address.String() + KeysPath,
		client:      &http.Client{Transport: transport},
		watchClient: &http.Client{Transport: watchTransport},
	}
	return Client{Get: h.get, Put: h.put, Watch: h.watch, List: h.list}
}

type httpService struct {
	base   string
	client *http.Client
	// watchClient opens a new connection for each call.
	watchClient *http.Client
}

// withTimeout limits the duration of a call. If the call timed out, the returned
// function closes the idle connections as well, because they may be dead too.
func (h httpService) withTimeout(ctx context.Context, timeout time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			h.client.CloseIdleConnections()
		}
		cancel()
	}
}

func (h httpService) get(ctx context.Context, key string) (Value, error) {
	ctx, done := h.withTimeout(ctx, callTimeout)
	defer done()
	return h.read(ctx, h.client, h.base+"/"+key)
}

func (h httpService) watch(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	ctx, done := h.withTimeout(ctx, wait+watchMargin)
	defer done()
	return h.read(ctx, h.watchClient, h.base+"/"+key+"?"+query.Encode())
}

func (h httpService) read(ctx context.Context, client *http.Client, target string) (Value, error) {
	var value Value
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return value, err
	}
	response, err := client.Do(request)
	if err != nil {
		return value, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer drainAndClose(response)
	switch response.StatusCode {
	case http.StatusOK:
		return value, decode(response, &value)
	case http.StatusNotModified:
		return value, nil
	case http.StatusNotFound:
		return value, ErrAbsent
	default:
		return value, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
}

func (h httpService) list(ctx context.Context, prefix string) ([]Value, error) {
	ctx, done := h.withTimeout(ctx, callTimeout)
	defer done()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}
	response, err := h.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer drainAndClose(response)
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	var values []Value
	return values, decode(response, &values)
}

// drainAndClose reads the rest of a response, so that its connection can be
// reused.
func drainAndClose(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, MaxValueBytes))
	response.Body.Close()
}

// decode decodes a response. A truncated one is reported as ErrUnavailable.
func decode[T any](response *http.Response, out *T) error {
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// put sends a write at most once: a request without GetBody is not replayed by
// net/http.
func (h httpService) put(ctx context.Context, key string, put Put) (Value, error) {
	var value Value
	body, err := json.Marshal(put)
	if err != nil {
		return value, err
	}
	ctx, done := h.withTimeout(ctx, callTimeout)
	defer done()
	connected := new(atomic.Bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, h.base+"/"+key, bytes.NewReader(body))
	if err != nil {
		return value, err
	}
	request.GetBody = nil
	response, err := h.client.Do(request)
	if err != nil && connected.Load() {
		return value, fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	if err != nil {
		return value, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer drainAndClose(response)
	return readPutResponse(response)
}

func readPutResponse(response *http.Response) (Value, error) {
	var value Value
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict:
	case http.StatusServiceUnavailable:
		return value, fmt.Errorf("%w: status 503", ErrUnavailable)
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return value, fmt.Errorf("keyvalue: write rejected: status %d", response.StatusCode)
	default:
		return value, fmt.Errorf("%w: status %d", ErrAmbiguous, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&value); err != nil {
		return value, fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	if response.StatusCode == http.StatusConflict {
		return value, ErrConflict
	}
	return value, nil
}
