package engine

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

const (
	maxIdlePerEndpoint = 64
	maxIdleTime        = 30 * time.Second
	dialTimeout        = 2 * time.Second
)

// Dial opens a connection like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a Client that connects with dial, or with a net.Dialer if dial is nil.
func New(dial Dial) Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	pooled := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     maxIdleTime,
		DisableCompression:  true,
	}
	fresh := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return Client{
		HTTP:            &http.Client{Transport: pooled, CheckRedirect: returnRedirect},
		NoKeepAliveHTTP: &http.Client{Transport: fresh, CheckRedirect: returnRedirect},
	}
}

// returnRedirect makes net/http return redirects to the caller, because following
// one would send the request a second time.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// sendOnce sends a request at most once. Its error is NotRun only if no connection
// was obtained, so that no byte can have been sent.
func sendOnce(client *http.Client, request *http.Request) (*http.Response, error) {
	connected := new(atomic.Bool)
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(0, time.Until(deadline).Milliseconds())
		request.Header.Set(DeadlineHeader, strconv.FormatInt(remaining, 10))
	}
	// Without GetBody net/http can't resend a body.
	request.GetBody = nil
	response, err := client.Do(request.WithContext(ctx))
	if err == nil {
		return response, nil
	}
	if connected.Load() {
		return nil, verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
	}
	return nil, verdict.Wrap(verdict.NotRun, verdict.EndpointUnreachable, err)
}
