package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// BytesPerToken is the usual size of one cached token's keys and values.
const BytesPerToken = 160 * unit.Kilobyte

// ID is the name of a block's entry.
func (b Block) ID() string { return strconv.FormatUint(uint64(b), 16) }

// Entries lists what an incarnation's cache holds.
func (c Client) Entries(ctx context.Context, address netip.AddrPort, incarnation identity.Incarnation) (Entries, error) {
	var entries Entries
	body, err := c.entry(ctx, http.MethodGet, address, EntriesPath, incarnation, nil)
	if err != nil {
		return entries, err
	}
	err = json.Unmarshal(body, &entries)
	return entries, err
}

// Export reads one entry whole; it is not taken from the engine.
func (c Client) Export(ctx context.Context, address netip.AddrPort, incarnation identity.Incarnation, id string) ([]byte, error) {
	return c.entry(ctx, http.MethodGet, address, EntriesPath+"/"+id, incarnation, nil)
}

// Import gives an engine an exported entry. The engine uses it only if all of
// it arrived; a repeat changes nothing.
func (c Client) Import(ctx context.Context, address netip.AddrPort, incarnation identity.Incarnation, id string, exported []byte) error {
	_, err := c.entry(ctx, http.MethodPut, address, EntriesPath+"/"+id, incarnation, exported)
	return err
}

// entry makes one call that names the incarnation it means.
func (c Client) entry(ctx context.Context, method string, address netip.AddrPort, path string, incarnation identity.Incarnation, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(IncarnationHeader, string(incarnation))
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s of %s: status %d", method, path, address, response.StatusCode)
	}
	return answer, err
}
