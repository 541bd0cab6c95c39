// Package settings reads the settings file of a process.
//
// # Settings and configuration
//
// Settings belong to one process and don't change while it runs: its addresses, its
// availability zone, and the addresses of the platform. What applies to the whole
// system is the configuration, which is kept in the key-value service.
package settings

import (
	"net/netip"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Entry holds the settings of an entry host.
type Entry struct {
	Host identity.Host `toml:"host"`
	Zone identity.Zone `toml:"zone"`
	// Listen is for callers and operators, PeerListen for other entry hosts.
	Listen     netip.AddrPort `toml:"listen"`
	PeerListen netip.AddrPort `toml:"peer_listen"`
	LogLevel   string         `toml:"log_level"`
	Platform   Platform       `toml:"platform"`
	Bootstrap  Bootstrap      `toml:"bootstrap"`
	Peer       Peer           `toml:"peer"`
	Operator   Operator       `toml:"operator"`
	Stop       Stop           `toml:"stop"`
	Limits     Limits         `toml:"limits"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	KeyValue netip.AddrPort `toml:"key_value"`
	Cloud    netip.AddrPort `toml:"cloud"`
	Weights  netip.AddrPort `toml:"weights"`
}

// Bootstrap names the configuration to store if the key-value service has none.
type Bootstrap struct {
	// Configuration is a path relative to the settings file; empty means none.
	Configuration string `toml:"configuration"`
}

// Peer holds the keys by which entry hosts authenticate each other.
type Peer struct {
	// Keys authenticate peers: the first is sent and all are accepted, so that
	// keys can be rotated without downtime.
	Keys []string `toml:"keys"`
}

// Operator holds the operators that may send queries and commands.
type Operator struct {
	Tokens []OperatorToken `toml:"token"`
}

// OperatorToken is the credential of an operator.
type OperatorToken struct {
	Name   string `toml:"name"`
	SHA256 string `toml:"sha256"`
}

// Stop configures a planned shutdown.
type Stop struct {
	// BalancerLag is how long new requests are accepted after the host reports
	// that it is not ready.
	BalancerLag configuration.Duration `toml:"balancer_lag"`
}

// Limits bounds the resources of one entry host.
type Limits struct {
	MaxRequests int `toml:"requests"`
	// AnswerRetention is how long a finished answer can be fetched again.
	AnswerRetention configuration.Duration `toml:"answer_kept"`
	// MaxCoalesceDelay is the maximum time for which a busy host coalesces the tokens
	// of a stream before sending them; zero sends each one at once.
	MaxCoalesceDelay configuration.Duration `toml:"gather"`
}
