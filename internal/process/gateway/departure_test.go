package gateway_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/gateway"
)

// An endpoint was cut off from the store until its entry had lapsed, and registered again
// once it was not. It was never used again, and neither was it by hosts that had only heard
// of its removal: with all of its endpoints cut off in turn a service was lost for good.
func TestEndpointThatRegistersAgainIsUsed(t *testing.T) {
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
