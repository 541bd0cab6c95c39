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

// leaseReads and leaseWrites bound a relay's calls for its zone's lease, so that
// no other use of the service makes it lapse.
const (
	leaseReads  = 2.0
	leaseWrites = 2.0
)

// newLease makes the zone's lease, which the zone's relays contend for.
func newLease(s settings.Entry, members *member.Members, m *meter.Meter, log *slog.Logger) *lease.Lease {
	budget := keyvalue.NewBudget(func() keyvalue.Rates { return keyvalue.Rates{Reads: leaseReads, Writes: leaseWrites} })
	budget.Count = countCalls(m)
	kv := budget.Limit(keyvalue.HTTP(s.Platform.KeyValue, platformTransport(m, "lease")))
	l := lease.New(kv, lease.ZoneKey(s.Zone), s.Host, members.Self().Incarnation)
	l.Contend = members.Relay
	l.Log = log
	m.Gauge("lease_held", func() float64 {
		if _, held := l.Held(); held {
			return 1
		}
		return 0
	})
	return l
}

func runLease(lc fx.Lifecycle, l lifetime, zone *lease.Lease) {
	lc.Append(fx.StartHook(func(context.Context) error {
		l.group.Go(func() error { return zone.Run(l.ctx) })
		return nil
	}))
}
