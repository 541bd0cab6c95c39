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

// BytesPerToken is the typical size of one token in the KV cache.
const BytesPerToken = 160 * unit.Kilobyte

// ID returns the ID of a block's cache entry.
func (b Block) ID() string { return strconv.FormatUint(uint64(b), 16) }

// Entries returns the cache entries that an incarnation can export.
func (c Client) Entries(ctx context.Context, address netip.AddrPort, incarnation identity.Incarnation) (Entries, error) {
	var entries Entries
	body, err := c.callEntry(ctx, http.MethodGet, address, EntriesPath, incarnation, nil)
	if err != nil {
		return entries, err
	}
	err = json.Unmarshal(body, &entries)
	return entries, err
}

// Export returns the content of one entry, which stays in the engine's cache.
func (c Client) Export(ctx context.Context, address netip.AddrPort, incarnation identity.Incarnation, id string) ([]byte, error) {
	return c.callEntry(ctx, http.MethodGet, address, EntriesPath+"/"+id, incarnation, nil)
}

// Import sends an exported entry to an engine, which uses it only if it arrived
// completely. Import is idempotent.
func (c Client) Import(ctx context.Context, address netip.AddrPort, incarnation identity.Incarnation, id string, exported []byte) error {
	_, err := c.callEntry(ctx, http.MethodPut, address, EntriesPath+"/"+id, incarnation, exported)
	return err
}

// callEntry makes one call that is addressed to an incarnation.
func (c Client) callEntry(ctx context.Context, method string, address netip.AddrPort, path string, incarnation identity.Incarnation, body []byte) ([]byte, error) {
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
