// Package configuration defines what operators declare: services and their
// latency targets, zones and the links between regions, organisations, and
// prices.
//
// # Versions
//
// A Configuration is an immutable value with a version. Hosts only ever adopt a
// higher version. To change one, copy it with Clone, modify the copy, and propose
// it under the next version.
package configuration

import (
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Configuration is one version of the configuration. change.Normalise sorts its
// slices, except Stops. They are never modified once the value is shared.
type Configuration struct {
	// Version is zero only in a value that has not been accepted.
	Version       identity.Version `toml:"-" json:"version"`
	Zones         []Zone           `toml:"zone" json:"zones"`
	Services      []Service        `toml:"service" json:"services"`
	Organisations []Organisation   `toml:"organisation" json:"organisations"`
	Prices        []Price          `toml:"price" json:"prices"`
	Links         []Link           `toml:"link" json:"links"`
	// Moves and Stops are operators' orders, oldest first. They are not part of
	// configuration files.
	Moves []Move `toml:"-" json:"moves,omitempty"`
	Stops []Stop `toml:"-" json:"stops,omitempty"`
}

// Zone is an availability zone with its region.
type Zone struct {
	ID     identity.Zone   `toml:"id" json:"id"`
	Region identity.Region `toml:"region" json:"region"`
}

// Kind is the type of a service.
type Kind string

// The kinds of service. A Plain service is any that is not a Model, such as a
// ledger.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Service is a model or plain service with its latency targets.
type Service struct {
	ID   identity.Service `toml:"id" json:"id"`
	Kind Kind             `toml:"kind" json:"kind"`
	// FirstTokenTarget and TokenIntervalTarget are targets for the 95th
	// percentile of latency.
	FirstTokenTarget    Duration `toml:"first_token" json:"first_token"`
	TokenIntervalTarget Duration `toml:"between_tokens" json:"between_tokens"`
	// CostWeight and RecomputeWeight convert money and recomputed tokens into the
	// milliseconds of waiting that are acceptable to avoid them.
	CostWeight      float64 `toml:"cost_weight_ms_per_coin" json:"cost_weight_ms_per_coin"`
	RecomputeWeight float64 `toml:"recompute_weight_ms_per_token" json:"recompute_weight_ms_per_token"`
	// RetryShare is the retry budget as a share of successful calls, 0 to 1.
	RetryShare float64 `toml:"retry_share" json:"retry_share"`
	// CallRules lists the rules of a plain service on which calls may be repeated. A
	// call that no rule matches may not be repeated.
	CallRules []CallRule `toml:"call" json:"calls"`
	// ModelVersion and Adapter are what endpoints should have loaded.
	ModelVersion string `toml:"model_version" json:"model_version"`
	Adapter      string `toml:"adapter" json:"adapter"`
}

// CallRule declares whether calls of a method under a path prefix are idempotent.
type CallRule struct {
	Method     string `toml:"method" json:"method"`
	PathPrefix string `toml:"path_prefix" json:"path_prefix"`
	Idempotent bool   `toml:"repeatable" json:"repeatable"`
}

// Organisation is an organisation with its limits and the keys of its callers.
type Organisation struct {
	ID identity.Organisation `toml:"id" json:"id"`
	// KeySHA256 lists the hex SHA-256 of each bearer key.
	KeySHA256 []string `toml:"key_sha256" json:"key_sha256"`
	// Weight is the organisation's relative share under contention, above 0.
	Weight float64 `toml:"weight" json:"weight"`
	// TokensPerSecond limits prompt and generated tokens over all entry hosts;
	// zero means no limit.
	TokensPerSecond unit.Tokens `toml:"tokens_per_second" json:"tokens_per_second"`
}

// Price is the price of a host of a class in a zone.
type Price struct {
	Zone  identity.Zone  `toml:"zone" json:"zone"`
	Class identity.Class `toml:"class" json:"class"`
	// Reclaimable and OnDemand are in millionths of the currency per hour.
	Reclaimable unit.Money `toml:"reclaimable_micro_per_hour" json:"reclaimable_micro_per_hour"`
	OnDemand    unit.Money `toml:"on_demand_micro_per_hour" json:"on_demand_micro_per_hour"`
}

// Link is the connection between two regions, with equal properties both ways.
type Link struct {
	From identity.Region `toml:"from" json:"from"`
	To   identity.Region `toml:"to" json:"to"`
	// PricePerGigabyte is in millionths of the currency.
	PricePerGigabyte unit.Money `toml:"micro_per_gigabyte" json:"micro_per_gigabyte"`
	OneWayLatency    Duration   `toml:"one_way_latency" json:"one_way_latency"`
}

// Duration is a time.Duration written with its unit, as in "1300ms".
type Duration time.Duration

// MarshalText formats d with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Clone returns a deep copy of c.
func (c Configuration) Clone() Configuration {
	c.Zones = slices.Clone(c.Zones)
	c.Services = slices.Clone(c.Services)
	for i := range c.Services {
		c.Services[i].CallRules = slices.Clone(c.Services[i].CallRules)
	}
	c.Organisations = slices.Clone(c.Organisations)
	for i := range c.Organisations {
		c.Organisations[i].KeySHA256 = slices.Clone(c.Organisations[i].KeySHA256)
	}
	c.Prices = slices.Clone(c.Prices)
	c.Links = slices.Clone(c.Links)
	c.Moves = slices.Clone(c.Moves)
	c.Stops = slices.Clone(c.Stops)
	return c
}

// Service returns the service with the given id.
func (c Configuration) Service(id identity.Service) (Service, bool) {
	for _, s := range c.Services {
		if s.ID == id {
			return s, true
		}
	}
	return Service{}, false
}

// Organisation returns the organisation with the given id.
func (c Configuration) Organisation(id identity.Organisation) (Organisation, bool) {
	for _, o := range c.Organisations {
		if o.ID == id {
			return o, true
		}
	}
	return Organisation{}, false
}

// Region returns the region of a zone, or "" for an unknown zone.
func (c Configuration) Region(zone identity.Zone) identity.Region {
	for _, z := range c.Zones {
		if z.ID == zone {
			return z.Region
		}
	}
	return ""
}

// Price returns the price of a class in a zone.
func (c Configuration) Price(zone identity.Zone, class identity.Class) (Price, bool) {
	for _, p := range c.Prices {
		if p.Zone == zone && p.Class == class {
			return p, true
		}
	}
	return Price{}, false
}

// Link returns the link between two regions, or one of zero price and latency if
// none is declared, as within a region.
func (c Configuration) Link(a, b identity.Region) Link {
	for _, l := range c.Links {
		if (l.From == a && l.To == b) || (l.From == b && l.To == a) {
			return l
		}
	}
	return Link{From: a, To: b}
}
