// Package scenario describes the two users' deployments at their sizes of
// today, for the demo, for tests and for benchmarks.
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

// User is one user's deployment.
type User struct {
	Name   string
	Zones  []configuration.Zone
	Model  identity.Service
	Ledger identity.Service
	// Runners is how many model engines there are, spread over the zones.
	Runners       int
	Organisations []Organisation
	// CostWeight and RecomputeWeight are those of the model service.
	CostWeight      float64
	RecomputeWeight float64
}

// Organisation is one organisation with the key that its callers use.
type Organisation struct {
	ID     identity.Organisation
	Key    string
	Weight float64
	// Share is how often it calls, among all.
	Share float64
}

// Perseid is Perseid Tally Labs, which weighs cost more.
func Perseid() User {
	return User{
		Name: "perseid",
		Zones: []configuration.Zone{
			{ID: "levant-a", Region: "levant"}, {ID: "andes-a", Region: "andes"}, {ID: "karoo-a", Region: "karoo"},
		},
		Model: "tally-models", Ledger: "tally-ledger", Runners: 20,
		Organisations: []Organisation{
			{"observatories", "obs-key", 4, 6}, {"certification", "cert-key", 4, 5}, {"volunteers", "vol-key", 3, 2},
			{"school-clubs", "clubs-key", 1, 1}, {"partners", "part-key", 1, 1},
		},
		CostWeight: 2000, RecomputeWeight: 0.05,
	}
}

// Holloway is Holloway & Tranter, which weighs recomputed tokens more.
func Holloway() User {
	return User{
		Name: "holloway",
		Zones: []configuration.Zone{
			{ID: "derby-a", Region: "derby"}, {ID: "crewe-a", Region: "crewe"}, {ID: "leicester-a", Region: "leicester"},
		},
		Model: "drafting-model", Ledger: "ticket-ledger", Runners: 10,
		Organisations: []Organisation{
			{"inspectors", "insp-key", 4, 6}, {"registry", "reg-key", 3, 4}, {"fitters", "fit-key", 3, 3},
			{"sheds", "shed-key", 1, 1}, {"museums", "mus-key", 1, 1},
		},
		CostWeight: 500, RecomputeWeight: 0.5,
	}
}

// Named finds a user by name.
func Named(name string) (User, error) {
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
	firstEngine  = 101
	ledgerNumber = 201
	peerKey      = "scenario-peer-key"

	// OperatorToken lets an operator in at every entry host.
	OperatorToken = "scenario-operator"
)

// The platform's prices in millionths of the currency.
const (
	smallReclaimable unit.Money = 300_000
	smallOnDemand    unit.Money = 1_000_000
	largeReclaimable unit.Money = 550_000
	largeOnDemand    unit.Money = 1_900_000
	perGigabyte      unit.Money = 20_000
)

// Configuration is what the user's operators declare.
func (u User) Configuration() configuration.Configuration {
	c := configuration.Configuration{Zones: u.Zones}
	c.Services = []configuration.Service{
		{
			ID: u.Model, Kind: configuration.Model, ModelVersion: "v1", RetryShare: 0.1,
			FirstToken:    configuration.Duration(1300 * time.Millisecond),
			BetweenTokens: configuration.Duration(73 * time.Millisecond),
			CostWeight:    u.CostWeight, RecomputeWeight: u.RecomputeWeight,
		},
		{
			ID: u.Ledger, Kind: configuration.Plain, RetryShare: 0.1,
			FirstToken: configuration.Duration(500 * time.Millisecond),
			Calls:      []configuration.CallRule{{Method: "GET", PathPrefix: "/", Repeatable: true}},
		},
	}
	for _, o := range u.Organisations {
		sum := sha256.Sum256([]byte(o.Key))
		c.Organisations = append(c.Organisations, configuration.Organisation{
			ID: o.ID, KeySHA256: []string{hex.EncodeToString(sum[:])}, Weight: o.Weight,
		})
	}
	for i, z := range u.Zones {
		factor := unit.Money(100 + 15*i)
		c.Prices = append(c.Prices,
			configuration.Price{Zone: z.ID, Class: "small", Reclaimable: smallReclaimable * factor / 100, OnDemand: smallOnDemand * factor / 100},
			configuration.Price{Zone: z.ID, Class: "large", Reclaimable: largeReclaimable * factor / 100, OnDemand: largeOnDemand * factor / 100},
		)
		for _, other := range u.Zones[i+1:] {
			c.Links = append(c.Links, configuration.Link{
				From: z.Region, To: other.Region, PerGigabyte: perGigabyte,
				Latency: configuration.Duration(10 * time.Millisecond),
			})
		}
	}
	return c
}

