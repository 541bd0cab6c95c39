// Package scenario describes the deployments of two users, Perseid Tally Labs and
// Holloway & Tranter, for the demo, tests and benchmarks.
package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/standin/deployment"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// User describes the deployment of one user.
type User struct {
	Name   string
	Zones  []configuration.Zone
	Model  identity.Service
	Ledger identity.Service
	// ModelEngines is the number of model engines, distributed over the zones.
	ModelEngines  int
	Organisations []Organisation
	// CostWeight and RecomputeWeight are the routing weights of the model service.
	CostWeight      float64
	RecomputeWeight float64
}

// Organisation is an organisation with the key of its callers.
type Organisation struct {
	ID     identity.Organisation
	Key    string
	Weight float64
	// Share is the relative frequency of its calls.
	Share float64
}

// Perseid returns the deployment of Perseid Tally Labs, for which cost matters
// more than recomputed tokens.
func Perseid() User {
	return User{
		Name: "perseid",
		Zones: []configuration.Zone{
			{ID: "levant-a", Region: "levant"}, {ID: "andes-a", Region: "andes"}, {ID: "karoo-a", Region: "karoo"},
		},
		Model: "tally-models", Ledger: "tally-ledger", ModelEngines: 20,
		Organisations: []Organisation{
			{"observatories", "obs-key", 4, 6}, {"certification", "cert-key", 4, 5}, {"volunteers", "vol-key", 3, 2},
			{"school-clubs", "clubs-key", 1, 1}, {"partners", "part-key", 1, 1},
		},
		CostWeight: 2000, RecomputeWeight: 0.05,
	}
}

// Holloway returns the deployment of Holloway & Tranter, for which recomputed
// tokens matter more than cost.
func Holloway() User {
	return User{
		Name: "holloway",
		Zones: []configuration.Zone{
			{ID: "derby-a", Region: "derby"}, {ID: "crewe-a", Region: "crewe"}, {ID: "leicester-a", Region: "leicester"},
		},
		Model: "drafting-model", Ledger: "ticket-ledger", ModelEngines: 10,
		Organisations: []Organisation{
			{"inspectors", "insp-key", 4, 6}, {"registry", "reg-key", 3, 4}, {"fitters", "fit-key", 3, 3},
			{"sheds", "shed-key", 1, 1}, {"museums", "mus-key", 1, 1},
		},
		CostWeight: 500, RecomputeWeight: 0.5,
	}
}

// UserNamed returns the user with the given name.
func UserNamed(name string) (User, error) {
	for _, u := range []User{Perseid(), Holloway()} {
		if u.Name == name {
			return u, nil
		}
	}
	return User{}, fmt.Errorf("unknown user %q: want perseid or holloway", name)
}

const (
	entryHosts   = 8
	callerPort   = 8080
	peerPort     = 8081
	endpointPort = 9000
	// firstEngineNumber and ledgerNumber are last bytes of addresses.
	firstEngineNumber = 101
	ledgerNumber      = 201
	peerKey           = "scenario-peer-key"

	// OperatorToken authorises an operator at every entry host.
	OperatorToken = "scenario-operator"
)

// Prices per hour, and per gigabyte transferred, in millionths of the currency.
const (
	smallReclaimable    unit.Money = 300_000
	smallOnDemand       unit.Money = 1_000_000
	largeReclaimable    unit.Money = 550_000
	largeOnDemand       unit.Money = 1_900_000
	transferPerGigabyte unit.Money = 20_000
)

