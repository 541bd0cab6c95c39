package weights

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Client accesses a weight store.
type Client struct {
	// Versions lists the stored versions of a service's weights. The call counts
	// against the store's rate limit like loading the weights. If the limit is
	// exceeded, the error is a *RateLimitedError.
	Versions func(ctx context.Context, service identity.Service) (Versions, error)
}

// RateLimitedError is the error if the store's rate limit is exceeded.
type RateLimitedError struct {
	// RetryAfter is the time to wait before a retry, as requested by the store.
	RetryAfter time.Duration
}

func (l *RateLimitedError) Error() string {
	return "weights: rate limit exceeded, retry after " + l.RetryAfter.String()
}

// HTTP returns a Client that uses the store's protocol.
func HTTP(address netip.AddrPort, client *http.Client) Client {
	return Client{Versions: func(ctx context.Context, service identity.Service) (Versions, error) {
		var versions Versions
		target := "http://" + address.String() + VersionsPath + "/" + string(service)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
		if err != nil {
			return versions, err
		}
		response, err := client.Do(request)
		if err != nil {
			return versions, err
		}
		defer response.Body.Close()
		switch response.StatusCode {
		case http.StatusOK:
			return versions, json.NewDecoder(response.Body).Decode(&versions)
		case http.StatusTooManyRequests:
			seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
			if err != nil || seconds < 1 {
				seconds = 1
			}
			return versions, &RateLimitedError{RetryAfter: time.Duration(seconds) * time.Second}
		default:
			return versions, fmt.Errorf("weights of %s: status %d", service, response.StatusCode)
		}
	}}
}
