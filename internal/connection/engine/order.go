package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
)

// ErrStaleFence says that the engine has already applied an order with a higher fence.
var ErrStaleFence = errors.New("engine: order with a stale fence")

// SendOrder sends an order. After an error other than ErrStaleFence it may have been
// applied.
func (c Client) SendOrder(ctx context.Context, address netip.AddrPort, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrStaleFence
	default:
		return fmt.Errorf("order to %s: status %d", address, response.StatusCode)
	}
}
