// Package neighbour exchanges state reports between entry hosts over UDP.
//
// # Reports
//
// Each host sends its complete Report in one datagram several times a second. The
// next report makes up for a lost one, and there is no connection that could stall.
//
// # Zones
//
// A small fleet is a full mesh. In a larger one a host reports only to the relays of
// its zone, and to all hosts of the zone while it hears too few relays. The two relays
// of a zone send their reports and the zone's aggregate to its hosts; they exchange
// aggregates with the relays of other zones and forward these within their zone. A
// zone's relays are its live hosts with the lowest addresses. What a host sends and
// receives thus depends on the number of zones, not on the number of hosts; what a
// relay does grows with its zone.
//
// # Membership
//
// Addresses come from the platform and from other hosts' reports. A host is live
// if it has sent a report within the last few report intervals.
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
	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// reportInterval is the mean time between reports: an endpoint's load changes
	// within a few hundred milliseconds.
	reportInterval = 250 * time.Millisecond
	// fullMeshMax is the largest fleet in which every host reports to every other.
	fullMeshMax = 16
	// RelaysPerZone is how many hosts of a zone exchange aggregates with other zones.
	RelaysPerZone = 2
	// reportsPerAggregate is how many reports a relay sends per aggregate to other
	// zones, reportsPerOwnAggregate per aggregate to the hosts of its own.
	reportsPerAggregate    = 3
	reportsPerOwnAggregate = 2
	// ownAggregateTTL is how long the aggregate of the own zone is valid.
	ownAggregateTTL = 1500 * time.Millisecond
	// liveIntervals is how many report intervals a host counts as live after a report.
	liveIntervals = 6
	// aggregateTTL is how long a zone's aggregate is valid. It is longer than that of
	// a report because aggregates are sent less often and pass through relays.
	aggregateTTL = 4 * time.Second
	// silentHostTTL is how long the address of a host that stopped reporting is kept.
	silentHostTTL = 2 * time.Minute
	// knownSampleSize is how many known addresses a report carries.
	knownSampleSize = 4
	// maxDatagramBytes is the largest UDP payload.
	maxDatagramBytes = 65_507
)

// Neighbours is this host's view of the other entry hosts. Create one with New and
// call Run.
type Neighbours struct {
	// LocalReport returns this host's current report.
	LocalReport func() Report
	// ZoneUsage returns the usage counts summed over the hosts of this zone.
	ZoneUsage func() map[usage.Window]usage.Counts
	// ZoneAdmitted returns the tokens that the hosts of this zone let pass the limits.
	ZoneAdmitted func() map[identity.Organisation]float64
	// OnReport is called with each new report and each new zone aggregate.
	OnReport func(Report)
	// Bytes counts the bytes sent and received.
	Bytes *metrics.Counter
	Log   *slog.Logger

	self        netip.AddrPort
	zone        identity.Zone
	incarnation identity.Incarnation
	conn        net.PacketConn
	mu          sync.Mutex
	hosts       map[netip.AddrPort]hostInfo
	// reports holds the newest report or aggregate from each address.
	reports map[netip.AddrPort]ReceivedReport
	// aggregates holds the newest aggregate of each zone, the own one included.
	aggregates map[identity.Zone]ReceivedReport
	// lastSent is this host's latest report.
	lastSent Report
	// relayed is set, and never cleared, once there are more than fullMeshMax hosts.
	relayed  bool
	sequence uint64
}

// hostInfo describes an address at which there may be a host.
type hostInfo struct {
	zone identity.Zone
	// lastSeen is when the host last reported or, before its first report, became known.
	lastSeen time.Time
}

// New returns the Neighbours of a host in zone that sends and receives over conn
// and is reachable at the address self.
func New(conn net.PacketConn, self netip.AddrPort, zone identity.Zone, incarnation identity.Incarnation) *Neighbours {
	return &Neighbours{
		LocalReport: func() Report { return Report{} }, OnReport: func(Report) {}, Bytes: new(metrics.Counter), Log: slog.Default(),
		ZoneUsage:    func() map[usage.Window]usage.Counts { return nil },
		ZoneAdmitted: func() map[identity.Organisation]float64 { return nil },
		self:         self, zone: zone, incarnation: incarnation, conn: conn,
		hosts: make(map[netip.AddrPort]hostInfo), reports: make(map[netip.AddrPort]ReceivedReport), aggregates: make(map[identity.Zone]ReceivedReport),
	}
}

