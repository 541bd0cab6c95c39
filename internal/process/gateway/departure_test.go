package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/gateway"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// An endpoint was cut off from the store until its entry had lapsed, and registered again
// once it was not. It was never used again, and neither was it by hosts that had only heard
// of its removal: with all of its endpoints cut off in turn a service was lost for good.
func TestEndpointThatRegistersAgainIsUsed(t *testing.T) {
	t.Parallel()
	c, s, first, address := startWithNeighbourAddress(t)
	second, _ := startGateway(c, s.client(), address)
	s.set("endpoints/0", "ready@1#5")
	s.set("endpoints/1", "ready@1#5")
	s.set("endpoints/3", "ready")
	for i, key := range []string{"endpoints/0", "endpoints/1", "endpoints/0"} {
		waitForStates(c, first, "ready ready ready ready")
		waitForStates(c, second, "ready ready ready ready")
		s.remove(key)
		waitForStates(c, first, "ready ready ready")
		waitForStates(c, second, "ready ready ready")
		s.set(key, []string{"ready@1#9", "ready@1#9", "ready@1#12"}[i])
	}
	waitForStates(c, first, "ready ready ready ready")
	waitForStates(c, second, "ready ready ready ready")
	// What one of them had reported before must not come back with a late report.
	time.Sleep(heartbeat)
	c.Assert(states(first)+", "+states(second), qt.Equals, "ready ready ready ready, ready ready ready ready")
}

// An entry that comes back as it was may have been written late, while its endpoint
// shuts down. It counts once it is listed for longer than the store lists one that nobody
// renews.
func TestEntryThatComesBackUnchangedIsUsedOnceItIsRenewed(t *testing.T) {
	t.Parallel()
	c, s, g := startWithEndpoints(t)
	s.set("endpoints/1", "ready@1#5")
	s.set("endpoints/3", "ready")
	waitForStates(c, g, "ready ready ready ready")
	for range 2 {
		s.remove("endpoints/1")
		waitForStates(c, g, "ready ready ready")
		s.set("endpoints/1", "ready@1#5")
		waitForStates(c, g, "ready leaving ready ready")
		time.Sleep(2 * heartbeat)
		c.Assert(states(g), qt.Equals, "ready leaving ready ready")
	}
	time.Sleep(heartbeat)
	c.Assert(states(g), qt.Equals, "ready leaving ready ready")
	waitForStates(c, g, "ready ready ready ready")
}

// An endpoint that has itself reported that it leaves stays so for all hosts, whatever is
// written late, and also for a host that has started since.
func TestAnnouncedDepartureOutlastsLateEntries(t *testing.T) {
	t.Parallel()
	c, s, first, address := startWithNeighbourAddress(t)
	second, _ := startGateway(c, s.client(), address)
	s.set("endpoints/1", "draining@1#6")
	waitForStates(c, first, "ready leaving ready")
	waitForStates(c, second, "ready leaving ready")
	s.set("endpoints/1", "ready@1#5")
	s.set("endpoints/3", "ready")
	waitForStates(c, first, "ready leaving ready ready")
	waitForStates(c, second, "ready leaving ready ready")
	third, _ := startGateway(c, s.client(), address)
	all := []*gateway.Gateway{first, second, third}
	waitForStates(c, third, "ready leaving ready ready")
	s.remove("endpoints/1")
	for _, g := range all {
		waitForStates(c, g, "ready ready ready")
	}
	s.set("endpoints/1", "ready@1#5")
	time.Sleep(6 * heartbeat)
	for _, g := range all {
		c.Check(strings.Contains(states(g), "leaving"), qt.IsTrue, qt.Commentf("%s", states(g)))
	}
	s.set("endpoints/1", "ready@1#7")
	for _, g := range all {
		waitForStates(c, g, "ready ready ready ready")
	}
}

// incarnations returns the endpoints of a key, and whether each of them is leaving.
func incarnations(g *gateway.Gateway, key identity.Host) map[identity.Incarnation]bool {
	found := make(map[identity.Incarnation]bool)
	for _, e := range g.Endpoints() {
		if e.Host == key {
			found[e.Incarnation] = e.Leaving
		}
	}
	return found
}

// waitForStart waits until a start of an endpoint is the only one and in use.
func waitForStart(c *qt.C, g *gateway.Gateway, key identity.Host, want identity.Incarnation) {
	c.Helper()
	waitUntil(c, string(want), func() bool {
		found := incarnations(g, key)
		leaving, ok := found[want]
		return ok && !leaving && len(found) == 1
	})
}

// A report of an endpoint's earlier start took effect after the endpoint had started again.
// It was taken for a later start, and the one that serves was given up.
func TestLateEntryOfAnEarlierStartIsNotUsed(t *testing.T) {
	t.Parallel()
	c, s, g := startWithEndpoints(t)
	const key, served = "endpoints/1", "endpoints/1200"
	seen := 2
	// stays checks that the later start stays in use with each entry.
	stays := func(entry string) {
		c.Helper()
		s.set(key, entry)
		seen++
		marker := fmt.Sprint("endpoints/", seen)
		s.set(marker, "ready")
		waitForStart(c, g, identity.Host(marker), identity.Incarnation(marker))
		waitForStart(c, g, key, served)
	}
	s.set(key, "ready@100#7")
	waitForStart(c, g, key, "endpoints/1100")
	s.set(key, "ready@200#1")
	waitForStart(c, g, key, served)
	stays("ready@100#8")
	stays("ready@200#2")
	stays("draining@100#9")
	stays("ready@200#3")
	// The later start's entry has lapsed when the report takes effect.
	s.remove(key)
	waitUntil(c, "the entry has lapsed", func() bool { return len(incarnations(g, key)) == 0 })
	s.set(key, "ready@100#10")
	time.Sleep(heartbeat)
	c.Assert(incarnations(g, key), qt.HasLen, 0)
	stays("ready@200#4")
}

// An endpoint's clock was set back between two starts. The later one must be used once its
// entry must have been renewed, whatever the earlier one had written last.
func TestStartWithAnEarlierClockIsUsedInTheEnd(t *testing.T) {
	t.Parallel()
	c, s, g := startWithEndpoints(t)
	const key = "endpoints/1"
	s.set(key, "ready@200#7")
	waitForStart(c, g, key, "endpoints/1200")
	s.set(key, "ready@100#1")
	time.Sleep(2 * heartbeat)
	s.set(key, "ready@100#3")
	time.Sleep(heartbeat)
	waitForStart(c, g, key, "endpoints/1200")
	waitForStart(c, g, key, "endpoints/1100")
	s.set(key, "ready@200#8")
	time.Sleep(heartbeat)
	s.set(key, "ready@100#4")
	time.Sleep(heartbeat)
	waitForStart(c, g, key, "endpoints/1100")
	// Its entry lapses, and comes back.
	s.remove(key)
	waitUntil(c, "the entry has lapsed", func() bool { return len(incarnations(g, key)) == 0 })
	s.set(key, "ready@100#6")
	waitForStart(c, g, key, "endpoints/1100")
	// The earlier clock is that of an endpoint whose earlier entry has lapsed.
	s.remove(key)
	waitUntil(c, "the entry has lapsed", func() bool { return len(incarnations(g, key)) == 0 })
	s.set(key, "ready@50#1")
	time.Sleep(2 * heartbeat)
	c.Assert(incarnations(g, key), qt.HasLen, 0)
	waitForStart(c, g, key, "endpoints/150")
}
