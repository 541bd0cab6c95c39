// Package change holds what differs between two configurations.
//
// # Size
//
// A configuration may be a megabyte and a change of it a few hundred bytes, so
// hosts pass changes on and not configurations.
//
// # Order
//
// Applying a change sorts the lists it touches by id. Between gives a change
// that leads exactly to the newer configuration; where the lists say too little
// for that, it carries the newer configuration whole.
package change

import (
	"cmp"
	"reflect"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Change leads from one configuration to another, but for the version.
type Change struct {
	Zones         *List[configuration.Zone, identity.Zone]                 `json:"zones,omitempty"`
	Services      *List[configuration.Service, identity.Service]           `json:"services,omitempty"`
	Organisations *List[configuration.Organisation, identity.Organisation] `json:"organisations,omitempty"`
	Prices        *List[configuration.Price, PriceKey]                     `json:"prices,omitempty"`
	Links         *List[configuration.Link, LinkKey]                       `json:"links,omitempty"`
	Moves         *List[configuration.Move, identity.Version]              `json:"moves,omitempty"`
	Stops         *Stops                                                   `json:"stops,omitempty"`
	// Whole replaces everything, in place of the lists.
	Whole *configuration.Configuration `json:"whole,omitempty"`
}

// List is what changed in one list of a configuration.
type List[T, K any] struct {
	Put  []T `json:"put,omitempty"`
	Drop []K `json:"drop,omitempty"`
}

// Stops is what changed in the stops, which are kept in the order of their
// coming: the oldest drop out, new ones are added.
type Stops struct {
	Drop int                  `json:"drop,omitempty"`
	Add  []configuration.Stop `json:"add,omitempty"`
}

// PriceKey names a price.
type PriceKey struct {
	Zone  identity.Zone  `json:"zone"`
	Class identity.Class `json:"class"`
}

// LinkKey names a link.
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

// Between gives the change from older to newer.
func Between(older, newer configuration.Configuration) Change {
	c := Change{
		Zones:         listBetween(older.Zones, newer.Zones, zoneKey),
		Services:      listBetween(older.Services, newer.Services, serviceKey),
		Organisations: listBetween(older.Organisations, newer.Organisations, organisationKey),
		Prices:        listBetween(older.Prices, newer.Prices, priceKey),
		Links:         listBetween(older.Links, newer.Links, linkKey),
		Moves:         listBetween(older.Moves, newer.Moves, moveKey),
		Stops:         stopsBetween(older.Stops, newer.Stops),
	}
	if !reflect.DeepEqual(c.Apply(older, newer.Version), newer) {
		newer.Version = 0
		return Change{Whole: &newer}
	}
	return c
}

// Apply gives the configuration after older, under a version.
func (c Change) Apply(older configuration.Configuration, version identity.Version) configuration.Configuration {
	if c.Whole != nil {
		next := c.Whole.Clone()
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

// Sorted gives c with each list sorted by id, and nil where it is empty, as
// changes leave them.
func Sorted(c configuration.Configuration) configuration.Configuration {
	c = c.Clone()
	c.Zones, c.Services = orNil(c.Zones), orNil(c.Services)
	c.Organisations, c.Prices, c.Links = orNil(c.Organisations), orNil(c.Prices), orNil(c.Links)
	c.Moves, c.Stops = orNil(c.Moves), orNil(c.Stops)
	sortBy(c.Zones, zoneKey, cmp.Compare)
	sortBy(c.Services, serviceKey, cmp.Compare)
	sortBy(c.Organisations, organisationKey, cmp.Compare)
	sortBy(c.Prices, priceKey, comparePrices)
	sortBy(c.Links, linkKey, compareLinks)
	sortBy(c.Moves, moveKey, cmp.Compare)
	return c
}

func orNil[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return list
}

func sortBy[T, K any](list []T, key func(T) K, compare func(a, b K) int) {
	slices.SortStableFunc(list, func(a, b T) int { return compare(key(a), key(b)) })
}

// listBetween gives nil for lists that are alike.
func listBetween[T any, K comparable](older, newer []T, key func(T) K) *List[T, K] {
	var l List[T, K]
	before := make(map[K]T, len(older))
	for _, item := range older {
		before[key(item)] = item
	}
	for _, item := range newer {
		known, ok := before[key(item)]
		if !ok || !reflect.DeepEqual(known, item) {
			l.Put = append(l.Put, item)
		}
		delete(before, key(item))
	}
	for _, item := range older {
		if _, dropped := before[key(item)]; dropped {
			l.Drop = append(l.Drop, key(item))
		}
	}
	if len(l.Put)+len(l.Drop) == 0 {
		return nil
	}
	return &l
}

// stopsBetween finds how many of the oldest drop out for the rest to lead on to
// newer; nil for stops that are alike.
func stopsBetween(older, newer []configuration.Stop) *Stops {
	if slices.Equal(older, newer) {
		return nil
	}
	for drop := range len(older) + 1 {
		kept := older[drop:]
		if len(kept) <= len(newer) && slices.Equal(kept, newer[:len(kept)]) {
			return &Stops{Drop: drop, Add: newer[len(kept):]}
		}
	}
	return nil
}

// apply gives new stops; more to drop than there are, as after a lost change,
// leaves none of the old.
func (s *Stops) apply(older []configuration.Stop) []configuration.Stop {
	if s == nil {
		return older
	}
	drop := min(max(s.Drop, 0), len(older))
	return orNil(append(slices.Clone(older[drop:]), s.Add...))
}

// apply gives a new list; an untouched one is shared.
func (l *List[T, K]) apply(older []T, key func(T) K, compare func(a, b K) int) []T {
	if l == nil {
		return older
	}
	replaced := func(item T) bool {
		same := func(k K) bool { return compare(k, key(item)) == 0 }
		return slices.ContainsFunc(l.Drop, same) ||
			slices.ContainsFunc(l.Put, func(put T) bool { return same(key(put)) })
	}
	next := slices.DeleteFunc(slices.Clone(older), replaced)
	next = append(next, l.Put...)
	sortBy(next, key, compare)
	if len(next) == 0 {
		return nil
	}
	return next
}
