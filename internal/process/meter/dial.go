package meter

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const dialTimeout = time.Second

// Dial returns a dial function for connections whose bytes, sent and received, are
// counted in control_bytes_total under a kind.
func (m *Meter) Dial(kind string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	bytes := m.Counter(fmt.Sprintf("control_bytes_total{kind=%q}", kind))
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, bytes: bytes}, nil
	}
}

// countedConn adds the bytes sent and received to a counter.
type countedConn struct {
	net.Conn
	bytes *metrics.Counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(n)
	return n, err
}
