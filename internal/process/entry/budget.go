package entry

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const platformDialTimeout = time.Second

func platformTransport() *http.Transport {
	return &http.Transport{DialContext: (&net.Dialer{Timeout: platformDialTimeout}).DialContext}
}

// newBudget bounds this host's calls of the key-value service by its share.
func newBudget(members *member.Members, m *meter.Meter) *keyvalue.Budget {
	budget := keyvalue.NewBudget(func() keyvalue.Rates {
		live := members.Live()
		return keyvalue.Share(keyvalue.Duty{Hosts: len(live), Zones: countZones(live)})
	})
	budget.Count = countCalls(m)
	return budget
}

func countCalls(m *meter.Meter) func(kind, outcome string) {
	return func(kind, outcome string) {
		m.Counter(fmt.Sprintf("keyvalue_calls_total{kind=%q,outcome=%q}", kind, outcome)).Inc()
	}
}

func countZones(live []member.Peer) int {
	zones := make(map[identity.Zone]bool)
	for _, p := range live {
		zones[p.Zone] = true
	}
	return len(zones)
}