// Configuration returns the configuration that the user's operators declare. A
// zone's prices are 15% of the base price higher than those of the zone before it.
func (u User) Configuration() configuration.Configuration {
	c := configuration.Configuration{Zones: u.Zones}
	c.Services = []configuration.Service{
		{
			ID: u.Model, Kind: configuration.Model, ModelVersion: "v1", RetryShare: 0.1,
			FirstTokenTarget:    configuration.Duration(1300 * time.Millisecond),
			TokenIntervalTarget: configuration.Duration(73 * time.Millisecond),
			CostWeight:          u.CostWeight, RecomputeWeight: u.RecomputeWeight,
		},
		{
			ID: u.Ledger, Kind: configuration.Plain, RetryShare: 0.1,
			FirstTokenTarget: configuration.Duration(500 * time.Millisecond),
			CallRules:        []configuration.CallRule{{Method: "GET", PathPrefix: "/", Idempotent: true}},
		},
	}
	for _, o := range u.Organisations {
		sum := sha256.Sum256([]byte(o.Key))
		c.Organisations = append(c.Organisations, configuration.Organisation{
			ID: o.ID, KeySHA256: []string{hex.EncodeToString(sum[:])}, Weight: o.Weight,
		})
	}
	for i, z := range u.Zones {
		percent := unit.Money(100 + 15*i)
		c.Prices = append(c.Prices,
			configuration.Price{Zone: z.ID, Class: "small", Reclaimable: smallReclaimable * percent / 100, OnDemand: smallOnDemand * percent / 100},
			configuration.Price{Zone: z.ID, Class: "large", Reclaimable: largeReclaimable * percent / 100, OnDemand: largeOnDemand * percent / 100},
		)
		for _, other := range u.Zones[i+1:] {
			c.Links = append(c.Links, configuration.Link{
				From: z.Region, To: other.Region, PricePerGigabyte: transferPerGigabyte,
				OneWayLatency: configuration.Duration(10 * time.Millisecond),
			})
		}
	}
	return c
}

// Addresses assigns loopback addresses of the form 127.Net.zone.number.
type Addresses struct {
	Net byte
}

func (a Addresses) address(zone, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, a.Net, zone, number}), port)
}

// Deployment returns the settings of the user's stand-ins.
func (u User) Deployment(a Addresses) deployment.Settings {
	s := deployment.Settings{
		KeyValue: a.address(0, 10, 7001), Cloud: a.address(0, 10, 7002), Weights: a.address(0, 10, 7003),
		LoadsPerSecond: 2,
		ListLag:        configuration.Duration(2 * time.Second),
		StartTime:      configuration.Duration(3 * time.Second),
		SpareAddress:   a.address(0, 20, 0).Addr(),
	}
	for i := range u.ModelEngines {
		zone, number := i%len(u.Zones), i/len(u.Zones)
		class := identity.Class("small")
		if i%2 == 1 {
			class = "large"
		}
		s.Endpoints = append(s.Endpoints, deployment.Endpoint{
			Host: identity.Host(fmt.Sprintf("%s-engine-%d", u.Zones[zone].ID, number+1)), Zone: u.Zones[zone].ID,
			Class: class, Reclaimable: number > 0, Service: u.Model, Kind: configuration.Model,
			Listen: a.address(byte(zone+1), byte(firstEngineNumber+number), endpointPort), IgnoresFence: i%4 == 3,
		})
	}
	for i, z := range u.Zones {
		s.Endpoints = append(s.Endpoints, deployment.Endpoint{
			Host: identity.Host(string(z.ID) + "-ledger-1"), Zone: z.ID, Class: "small", Service: u.Ledger,
			Kind: configuration.Plain, Listen: a.address(byte(i+1), ledgerNumber, endpointPort),
		})
	}
	for _, e := range u.Entries(a) {
		s.EntryHosts = append(s.EntryHosts, deployment.EntryHost{Host: e.Host, Zone: e.Zone, Address: e.PeerListen})
	}
	return s
}

// Entries returns the settings of the user's entry hosts.
func (u User) Entries(a Addresses) []settings.Entry {
	sum := sha256.Sum256([]byte(OperatorToken))
	var list []settings.Entry
	for i := range entryHosts {
		zone, number := i%len(u.Zones), i/len(u.Zones)+1
		s := settings.DefaultEntry()
		s.Host = identity.Host(fmt.Sprintf("%s-entry-%d", u.Zones[zone].ID, number))
		s.Zone = u.Zones[zone].ID
		s.Listen = a.address(byte(zone+1), byte(number), callerPort)
		s.PeerListen = a.address(byte(zone+1), byte(number), peerPort)
		s.Platform = settings.Platform{KeyValue: a.address(0, 10, 7001), Cloud: a.address(0, 10, 7002), Weights: a.address(0, 10, 7003)}
		s.Peer.Keys = []string{peerKey}
		s.Operator.Tokens = []settings.OperatorToken{{Name: "scenario", SHA256: hex.EncodeToString(sum[:])}}
		s.Stop.BalancerLag = configuration.Duration(time.Second)
		s.Bootstrap.Configuration = "scenario"
		list = append(list, s)
	}
	return list
}
