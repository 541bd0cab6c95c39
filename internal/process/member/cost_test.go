package member_test

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// large adds the sizes that take minutes under the race detector.
var large = flag.Bool("large", false, "measure the cost of heartbeats at 100 and 384 members too")

const (
	maxBytesPerSecond = 10_000
	maxSpreadTime     = 9 * time.Second
	measureTime       = 20 * time.Second
)

// TestMemberCost measures, without other traffic, the bytes per second that a host
// sends and receives, its CPU time, and how long a version takes from the relays to
// all hosts. The bounds are the system's targets.
func TestMemberCost(t *testing.T) {
	sizes := []struct{ zones, perZone int }{{2, 4}, {3, 8}}
	if *large {
		sizes = append(sizes, struct{ zones, perZone int }{10, 10}, struct{ zones, perZone int }{16, 24})
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("members=%d", size.zones*size.perZone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size.zones, size.perZone)
				defer f.stop()
				advance(15 * time.Second)
				hostCount := float64(len(f.hosts))
				bytes, cpu := f.network.Bytes(), processCPUTime()
				advance(measureTime)
				bytesPerSecond := 2 * float64(f.network.Bytes()-bytes) / hostCount / measureTime.Seconds()
				cpuShare := float64(processCPUTime()-cpu) / hostCount / float64(measureTime)
				spreadTime := f.spread(7)
				t.Logf("members=%d bytes_per_second=%.0f core_percent=%.3f version_everywhere_after=%s", len(f.hosts), bytesPerSecond, 100*cpuShare, spreadTime)
				qt.Check(t, bytesPerSecond < maxBytesPerSecond, qt.IsTrue)
				qt.Check(t, spreadTime < maxSpreadTime, qt.IsTrue)
			})
		})
	}
}

// spread sets a version at the relays and returns the time until all hosts have it.
func (f *fleet) spread(version uint64) time.Duration {
	began := time.Now()
	for _, h := range f.hosts {
		if h.members.IsRelay() {
			h.version.Store(version)
		}
	}
	for {
		missing := 0
		for _, h := range f.hosts {
			if h.version.Load() < version {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(began)
		}
		advance(10 * time.Millisecond)
	}
}

// processCPUTime returns the CPU time used by this process.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestMemberCostOfOrganisations measures the traffic that organisations' demand
// adds when it keeps doubling and halving.
func TestMemberCostOfOrganisations(t *testing.T) {
	for _, organisations := range []int{0, 5, 20} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1, 8)
			defer f.stop()
			for _, h := range f.hosts {
				h.organisations.Store(int64(organisations))
			}
			advance(10 * time.Second)
			bytes := f.network.Bytes()
			advance(measureTime)
			t.Logf("organisations=%d bytes_per_second=%.0f", organisations, 2*float64(f.network.Bytes()-bytes)/8/measureTime.Seconds())
		})
	}
}

// alternatingDemand returns demand that doubles and halves in turn every two
// seconds.
func alternatingDemand(organisations int64) []member.Demand {
	list := make([]member.Demand, organisations)
	for i := range list {
		list[i] = member.Demand{Organisation: identity.Organisation(fmt.Sprint("organisation-", i)), TokensPerSecond: uint64(1000 * (1 + time.Now().Unix()/2%2))}
	}
	return list
}
