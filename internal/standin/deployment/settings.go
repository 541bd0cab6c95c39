// Package deployment runs the stand-ins of a whole deployment in one process:
// the platform's services, model engines and ledgers, each on its own address.
package deployment

import (
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/standin/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Settings describes the stand-ins that the standin command runs.
type Settings struct {
	KeyValue netip.AddrPort `toml:"key_value" json:"key_value"`
	Cloud    netip.AddrPort `toml:"cloud" json:"cloud"`
	Weights  netip.AddrPort `toml:"weights" json:"weights"`
	// LoadsPerSecond is the rate limit of the weight store; zero selects the default.
	LoadsPerSecond float64                `toml:"loads_per_second" json:"loads_per_second"`
	ListLag        configuration.Duration `toml:"list_lag" json:"list_lag"`
	// SpareAddress is the address on which hosts started later listen, each on a
	// free port.
	SpareAddress netip.Addr `toml:"spare_address" json:"spare_address"`
	// StartTime is the time that a new host takes to start.
	StartTime configuration.Duration `toml:"start_time" json:"start_time"`
	Speed     Speed                  `toml:"speed" json:"speed"`
	// Endpoints run in this process; EntryHosts only appear in the host list.
	Endpoints  []Endpoint  `toml:"endpoint" json:"endpoints"`
	EntryHosts []EntryHost `toml:"entry_host" json:"entry_hosts"`
}

// Speed configures the performance of the model engines.
type Speed struct {
	PrefillTokensPerSecond unit.Tokens            `toml:"prefill_tokens_per_second" json:"prefill_tokens_per_second"`
	TokenInterval          configuration.Duration `toml:"token_interval" json:"token_interval"`
	IntervalPerRunning     configuration.Duration `toml:"interval_per_running" json:"interval_per_running"`
	MaxRunning             int                    `toml:"max_running" json:"max_running"`
	CacheTokens            unit.Tokens            `toml:"cache_tokens" json:"cache_tokens"`
	ReportLag              configuration.Duration `toml:"report_lag" json:"report_lag"`
}

// Endpoint is one model engine or ledger.
type Endpoint struct {
	Host        identity.Host      `toml:"host" json:"host"`
	Zone        identity.Zone      `toml:"zone" json:"zone"`
	Class       identity.Class     `toml:"class" json:"class"`
	Reclaimable bool               `toml:"reclaimable" json:"reclaimable"`
	Service     identity.Service   `toml:"service" json:"service"`
	Kind        configuration.Kind `toml:"kind" json:"kind"`
	Listen      netip.AddrPort     `toml:"listen" json:"listen"`
	// Advertise replaces the listening address in the host list if it is set.
	Advertise netip.AddrPort `toml:"advertise,omitempty" json:"advertise"`
	// IgnoresFence makes the engine accept orders with a stale fence.
	IgnoresFence bool `toml:"ignores_fence" json:"ignores_fence"`
}

// EntryHost is an entry of the host list for a separate process.
type EntryHost struct {
	Host    identity.Host  `toml:"host" json:"host"`
	Zone    identity.Zone  `toml:"zone" json:"zone"`
	Address netip.AddrPort `toml:"address" json:"address"`
}

// engineSpeed returns the engine speed, with defaults for values that are unset.
func (s Speed) engineSpeed() engine.Speed {
	speed := engine.DefaultSpeed
	if s.PrefillTokensPerSecond > 0 {
		speed.PrefillTokensPerSecond = s.PrefillTokensPerSecond
	}
	if s.TokenInterval > 0 {
		speed.TokenInterval = time.Duration(s.TokenInterval)
	}
	if s.IntervalPerRunning > 0 {
		speed.IntervalPerRunning = time.Duration(s.IntervalPerRunning)
	}
	if s.MaxRunning > 0 {
		speed.MaxRunning = s.MaxRunning
	}
	if s.CacheTokens > 0 {
		speed.CacheTokens = s.CacheTokens
	}
	if s.ReportLag > 0 {
		speed.ReportLag = time.Duration(s.ReportLag)
	}
	return speed
}
