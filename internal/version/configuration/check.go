package configuration

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Check returns all mistakes in c. It is called for the bootstrap configuration
// at start, and for the configurations before and after each change that an
// operator requests.
func (c Configuration) Check() []Mistake {
	var checker Checker
	c.checkZones(&checker)
	c.checkServices(&checker)
	c.checkOrganisations(&checker)
	c.checkPrices(&checker)
	c.checkLinks(&checker)
	return checker.Mistakes
}

func fieldKey(listKey string, i int, field string) string {
	return fmt.Sprintf("%s[%d].%s", listKey, i, field)
}

func (c Configuration) checkZones(checker *Checker) {
	var ids Unique
	checker.Require(len(c.Zones) > 0, "zone", "is missing", "at least one [[zone]]")
	for i, z := range c.Zones {
		key := fieldKey("zone", i, "id")
		checker.Name(key, string(z.ID))
		ids.Add(checker, key, "zone", string(z.ID))
		checker.Name(fieldKey("zone", i, "region"), string(z.Region))
		priced := slices.ContainsFunc(c.Prices, func(p Price) bool { return p.Zone == z.ID })
		checker.Require(priced || z.ID == "", key, fmt.Sprintf("zone %q has no price", z.ID), "a [[price]] for it")
	}
}

func (c Configuration) checkServices(checker *Checker) {
	var ids Unique
	checker.Require(len(c.Services) > 0, "service", "is missing", "at least one [[service]]")
	for i, s := range c.Services {
		key := fieldKey("service", i, "id")
		checker.Name(key, string(s.ID))
		ids.Add(checker, key, "service", string(s.ID))
		checker.OneOf(fieldKey("service", i, "kind"), "kind", string(s.Kind), []string{string(Model), string(Plain)})
		s.check(checker, i)
	}
}

func (s Service) check(checker *Checker, i int) {
	checker.PositiveDuration(fieldKey("service", i, "first_token"), s.FirstTokenTarget)
	between := fieldKey("service", i, "between_tokens")
	if s.Kind == Model {
		checker.PositiveDuration(between, s.TokenIntervalTarget)
		checker.Require(len(s.CallRules) == 0, fieldKey("service", i, "call"), "is for plain services only", "no [[service.call]] here")
	} else {
		checker.Require(s.TokenIntervalTarget >= 0, between, "is below 0", DurationFormat)
	}
	checker.NonNegative(fieldKey("service", i, "cost_weight_ms_per_coin"), s.CostWeight)
	checker.NonNegative(fieldKey("service", i, "recompute_weight_ms_per_token"), s.RecomputeWeight)
	share := s.RetryShare
	checker.Require(share >= 0 && share <= 1, fieldKey("service", i, "retry_share"), fmt.Sprintf("is %v", share), "a number from 0 to 1")
	s.checkCalls(checker, i)
	if s.ModelVersion != "" {
		checker.Name(fieldKey("service", i, "model_version"), s.ModelVersion)
	}
	if s.Adapter != "" {
		checker.Name(fieldKey("service", i, "adapter"), s.Adapter)
	}
}

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (s Service) checkCalls(checker *Checker, i int) {
	var rules Unique
	for j, rule := range s.CallRules {
		listKey := fieldKey("service", i, "call")
		checker.OneOf(fieldKey(listKey, j, "method"), "method", rule.Method, methods)
		prefix := fieldKey(listKey, j, "path_prefix")
		checker.Require(strings.HasPrefix(rule.PathPrefix, "/"), prefix, fmt.Sprintf("%q does not begin with a slash", rule.PathPrefix), `a path such as "/"`)
		rules.Add(checker, prefix, "rule", rule.Method+" "+rule.PathPrefix)
	}
}

func (c Configuration) checkOrganisations(checker *Checker) {
	var ids, callerKeys Unique
	checker.Require(len(c.Organisations) > 0, "organisation", "is missing", "at least one [[organisation]]")
	for i, o := range c.Organisations {
		key := fieldKey("organisation", i, "id")
		checker.Name(key, string(o.ID))
		ids.Add(checker, key, "organisation", string(o.ID))
		listKey := fieldKey("organisation", i, "key_sha256")
		checker.Require(len(o.KeySHA256) > 0, listKey, "is missing", "the SHA-256 of at least one key")
		for j, sum := range o.KeySHA256 {
			checker.SHA256(fmt.Sprintf("%s[%d]", listKey, j), sum)
			callerKeys.Add(checker, fmt.Sprintf("%s[%d]", listKey, j), "key", sum)
		}
		checker.Positive(fieldKey("organisation", i, "weight"), o.Weight)
		checker.NonNegative(fieldKey("organisation", i, "tokens_per_second"), float64(o.TokensPerSecond))
	}
}

func (c Configuration) checkPrices(checker *Checker) {
	var ids Unique
	zones := stringsOf(c.Zones, func(z Zone) string { return string(z.ID) })
	for i, p := range c.Prices {
		checker.OneOf(fieldKey("price", i, "zone"), "zone", string(p.Zone), zones)
		checker.Name(fieldKey("price", i, "class"), string(p.Class))
		ids.Add(checker, fieldKey("price", i, "class"), "price", string(p.Zone)+" "+string(p.Class))
		checker.Positive(fieldKey("price", i, "reclaimable_micro_per_hour"), float64(p.Reclaimable))
		checker.Positive(fieldKey("price", i, "on_demand_micro_per_hour"), float64(p.OnDemand))
	}
}

func (c Configuration) checkLinks(checker *Checker) {
	regions := c.regions()
	linked := make(map[Link]bool)
	for i, l := range c.Links {
		checker.OneOf(fieldKey("link", i, "from"), "region", string(l.From), regions)
		checker.OneOf(fieldKey("link", i, "to"), "region", string(l.To), regions)
		checker.Require(l.From != l.To || l.From == "", fieldKey("link", i, "to"), "is the same region as from", "another region")
		checker.NonNegative(fieldKey("link", i, "micro_per_gigabyte"), float64(l.PricePerGigabyte))
		checker.Require(l.OneWayLatency >= 0, fieldKey("link", i, "one_way_latency"), "is below 0", DurationFormat)
		pair := regionPair(l.From, l.To)
		checker.Require(!linked[pair], fieldKey("link", i, "to"), fmt.Sprintf("duplicate link between %q and %q", l.From, l.To), "each pair once")
		linked[pair] = true
	}
	for i, a := range regions {
		for _, b := range regions[i+1:] {
			pair := regionPair(identity.Region(a), identity.Region(b))
			checker.Require(linked[pair], "link", fmt.Sprintf("regions %q and %q have no link", a, b), "a [[link]] for each pair of regions")
		}
	}
}

// regionPair returns the same value for either order of two regions.
func regionPair(a, b identity.Region) Link {
	return Link{From: min(a, b), To: max(a, b)}
}

// regions returns the regions of the zones, sorted and without duplicates.
func (c Configuration) regions() []string {
	all := stringsOf(c.Zones, func(z Zone) string { return string(z.Region) })
	all = slices.DeleteFunc(all, func(r string) bool { return r == "" })
	slices.Sort(all)
	return slices.Compact(all)
}

func stringsOf[T any](list []T, name func(T) string) []string {
	all := make([]string, 0, len(list))
	for _, item := range list {
		all = append(all, name(item))
	}
	return all
}
