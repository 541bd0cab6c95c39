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
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// host is one entry host with a demand of 1 a second for one organisation, which
// counted one call of it.
type host struct {
	*neighbour.Neighbours
	usage *usage.Usage
}

const window = 5 * time.Second

var at = time.Unix(1001, 0)

// fleet starts hosts on loopback addresses, dealt to zones in turn. Each knows
// those that started before it, as from the platform's store.
func fleet(t *testing.T, count, zones int) []host {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	group := new(errgroup.Group)
	var hosts []host
	var before []neighbour.Known
	for i := range count {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		address := netip.MustParseAddrPort(conn.LocalAddr().String())
		inc := identity.Incarnation(fmt.Sprint("i", i))
		zone := identity.Zone(fmt.Sprint("z", i%zones))
		h := host{Neighbours: neighbour.New(conn, address, zone, inc), usage: usage.New(inc, zone, window)}
		h.usage.Began(at, "o")
		h.Tell = func() neighbour.Report {
			return neighbour.Report{
				Host: identity.Host(inc), Demand: map[identity.Organisation]float64{"o": 1}, Usage: h.usage.Tell(at),
				Work:  map[identity.Service]float64{"s": 1},
				Loads: map[identity.Incarnation]neighbour.Load{"e": {Running: 1}},
			}
		}
		h.ZoneUsage = func() map[usage.Window]usage.Counts { return h.usage.TellZone(at) }
		h.Hear = func(r neighbour.Report) {
			if r.Hosts > 0 {
				h.usage.HearZone(r.Zone, r.Usage)
				return
			}
			h.usage.Hear(r.Incarnation, r.Zone, r.Usage)
		}
		h.Know(before...)
		before = append(before, neighbour.Known{Address: address, Zone: zone})
		hosts = append(hosts, h)
		group.Go(func() error { return h.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		c.Check(group.Wait(), qt.IsNil)
	})
	return hosts
}

// agrees tells whether a host knows what all hosts together do.
func (h host) agrees(count int) error {
	demand, running := 1.0, 1
	for _, r := range h.Live() {
		demand += r.Demand["o"]
		running += r.Loads["e"].Running
	}
	counted := h.usage.Sum(h.usage.WindowAt(at))["o"]
	if int(demand) != count || running != count || counted != count || h.Hosts(time.Minute) != count {
		return fmt.Errorf("of %d hosts: demand %v, running %d, counted %d, hosts %d", count, demand, running, counted, h.Hosts(time.Minute))
	}
	return nil
}

// settle waits until all hosts agree, or gives the last difference.
func settle(hosts []host) error {
	var last error
	for range 300 {
		last = nil
		for _, h := range hosts {
			if err := h.agrees(len(hosts)); err != nil {
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

func TestFewHostsHearEachOther(t *testing.T) {
	qt.Assert(t, settle(fleet(t, 5, 3)), qt.IsNil)
}

// Many hosts hear their zone, and the sums of other zones over relays.
func TestManyHostsHearSumsOfOtherZones(t *testing.T) {
	hosts := fleet(t, 30, 3)
	qt.Assert(t, settle(hosts), qt.IsNil)
	relays := 0
	for _, h := range hosts {
		if h.Relay() {
			relays++
		}
		qt.Check(t, len(h.Live()) <= 10+2, qt.IsTrue)
	}
	qt.Assert(t, relays, qt.Equals, 3*2)
}

// A host that hears nobody does not take itself for the only one.
func TestHostsThatAreNotHeardCount(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	n := neighbour.New(conn, netip.MustParseAddrPort("127.0.0.1:1"), "z", "i")
	for port := range 7 {
		n.Know(neighbour.Known{Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), uint16(port+1)), Zone: "z"})
	}
	qt.Assert(t, n.Hosts(time.Minute), qt.Equals, 8)
}
