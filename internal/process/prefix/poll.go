package prefix

import (
	"context"
	"log/slog"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// pollGap is the time between two calls, to whichever endpoints.
	pollGap     = 125 * time.Millisecond
	pollTimeout = 2 * time.Second
	pollsAtOnce = 4
	// resyncEvery is the least time between listings of one endpoint.
	resyncEvery = 10 * time.Second
	// assigned is how many endpoints one host asks at most, so that each is
	// asked every five seconds.
	assigned = 40
)

// Source is an endpoint that publishes cache events.
type Source struct {
	Incarnation identity.Incarnation
	Address     netip.AddrPort
}

// Poller keeps an Index up to date with the endpoints that are this host's to
// ask. Its fields are set before Run.
type Poller struct {
	Index *Index
	// Sources lists the endpoints that can be asked, Hosts the entry hosts that
	// share them; Host is this one.
	Sources func() []Source
	Hosts   func() []identity.Host
	Host    identity.Host
	Events  func(ctx context.Context, of Source, after uint64) (engine.CacheEvents, unit.Bytes, error)
	// Entries lists all that an endpoint holds.
	Entries func(ctx context.Context, of Source) ([]engine.Block, error)
	// Count is told of each call's bytes.
	Count func(unit.Bytes)
	Log   *slog.Logger

	mu       sync.Mutex
	busy     map[identity.Incarnation]bool
	resynced map[identity.Incarnation]time.Time
}

// Run asks one endpoint after another until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	p.busy, p.resynced = make(map[identity.Incarnation]bool), make(map[identity.Incarnation]time.Time)
	group := new(errgroup.Group)
	group.SetLimit(pollsAtOnce)
	ticker := time.NewTicker(pollGap)
	defer ticker.Stop()
	var turn []Source
	for {
		if len(turn) == 0 {
			turn = p.mine()
		}
		if len(turn) > 0 {
			of := turn[0]
			turn = turn[1:]
			group.TryGo(func() error {
				p.ask(ctx, of)
				return nil
			})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// mine lists the endpoints whose home is this host, and forgets those gone.
func (p *Poller) mine() []Source {
	sources, hosts := p.Sources(), p.Hosts()
	wanted := make(map[identity.Incarnation]bool, len(sources))
	var mine []Source
	for _, s := range sources {
		wanted[s.Incarnation] = true
		if Home(p.Host, hosts, s.Incarnation, copies(len(sources), len(hosts))) {
			mine = append(mine, s)
		}
	}
	p.Index.Keep(func(i identity.Incarnation) bool { return wanted[i] })
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.resynced, func(i identity.Incarnation, _ time.Time) bool { return !wanted[i] })
	return mine
}

// copies is by how many hosts each endpoint is asked.
func copies(sources, hosts int) int {
	if sources == 0 {
		return 1
	}
	return max(1, assigned*hosts/sources)
}

// Home tells whether host is among the first n of hosts in rendezvous order for
// an endpoint.
func Home(host identity.Host, hosts []identity.Host, of identity.Incarnation, n int) bool {
	mine, before := rank(host, of), 0
	for _, h := range hosts {
		if h != host && rank(h, of) > mine {
			before++
		}
	}
	return before < n
}

// rank is the same in all processes, as homes must be.
func rank(h identity.Host, of identity.Incarnation) uint64 {
	return xxh3.HashStringSeed(string(h), xxh3.HashString(string(of)))
}

// ask takes one endpoint's events into the index.
func (p *Poller) ask(ctx context.Context, of Source) {
	if !p.enter(of.Incarnation) {
		return
	}
	defer p.leave(of.Incarnation)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	after, trust := p.Index.Sequence(of.Incarnation)
	events, size, err := p.Events(ctx, of, after)
	if err != nil || events.Incarnation != of.Incarnation {
		p.Log.Debug("cache_events_unavailable", "incarnation", of.Incarnation, "error", err)
		return
	}
	p.Count(size)
	p.Index.Apply(of.Incarnation, events.Events)
	if sequence, now := p.Index.Sequence(of.Incarnation); now < 1 && p.due(of.Incarnation) {
		p.Log.Info("cache_events_gap", "incarnation", of.Incarnation, "sequence", sequence, "trust_before", trust)
		p.resync(ctx, of, sequence)
	}
}

// resync lists what an endpoint holds; events after sequence are taken again.
func (p *Poller) resync(ctx context.Context, of Source, sequence uint64) {
	blocks, err := p.Entries(ctx, of)
	if err != nil {
		p.Log.Info("cache_listing_unavailable", "incarnation", of.Incarnation, "error", err)
		return
	}
	p.Index.Resync(of.Incarnation, sequence, blocks)
}

func (p *Poller) enter(i identity.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[i] {
		return false
	}
	p.busy[i] = true
	return true
}

func (p *Poller) leave(i identity.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, i)
}

// due tells whether an incarnation may be listed now.
func (p *Poller) due(i identity.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.resynced[i]) < resyncEvery {
		return false
	}
	p.resynced[i] = time.Now()
	return true
}
