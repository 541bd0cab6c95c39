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

// Settings is the file of the standin command.
type Settings struct {
	KeyValue netip.AddrPort `toml:"key_value" json:"key_value"`
	Cloud    netip.AddrPort `toml:"cloud" json:"cloud"`
	Weights  netip.AddrPort `toml:"weights" json:"weights"`
	// LoadsPerSecond is the weight store's limit.
	LoadsPerSecond float64                `toml:"loads_per_second" json:"loads_per_second"`
	ListLag        configuration.Duration `toml:"list_lag" json:"list_lag"`
	// SpareAddress is where hosts started later listen, each on a free port.
	SpareAddress netip.Addr `toml:"spare_address" json:"spare_address"`
	// StartTime is how long a new host takes until it serves.
	StartTime configuration.Duration `toml:"start_time" json:"start_time"`
	Speed     Speed                  `toml:"speed" json:"speed"`
	// Endpoints run here; EntryHosts only appear in the host list.
	Endpoints  []Endpoint  `toml:"endpoint" json:"endpoints"`
	EntryHosts []EntryHost `toml:"entry_host" json:"entry_hosts"`
}

// Speed is how fast the model engines work.
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
	// Advertise is the address in the host list, where it is not Listen.
	Advertise netip.AddrPort `toml:"advertise,omitempty" json:"advertise"`
	// IgnoresFence makes the engine obey orders with an old fence.
	IgnoresFence bool `toml:"ignores_fence" json:"ignores_fence"`
}

// EntryHost is a line of the host list for a process that runs elsewhere.
type EntryHost struct {
	Host    identity.Host  `toml:"host" json:"host"`
	Zone    identity.Zone  `toml:"zone" json:"zone"`
	Address netip.AddrPort `toml:"address" json:"address"`
}

// engineSpeed fills what the settings leave out with the stand-in's defaults.
func (s Speed) engineSpeed() engine.Speed {
	speed := engine.DefaultSpeed
	if s.PrefillTokensPerSecond > 0 {
		speed.PrefillPerSecond = s.PrefillTokensPerSecond
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
