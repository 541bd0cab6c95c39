package neighbour_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
)

// What one host of a relayed fleet sees of a crash must reach the hosts of all zones
// while the crash still counts as recent: the part that is the cause is in calls at any
// host.
func TestCrashSeenByOneHostReachesAllZones(t *testing.T) {
	c := qt.New(t)
	hosts := startHostsIn(t, 24, func(i int) int { return i % 3 }, func(h *host) {
		q := quarantine.New()
		h.quarantine = q
		local := h.LocalReport
		h.LocalReport = func() neighbour.Report {
			r := local()
			r.Quarantine = q.Evidence(h.Relayed() && h.IsRelay())
			return r
		}
		received := h.OnReport
		h.OnReport = func(r neighbour.Report) {
			q.Merge(r.Quarantine)
			if !r.EvidenceOnly {
				received(r)
			}
		}
	})
	c.Assert(waitForAgreement(hosts), qt.IsNil)
	seenBy := hosts[slices.IndexFunc(hosts, func(h host) bool { return !h.IsRelay() })]
	seenBy.quarantine.RecordCrash(quarantine.Attempt{Service: "s", Endpoint: "e", Parts: []quarantine.PartID{666}})
	reached := func() int {
		count := 0
		for _, h := range hosts {
			if e := h.quarantine.Evidence(true); len(e.Crashes) == 1 && e.Crashes[0].Parts[666] > 0 {
				count++
			}
		}
		return count
	}
	for range 60 {
		if reached() == len(hosts) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Fatalf("%d of %d hosts know of the crash", reached(), len(hosts))
}
