package deployment

import (
	"fmt"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Check returns every mistake in the settings of the stand-ins.
func (s Settings) Check() []configuration.Mistake {
	var checker configuration.Checker
	var hosts, addresses configuration.Unique
	settings.CheckAddress(&checker, &addresses, "key_value", s.KeyValue)
	settings.CheckAddress(&checker, &addresses, "cloud", s.Cloud)
	settings.CheckAddress(&checker, &addresses, "weights", s.Weights)
	checker.NonNegative("loads_per_second", s.LoadsPerSecond)
	checker.Require(s.ListLag >= 0, "list_lag", "is below 0", configuration.DurationFormat)
	checker.Require(s.StartTime >= 0, "start_time", "is below 0", configuration.DurationFormat)
	checker.Require(s.SpareAddress.IsValid(), "spare_address", "is missing", `an IP number, such as "127.0.0.20"`)
	s.Speed.check(&checker)
	checker.Require(len(s.Endpoints) > 0, "endpoint", "is missing", "at least one [[endpoint]]")
	kinds := make(map[identity.Service]configuration.Kind)
	for i, e := range s.Endpoints {
		key := func(field string) string { return fmt.Sprintf("endpoint[%d].%s", i, field) }
		checker.Name(key("host"), string(e.Host))
		hosts.Add(&checker, key("host"), "host", string(e.Host))
		checker.Name(key("zone"), string(e.Zone))
		checker.Name(key("class"), string(e.Class))
		checker.Name(key("service"), string(e.Service))
		checker.OneOf(key("kind"), "kind", string(e.Kind), []string{string(configuration.Model), string(configuration.Plain)})
		settings.CheckAddress(&checker, &addresses, key("listen"), e.Listen)
		if first, ok := kinds[e.Service]; ok && first != e.Kind {
			checker.Add(key("kind"), fmt.Sprintf("is %q, which differs from another endpoint of %q", e.Kind, e.Service), fmt.Sprintf("%q", first))
		}
		kinds[e.Service] = e.Kind
	}
	for i, e := range s.EntryHosts {
		key := func(field string) string { return fmt.Sprintf("entry_host[%d].%s", i, field) }
		checker.Name(key("host"), string(e.Host))
		hosts.Add(&checker, key("host"), "host", string(e.Host))
		checker.OneOf(key("zone"), "zone", string(e.Zone), s.zones())
		settings.CheckAddress(&checker, &addresses, key("address"), e.Address)
	}
	return checker.Mistakes
}

// zones returns the zones of the endpoints, sorted and without duplicates.
func (s Settings) zones() []string {
	var all []string
	for _, e := range s.Endpoints {
		all = append(all, string(e.Zone))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func (s Speed) check(checker *configuration.Checker) {
	checker.NonNegative("speed.prefill_tokens_per_second", float64(s.PrefillTokensPerSecond))
	checker.NonNegative("speed.max_running", float64(s.MaxRunning))
	checker.NonNegative("speed.cache_tokens", float64(s.CacheTokens))
	checker.Require(s.TokenInterval >= 0, "speed.token_interval", "is below 0", configuration.DurationFormat)
	checker.Require(s.IntervalPerRunning >= 0, "speed.interval_per_running", "is below 0", configuration.DurationFormat)
	checker.Require(s.ReportLag >= 0, "speed.report_lag", "is below 0", configuration.DurationFormat)
}
