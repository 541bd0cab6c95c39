package advice_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

var start = time.Unix(1000, 0)

// quiet records that an endpoint names a time in a refusal.
func quiet(k *advice.Keeper, at time.Duration, endpoint identity.Incarnation, named time.Duration) advice.Change {
	return k.Record(start.Add(at), endpoint, advice.Advice{Quiet: named}, false, 0)
}

// An endpoint that has named a time gets no calls for all of it, whatever answers come
// meanwhile, and others are not concerned.
func TestQuietIsNeverShortened(t *testing.T) {
	c := qt.New(t)
	k := advice.New(limit.New())
	c.Assert(quiet(k, 0, "a", 3*time.Second).Quiet, qt.IsTrue)
	c.Assert(quiet(k, time.Second, "a", time.Second).Quiet, qt.IsFalse)
	k.Record(start.Add(time.Second), "a", advice.Advice{}, true, 2*time.Second)
	c.Check(k.Open(start.Add(2999*time.Millisecond), "a"), qt.IsFalse)
	c.Check(k.ClosedFor(start.Add(2*time.Second), "a"), qt.Equals, time.Second)
	c.Check(k.Open(start.Add(3*time.Second), "a"), qt.IsTrue)
	c.Check(k.Open(start, "b"), qt.IsTrue)

	c.Assert(quiet(k, 2*time.Second, "a", 4*time.Second).Quiet, qt.IsTrue)
	c.Check(k.Open(start.Add(5*time.Second), "a"), qt.IsFalse, qt.Commentf("a later answer may lengthen it"))
	leaving, silent := k.Counts(start.Add(5 * time.Second))
	c.Check([]int{leaving, silent}, qt.DeepEquals, []int{0, 1})
}

// Zero and negative times have no meaning, and a huge one must not shut an endpoint out
// for good.
func TestQuietIsBounded(t *testing.T) {
	c := qt.New(t)
	k := advice.New(limit.New())
	c.Check(quiet(k, 0, "a", 0).Quiet || quiet(k, 0, "a", -time.Second).Quiet, qt.IsFalse)
	c.Check(k.Open(start, "a"), qt.IsTrue)
	quiet(k, 0, "a", 1000*time.Hour)
	c.Check(k.Open(start.Add(50*time.Second), "a"), qt.IsFalse)
	c.Check(k.Open(start.Add(time.Minute), "a"), qt.IsTrue)
}

// After the time that an endpoint has named its load must not come back all at once, and
// not depend on calls that take long or are left by their callers.
func TestLoadComesBackInStepsAfterQuiet(t *testing.T) {
	c := qt.New(t)
	k := advice.New(limit.New())
	// Calls that were sent before don't count.
	for range 100 {
		k.Take("a")
	}
	quiet(k, 0, "a", time.Second)
	sent := 0
	for _, step := range []struct {
		after   time.Duration
		allowed int
	}{{0, 1}, {240 * time.Millisecond, 1}, {250 * time.Millisecond, 2}, {500 * time.Millisecond, 4}, {1250 * time.Millisecond, 32}} {
		now := start.Add(time.Second + step.after)
		for k.Open(now, "a") {
			k.Take("a")
			sent++
		}
		c.Check(sent, qt.Equals, step.allowed, qt.Commentf("after %v", step.after))
		closedFor := k.ClosedFor(now, "a")
		c.Check(closedFor > 0 && closedFor <= 250*time.Millisecond, qt.IsTrue)
	}
	now := start.Add(2500 * time.Millisecond)
	for range 1000 {
		c.Assert(k.Open(now, "a"), qt.IsTrue)
		k.Take("a")
	}
	quiet(k, 2500*time.Millisecond, "a", time.Second)
	k.Take("a")
	c.Check(k.Open(now.Add(time.Second), "a"), qt.IsFalse, qt.Commentf("refused again, the steps begin anew"))
}

