package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// maxEventsBytes is the maximum size of a response with cache events.
const maxEventsBytes = 4 << 20

// Events returns an engine's cache events with sequence numbers above after, and
// the size of the response.
func (c Client) Events(ctx context.Context, address netip.AddrPort, after uint64) (CacheEvents, unit.Bytes, error) {
	var events CacheEvents
	url := "http://" + address.String() + EventsPath + "?after=" + strconv.FormatUint(after, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return events, 0, err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return events, 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return events, 0, fmt.Errorf("cache events of %s: status %d", address, response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxEventsBytes))
	if err != nil {
		return events, 0, err
	}
	err = json.Unmarshal(body, &events)
	return events, unit.Bytes(len(body)), err
}
