package origin_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/origin"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// testClock is a clock that the test advances, or sets without time passing.
type testClock struct {
	time.Time
	elapsed time.Duration
}

func newClock() *testClock { return &testClock{Time: time.Unix(1_000_000, 0)} }

func (c *testClock) now() time.Time      { return c.Time }
func (c *testClock) set(d time.Duration) { c.Time = c.Add(d) }

func (c *testClock) advance(d time.Duration) {
	c.set(d)
	c.elapsed += d
}

func (c *testClock) versions() *origin.Versions {
	return origin.NewVersions(c.now, func() time.Duration { return c.elapsed })
}

// mergeError merges a record and returns only the error.
func mergeError(v *origin.Versions, data []byte) error {
	_, err := v.Merge(data)
	return err
}

// All streams of a second of a large host must be found in the stored form, each at its
// own origin.
func TestStoredStreamsAreFound(t *testing.T) {
	c := qt.New(t)
	s := origin.NewStreams()
	want := make(map[identity.Request]origin.Origin)
	for i := range 1000 {
		id := identity.Request(fmt.Sprint("request-", i))
		want[id] = origin.Origin{Service: identity.Service(fmt.Sprint("s", i%2)), Software: identity.Software(fmt.Sprint("v", i%3))}
		s.Record(id, want[id])
	}
	stored := make(map[origin.Shard][]byte)
	for _, shard := range s.Changed() {
		data, err := s.Document(shard)
		c.Assert(err, qt.IsNil)
		stored[shard] = data
	}
	c.Assert(stored, qt.HasLen, origin.Shards)
	c.Assert(s.Changed(), qt.HasLen, 0)
	for id, o := range want {
		found, ok, err := origin.FindStored(stored[origin.ShardOf(id)], id)
		c.Assert(err, qt.IsNil)
		c.Assert(ok, qt.IsTrue)
		c.Assert(found, qt.Equals, o)
		found, ok = s.Find(id)
		c.Assert(ok, qt.IsTrue)
		c.Assert(found, qt.Equals, o)
	}
	_, ok, err := origin.FindStored(stored[origin.ShardOf("other")], "other")
	c.Assert(err, qt.IsNil)
	c.Assert(ok, qt.IsFalse)
	_, ok = s.Find("other")
	c.Assert(ok, qt.IsFalse)
}

// What another writer left in the store must not be taken for a stream, nor end the process.
func TestMalformedDocumentsHoldNoStream(t *testing.T) {
	c := qt.New(t)
	for _, data := range []string{"", "null", "{}", `{"s":{"v":"AAA="}}`, `{"s":7}`, `[]`} {
		_, found, _ := origin.FindStored([]byte(data), "1")
		c.Check(found, qt.IsFalse, qt.Commentf("%s", data))
	}
	v := newClock().versions()
	c.Check(mergeError(v, []byte(`{"s":"v1"}`)), qt.IsNotNil)
	_, complete := v.Recent("s")
	c.Check(complete, qt.IsFalse)
}

func TestStreamsAreForgotten(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	s := origin.NewStreams(origin.WithClock(clock.now))
	s.Record("1", origin.Origin{Service: "s", Software: "v1"})
	clock.advance(origin.Retention(0))
	s.Record("2", origin.Origin{Service: "s", Software: "v1"})
	_, found := s.Find("1")
	c.Check(found, qt.IsFalse)
	data, err := s.Document(origin.ShardOf("1"))
	c.Assert(err, qt.IsNil)
	_, found, err = origin.FindStored(data, "1")
	c.Assert(err, qt.IsNil)
	c.Check(found, qt.IsFalse)
	_, found = s.Find("2")
	c.Check(found, qt.IsTrue)
}

// A request without an id names no stream: what one caller began must not be found for
// another one.
func TestStreamWithoutAnIDIsNotFound(t *testing.T) {
	c := qt.New(t)
	s := origin.NewStreams()
	s.Record("", origin.Origin{Service: "s", Software: "v1"})
	_, found := s.Find("")
	c.Check(found, qt.IsFalse)
	c.Check(s.Changed(), qt.HasLen, 0)
}