// What an endpoint says of its end holds while it may exist, for this incarnation only.
func TestLeavingHoldsForTheIncarnation(t *testing.T) {
	c := qt.New(t)
	k := advice.New(limit.New())
	say := func(at time.Duration) bool {
		return k.Record(start.Add(at), "a@1", advice.Advice{Leaving: true}, true, 0).Leaving
	}
	c.Assert(say(0), qt.IsTrue)
	c.Assert(say(time.Second), qt.IsFalse)
	k.Record(start.Add(2*time.Second), "a@1", advice.Advice{}, true, 2*time.Second)
	retain := func(at time.Duration, id identity.Incarnation) {
		k.Retain(start.Add(at), map[identity.Incarnation]bool{id: true})
	}
	retain(time.Hour, "a@1")
	c.Check(k.Open(start.Add(time.Hour), "a@1"), qt.IsFalse)
	retain(time.Hour+30*time.Second, "a@2")
	c.Check(k.Leaving("a@1"), qt.IsTrue)
	c.Check(k.Open(start.Add(time.Hour+30*time.Second), "a@1"), qt.IsFalse)
	c.Check(k.Open(start.Add(time.Hour+30*time.Second), "a@2"), qt.IsTrue)
	retain(time.Hour+61*time.Second, "a@2")
	c.Check(k.Leaving("a@1"), qt.IsFalse)
	c.Assert(say(time.Hour+62*time.Second), qt.IsTrue)
}

// An endpoint that stays must get calls again, but one that is about to shut down may report
// for as long that it is ready.
func TestEndpointThatStaysGetsCallsAgain(t *testing.T) {
	c := qt.New(t)
	k := advice.New(limit.New())
	c.Check(k.Stay(start, "a"), qt.IsFalse)
	for at := range 3 {
		k.Record(start.Add(time.Duration(at)*time.Second), "a", advice.Advice{Leaving: true}, true, 0)
	}
	c.Check(k.Stay(start.Add(61900*time.Millisecond), "a"), qt.IsFalse)
	c.Check(k.Open(start.Add(time.Hour), "a"), qt.IsFalse)
	c.Check(k.Stay(start.Add(62*time.Second), "a"), qt.IsTrue)
	c.Check(k.Open(start.Add(62*time.Second), "a"), qt.IsTrue)
	c.Check(k.Stay(start.Add(63*time.Second), "a"), qt.IsFalse)
}

// An endpoint that is quiet and leaving starts again. The later incarnation must get calls
// at once, also if the answer of the earlier one is recorded late.
func TestLaterIncarnationIsNotQuietForTheEarlierOne(t *testing.T) {
	c := qt.New(t)
	k := advice.New(limit.New())
	k.Record(start, "a@1", advice.Advice{Quiet: time.Minute, Leaving: true}, false, 0)
	k.Succeed(start.Add(3*time.Second), "a@1", "a@2", time.Second)
	now := start.Add(4 * time.Second)
	k.Record(now, "a@1", advice.Advice{Quiet: time.Minute, Leaving: true}, false, 3*time.Second)
	c.Check(k.Open(now, "a@2"), qt.IsTrue)
	c.Check(k.Leaving("a@2"), qt.IsFalse)
	c.Check(k.Open(now, "a@1"), qt.IsFalse)
}

// An endpoint starts again, and answers calls before this host has heard of that. What it
// says then was forgotten with the earlier incarnation, and it got the calls that it did
// not want; so it is while the earlier one was quiet for longer.
func TestAdviceBeforeTheStartIsKnownCounts(t *testing.T) {
	c := qt.New(t)
	for _, earlier := range []time.Duration{0, time.Minute} {
		k := advice.New(limit.New())
		quiet(k, 0, "a@1", earlier)
		quiet(k, 2*time.Second, "a@1", 10*time.Second)
		k.Succeed(start.Add(3*time.Second), "a@1", "a@2", 1500*time.Millisecond)
		c.Check(k.ClosedFor(start.Add(3*time.Second), "a@2"), qt.Equals, 9*time.Second)
		c.Check(k.Leaving("a@2"), qt.IsFalse)
		// Two calls that were sent to the earlier one by its name are answered now.
		now := start.Add(4 * time.Second)
		change := k.Record(now, "a@1", advice.Advice{Quiet: 20 * time.Second}, false, time.Second)
		c.Check(change, qt.Equals, advice.Change{Endpoint: "a@2", Quiet: true})
		c.Check(k.ClosedFor(now, "a@2"), qt.Equals, 20*time.Second)
		change = k.Record(now, "a@1", advice.Advice{Leaving: true}, false, time.Second)
		c.Check(change, qt.Equals, advice.Change{Endpoint: "a@2", Leaving: true})
		// It starts once more.
		k.Succeed(start.Add(8*time.Second), "a@2", "a@3", time.Second)
		c.Check(k.Open(start.Add(8*time.Second), "a@3"), qt.IsTrue)
	}
}