// Addresses places a deployment on loopback IP numbers 127.Net.zone.number.
type Addresses struct {
	Net byte
}

func (a Addresses) at(zone, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, a.Net, zone, number}), port)
}

// Deployment gives the settings of the user's stand-ins.
func (u User) Deployment(a Addresses) deployment.Settings {
	s := deployment.Settings{
		KeyValue: a.at(0, 10, 7001), Cloud: a.at(0, 10, 7002), Weights: a.at(0, 10, 7003),
		LoadsPerSecond: 2,
		ListLag:        configuration.Duration(2 * time.Second),
		StartTime:      configuration.Duration(3 * time.Second),
		SpareAddress:   a.at(0, 20, 0).Addr(),
	}
	for i := range u.Runners {
		zone, number := i%len(u.Zones), i/len(u.Zones)
		class := identity.Class("small")
		if i%2 == 1 {
			class = "large"
		}
		s.Endpoints = append(s.Endpoints, deployment.Endpoint{
			Host: identity.Host(fmt.Sprintf("%s-engine-%d", u.Zones[zone].ID, number+1)), Zone: u.Zones[zone].ID,
			Class: class, Reclaimable: number > 0, Service: u.Model, Kind: configuration.Model,
			Listen: a.at(byte(zone+1), byte(firstEngine+number), endpointPort), IgnoresFence: i%4 == 3,
		})
	}
	for i, z := range u.Zones {
		s.Endpoints = append(s.Endpoints, deployment.Endpoint{
			Host: identity.Host(string(z.ID) + "-ledger-1"), Zone: z.ID, Class: "small", Service: u.Ledger,
			Kind: configuration.Plain, Listen: a.at(byte(i+1), ledgerNumber, endpointPort),
		})
	}
	for _, e := range u.Entries(a) {
		s.EntryHosts = append(s.EntryHosts, deployment.EntryHost{Host: e.Host, Zone: e.Zone, Address: e.PeerListen})
	}
	return s
}

// Entries gives the settings of the user's entry hosts.
func (u User) Entries(a Addresses) []settings.Entry {
	sum := sha256.Sum256([]byte(OperatorToken))
	var list []settings.Entry
	for i := range entryHosts {
		zone, number := i%len(u.Zones), i/len(u.Zones)+1
		s := settings.DefaultEntry()
		s.Host = identity.Host(fmt.Sprintf("%s-entry-%d", u.Zones[zone].ID, number))
		s.Zone = u.Zones[zone].ID
		s.Listen = a.at(byte(zone+1), byte(number), callerPort)
		s.PeerListen = a.at(byte(zone+1), byte(number), peerPort)
		s.Platform = settings.Platform{KeyValue: a.at(0, 10, 7001), Cloud: a.at(0, 10, 7002), Weights: a.at(0, 10, 7003)}
		s.Peer.Keys = []string{peerKey}
		s.Operator.Tokens = []settings.OperatorToken{{Name: "scenario", SHA256: hex.EncodeToString(sum[:])}}
		s.Stop.BalancerLag = configuration.Duration(time.Second)
		s.Bootstrap.Configuration = "scenario"
		list = append(list, s)
	}
	return list
}
