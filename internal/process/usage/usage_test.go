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
	self.Began(at, "o")
	other.Began(at, "o")
	other.Began(at, "p")
	self.Hear("b", "z", other.Tell(at))
	self.Hear("b", "z", other.Tell(at))
	restarted.Began(at, "o")
	self.Hear("c", "z", restarted.Tell(at))
	w := self.WindowAt(at)
	c.Assert(self.Sum(w), qt.DeepEquals, usage.Counts{"o": 3, "p": 1})
	c.Assert(self.End(w), qt.Equals, time.Unix(1005, 0))
}

func TestLateReportDoesNotLowerCounts(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1001, 0)
	self, other := usage.New("a", "z", 5*time.Second), usage.New("b", "z", 5*time.Second)
	other.Began(at, "o")
	early := other.Tell(at)
	other.Began(at, "o")
	self.Hear("b", "z", other.Tell(at))
	self.Hear("b", "z", early)
	c.Assert(self.Sum(self.WindowAt(at)), qt.DeepEquals, usage.Counts{"o": 2})
}

func TestOldWindowsAndPublicCallsAreNotCounted(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1001, 0)
	u := usage.New("a", "z", 5*time.Second)
	u.Began(at, "o")
	u.Began(at, "")
	c.Assert(u.Sum(u.WindowAt(at)), qt.DeepEquals, usage.Counts{"o": 1})
	u.Forget(at.Add(time.Minute))
	c.Assert(u.Sum(u.WindowAt(at)), qt.DeepEquals, usage.Counts{})
}

// The sum of a zone replaces the counts of its hosts, including those received
// before.
func TestZoneSumReplacesCountsOfItsHosts(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(1001, 0)
	self, far := usage.New("a", "z", 5*time.Second), usage.New("b", "far", 5*time.Second)
	self.Began(at, "o")
	far.Began(at, "o")
	self.Hear("b", "far", far.Tell(at))
	self.HearZone("far", far.TellZone(at))
	w := self.WindowAt(at)
	c.Assert(self.Sum(w), qt.DeepEquals, usage.Counts{"o": 2})
	c.Assert(self.TellZone(at)[w], qt.DeepEquals, usage.Counts{"o": 1})
}
