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

// Client is what the system needs of a key-value service. HTTP makes one for
// the platform's protocol; another service's protocol fills the same fields.
type Client struct {
	// Get reads a key, or gives ErrAbsent.
	Get func(ctx context.Context, key string) (Value, error)
	// Put writes a key if its revision matches. ErrConflict comes with the
	// present Value; ErrAmbiguous leaves open whether the write happened.
	Put func(ctx context.Context, key string, put Put) (Value, error)
	// Watch waits until the key's revision is above after. When the wait ends
	// first, it gives a zero Value and no error.
	Watch func(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error)
	// List gives the keys under a prefix without their data.
	List func(ctx context.Context, prefix string) ([]Value, error)
}

const (
	// callTimeout bounds a call that does not wait for a change.
	callTimeout = 2 * time.Second
	// watchMargin is how much longer than its wait a watch may take before its
	// connection counts as silent.
	watchMargin = time.Second
)

// HTTP makes a Client that speaks the platform's protocol over transport.
func HTTP(address netip.AddrPort, transport *http.Transport) Client {
	watches := transport.Clone()
	watches.DisableKeepAlives = true
	h := httpService{
		base:    "http://" + address.String() + KeysPath,
		calls:   &http.Client{Transport: transport},
		watches: &http.Client{Transport: watches},
	}
	return Client{Get: h.get, Put: h.put, Watch: h.watch, List: h.list}
}

type httpService struct {
	base  string
	calls *http.Client
	// watches opens a connection for each call.
	watches *http.Client
}

// limited bounds a call; the returned end closes idle connections if the bound
// was reached, because they may be as silent.
func (h httpService) limited(ctx context.Context, limit time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	return ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			h.calls.CloseIdleConnections()
		}
		cancel()
	}
}

func (h httpService) get(ctx context.Context, key string) (Value, error) {
	ctx, end := h.limited(ctx, callTimeout)
	defer end()
	return h.read(ctx, h.calls, h.base+"/"+key)
}

func (h httpService) watch(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	ctx, end := h.limited(ctx, wait+watchMargin)
	defer end()
	return h.read(ctx, h.watches, h.base+"/"+key+"?"+query.Encode())
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
	defer finish(response)
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
	ctx, end := h.limited(ctx, callTimeout)
	defer end()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}
	response, err := h.calls.Do(request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer finish(response)
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", ErrUnavailable, response.StatusCode)
	}
	var values []Value
	return values, decode(response, &values)
}

// finish reads what is left of an answer, so that its connection can be used
// again.
func finish(response *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, MaxValueBytes))
	response.Body.Close()
}

// decode reads an answer; one that was cut is as good as none.
func decode[T any](response *http.Response, out *T) error {
	if err := json.NewDecoder(response.Body).Decode(out); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// put sends the write on a connection that net/http cannot replay it on.
func (h httpService) put(ctx context.Context, key string, put Put) (Value, error) {
	var value Value
	body, err := json.Marshal(put)
	if err != nil {
		return value, err
	}
	ctx, end := h.limited(ctx, callTimeout)
	defer end()
	connected := new(atomic.Bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, h.base+"/"+key, bytes.NewReader(body))
	if err != nil {
		return value, err
	}
	request.GetBody = nil
	response, err := h.calls.Do(request)
	if err != nil && connected.Load() {
		return value, fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	if err != nil {
		return value, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer finish(response)
	return written(response)
}

// written reads the answer to a put.
func written(response *http.Response) (Value, error) {
	var value Value
	switch response.StatusCode {
	case http.StatusOK, http.StatusConflict:
	case http.StatusServiceUnavailable:
		return value, fmt.Errorf("%w: status 503", ErrUnavailable)
	case http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return value, fmt.Errorf("keyvalue: write refused: status %d", response.StatusCode)
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
