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

// Client asks a weight store.
type Client struct {
	// Versions counts as one load of the service's weights. When the store's
	// rate is used up the error is a *Limited.
	Versions func(ctx context.Context, service identity.Service) (Versions, error)
}

// Limited tells that the store's rate was used up.
type Limited struct {
	// After is how long the store asks to wait.
	After time.Duration
}

func (l *Limited) Error() string { return "weights: limited for " + l.After.String() }

// HTTP makes a Client that speaks the store's protocol.
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
			return versions, &Limited{After: time.Duration(seconds) * time.Second}
		default:
			return versions, fmt.Errorf("weights of %s: status %d", service, response.StatusCode)
		}
	}}
}
