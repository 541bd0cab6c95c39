// Package settings reads the file that a process starts with.
//
// # Settings and configuration
//
// Settings belong to one process and never change while it runs: its addresses,
// its availability zone, where the platform is. What operators agree on for the
// whole system is the configuration, which lives in the key-value service.
package settings

import (
	"net/netip"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Entry is the file of an entry host.
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

// Platform says where the platform's services are.
type Platform struct {
	KeyValue netip.AddrPort `toml:"key_value"`
	Cloud    netip.AddrPort `toml:"cloud"`
	Weights  netip.AddrPort `toml:"weights"`
}

// Bootstrap names the configuration to offer when the service has none.
type Bootstrap struct {
	// Configuration is a path relative to the settings file; empty offers none.
	Configuration string `toml:"configuration"`
}

// Peer holds what entry hosts know one another by.
type Peer struct {
	// Keys authenticate peers: the first is sent, all are accepted, so that a
	// key can be replaced without a stop.
	Keys []string `toml:"keys"`
}

// Operator holds who may ask and order.
type Operator struct {
	Tokens []OperatorToken `toml:"token"`
}

// OperatorToken lets one operator in.
type OperatorToken struct {
	Name   string `toml:"name"`
	SHA256 string `toml:"sha256"`
}

// Stop says how a planned stop goes.
type Stop struct {
	// BalancerLag is how long new requests are still taken after unready.
	BalancerLag configuration.Duration `toml:"balancer_lag"`
}

// Limits bounds what one entry host holds.
type Limits struct {
	Requests int `toml:"requests"`
	// AnswerKept is how long a finished answer can be fetched again.
	AnswerKept configuration.Duration `toml:"answer_kept"`
	// Gather is how long tokens of one stream gather at the most before they
	// are passed on, when the host is busy; zero passes each on at once.
	Gather configuration.Duration `toml:"gather"`
}
