package neighbour_test

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/departure"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// costFleet is a relayed fleet of which the bytes of reports are computed.
type costFleet struct {
	hosts, zones int
	// loads is how many endpoints a report has loads of.
	loads int
}

func costEndpoint(i int) identity.Incarnation {
	return identity.Incarnation(fmt.Sprintf("i-%010x@%d", uint64(i)*2654435761%(1<<40), 1764940000000+int64(i)*7919))
}

func costReport(loads, leaving int) neighbour.Report {
	r := neighbour.Report{Host: "entry-a-3", Incarnation: "d1bff52f026628e5", Zone: "zone-a", Loads: make(map[identity.Incarnation]neighbour.Load)}
	for i := range loads {
		r.Loads[costEndpoint(i)] = neighbour.Load{Running: 1 + i%3, PendingPrefill: 700, ReservedCache: 3000}
	}
	if leaving > 0 {
		r.Departures = make(departure.Departures)
	}
	for i := range leaving {
		r.Departures[costEndpoint(1000+i)] = departure.Evidence{Revision: keyvalue.NewRevision(1, 90210+7919*uint64(i)), Sequence: 40 + uint64(i), Announced: true}
	}
	return r
}

// encodedBytes returns the size of a report on the wire.
func encodedBytes(c *qt.C, r neighbour.Report) float64 {
	data, err := json.Marshal(r)
	c.Assert(err, qt.IsNil)
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	c.Assert(err, qt.IsNil)
	_, err = w.Write(data)
	c.Assert(err, qt.IsNil)
	c.Assert(w.Close(), qt.IsNil)
	return float64(out.Len())
}

// bytesPerSecond returns what all hosts send while they list some endpoints as leaving:
// four reports a second to the zone's two relays, those of relays to the whole zone, with
// the other zones' aggregates in each third and the own one in each second; and aggregates
// to two relays of each other zone with each third.
func (f costFleet) bytesPerSecond(c *qt.C, leaving int) float64 {
	// A relay passes on what other zones know to be leaving in its own report.
	aggregate, passedOn := costReport(4*f.loads, leaving), costReport(4*f.loads, 0)
	const rounds = 6
	relay := 0.0
	for round := range rounds {
		r := costReport(f.loads, leaving)
		if round%3 == 0 {
			for range f.zones - 1 {
				r.ZoneAggregates = append(r.ZoneAggregates, passedOn)
			}
		}
		if round%2 == 0 {
			r.ZoneAggregates = append(r.ZoneAggregates, passedOn)
		}
		relay += encodedBytes(c, r) / rounds
	}
	zones, perZone := float64(f.zones), float64(f.hosts)/float64(f.zones)
	const relays, perSecond = neighbour.RelaysPerZone, 4
	return zones * relays * perSecond *
		((perZone-relays)*encodedBytes(c, costReport(f.loads, leaving)) + (perZone-1)*relay + relays*(zones-1)/3*encodedBytes(c, aggregate))
}

// What it costs that hosts tell each other of endpoints that leave, which they do for 30 s
// or longer. docs/design/platform.md has the figures.
func TestBytesOfLeavingEndpoints(t *testing.T) {
	c := qt.New(t)
	for _, f := range []costFleet{{hosts: 63, zones: 6, loads: 20}, {hosts: 380, zones: 16, loads: 20}} {
		without := f.bytesPerSecond(c, 0)
		for _, leaving := range []int{1, 4, 12} {
			more := f.bytesPerSecond(c, leaving) - without
			c.Logf("%d hosts, %d leaving: %.0f KB/s and %.0f KB/s more (%.1f%%), %.2f MB for an endpoint in 30 s",
				f.hosts, leaving, without/1e3, more/1e3, 100*more/without, 30*more/float64(leaving)/1e6)
			c.Check(more > 0 && more < 0.04*float64(leaving)*without, qt.IsTrue)
		}
	}
}
