package settings

import (
	"fmt"
	"net/netip"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// shortestKey is the fewest letters of a key that peers know one another by.
const shortestKey = 16

// Check lists everything wrong with the settings of an entry host.
func (e Entry) Check() []configuration.Mistake {
	var found configuration.Checker
	found.Name("host", string(e.Host))
	found.Name("zone", string(e.Zone))
	found.Known("log_level", "log level", e.LogLevel, []string{"debug", "info", "warn", "error"})
	var addresses configuration.Unique
	CheckAddress(&found, &addresses, "listen", e.Listen)
	CheckAddress(&found, &addresses, "peer_listen", e.PeerListen)
	CheckAddress(&found, &addresses, "platform.key_value", e.Platform.KeyValue)
	CheckAddress(&found, &addresses, "platform.cloud", e.Platform.Cloud)
	CheckAddress(&found, &addresses, "platform.weights", e.Platform.Weights)
	e.Peer.check(&found)
	e.Operator.check(&found)
	found.Require(e.Stop.BalancerLag >= 0, "stop.balancer_lag", "is below 0", configuration.WantDuration)
	found.Above("limits.requests", float64(e.Limits.Requests))
	found.Latency("limits.answer_kept", e.Limits.AnswerKept)
	found.Require(e.Limits.Gather >= 0, "limits.gather", "is below 0", configuration.WantDuration)
	return found.Mistakes
}

// CheckAddress checks that an address is there, has a port, and is used once.
func CheckAddress(found *configuration.Checker, seen *configuration.Unique, key string, address netip.AddrPort) {
	const want = `an IP number and port, such as "127.0.0.1:8080"`
	if !address.IsValid() {
		found.Add(key, "is missing", want)
		return
	}
	found.Require(address.Port() != 0, key, "has port 0", want)
	seen.See(found, key, "address", address.String())
}

func (p Peer) check(found *configuration.Checker) {
	found.Require(len(p.Keys) > 0, "peer.keys", "is missing", "a list of at least one key")
	var keys configuration.Unique
	for i, key := range p.Keys {
		at := fmt.Sprintf("peer.keys[%d]", i)
		found.Require(len(key) >= shortestKey, at, fmt.Sprintf("has %d letters", len(key)), fmt.Sprintf("a key of at least %d", shortestKey))
		keys.See(found, at, "key", key)
	}
}

func (o Operator) check(found *configuration.Checker) {
	var names, sums configuration.Unique
	for i, t := range o.Tokens {
		name := fmt.Sprintf("operator.token[%d].name", i)
		found.Name(name, t.Name)
		names.See(found, name, "operator", t.Name)
		sum := fmt.Sprintf("operator.token[%d].sha256", i)
		found.SHA256(sum, t.SHA256)
		sums.See(found, sum, "token", t.SHA256)
	}
}

// checkBootstrap finds a configuration that can't be read, err, or that doesn't
// have the host's zone.
func (e Entry) checkBootstrap(c configuration.Configuration, err error) []configuration.Mistake {
	var found configuration.Checker
	if err != nil {
		found.Add("bootstrap.configuration", err.Error(), "the path of a configuration, relative to this file")
		return found.Mistakes
	}
	var zones []string
	for _, z := range c.Zones {
		zones = append(zones, string(z.ID))
	}
	if e.Zone != "" && len(zones) > 0 {
		found.Known("zone", "zone", string(e.Zone), zones)
	}
	return found.Mistakes
}
