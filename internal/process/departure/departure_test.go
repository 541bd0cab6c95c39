package departure_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/departure"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	id    identity.Incarnation = "i-7f3a@1764947919000"
	lapse                      = 4 * time.Second
)

var begin = time.Unix(1764947919, 0)

// Which entries end which departures, at a host that has read the entry before.
func TestEvidenceIsRefuted(t *testing.T) {
	c := qt.New(t)
	removed := departure.Evidence{Revision: 10, Sequence: 5}
	announced := departure.Evidence{Revision: 10, Sequence: 5, Announced: true}
	fresh, renewed := begin.Add(-lapse), begin.Add(-lapse-1)
	for _, test := range []struct {
		evidence departure.Evidence
		listing  departure.Listing
		refuted  bool
	}{
		{removed, departure.Listing{}, false},
		{removed, departure.Listing{Revision: 12, Sequence: 6, Since: begin}, true},
		{removed, departure.Listing{Revision: 12, Sequence: 6, Leaving: true, Since: renewed}, false},
		{removed, departure.Listing{Revision: 12, Sequence: 5, Since: fresh}, false},
		{removed, departure.Listing{Revision: 12, Sequence: 5, Since: renewed}, true},
		{removed, departure.Listing{Revision: 12, Sequence: 4, Since: renewed}, true},
		{departure.Evidence{Revision: 10}, departure.Listing{Revision: 12, Sequence: 6, Since: fresh}, false},
		// The entry is from before the evidence.
		{removed, departure.Listing{Revision: 8, Sequence: 5, Since: renewed}, false},
		{removed, departure.Listing{Revision: 8, Sequence: 6, Since: renewed}, false},
		{announced, departure.Listing{Revision: 12, Sequence: 5, Since: renewed}, false},
		{announced, departure.Listing{Revision: 12, Since: renewed}, false},
		{announced, departure.Listing{Revision: 12, Sequence: 6, Since: begin}, true},
		// The store was restored from a copy with an earlier entry.
		{announced, departure.Listing{Revision: keyvalue.NewRevision(1, 3), Sequence: 4, Since: renewed}, false},
	} {
		comment := qt.Commentf("%+v, %+v", test.evidence, test.listing)
		s := departure.New(lapse)
		c.Check(s.Learn(begin, id, test.evidence, test.listing), qt.Equals, !test.refuted, comment)
		s.Add(begin, id, test.evidence)
		c.Check(s.Settle(begin, id, test.listing), qt.Equals, test.refuted, comment)
		c.Check(s.Contains(id), qt.Equals, !test.refuted, comment)
	}
}

// A departure that was told again after its end, or with less than is known, changes nothing.
func TestRepeatedEvidenceIsNoNews(t *testing.T) {
	c := qt.New(t)
	s := departure.New(lapse)
	e := departure.Evidence{Revision: 10, Sequence: 5}
	old := departure.Listing{Revision: 8, Sequence: 5, Since: begin}
	c.Assert(s.Learn(begin, id, e, old), qt.IsTrue)
	c.Assert(s.Learn(begin, id, e, old), qt.IsFalse)
	c.Assert(s.Learn(begin, id, departure.Evidence{Revision: 9, Sequence: 4}, old), qt.IsFalse)
	again := departure.Listing{Revision: 12, Sequence: 6, Since: begin}
	c.Assert(s.Settle(begin, id, again), qt.IsTrue)
	c.Assert(s.Learn(begin, id, e, again), qt.IsFalse)
	c.Assert(s.Contains(id), qt.IsFalse)
}

func TestUnlistedDeparturesAreDropped(t *testing.T) {
	c := qt.New(t)
	s := departure.New(lapse)
	s.Add(begin, id, departure.Evidence{Revision: 10})
	s.Evict(begin.Add(departure.Retention), func(identity.Incarnation) bool { return false })
	c.Assert(s.Contains(id), qt.IsTrue)
	s.Evict(begin.Add(departure.Retention+1), func(identity.Incarnation) bool { return true })
	c.Assert(s.Contains(id), qt.IsTrue)
	s.Evict(begin.Add(departure.Retention+1), func(identity.Incarnation) bool { return false })
	c.Assert(s.Contains(id), qt.IsFalse)
}

func TestDeparturesAreEncoded(t *testing.T) {
	c := qt.New(t)
	d := departure.Departures{
		id:      {Revision: keyvalue.NewRevision(1, 90210), Sequence: 40, Announced: true},
		"i-a:b": {Revision: 7},
		"a b":   {Revision: 7},
	}
	data, err := json.Marshal(d)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, `"1.1xlu.14!i-7f3a@1764947919000 0.7.0:i-a:b"`)
	var decoded departure.Departures
	c.Assert(json.Unmarshal(data, &decoded), qt.IsNil)
	delete(d, "a b")
	c.Assert(decoded, qt.DeepEquals, d)
	for _, text := range []string{`{}`, `"x"`, `"1.1.1!"`, `"1.1!a"`, `"-1.1.1!a"`, `"1.zzzzzzzzzzzz.1:a"`, `"1.1.zzzzzzzzzzzzzz:a"`, `"zzzzzz.1.1:a"`} {
		c.Check(json.Unmarshal([]byte(text), &decoded), qt.IsNotNil, qt.Commentf(text))
	}
}

