package meter

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const dialTimeout = time.Second

// Dial opens connections whose bytes, sent and received, count as control of a
// kind in control_bytes_total.
func (m *Meter) Dial(kind string) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	count := m.Counter(fmt.Sprintf("control_bytes_total{kind=%q}", kind))
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, count: count}, nil
	}
}

// countedConn adds the bytes of both ways to a counter.
type countedConn struct {
	net.Conn
	count *metrics.Counter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(n)
	return n, err
}
