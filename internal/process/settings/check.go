package settings

import (
	"fmt"
	"net/netip"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// minKeyLength is the minimum length of a peer key in bytes.
const minKeyLength = 16

// Check returns all mistakes in the settings of an entry host.
func (e Entry) Check() []configuration.Mistake {
	var checker configuration.Checker
	checker.Name("host", string(e.Host))
	checker.Name("zone", string(e.Zone))
	checker.OneOf("log_level", "log level", e.LogLevel, []string{"debug", "info", "warn", "error"})
	var addresses configuration.Unique
	CheckAddress(&checker, &addresses, "listen", e.Listen)
	CheckAddress(&checker, &addresses, "peer_listen", e.PeerListen)
	CheckAddress(&checker, &addresses, "platform.key_value", e.Platform.KeyValue)
	CheckAddress(&checker, &addresses, "platform.cloud", e.Platform.Cloud)
	CheckAddress(&checker, &addresses, "platform.weights", e.Platform.Weights)
	e.Peer.check(&checker)
	e.Operator.check(&checker)
	checker.Require(e.Stop.BalancerLag >= 0, "stop.balancer_lag", "is below 0", configuration.DurationFormat)
	checker.Positive("limits.requests", float64(e.Limits.MaxRequests))
	checker.PositiveDuration("limits.answer_kept", e.Limits.AnswerRetention)
	checker.Require(e.Limits.MaxCoalesceDelay >= 0, "limits.gather", "is below 0", configuration.DurationFormat)
	return checker.Mistakes
}

// CheckAddress checks that an address is present and unique, and has a port.
func CheckAddress(checker *configuration.Checker, seen *configuration.Unique, key string, address netip.AddrPort) {
	const want = `an IP number and port, such as "127.0.0.1:8080"`
	if !address.IsValid() {
		checker.Add(key, "is missing", want)
		return
	}
	checker.Require(address.Port() != 0, key, "has port 0", want)
	seen.Add(checker, key, "address", address.String())
}

func (p Peer) check(checker *configuration.Checker) {
	checker.Require(len(p.Keys) > 0, "peer.keys", "is missing", "a list of at least one key")
	var keys configuration.Unique
	for i, key := range p.Keys {
		path := fmt.Sprintf("peer.keys[%d]", i)
		checker.Require(len(key) >= minKeyLength, path, fmt.Sprintf("has %d bytes", len(key)), fmt.Sprintf("a key of at least %d bytes", minKeyLength))
		keys.Add(checker, path, "key", key)
	}
}

func (o Operator) check(checker *configuration.Checker) {
	var names, digests configuration.Unique
	for i, t := range o.Tokens {
		namePath := fmt.Sprintf("operator.token[%d].name", i)
		checker.Name(namePath, t.Name)
		names.Add(checker, namePath, "operator", t.Name)
		digestPath := fmt.Sprintf("operator.token[%d].sha256", i)
		checker.SHA256(digestPath, t.SHA256)
		digests.Add(checker, digestPath, "token", t.SHA256)
	}
}

// checkBootstrap reports err, the failure to read the bootstrap configuration, or
// that the configuration does not have the host's zone.
func (e Entry) checkBootstrap(c configuration.Configuration, err error) []configuration.Mistake {
	var checker configuration.Checker
	if err != nil {
		checker.Add("bootstrap.configuration", err.Error(), "the path of a configuration, relative to this file")
		return checker.Mistakes
	}
	var zones []string
	for _, z := range c.Zones {
		zones = append(zones, string(z.ID))
	}
	if e.Zone != "" && len(zones) > 0 {
		checker.OneOf("zone", "zone", string(e.Zone), zones)
	}
	return checker.Mistakes
}
