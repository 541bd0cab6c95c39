package entry

import (
	"context"
	"log/slog"

	"go.uber.org/fx"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/lease"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
)

// leaseReadsPerSecond and leaseWritesPerSecond are a relay's separate budget for
// its zone's lease, so that no other use of the key-value service can make the
// lease expire.
const (
	leaseReadsPerSecond  = 2.0
	leaseWritesPerSecond = 2.0
)

// newLease makes the zone's lease, for which its relays compete, the hosts that
// exchange heartbeats with other zones.
func newLease(s settings.Entry, members *member.Members, m *meter.Meter, log *slog.Logger) *lease.Lease {
	budget := keyvalue.NewBudget(func() keyvalue.Rates { return keyvalue.Rates{Reads: leaseReadsPerSecond, Writes: leaseWritesPerSecond} })
	budget.OnCall = countCalls(m)
	kv := budget.Limit(keyvalue.HTTP(s.Platform.KeyValue, platformTransport(m, "lease")))
	l := lease.New(kv, lease.ZoneKey(s.Zone), s.Host, members.Self().Incarnation)
	l.Eligible = members.IsRelay
	l.Log = log
	m.Gauge("lease_held", func() float64 {
		if _, held := l.Held(); held {
			return 1
		}
		return 0
	})
	return l
}

func runLease(lc fx.Lifecycle, l lifetime, zoneLease *lease.Lease) {
	lc.Append(fx.StartHook(func(context.Context) error {
		l.group.Go(func() error { return zoneLease.Run(l.ctx) })
		return nil
	}))
}
