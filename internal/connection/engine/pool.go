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
	idlePerEndpoint = 64
	idleTimeout     = 30 * time.Second
	dialTimeout     = 2 * time.Second
)

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// New makes a Client that dials with dial; nil dials the network.
func New(dial Dial) Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	pooled := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	fresh := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true}
	return Client{
		HTTP:  &http.Client{Transport: pooled, CheckRedirect: keepRedirect},
		Fresh: &http.Client{Transport: fresh, CheckRedirect: keepRedirect},
	}
}

// keepRedirect hands a redirect to the caller: following it would send the
// call a second time.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// once sends a request at most once. Its error is NotRun only when no
// connection was had, so that no byte can have been written.
func once(client *http.Client, request *http.Request) (*http.Response, error) {
	connected := new(atomic.Bool)
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	if deadline, ok := ctx.Deadline(); ok {
		left := max(0, time.Until(deadline).Milliseconds())
		request.Header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	}
	// A body without GetBody keeps net/http from sending it again.
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
