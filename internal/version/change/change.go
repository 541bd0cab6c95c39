// Package change computes and applies the difference between two configurations.
//
// # Size
//
// A configuration may be a megabyte and a change to it a few hundred bytes, so
// hosts exchange changes instead of configurations.
//
// # Order
//
// Applying a change sorts by id each list that it modifies, except stops. Diff
// returns a change that yields exactly the newer configuration; if changed lists
// cannot express that, the change contains the whole newer configuration.
package change

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Change is the difference between two configurations, except for the version.
type Change struct {
	Zones         *ListChange[configuration.Zone, identity.Zone]                 `json:"zones,omitempty"`
	Services      *ListChange[configuration.Service, identity.Service]           `json:"services,omitempty"`
	Organisations *ListChange[configuration.Organisation, identity.Organisation] `json:"organisations,omitempty"`
	Prices        *ListChange[configuration.Price, PriceKey]                     `json:"prices,omitempty"`
	Links         *ListChange[configuration.Link, LinkKey]                       `json:"links,omitempty"`
	Moves         *ListChange[configuration.Move, identity.Version]              `json:"moves,omitempty"`
	Stops         *StopsChange                                                   `json:"stops,omitempty"`
	// Replacement replaces the configuration; the lists are not used then.
	Replacement *configuration.Configuration `json:"whole,omitempty"`
}

// ListChange is the difference between two lists: the items added or replaced, and the
// keys of those removed.
type ListChange[T, K any] struct {
	Put  []T `json:"put,omitempty"`
	Drop []K `json:"drop,omitempty"`
}

// StopsChange is the difference between two lists of stops, which are in order of
// arrival: Drop is how many of the oldest are removed, Add is appended.
type StopsChange struct {
	Drop int                  `json:"drop,omitempty"`
	Add  []configuration.Stop `json:"add,omitempty"`
}

// PriceKey identifies a price.
type PriceKey struct {
	Zone  identity.Zone  `json:"zone"`
	Class identity.Class `json:"class"`
}

// LinkKey identifies a link.
type LinkKey struct {
	From identity.Region `json:"from"`
	To   identity.Region `json:"to"`
}

func zoneKey(z configuration.Zone) identity.Zone                         { return z.ID }
func serviceKey(s configuration.Service) identity.Service                { return s.ID }
func organisationKey(o configuration.Organisation) identity.Organisation { return o.ID }
func priceKey(p configuration.Price) PriceKey                            { return PriceKey{Zone: p.Zone, Class: p.Class} }
func linkKey(l configuration.Link) LinkKey                               { return LinkKey{From: l.From, To: l.To} }

func moveKey(m configuration.Move) identity.Version { return m.Number }

func comparePrices(a, b PriceKey) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Class, b.Class))
}

func compareLinks(a, b LinkKey) int {
	return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
}

// Diff returns the change from older to newer.
func Diff(older, newer configuration.Configuration) Change {
	c := Change{
		Zones:         diffList(older.Zones, newer.Zones, zoneKey),
		Services:      diffList(older.Services, newer.Services, serviceKey),
		Organisations: diffList(older.Organisations, newer.Organisations, organisationKey),
		Prices:        diffList(older.Prices, newer.Prices, priceKey),
		Links:         diffList(older.Links, newer.Links, linkKey),
		Moves:         diffList(older.Moves, newer.Moves, moveKey),
		Stops:         diffStops(older.Stops, newer.Stops),
	}
	if !reflect.DeepEqual(c.Apply(older, newer.Version), newer) {
		newer.Version = 0
		return Change{Replacement: &newer}
	}
	return c
}