// AddHosts adds addresses at which there may be hosts.
func (n *Neighbours) AddHosts(candidates ...KnownHost) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, candidate := range candidates {
		if candidate.Address == n.self || !candidate.Address.IsValid() {
			continue
		}
		info, found := n.hosts[candidate.Address]
		if !found {
			info.lastSeen = time.Now()
		}
		info.zone = cmp.Or(candidate.Zone, info.zone)
		n.hosts[candidate.Address] = info
	}
	n.relayed = n.relayed || len(n.hosts) >= fullMeshMax
}

// Run sends and receives reports until ctx ends, and then sends a final report with
// Stopping set.
func (n *Neighbours) Run(ctx context.Context) error {
	group := new(errgroup.Group)
	group.Go(func() error { return n.receive(ctx) })
	group.Go(func() error {
		defer n.conn.Close()
		for pause.For(ctx, reportInterval*3/4+rand.N(reportInterval/2)) {
			n.send(false)
		}
		n.send(true)
		return nil
	})
	return group.Wait()
}

// send sends this host's report and, if due, its zone's aggregate.
func (n *Neighbours) send(stopping bool) {
	report := n.LocalReport()
	n.mu.Lock()
	n.sequence++
	report.Sequence, report.Incarnation, report.Address, report.Zone = n.sequence, n.incarnation, n.self, n.zone
	report.Stopping = stopping
	report.KnownHosts = n.sample()
	report.Relayed, report.Relay = n.relayed, n.exchangesAggregates()
	reportTargets, aggregateTargets := n.targets(report.Relay || stopping)
	zoneReports := n.liveInZone(n.zone)
	sendAggregate := report.Relay && n.sequence%reportsPerAggregate == 0
	if sendAggregate {
		report.ZoneAggregates = n.aggregatesToForward()
	}
	n.lastSent = report
	n.mu.Unlock()
	if report.Relay && n.sequence%reportsPerOwnAggregate == 0 {
		own := aggregate(report, zoneReports)
		own.Usage, own.TokensAdmitted = n.ZoneUsage(), n.ZoneAdmitted()
		own.Quarantine, own.Limits, own.Departures = quarantine.Evidence{}, nil, nil
		report.ZoneAggregates = append(report.ZoneAggregates, own)
	}
	if sendAggregate {
		aggregated := aggregate(report, zoneReports)
		aggregated.Usage, aggregated.TokensAdmitted = n.ZoneUsage(), nil
		n.write(aggregated, aggregateTargets)
	} else if report.Relay && !report.Quarantine.Empty() {
		// Evidence is not kept until the next aggregate: more endpoints crash meanwhile.
		n.write(Report{
			Host: report.Host, Incarnation: report.Incarnation, Address: report.Address, Zone: report.Zone,
			Relayed: true, Quarantine: report.Quarantine, EvidenceOnly: true,
		}, aggregateTargets)
	}
	report.WallNanos = time.Now().UnixNano()
	n.write(report, reportTargets)
}

// sample returns up to knownSampleSize known hosts, chosen at random.
func (n *Neighbours) sample() []KnownHost {
	sampled := make([]KnownHost, 0, knownSampleSize)
	for address, info := range n.hosts {
		if len(sampled) == knownSampleSize {
			break
		}
		sampled = append(sampled, KnownHost{Address: address, Zone: info.zone})
	}
	return sampled
}

// write sends report to all targets.
func (n *Neighbours) write(report Report, targets []netip.AddrPort) {
	if len(targets) == 0 {
		return
	}
	data, err := encode(report)
	if err != nil || len(data) > maxDatagramBytes {
		n.Log.Error("report_not_sent", "bytes", len(data), "error", err)
		return
	}
	for _, target := range targets {
		// A failed send is treated like a lost datagram.
		if _, err := n.conn.WriteTo(data, net.UDPAddrFromAddrPort(target)); err == nil {
			n.Bytes.Add(len(data))
		}
	}
}

