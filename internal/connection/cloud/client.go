package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Client accesses a cloud API and its host list. HTTP returns one for the platform's
// protocol.
type Client struct {
	// List returns the host list.
	List func(ctx context.Context) ([]Host, error)
	// Notices returns the notices whose sequence number is above after.
	Notices func(ctx context.Context, after uint64) ([]Notice, error)
	// Start requests a host. After an error other than ErrRefused a host may have
	// been started.
	Start func(ctx context.Context, request StartRequest) (Host, error)
	// Terminate terminates a host. It is idempotent.
	Terminate func(ctx context.Context, host identity.Host) error
}

// ErrRefused says that the cloud had no capacity for the host; none was started.
var ErrRefused = fmt.Errorf("cloud: host is not available")

// HTTP returns a Client that uses the platform's protocol.
func HTTP(address netip.AddrPort, client *http.Client) Client {
	h := httpCloud{base: "http://" + address.String(), client: client}
	return Client{List: h.list, Notices: h.notices, Start: h.start, Terminate: h.terminate}
}

type httpCloud struct {
	base   string
	client *http.Client
}

func (h httpCloud) list(ctx context.Context) ([]Host, error) {
	var answer Hosts
	err := h.do(ctx, http.MethodGet, HostsPath, nil, &answer)
	return answer.Hosts, err
}

func (h httpCloud) notices(ctx context.Context, after uint64) ([]Notice, error) {
	var answer Notices
	err := h.do(ctx, http.MethodGet, NoticesPath+"?after="+strconv.FormatUint(after, 10), nil, &answer)
	return answer.Notices, err
}

func (h httpCloud) start(ctx context.Context, request StartRequest) (Host, error) {
	var host Host
	body, err := json.Marshal(request)
	if err != nil {
		return host, err
	}
	err = h.do(ctx, http.MethodPost, HostsPath, body, &host)
	return host, err
}

func (h httpCloud) terminate(ctx context.Context, host identity.Host) error {
	return h.do(ctx, http.MethodDelete, HostsPath+"/"+string(host), nil, nil)
}

// do makes one call and decodes the response into out unless out is nil.
func (h httpCloud) do(ctx context.Context, method, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.GetBody = nil
	response, err := h.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		return ErrRefused
	case response.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("cloud: %s %s: status %d", method, path, response.StatusCode)
	case out == nil:
		return nil
	}
	return json.NewDecoder(response.Body).Decode(out)
}
