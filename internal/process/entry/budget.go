package entry

import (
	"fmt"
	"net/http"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// platformTransport makes connections to one of the platform's services. Their
// bytes count as control traffic of the given kind.
func platformTransport(m *meter.Meter, kind string) *http.Transport {
	return &http.Transport{DialContext: m.Dial(kind)}
}

// newBudget limits this host's calls to the key-value service, except those for
// claims, the zone's lease and operators' commands, to its share of the service's
// rates.
func newBudget(members *member.Members, m *meter.Meter) *keyvalue.Budget {
	budget := keyvalue.NewBudget(func() keyvalue.Rates {
		live := members.Live()
		return keyvalue.HostRates(keyvalue.HostRole{HostCount: len(live), ZoneCount: countZones(live), Relay: members.IsRelay()})
	})
	budget.OnCall = countCalls(m)
	return budget
}

// commandBudget limits the key-value calls made for operators' commands, and
// commandClient makes these calls.
type commandBudget struct{ *keyvalue.Budget }

type commandClient struct{ keyvalue.Client }

func newCommandBudget(m *meter.Meter) commandBudget {
	budget := keyvalue.NewBudget(keyvalue.CommandRates)
	budget.OnCall = countCalls(m)
	return commandBudget{Budget: budget}
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