func (n *Neighbours) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := n.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// An ICMP "port unreachable" for an earlier datagram surfaces here.
			continue
		}
		n.Bytes.Add(size)
		report, err := decode(buffer[:size])
		if err != nil {
			n.Log.Warn("report_unreadable", "bytes", size, "error", err)
			continue
		}
		n.handle(report)
	}
}

// handle stores a received report unless it is stale: a report of the same
// incarnation with the same or a higher sequence number has already arrived.
func (n *Neighbours) handle(report Report) {
	if report.Incarnation == n.incarnation || !report.Address.IsValid() {
		return
	}
	if report.EvidenceOnly {
		n.OnReport(report)
		return
	}
	n.AddHosts(KnownHost{Address: report.Address, Zone: report.Zone})
	n.AddHosts(report.KnownHosts...)
	n.mu.Lock()
	// All hosts must agree, since those of a mesh don't send aggregates.
	n.relayed = n.relayed || report.Relayed || report.Hosts > 0
	previous, found := n.reports[report.Address]
	if found && previous.Incarnation == report.Incarnation && previous.Sequence >= report.Sequence {
		n.mu.Unlock()
		return
	}
	if report.Stopping {
		delete(n.reports, report.Address)
		delete(n.hosts, report.Address)
	} else {
		n.reports[report.Address] = ReceivedReport{Report: report, ReceivedAt: time.Now()}
		n.hosts[report.Address] = hostInfo{zone: report.Zone, lastSeen: time.Now()}
	}
	newAggregates := n.storeAggregates(report)
	n.mu.Unlock()
	if !found {
		n.Log.Info("host_heard", "neighbour", report.Host, "address", report.Address, "zone", report.Zone, "hosts", report.HostCount())
	}
	n.OnReport(report)
	for _, aggregated := range newAggregates {
		n.OnReport(aggregated)
	}
}

// LiveReports returns the newest reports of the other live hosts. In a relayed fleet
// the hosts of other zones are represented by their zones' aggregates.
func (n *Neighbours) LiveReports() []ReceivedReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, received := range n.reports {
		if time.Since(received.ReceivedAt) > silentHostTTL {
			delete(n.reports, address)
			delete(n.hosts, address)
		}
	}
	if !n.relayed {
		return n.liveHosts()
	}
	own, found := n.aggregates[n.zone]
	if !n.exchangesAggregates() && found && time.Since(own.ReceivedAt) <= ownAggregateTTL {
		rest := ReceivedReport{Report: own.without(n.lastSent), ReceivedAt: own.ReceivedAt}
		if rest.Hosts == 0 {
			return n.liveAggregates()
		}
		return append(n.liveAggregates(), rest)
	}
	return append(n.liveInZone(n.zone), n.liveAggregates()...)
}

// HeardReports returns the newest reports of the live hosts that this host hears
// itself, and the aggregates of other zones.
func (n *Neighbours) HeardReports() []ReceivedReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.relayed {
		return append(n.liveInZone(n.zone), n.liveAggregates()...)
	}
	return n.liveHosts()
}

// liveHosts returns the newest reports of the live hosts of a full mesh.
func (n *Neighbours) liveHosts() []ReceivedReport {
	var live []ReceivedReport
	for _, received := range n.reports {
		if time.Since(received.ReceivedAt) <= liveIntervals*reportInterval {
			live = append(live, received)
		}
	}
	return live
}

// Relayed reports whether the fleet is too large for a full mesh.
func (n *Neighbours) Relayed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relayed
}

// HostCount counts this host and all others that reported or became known within the
// given duration, individually or as part of a zone's aggregate. Known addresses
// count so that a host that receives no reports does not act as the only one.
func (n *Neighbours) HostCount(within time.Duration) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count, ownZone := 1, 1
	for _, info := range n.hosts {
		if time.Since(info.lastSeen) > within {
			continue
		}
		if _, aggregated := n.aggregates[info.zone]; !n.relayed || !aggregated {
			count++
		}
		if info.zone == n.zone {
			ownZone++
		}
	}
	if !n.relayed {
		return count
	}
	for zone, received := range n.aggregates {
		switch {
		case zone == n.zone:
			count += max(ownZone, received.HostCount()) - 1
		case time.Since(received.ReceivedAt) <= within:
			count += received.HostCount()
		}
	}
	return count
}
