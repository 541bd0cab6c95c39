// Package neighbour tells other entry hosts what this one does, and hears them.
//
// # Reports
//
// Each host sends its whole Report several times a second, in a datagram: a lost
// one is healed by the next, and there is no connection that could fall silent.
//
// # Zones
//
// Few hosts send to all. Where there are more, a host sends to those of its zone
// only; two relays a zone send the zone's sum to the relays of other zones, and
// pass on in their zone what they hear. A zone's relays are its live hosts with
// the lowest addresses. So what a host sends and hears grows with its zone and
// the number of zones, not with the fleet.
//
// # Who is there
//
// Addresses come from the platform and from other hosts' reports. A host counts
// as live while it was heard within a few periods.
package neighbour

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// every is the period of reports among up to fullMesh hosts: an endpoint's
	// load changes within a few hundred milliseconds.
	every    = 250 * time.Millisecond
	fullMesh = 16
	// relays is how many hosts of a zone speak for it.
	relays = 2
	// zonesEvery is the period of zones' sums, in reports.
	zonesEvery = 3
	// liveFor is how long a host counts as live after a report, in periods.
	liveFor = 6
	// zoneLiveFor is the same for the sum of a zone, which goes over relays.
	zoneLiveFor = 4 * time.Second
	// forgetAfter drops an address that was not heard from.
	forgetAfter = 2 * time.Minute
	// knownTold is how many addresses a report passes on.
	knownTold = 4
	// datagramMost is the largest UDP payload.
	datagramMost = 65_507
)

// Neighbours is the view of the other hosts. Make one with New and call Run.
type Neighbours struct {
	// Tell fills what this host has to say.
	Tell func() Report
	// ZoneUsage adds up the usage that the hosts of this zone counted.
	ZoneUsage func() map[usage.Window]usage.Counts
	// Hear is told of each new report, and of each sum of a zone.
	Hear func(Report)
	// Bytes counts what is sent and received.
	Bytes *metrics.Counter
	Log   *slog.Logger

	self  netip.AddrPort
	zone  identity.Zone
	inc   identity.Incarnation
	conn  net.PacketConn
	mu    sync.Mutex
	known map[netip.AddrPort]place
	heard map[netip.AddrPort]Heard
	// zones are the newest sums of other zones.
	zones map[identity.Zone]Heard
	// zoned is set for good once there are more hosts than fullMesh.
	zoned bool
	seq   uint64
}

// place is an address at which there may be a host.
type place struct {
	zone identity.Zone
	at   time.Time
}

// New makes Neighbours of a host in zone, that speak over conn from the address
// self.
func New(conn net.PacketConn, self netip.AddrPort, zone identity.Zone, inc identity.Incarnation) *Neighbours {
	return &Neighbours{
		Tell: func() Report { return Report{} }, Hear: func(Report) {}, Bytes: new(metrics.Counter), Log: slog.Default(),
		ZoneUsage: func() map[usage.Window]usage.Counts { return nil },
		self:      self, zone: zone, inc: inc, conn: conn,
		known: make(map[netip.AddrPort]place), heard: make(map[netip.AddrPort]Heard), zones: make(map[identity.Zone]Heard),
	}
}

// Know adds addresses at which there may be hosts.
func (n *Neighbours) Know(list ...Known) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, k := range list {
		if k.Address == n.self || !k.Address.IsValid() {
			continue
		}
		p, found := n.known[k.Address]
		if !found {
			p.at = time.Now()
		}
		p.zone = cmp.Or(k.Zone, p.zone)
		n.known[k.Address] = p
	}
	n.zoned = n.zoned || len(n.known) >= fullMesh
}

// Run sends and receives until ctx ends, then says goodbye.
func (n *Neighbours) Run(ctx context.Context) error {
	group := new(errgroup.Group)
	group.Go(func() error { return n.receive(ctx) })
	group.Go(func() error {
		defer n.conn.Close()
		for pause.For(ctx, every*3/4+rand.N(every/2)) {
			n.send(false)
		}
		n.send(true)
		return nil
	})
	return group.Wait()
}

