package configuration

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Check lists everything wrong with c: at start with the bootstrap
// configuration, and before each change that an operator orders.
func (c Configuration) Check() []Mistake {
	var found Checker
	c.checkZones(&found)
	c.checkServices(&found)
	c.checkOrganisations(&found)
	c.checkPrices(&found)
	c.checkLinks(&found)
	return found.Mistakes
}

func at(list string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, i, field)
}

func (c Configuration) checkZones(found *Checker) {
	var ids Unique
	found.Require(len(c.Zones) > 0, "zone", "is missing", "at least one [[zone]]")
	for i, z := range c.Zones {
		key := at("zone", i, "id")
		found.Name(key, string(z.ID))
		ids.See(found, key, "zone", string(z.ID))
		found.Name(at("zone", i, "region"), string(z.Region))
		priced := slices.ContainsFunc(c.Prices, func(p Price) bool { return p.Zone == z.ID })
		found.Require(priced || z.ID == "", key, fmt.Sprintf("zone %q has no price", z.ID), "a [[price]] for it")
	}
}

func (c Configuration) checkServices(found *Checker) {
	var ids Unique
	found.Require(len(c.Services) > 0, "service", "is missing", "at least one [[service]]")
	for i, s := range c.Services {
		key := at("service", i, "id")
		found.Name(key, string(s.ID))
		ids.See(found, key, "service", string(s.ID))
		found.Known(at("service", i, "kind"), "kind", string(s.Kind), []string{string(Model), string(Plain)})
		s.check(found, i)
	}
}

func (s Service) check(found *Checker, i int) {
	found.Latency(at("service", i, "first_token"), s.FirstToken)
	between := at("service", i, "between_tokens")
	if s.Kind == Model {
		found.Latency(between, s.BetweenTokens)
		found.Require(len(s.Calls) == 0, at("service", i, "call"), "is for plain services only", "no [[service.call]] here")
	} else {
		found.Require(s.BetweenTokens >= 0, between, "is below 0", WantDuration)
	}
	found.NotBelow(at("service", i, "cost_weight_ms_per_coin"), s.CostWeight)
	found.NotBelow(at("service", i, "recompute_weight_ms_per_token"), s.RecomputeWeight)
	share := s.RetryShare
	found.Require(share >= 0 && share <= 1, at("service", i, "retry_share"), fmt.Sprintf("is %v", share), "a number from 0 to 1")
	s.checkCalls(found, i)
	if s.ModelVersion != "" {
		found.Name(at("service", i, "model_version"), s.ModelVersion)
	}
	if s.Adapter != "" {
		found.Name(at("service", i, "adapter"), s.Adapter)
	}
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (s Service) checkCalls(found *Checker, i int) {
	var rules Unique
	for j, rule := range s.Calls {
		list := at("service", i, "call")
		found.Known(at(list, j, "method"), "method", rule.Method, methods)
		prefix := at(list, j, "path_prefix")
		found.Require(strings.HasPrefix(rule.PathPrefix, "/"), prefix, fmt.Sprintf("%q does not begin with a slash", rule.PathPrefix), `a path such as "/"`)
		rules.See(found, prefix, "rule", rule.Method+" "+rule.PathPrefix)
	}
}

func (c Configuration) checkOrganisations(found *Checker) {
	var ids, keys Unique
	found.Require(len(c.Organisations) > 0, "organisation", "is missing", "at least one [[organisation]]")
	for i, o := range c.Organisations {
		key := at("organisation", i, "id")
		found.Name(key, string(o.ID))
		ids.See(found, key, "organisation", string(o.ID))
		list := at("organisation", i, "key_sha256")
		found.Require(len(o.KeySHA256) > 0, list, "is missing", "the SHA-256 of at least one key")
		for j, sum := range o.KeySHA256 {
			found.SHA256(fmt.Sprintf("%s[%d]", list, j), sum)
			keys.See(found, fmt.Sprintf("%s[%d]", list, j), "key", sum)
		}
		found.Above(at("organisation", i, "weight"), o.Weight)
		found.NotBelow(at("organisation", i, "tokens_per_second"), float64(o.TokensPerSecond))
	}
}

func (c Configuration) checkPrices(found *Checker) {
	var ids Unique
	zones := names(c.Zones, func(z Zone) string { return string(z.ID) })
	for i, p := range c.Prices {
		found.Known(at("price", i, "zone"), "zone", string(p.Zone), zones)
		found.Name(at("price", i, "class"), string(p.Class))
		ids.See(found, at("price", i, "class"), "price", string(p.Zone)+" "+string(p.Class))
		found.Above(at("price", i, "reclaimable_micro_per_hour"), float64(p.Reclaimable))
		found.Above(at("price", i, "on_demand_micro_per_hour"), float64(p.OnDemand))
	}
}

func (c Configuration) checkLinks(found *Checker) {
	regions := c.regions()
	linked := make(map[Link]bool)
	for i, l := range c.Links {
		found.Known(at("link", i, "from"), "region", string(l.From), regions)
		found.Known(at("link", i, "to"), "region", string(l.To), regions)
		found.Require(l.From != l.To || l.From == "", at("link", i, "to"), "is the region that the link is from", "another region")
		found.NotBelow(at("link", i, "micro_per_gigabyte"), float64(l.PerGigabyte))
		found.Require(l.Latency >= 0, at("link", i, "one_way_latency"), "is below 0", WantDuration)
		pair := between(l.From, l.To)
		found.Require(!linked[pair], at("link", i, "to"), fmt.Sprintf("duplicate link between %q and %q", l.From, l.To), "each pair once")
		linked[pair] = true
	}
	for i, a := range regions {
		for _, b := range regions[i+1:] {
			pair := between(identity.Region(a), identity.Region(b))
			found.Require(linked[pair], "link", fmt.Sprintf("regions %q and %q have no link", a, b), "a [[link]] for each pair of regions")
		}
	}
}

// between gives one value for a pair of regions, whichever comes first.
func between(a, b identity.Region) Link {
	return Link{From: min(a, b), To: max(a, b)}
}

// regions lists each region of the zones once, sorted.
func (c Configuration) regions() []string {
	all := names(c.Zones, func(z Zone) string { return string(z.Region) })
	all = slices.DeleteFunc(all, func(r string) bool { return r == "" })
	slices.Sort(all)
	return slices.Compact(all)
}

func names[T any](list []T, name func(T) string) []string {
	all := make([]string, 0, len(list))
	for _, v := range list {
		all = append(all, name(v))
	}
	return all
}
