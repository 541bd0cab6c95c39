package change_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/version/change"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// randomConfiguration uses few ids, so that two configurations overlap.
func randomConfiguration(r *rand.Rand) configuration.Configuration {
	var c configuration.Configuration
	for i := range 6 {
		if r.IntN(2) == 0 {
			c.Zones = append(c.Zones, configuration.Zone{ID: identity.Zone(fmt.Sprint("z", i)), Region: identity.Region(fmt.Sprint("r", r.IntN(2)))})
		}
		if r.IntN(2) == 0 {
			c.Services = append(c.Services, configuration.Service{ID: identity.Service(fmt.Sprint("s", i)), Adapter: fmt.Sprint(r.IntN(2))})
		}
		if r.IntN(2) == 0 {
			c.Organisations = append(c.Organisations, configuration.Organisation{ID: identity.Organisation(fmt.Sprint("o", i)), Weight: float64(r.IntN(2))})
		}
		if r.IntN(2) == 0 {
			c.Prices = append(c.Prices, configuration.Price{Zone: "z", Class: identity.Class(fmt.Sprint("c", i)), OnDemand: unit.Money(r.IntN(2))})
		}
		if r.IntN(2) == 0 {
			c.Moves = append(c.Moves, configuration.Move{Number: identity.Version(i), Service: "s", To: identity.Zone(fmt.Sprint("z", r.IntN(2)))})
		}
		if r.IntN(2) == 0 {
			c.Links = append(c.Links, configuration.Link{From: "r", To: identity.Region(fmt.Sprint("r", i)), PricePerGigabyte: unit.Money(r.IntN(2))})
		}
	}
	return c
}

func TestChangeYieldsNewerConfiguration(t *testing.T) {
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 1))
		older, newer := randomConfiguration(r), randomConfiguration(r)
		if seed%2 == 0 {
			r.Shuffle(len(newer.Zones), func(i, j int) { newer.Zones[i], newer.Zones[j] = newer.Zones[j], newer.Zones[i] })
		}
		if seed%2 == 1 {
			newer = change.Normalise(newer)
		}
		newer.Version = 7
		before, err := json.Marshal(older)
		qt.Assert(t, err, qt.IsNil)
		c := change.Diff(older, newer)
		got, err := json.Marshal(c.Apply(older, 7))
		qt.Assert(t, err, qt.IsNil)
		want, err := json.Marshal(newer)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(got), qt.Equals, string(want), qt.Commentf("seed %d", seed))
		if seed%2 == 1 {
			qt.Assert(t, c.Replacement, qt.IsNil)
		}
		after, err := json.Marshal(older)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(after), qt.Equals, string(before))
	}
}

func TestChangeOfMovesAndStopsIsSmall(t *testing.T) {
	older := change.Normalise(randomConfiguration(rand.New(rand.NewPCG(1, 1))))
	for i := range configuration.MaxStops + 20 {
		newer := older.WithStop(configuration.Stop{Host: identity.Host(fmt.Sprint("h", 999-i)), Incarnation: "i"})
		newer.Moves = append(newer.Moves, configuration.Move{Number: identity.Version(100 + i), Service: "s"})
		newer = newer.WithoutMove(identity.Version(99 + i))
		newer.Version = older.Version + 1
		c := change.Diff(older, newer)
		qt.Assert(t, c.Replacement, qt.IsNil)
		qt.Assert(t, c.Stops.Add, qt.HasLen, 1)
		qt.Assert(t, c.Apply(older, newer.Version), qt.DeepEquals, newer)
		older = newer
	}
	qt.Assert(t, older.Stops, qt.HasLen, configuration.MaxStops)
	last := older.WithoutMove(older.Moves[len(older.Moves)-1].Number)
	qt.Assert(t, change.Diff(older, last).Apply(older, last.Version), qt.DeepEquals, last)
}