// Routes may allow calls of minutes: streams and versions are remembered for longer than
// their callers wait.
func TestLongCallsAreRemembered(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	const longest = 5 * time.Minute
	s, v := origin.NewStreams(origin.WithClock(clock.now)), clock.versions()
	s.SetRetention(origin.Retention(longest))
	v.SetRetention(origin.Retention(longest))
	s.Record("1", origin.Origin{Service: "s", Software: "v1"})
	v.Observe(endpoints("v1", "v2"))
	v.Observe(endpoints("v2"))
	clock.advance(longest + time.Minute)
	_, found := s.Find("1")
	c.Check(found, qt.IsTrue)
	c.Check(v.Several(), qt.IsTrue)
	clock.advance(longest)
	_, found = s.Find("1")
	c.Check(found, qt.IsFalse)
	c.Check(v.Several(), qt.IsFalse)
}

func endpoints(versions ...identity.Software) []fleet.Endpoint {
	var list []fleet.Endpoint
	for _, version := range versions {
		list = append(list, fleet.Endpoint{Service: "s", Software: version})
	}
	return list
}

// A version counts until no caller can still wait for a stream that it began.
func TestVersionsAreRecentForAsLongAsStreamsLast(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	v := clock.versions()
	c.Assert(mergeError(v, nil), qt.IsNil)
	recent := func() []identity.Software {
		list, complete := v.Recent("s")
		c.Assert(complete, qt.IsTrue)
		return list
	}
	v.Observe(endpoints("v1", "v1"))
	c.Check(recent(), qt.DeepEquals, []identity.Software{"v1"})
	c.Check(v.Several(), qt.IsFalse)
	v.Observe(endpoints("v1", "v2"))
	clock.advance(time.Hour)
	c.Check(recent(), qt.DeepEquals, []identity.Software{"v1", "v2"})
	v.Observe(endpoints("v2"))
	clock.advance(origin.Retention(0) - time.Second)
	c.Check(recent(), qt.DeepEquals, []identity.Software{"v1", "v2"})
	c.Check(v.Several(), qt.IsTrue)
	clock.advance(time.Second)
	c.Check(recent(), qt.DeepEquals, []identity.Software{"v2"})
	v.Observe(endpoints("v1"))
	c.Check(recent(), qt.DeepEquals, []identity.Software{"v1", "v2"})
}

// All hosts were killed while a release was going on, and only the new version is left
// when they are back. They must know that streams may have begun at the old one.
func TestVersionsOutlastARestart(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	before := clock.versions()
	before.Observe(endpoints("v1"))
	stored, err := before.Document()
	c.Assert(err, qt.IsNil)
	clock.advance(3 * time.Second)
	for _, observedFirst := range []bool{false, true} {
		after := clock.versions()
		if observedFirst {
			after.Observe(endpoints("v2"))
		}
		_, complete := after.Recent("s")
		c.Check(complete, qt.IsFalse)
		c.Assert(mergeError(after, stored), qt.IsNil)
		after.Observe(endpoints("v2"))
		list, complete := after.Recent("s")
		c.Check(complete, qt.IsTrue)
		c.Check(list, qt.DeepEquals, []identity.Software{"v1", "v2"})
	}
}

// A host that was cut off knows an old version only. Endpoints of a new one must not begin
// streams before the record, which such a host reads, contains it.
func TestNewVersionIsHeldUntilItIsRecorded(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	v1, v2 := origin.Origin{Service: "s", Software: "v1"}, origin.Origin{Service: "s", Software: "v2"}
	v := clock.versions()
	v.Observe(endpoints("v1", "v1"))
	_, unrecorded := v.Unrecorded()
	c.Check(v.Held(v1) || unrecorded, qt.IsFalse)
	clock.advance(time.Minute)
	v.Observe(endpoints("v1", "v2"))
	age, unrecorded := v.Unrecorded()
	c.Check(unrecorded, qt.IsTrue)
	c.Check(age, qt.Equals, time.Minute)
	c.Check(v.Held(v1), qt.IsFalse)
	c.Check(v.Held(v2), qt.IsTrue)
	c.Assert(mergeError(v, []byte(`{"s":{"v1":0}}`)), qt.IsNil)
	c.Check(v.Held(v2), qt.IsTrue)
	c.Assert(mergeError(v, []byte(`{"s":{"v1":0,"v2":0}}`)), qt.IsNil)
	_, unrecorded = v.Unrecorded()
	c.Check(v.Held(v2) || unrecorded, qt.IsFalse)
}

