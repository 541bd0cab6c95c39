// Package neighbour tells other entry hosts what this one does, and hears them.
//
// # Reports
//
// Each host sends its whole Report to every other one several times a second,
// in a datagram: a lost one is healed by the next, and there is no connection
// that could fall silent. The period grows with the number of hosts, so that the
// datagrams that one host takes stay bounded.
//
// # Who is there
//
// Addresses come from the platform and from other hosts' reports. A host counts
// as live while it was heard within a few periods.
package neighbour

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// every is the period of reports among up to fullMesh hosts: an endpoint's
	// load changes within a few hundred milliseconds.
	every    = 250 * time.Millisecond
	fullMesh = 12
	// liveFor is how long a host counts as live after a report, in periods.
	liveFor = 6
	// forgetAfter drops an address that was not heard from.
	forgetAfter = 2 * time.Minute
	// knownTold is how many addresses a report passes on.
	knownTold = 8
	// datagramMost is the largest UDP payload.
	datagramMost = 65_507
)

// Neighbours is the view of the other hosts. Make one with New and call Run.
type Neighbours struct {
	// Tell fills what this host has to say.
	Tell func() Report
	// Hear is told of each new report.
	Hear func(Report)
	// Bytes counts what is sent and received.
	Bytes *metrics.Counter
	Log   *slog.Logger

	self  netip.AddrPort
	inc   identity.Incarnation
	conn  net.PacketConn
	mu    sync.Mutex
	known map[netip.AddrPort]time.Time
	heard map[netip.AddrPort]Heard
	seq   uint64
}

// New makes Neighbours that speak over conn from the address self.
func New(conn net.PacketConn, self netip.AddrPort, inc identity.Incarnation) *Neighbours {
	return &Neighbours{
		Tell: func() Report { return Report{} }, Hear: func(Report) {}, Bytes: new(metrics.Counter), Log: slog.Default(),
		self: self, inc: inc, conn: conn,
		known: make(map[netip.AddrPort]time.Time), heard: make(map[netip.AddrPort]Heard),
	}
}

// Know adds addresses at which there may be hosts.
func (n *Neighbours) Know(addresses ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		if _, ok := n.known[a]; !ok && a != n.self && a.IsValid() {
			n.known[a] = time.Now()
		}
	}
}

// Run sends and receives until ctx ends, then says goodbye.
func (n *Neighbours) Run(ctx context.Context) error {
	group := new(errgroup.Group)
	group.Go(func() error { return n.receive(ctx) })
	group.Go(func() error {
		defer n.conn.Close()
		for pause.For(ctx, n.period()*3/4+rand.N(n.period()/2)) {
			n.send(false)
		}
		n.send(true)
		return nil
	})
	return group.Wait()
}

// period is the time between reports.
func (n *Neighbours) period() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return every * time.Duration(max(fullMesh, len(n.heard)+1)) / fullMesh
}

// send tells every known host.
func (n *Neighbours) send(goodbye bool) {
	report := n.Tell()
	n.mu.Lock()
	n.seq++
	report.Sequence, report.Incarnation, report.Address = n.seq, n.inc, n.self
	report.Goodbye = goodbye
	targets := make([]netip.AddrPort, 0, len(n.known))
	for a := range n.known {
		targets = append(targets, a)
	}
	n.mu.Unlock()
	report.Known = sample(targets, knownTold)
	report.Wall = time.Now().UnixNano()
	data, err := json.Marshal(report)
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

// sample takes up to most of list at random.
func sample(list []netip.AddrPort, most int) []netip.AddrPort {
	picked := slices.Clone(list)
	rand.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(most, len(picked))]
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
		var report Report
		if err := json.Unmarshal(buffer[:size], &report); err != nil {
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
	n.Know(report.Address)
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
		n.known[report.Address] = time.Now()
	}
	n.mu.Unlock()
	if !found {
		n.Log.Info("host_heard", "neighbour", report.Host, "address", report.Address, "zone", report.Zone)
	}
	n.Hear(report)
}

// Live lists the last reports of hosts that live, this one not among them.
func (n *Neighbours) Live() []Heard {
	live := n.period() * liveFor
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []Heard
	for a, h := range n.heard {
		switch age := time.Since(h.At); {
		case age > forgetAfter:
			delete(n.heard, a)
			delete(n.known, a)
		case age <= live:
			list = append(list, h)
		}
	}
	return list
}

// Hosts counts the hosts that live or were heard within a while, this one
// included.
func (n *Neighbours) Hosts(within time.Duration) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 1
	for _, h := range n.heard {
		if time.Since(h.At) <= within {
			count++
		}
	}
	return count
}