// Apply returns older with the change applied, under the given version. older is
// not modified.
func (c Change) Apply(older configuration.Configuration, version identity.Version) configuration.Configuration {
	if c.Replacement != nil {
		next := c.Replacement.Clone()
		next.Version = version
		return next
	}
	next := older
	next.Version = version
	next.Zones = c.Zones.apply(older.Zones, zoneKey, cmp.Compare)
	next.Services = c.Services.apply(older.Services, serviceKey, cmp.Compare)
	next.Organisations = c.Organisations.apply(older.Organisations, organisationKey, cmp.Compare)
	next.Prices = c.Prices.apply(older.Prices, priceKey, comparePrices)
	next.Links = c.Links.apply(older.Links, linkKey, compareLinks)
	next.Moves = c.Moves.apply(older.Moves, moveKey, cmp.Compare)
	next.Stops = c.Stops.apply(older.Stops)
	return next
}

// Normalise returns a copy of c with each list sorted by id and empty lists nil, as
// Apply returns them. Stops keep their order.
func Normalise(c configuration.Configuration) configuration.Configuration {
	c = c.Clone()
	c.Zones, c.Services = nilIfEmpty(c.Zones), nilIfEmpty(c.Services)
	c.Organisations, c.Prices, c.Links = nilIfEmpty(c.Organisations), nilIfEmpty(c.Prices), nilIfEmpty(c.Links)
	c.Moves, c.Stops = nilIfEmpty(c.Moves), nilIfEmpty(c.Stops)
	sortBy(c.Zones, zoneKey, cmp.Compare)
	sortBy(c.Services, serviceKey, cmp.Compare)
	sortBy(c.Organisations, organisationKey, cmp.Compare)
	sortBy(c.Prices, priceKey, comparePrices)
	sortBy(c.Links, linkKey, compareLinks)
	sortBy(c.Moves, moveKey, cmp.Compare)
	return c
}

func nilIfEmpty[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

func sortBy[T, K any](list []T, key func(T) K, compare func(a, b K) int) {
	slices.SortStableFunc(list, func(a, b T) int { return compare(key(a), key(b)) })
}

// diffList returns nil for lists with equal items.
func diffList[T any, K comparable](older, newer []T, key func(T) K) *ListChange[T, K] {
	var l ListChange[T, K]
	remaining := make(map[K]T, len(older))
	for _, item := range older {
		remaining[key(item)] = item
	}
	for _, item := range newer {
		previous, ok := remaining[key(item)]
		if !ok || !reflect.DeepEqual(previous, item) {
			l.Put = append(l.Put, item)
		}
		delete(remaining, key(item))
	}
	for _, item := range older {
		if _, dropped := remaining[key(item)]; dropped {
			l.Drop = append(l.Drop, key(item))
		}
	}
	if len(l.Put)+len(l.Drop) == 0 {
		return nil
	}
	return &l
}

// diffStops finds the smallest number of oldest stops to drop so that the rest is
// a prefix of newer. It returns nil for equal lists.
func diffStops(older, newer []configuration.Stop) *StopsChange {
	if slices.Equal(older, newer) {
		return nil
	}
	for drop := range len(older) + 1 {
		kept := older[drop:]
		if len(kept) <= len(newer) && slices.Equal(kept, newer[:len(kept)]) {
			return &StopsChange{Drop: drop, Add: newer[len(kept):]}
		}
	}
	return nil
}

// apply returns a new list unless s is nil. If Drop exceeds the length of older,
// as after a lost change, all of older is dropped.
func (s *StopsChange) apply(older []configuration.Stop) []configuration.Stop {
	if s == nil {
		return older
	}
	drop := min(max(s.Drop, 0), len(older))
	return nilIfEmpty(append(slices.Clone(older[drop:]), s.Add...))
}

// apply returns a new list, or older itself if l is nil.
func (l *ListChange[T, K]) apply(older []T, key func(T) K, compare func(a, b K) int) []T {
	if l == nil {
		return older
	}
	removed := func(item T) bool {
		matches := func(k K) bool { return compare(k, key(item)) == 0 }
		return slices.ContainsFunc(l.Drop, matches) ||
			slices.ContainsFunc(l.Put, func(put T) bool { return matches(key(put)) })
	}
	next := slices.DeleteFunc(slices.Clone(older), removed)
	next = append(next, l.Put...)
	sortBy(next, key, compare)
	if len(next) == 0 {
		return nil
	}
	return next
}
