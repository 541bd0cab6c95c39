package usage_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/usage"
)

// A host is killed: the counts that it reported before are added once, also if it
// returns as another incarnation or a report is repeated.
func TestCountsOfKilledHostAreKept(t *testing.T) {
	c := qt.New(t)
	const length = 5 * time.Second
	at := time.Unix(1001, 0)
	self, other, restarted := usage.New("a", "z", length), usage.New("b", "z", length), usage.New("c", "z", length)
	self.RecordCall(at, "o")
	other.RecordCall(at, "o")
	other.RecordCall(at, "p")
	self.MergeHost("b", "z", other.LocalCounts(at))
	self.MergeHost("b", "z", other.LocalCounts(at))
	restarted.RecordCall(at, "o")
	self.MergeHost("c", "z", restarted.LocalCounts(at))
	w := self.WindowAt(at)
	c.Assert(self.Total(w), qt.DeepEquals, usage.Counts{"o": 3, "p": 1})
	c.Assert(self.WindowEnd(w), qt.Equals, time.Unix(1005, 0))
}

func TestLateReportDoesNotLowerCounts(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1001, 0)
	self, other := usage.New("a", "z", 5*time.Second), usage.New("b", "z", 5*time.Second)
	other.RecordCall(at, "o")
	early := other.LocalCounts(at)
	other.RecordCall(at, "o")
	self.MergeHost("b", "z", other.LocalCounts(at))
	self.MergeHost("b", "z", early)
	c.Assert(self.Total(self.WindowAt(at)), qt.DeepEquals, usage.Counts{"o": 2})
}

func TestOldWindowsAndCallsWithoutOrganisationAreNotCounted(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1001, 0)
	counter := usage.New("a", "z", 5*time.Second)
	counter.RecordCall(at, "o")
	counter.RecordCall(at, "")
	c.Assert(counter.Total(counter.WindowAt(at)), qt.DeepEquals, usage.Counts{"o": 1})
	counter.EvictOld(at.Add(time.Minute))
	c.Assert(counter.Total(counter.WindowAt(at)), qt.DeepEquals, usage.Counts{})
}

// The sum of a zone replaces the counts of its hosts, including those received
// before.
func TestZoneSumReplacesCountsOfItsHosts(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1001, 0)
	self, other := usage.New("a", "z", 5*time.Second), usage.New("b", "far", 5*time.Second)
	self.RecordCall(at, "o")
	other.RecordCall(at, "o")
	self.MergeHost("b", "far", other.LocalCounts(at))
	self.MergeZone("far", other.ZoneCounts(at))
	w := self.WindowAt(at)
	c.Assert(self.Total(w), qt.DeepEquals, usage.Counts{"o": 2})
	c.Assert(self.ZoneCounts(at)[w], qt.DeepEquals, usage.Counts{"o": 1})
}