// send tells those that this host speaks to.
func (n *Neighbours) send(goodbye bool) {
	report := n.Tell()
	n.mu.Lock()
	n.seq++
	report.Sequence, report.Incarnation, report.Address, report.Zone = n.seq, n.inc, n.self, n.zone
	report.Goodbye = goodbye
	report.Known = n.sample()
	near, far := n.targets()
	zone := n.liveIn(n.zone)
	speaks := n.relay() && n.seq%zonesEvery == 0
	if speaks {
		report.Zones = n.passedOn()
	}
	n.mu.Unlock()
	if speaks {
		total := sum(report, zone)
		total.Usage = n.ZoneUsage()
		n.write(total, far)
	}
	report.Wall = time.Now().UnixNano()
	n.write(report, near)
}

// sample takes some known hosts at random.
func (n *Neighbours) sample() []Known {
	picked := make([]Known, 0, knownTold)
	for a, p := range n.known {
		if len(picked) == knownTold {
			break
		}
		picked = append(picked, Known{Address: a, Zone: p.zone})
	}
	return picked
}

// write sends one report, compressed, to several hosts.
func (n *Neighbours) write(report Report, targets []netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	data, err := encode(report)
	if err != nil || len(data) > datagramMost {
		n.Log.Error("report_not_sent", "bytes", len(data), "error", err)
		return
	}
	for _, a := range targets {
		// A datagram that can't be sent is as good as one that was lost.
		if _, err := n.conn.WriteTo(data, net.UDPAddrFromAddrPort(a)); err == nil {
			n.Bytes.Add(len(data))
		}
	}
}

func (n *Neighbours) receive(ctx context.Context) error {
	buffer := make([]byte, datagramMost)
	for {
		size, _, err := n.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// An ICMP refusal of an earlier datagram surfaces here.
			continue
		}
		n.Bytes.Add(size)
		report, err := decode(buffer[:size])
		if err != nil {
			n.Log.Warn("report_unreadable", "bytes", size, "error", err)
			continue
		}
		n.take(report)
	}
}

// take keeps a report unless a later one of the same incarnation was heard.
func (n *Neighbours) take(report Report) {
	if report.Incarnation == n.inc || !report.Address.IsValid() {
		return
	}
	n.Know(Known{Address: report.Address, Zone: report.Zone})
	n.Know(report.Known...)
	n.mu.Lock()
	before, found := n.heard[report.Address]
	if found && before.Incarnation == report.Incarnation && before.Sequence >= report.Sequence {
		n.mu.Unlock()
		return
	}
	if report.Goodbye {
		delete(n.heard, report.Address)
		delete(n.known, report.Address)
	} else {
		n.heard[report.Address] = Heard{Report: report, At: time.Now()}
		n.known[report.Address] = place{zone: report.Zone, at: time.Now()}
	}
	sums := n.takeSums(report)
	n.mu.Unlock()
	if !found {
		n.Log.Info("host_heard", "neighbour", report.Host, "address", report.Address, "zone", report.Zone, "hosts", report.Count())
	}
	n.Hear(report)
	for _, s := range sums {
		n.Hear(s)
	}
}

// Live lists the last reports of hosts that live, this one not among them, and
// the sums of other zones in place of their hosts'.
func (n *Neighbours) Live() []Heard {
	n.mu.Lock()
	defer n.mu.Unlock()
	for a, h := range n.heard {
		if time.Since(h.At) > forgetAfter {
			delete(n.heard, a)
			delete(n.known, a)
		}
	}
	if n.zoned {
		return append(n.liveIn(n.zone), n.liveZones()...)
	}
	var list []Heard
	for _, h := range n.heard {
		if time.Since(h.At) <= liveFor*every {
			list = append(list, h)
		}
	}
	return list
}

// Hosts counts this host and those that were heard or learnt of within a while,
// by themselves or in a zone's sum. A host that hears nobody thus does not take
// itself for the only one.
func (n *Neighbours) Hosts(within time.Duration) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 1
	for _, p := range n.known {
		_, summed := n.zones[p.zone]
		if n.zoned && summed {
			continue
		}
		if time.Since(p.at) <= within {
			count++
		}
	}
	if !n.zoned {
		return count
	}
	for _, h := range n.zones {
		if time.Since(h.At) <= within {
			count += h.Count()
		}
	}
	return count
}