// history is a store's history of one endpoint's entry, as far as hosts can copy it.
type history struct {
	states []state
	// sequence is that of the endpoint's latest report.
	sequence uint64
	// gone is set once the endpoint has reported that it shuts down.
	gone bool
}

// state is the entry from one revision on.
type state struct {
	listed, leaving bool
	sequence        uint64
	revision        keyvalue.Revision
}

func (h *history) write(s state) {
	s.revision = keyvalue.Revision(len(h.states) + 1)
	h.states = append(h.states, s)
}

// follower is a host that copies the store's history.
type follower struct {
	set   *departure.Set
	read  state
	since time.Time
	asOf  keyvalue.Revision
	// told is set once the host has read that the endpoint shuts down.
	told bool
}

// copyTo makes the host read the history up to a revision, the states before it unseen.
func (f *follower) copyTo(now time.Time, h *history, asOf keyvalue.Revision) {
	if asOf <= f.asOf {
		return
	}
	f.asOf = asOf
	next := h.states[asOf-1]
	switch {
	case !next.listed && f.read.listed:
		f.set.Add(now, id, departure.Evidence{Revision: asOf, Sequence: f.read.sequence})
	case next.listed && !f.read.listed:
		f.since = now
	}
	if next.listed {
		next.sequence = max(next.sequence, f.read.sequence)
	} else {
		next.sequence = f.read.sequence
	}
	f.read = next
	if next.listed && next.leaving {
		f.told = true
		f.set.Add(now, id, departure.Evidence{Revision: next.revision, Sequence: next.sequence, Announced: true})
	}
	f.settle(now)
}

func (f *follower) listing() departure.Listing {
	if !f.read.listed {
		return departure.Listing{}
	}
	return departure.Listing{Revision: f.read.revision, Sequence: f.read.sequence, Leaving: f.read.leaving, Since: f.since}
}

func (f *follower) settle(now time.Time) { f.set.Settle(now, id, f.listing()) }

// hear merges what another host reported, perhaps long ago.
func (f *follower) hear(now time.Time, told departure.Departures) {
	for id, e := range told {
		if f.read.listed {
			f.set.Learn(now, id, e, f.listing())
		}
	}
}

// Hosts copy a store's history at their own pace, and hear each other's reports late, twice
// or never. In the end each of them uses an endpoint that serves, and none uses one that
// has announced its departure to one of them.
func TestHostsAgreeInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := begin
		h := &history{sequence: 1}
		h.write(state{listed: true, sequence: 1})
		hosts := make([]*follower, 3)
		for i := range hosts {
			hosts[i] = &follower{set: departure.New(lapse)}
			hosts[i].copyTo(now, h, 1)
		}
		var reports []departure.Departures
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0: // The endpoint reports, unless it is gone.
				if !h.gone {
					h.sequence++
					h.write(state{listed: true, sequence: h.sequence})
				}
			case 1: // It is cut off, and its entry lapses.
				h.write(state{})
			case 2: // A report of before takes effect late.
				if late := uint64(rapid.IntRange(1, int(h.sequence)).Draw(t, "late")); late < h.sequence {
					h.write(state{listed: true, sequence: late})
				}
			case 3: // It announces that it leaves.
				if !h.gone && rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					h.sequence++
					h.gone = true
					h.write(state{listed: true, leaving: true, sequence: h.sequence})
				}
			case 4, 5: // A host reads some of it.
				host.copyTo(now, h, keyvalue.Revision(rapid.IntRange(1, len(h.states)).Draw(t, "as of")))
			case 6:
				reports = append(reports, host.set.Departures())
			default:
				if len(reports) > 0 {
					host.hear(now, reports[rapid.IntRange(0, len(reports)-1).Draw(t, "report")])
				}
			}
		}
		if !h.gone {
			h.sequence++
			h.write(state{listed: true, sequence: h.sequence})
		}
		for range 3 {
			now = now.Add(lapse)
			for i, host := range hosts {
				host.copyTo(now, h, keyvalue.Revision(len(h.states)))
				host.settle(now)
				for _, told := range reports {
					host.hear(now, told)
				}
				host.hear(now, hosts[(i+1)%len(hosts)].set.Departures())
			}
		}
		told := slices.ContainsFunc(hosts, func(f *follower) bool { return f.told })
		for i, host := range hosts {
			used := host.read.listed && !host.set.Contains(id)
			if !h.gone && !used {
				t.Fatalf("host %d does not use an endpoint that serves: %s", i, describe(h, host))
			}
			if told && used {
				t.Fatalf("host %d uses an endpoint that has announced its departure: %s", i, describe(h, host))
			}
		}
	})
}

func describe(h *history, f *follower) string {
	return fmt.Sprintf("%+v; %+v, as of %d, %+v", h.states, f.read, f.asOf, f.set.Departures())
}
