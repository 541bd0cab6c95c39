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

// large adds the sizes that take minutes with the race detector.
var large = flag.Bool("large", false, "measure the cost of heartbeats at 100 and 384 members too")

const (
	mostBytes   = 10_000
	mostInForce = 9 * time.Second
	measured    = 20 * time.Second
)

// TestMemberCost measures, without other traffic, the bytes that a node sends and
// receives a second, the CPU time a node, and how long a version takes from the
// relays to all. Bounds are the system's targets.
func TestMemberCost(t *testing.T) {
	sizes := []struct{ zones, each int }{{2, 4}, {3, 8}}
	if *large {
		sizes = append(sizes, struct{ zones, each int }{10, 10}, struct{ zones, each int }{16, 24})
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("members=%d", size.zones*size.each), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size.zones, size.each)
				defer f.stop()
				after(15 * time.Second)
				nodes := float64(len(f.hosts))
				bytes, cpu := f.network.Bytes(), processTime()
				after(measured)
				perNode := 2 * float64(f.network.Bytes()-bytes) / nodes / measured.Seconds()
				busy := float64(processTime()-cpu) / nodes / float64(measured)
				took := f.spread(7)
				t.Logf("members=%d bytes_per_second=%.0f core_percent=%.3f version_everywhere_after=%s", len(f.hosts), perNode, 100*busy, took)
				qt.Check(t, perNode < mostBytes, qt.IsTrue)
				qt.Check(t, took < mostInForce, qt.IsTrue)
			})
		})
	}
}

// spread gives a version to the relays and waits until all have heard of it.
func (f *fleet) spread(version uint64) time.Duration {
	began := time.Now()
	for _, h := range f.hosts {
		if h.members.Relay() {
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
		after(10 * time.Millisecond)
	}
}

// processTime is the CPU time that the process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestMemberCostOfOrganisations measures what organisations' demand adds when
// all of it doubles or halves all the time.
func TestMemberCostOfOrganisations(t *testing.T) {
	for _, organisations := range []int{0, 5, 20} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(1, 8)
			defer f.stop()
			for _, h := range f.hosts {
				h.organisations.Store(int64(organisations))
			}
			after(10 * time.Second)
			bytes := f.network.Bytes()
			after(measured)
			t.Logf("organisations=%d bytes_per_second=%.0f", organisations, 2*float64(f.network.Bytes()-bytes)/8/measured.Seconds())
		})
	}
}

// restless is demand that doubles or halves all the time.
func restless(organisations int64) []member.Demand {
	list := make([]member.Demand, organisations)
	for i := range list {
		list[i] = member.Demand{Organisation: identity.Organisation(fmt.Sprint("organisation-", i)), TokensPerSecond: uint64(1000 * (1 + time.Now().Unix()/2%2))}
	}
	return list
}
