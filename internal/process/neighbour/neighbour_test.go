package neighbour_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// host is an entry host with a demand of 1 token/s for one organisation and one
// counted call of it.
type host struct {
	*neighbour.Neighbours
	usage *usage.Counter
	zone  identity.Zone
	// quarantine is nil unless a test sets it.
	quarantine *quarantine.Quarantine
	// kill closes the host's socket, so that it neither sends nor receives.
	kill func()
}

const window = 5 * time.Second

var now = time.Unix(1001, 0)

// startHosts starts hosts on loopback addresses, assigned to zones round-robin. Each
// knows the hosts started before it, as it would from the platform's store.
func startHosts(t *testing.T, count, zones int) []host {
	return startHostsIn(t, count, func(i int) int { return i % zones })
}

// startHostsIn starts hosts in the zones that zoneOf returns, each after configure was
// called with it.
func startHostsIn(t *testing.T, count int, zoneOf func(i int) int, configure ...func(*host)) []host {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	group := new(errgroup.Group)
	var hosts []host
	var started []neighbour.KnownHost
	for i := range count {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		address := netip.MustParseAddrPort(conn.LocalAddr().String())
		incarnation := identity.Incarnation(fmt.Sprint("i", i))
		zone := identity.Zone(fmt.Sprint("z", zoneOf(i)))
		h := host{Neighbours: neighbour.New(conn, address, zone, incarnation), usage: usage.New(incarnation, zone, window), zone: zone, kill: func() { conn.Close() }}
		h.usage.RecordCall(now, "o")
		h.LocalReport = func() neighbour.Report {
			return neighbour.Report{
				Host: identity.Host(incarnation), TokenDemand: map[identity.Organisation]float64{"o": 1}, Usage: h.usage.LocalCounts(now),
				ServiceDemand: map[identity.Service]float64{"s": 1},
				Loads:         map[identity.Incarnation]neighbour.Load{"e": {Running: 1}},
			}
		}
		h.ZoneUsage = func() map[usage.Window]usage.Counts { return h.usage.ZoneCounts(now) }
		h.OnReport = func(r neighbour.Report) {
			if r.Hosts > 0 {
				h.usage.MergeZone(r.Zone, r.Usage)
				return
			}
			h.usage.MergeHost(r.Incarnation, r.Zone, r.Usage)
		}
		for _, f := range configure {
			f(&h)
		}
		h.AddHosts(started...)
		started = append(started, neighbour.KnownHost{Address: address, Zone: zone})
		hosts = append(hosts, h)
		group.Go(func() error { return h.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		c.Check(group.Wait(), qt.IsNil)
	})
	return hosts
}

// checkTotals returns an error unless the host's totals cover all hosts.
func (h host) checkTotals(count int) error {
	demand, running := 1.0, 1
	for _, r := range h.LiveReports() {
		demand += r.TokenDemand["o"]
		running += r.Loads["e"].Running
	}
	counted := h.usage.Total(h.usage.WindowAt(now))["o"]
	if int(demand) != count || running != count || counted != count || h.HostCount(time.Minute) != count {
		return fmt.Errorf("of %d hosts: demand %v, running %d, counted %d, hosts %d", count, demand, running, counted, h.HostCount(time.Minute))
	}
	return nil
}

// waitForAgreement waits until all hosts know the same totals, and returns the last
// error if they don't.
func waitForAgreement(hosts []host) error {
	var last error
	for range 300 {
		last = nil
		for _, h := range hosts {
			if err := h.checkTotals(len(hosts)); err != nil {
				last = err
			}
		}
		if last == nil {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return last
}

func TestFullMeshReachesAgreement(t *testing.T) {
	qt.Assert(t, waitForAgreement(startHosts(t, 5, 3)), qt.IsNil)
}

// In a relayed fleet a host receives reports from its own zone and aggregates from
// the others.
func TestRelayedFleetReachesAgreement(t *testing.T) {
	hosts := startHosts(t, 30, 3)
	qt.Assert(t, waitForAgreement(hosts), qt.IsNil)
	relays := 0
	for _, h := range hosts {
		if h.IsRelay() {
			relays++
		}
		// A zone has 10 hosts, and there are 2 other zones.
		qt.Check(t, len(h.LiveReports()) <= 10+2, qt.IsTrue)
	}
	qt.Assert(t, relays, qt.Equals, 3*2)
}

// A host that started first and knows no other learns from the aggregates of another
// zone that the fleet is too large for a mesh, and sends aggregates itself.
func TestHostThatKnowsFewJoinsARelayedFleet(t *testing.T) {
	hosts := startHostsIn(t, 20, func(i int) int { return min(i, 1) })
	qt.Assert(t, waitForAgreement(hosts), qt.IsNil)
	qt.Assert(t, hosts[0].Relayed(), qt.IsTrue)
}

// Hosts of a relayed fleet that are not relays hear the relays of their zone only.
func TestMembersHearOnlyRelays(t *testing.T) {
	c := qt.New(t)
	hosts := startHosts(t, 36, 2)
	c.Assert(waitForAgreement(hosts), qt.IsNil)
	// A host that took itself for a relay before it heard two others counts as one to
	// the others for as long as its last report lives, and keeps what they send it
	// meanwhile for as long again: 1.5 s each.
	time.Sleep(3500 * time.Millisecond)
	for _, h := range hosts {
		if h.IsRelay() {
			continue
		}
		c.Check(h.LiveReports(), qt.HasLen, 2, qt.Commentf("the aggregates of both zones"))
		heard := h.HeardReports()
		c.Check(len(heard) <= 2+1, qt.IsTrue, qt.Commentf("two relays and the other zone's aggregate; heard %s", describe(heard)))
	}
	c.Assert(waitForAgreement(hosts), qt.IsNil)
}

// describe lists the senders of reports, whether they are relays and how old the reports
// are.
func describe(reports []neighbour.ReceivedReport) string {
	var text string
	for _, r := range reports {
		text += fmt.Sprintf("%s (zone %s, relay %t, %v old) ", r.Host, r.Zone, r.Relay, time.Since(r.ReceivedAt).Round(time.Millisecond))
	}
	return text
}

// Both relays of a zone die at once: others take over, and the hosts of all zones agree
// on what the remaining ones report.
func TestBothRelaysOfAZoneDie(t *testing.T) {
	c := qt.New(t)
	hosts := startHosts(t, 30, 3)
	c.Assert(waitForAgreement(hosts), qt.IsNil)
	var remaining []host
	for _, h := range hosts {
		if h.zone == "z0" && h.IsRelay() {
			h.kill()
			continue
		}
		remaining = append(remaining, h)
	}
	c.Assert(remaining, qt.HasLen, 28)
	deadline := time.Now().Add(8 * time.Second)
	running := func(h host) int {
		total := 1
		for _, r := range h.LiveReports() {
			total += r.Loads["e"].Running
		}
		return total
	}
	for _, h := range remaining {
		for running(h) != len(remaining) && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
		}
		c.Check(running(h), qt.Equals, len(remaining), qt.Commentf("%s", h.zone))
	}
}

// A host that receives no reports must not act as the only one.
func TestKnownHostsCountWithoutReports(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	n := neighbour.New(conn, netip.MustParseAddrPort("127.0.0.1:1"), "z", "i")
	for port := range 7 {
		n.AddHosts(neighbour.KnownHost{Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(port+1)), Zone: "z"})
	}
	qt.Assert(t, n.HostCount(time.Minute), qt.Equals, 8)
}