// Holding a version must not leave a service without endpoints: not if no other version is
// ready, nor if it is not known which is the new one, nor if nothing can be recorded.
func TestHeldVersionIsUsedWithoutAnother(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	v1, v2 := origin.Origin{Service: "s", Software: "v1"}, origin.Origin{Service: "s", Software: "v2"}
	v := clock.versions()
	v.Observe(endpoints("v1", "v2"))
	c.Check(v.Held(v1) || v.Held(v2), qt.IsFalse)
	c.Assert(mergeError(v, []byte(`{"s":{"v1":0}}`)), qt.IsNil)
	c.Check(v.Held(v2), qt.IsTrue)
	leaving := endpoints("v1", "v2")
	leaving[0].Leaving = true
	v.Observe(leaving)
	c.Check(v.Held(v2), qt.IsFalse)
	v.Observe(endpoints("v1", "v2"))
	c.Check(v.Held(v2), qt.IsTrue)
	clock.advance(3 * time.Second)
	c.Check(v.Held(v2), qt.IsFalse)
}

// A version came back while a host was out of step. The record, which the host reads before
// it goes on with a stream, names it as serving: it must count.
func TestRecordedVersionThatCameBackCounts(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	v := clock.versions()
	v.Observe(endpoints("v1", "v2"))
	v.Observe(endpoints("v1"))
	clock.advance(origin.Retention(0))
	c.Assert(mergeError(v, []byte(`{"s":{"v1":0,"v2":0}}`)), qt.IsNil)
	list, _ := v.Recent("s")
	c.Check(list, qt.DeepEquals, []identity.Software{"v1", "v2"})
}

// A version comes back long after it was gone. The record still has it, but as one that is
// gone, so a host that is out of step knows one version alone when it has read the record.
// Endpoints of the version must not begin streams before the record says that it serves.
func TestVersionThatComesBackIsHeldUntilItIsRecorded(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	v2 := origin.Origin{Service: "s", Software: "v2"}
	inStep := clock.versions()
	inStep.Observe(endpoints("v1", "v2"))
	inStep.Observe(endpoints("v1"))
	record, err := inStep.Document()
	c.Assert(err, qt.IsNil)
	c.Assert(mergeError(inStep, record), qt.IsNil)
	clock.advance(origin.Retention(0) + time.Second)
	inStep.Observe(endpoints("v1", "v2"))

	outOfStep := clock.versions()
	outOfStep.Observe(endpoints("v1"))
	c.Assert(mergeError(outOfStep, record), qt.IsNil)
	list, complete := outOfStep.Recent("s")
	c.Assert(complete, qt.IsTrue)
	c.Check(inStep.Held(v2) || len(list) == 2, qt.IsTrue, qt.Commentf("v2 begins streams, a host that reads the record knows %v", list))
}

// The same when the leader has since dropped the version from the record, and this host,
// which is not the leader, has not read the record again.
func TestVersionThatComesBackAfterTheRecordDroppedItIsHeld(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	v := clock.versions()
	v.Observe(endpoints("v1", "v2"))
	c.Assert(mergeError(v, []byte(`{"s":{"v1":0,"v2":0}}`)), qt.IsNil)
	v.Observe(endpoints("v1"))
	clock.advance(time.Hour)
	v.Observe(endpoints("v1"))
	v.Observe(endpoints("v1", "v2"))
	c.Check(v.Held(origin.Origin{Service: "s", Software: "v2"}), qt.IsTrue)
}

// The agreed clock is set when others' clocks are heard. A hold must neither end nor last
// longer for it.
func TestHoldDoesNotDependOnTheTimeOfDay(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	v := clock.versions()
	v.Observe(endpoints("v1"))
	clock.advance(time.Second)
	v.Observe(endpoints("v1", "v2"))
	v2 := origin.Origin{Service: "s", Software: "v2"}
	clock.set(time.Minute)
	c.Check(v.Held(v2), qt.IsTrue)
	clock.set(-70 * time.Second)
	clock.advance(3 * time.Second)
	c.Check(v.Held(v2), qt.IsFalse)
}

// All endpoints of the old version are gone before the new one is recorded, and there is no
// leader. A host that is out of step knows the old one alone until another host records it.
func TestVersionThatReplacedAllOthersIsRecorded(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	v := clock.versions()
	v.Observe(endpoints("v1"))
	c.Assert(mergeError(v, []byte(`{"s":{"v1":0}}`)), qt.IsNil)
	v.Observe(endpoints("v2"))
	clock.advance(time.Second)
	age, unrecorded := v.Unrecorded()
	c.Check(unrecorded, qt.IsTrue)
	c.Check(age, qt.Equals, time.Second)
	c.Check(v.Held(origin.Origin{Service: "s", Software: "v2"}), qt.IsFalse)
}
