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
	// pollInterval is the time between the starts of two polls, of the same or of
	// different endpoints.
	pollInterval       = 125 * time.Millisecond
	pollTimeout        = 2 * time.Second
	maxConcurrentPolls = 4
	// minResyncInterval is the minimum time between listings of one endpoint.
	minResyncInterval = 10 * time.Second
	// endpointsPerHost is how many endpoints a host polls on average, each every
	// five seconds. If there are more endpoints than that for all hosts together,
	// each is polled by one host, less often.
	endpointsPerHost = 40
)

// Source is an endpoint that publishes cache events.
type Source struct {
	Incarnation identity.Incarnation
	Address     netip.AddrPort
}

// Poller updates an Index from the endpoints assigned to this host. Its fields
// are set before Run.
type Poller struct {
	Index *Index
	// Sources lists all endpoints to poll, Hosts the entry hosts that share them;
	// Host is this one.
	Sources     func() []Source
	Hosts       func() []identity.Host
	Host        identity.Host
	FetchEvents func(ctx context.Context, source Source, after uint64) (engine.CacheEvents, unit.Bytes, error)
	// FetchEntries lists all blocks that an endpoint has cached.
	FetchEntries func(ctx context.Context, source Source) ([]engine.Block, error)
	// CountBytes receives the size of each response to FetchEvents.
	CountBytes func(unit.Bytes)
	Log        *slog.Logger

	mu         sync.Mutex
	polling    map[identity.Incarnation]bool
	resyncedAt map[identity.Incarnation]time.Time
}

// Run polls the assigned endpoints in turn until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	p.polling, p.resyncedAt = make(map[identity.Incarnation]bool), make(map[identity.Incarnation]time.Time)
	group := new(errgroup.Group)
	group.SetLimit(maxConcurrentPolls)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var queue []Source
	for {
		if len(queue) == 0 {
			queue = p.assignedSources()
		}
		if len(queue) > 0 {
			source := queue[0]
			queue = queue[1:]
			group.TryGo(func() error {
				p.poll(ctx, source)
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

// assignedSources returns the endpoints that this host polls. It removes from the
// index the incarnations that are no longer among Sources.
func (p *Poller) assignedSources() []Source {
	sources, hosts := p.Sources(), p.Hosts()
	present := make(map[identity.Incarnation]bool, len(sources))
	var assigned []Source
	for _, s := range sources {
		present[s.Incarnation] = true
		if IsAssigned(p.Host, hosts, s.Incarnation, pollersPerEndpoint(len(sources), len(hosts))) {
			assigned = append(assigned, s)
		}
	}
	p.Index.Retain(func(i identity.Incarnation) bool { return present[i] })
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.resyncedAt, func(i identity.Incarnation, _ time.Time) bool { return !present[i] })
	return assigned
}

// pollersPerEndpoint returns how many hosts poll each endpoint.
func pollersPerEndpoint(sources, hosts int) int {
	if sources == 0 {
		return 1
	}
	return max(1, endpointsPerHost*hosts/sources)
}

// IsAssigned reports whether host is among the first n of hosts in rendezvous hashing
// order for an endpoint.
func IsAssigned(host identity.Host, hosts []identity.Host, incarnation identity.Incarnation, n int) bool {
	own, ahead := rank(host, incarnation), 0
	for _, h := range hosts {
		if h != host && rank(h, incarnation) > own {
			ahead++
		}
	}
	return ahead < n
}

// rank must be the same in all processes, so that they agree on assignments.
func rank(host identity.Host, incarnation identity.Incarnation) uint64 {
	return xxh3.HashStringSeed(string(host), xxh3.HashString(string(incarnation)))
}

// poll applies the new events of one endpoint to the index.
func (p *Poller) poll(ctx context.Context, source Source) {
	if !p.begin(source.Incarnation) {
		return
	}
	defer p.end(source.Incarnation)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	after, trust := p.Index.State(source.Incarnation)
	events, size, err := p.FetchEvents(ctx, source, after)
	if err != nil || events.Incarnation != source.Incarnation {
		p.Log.Debug("cache_events_unavailable", "incarnation", source.Incarnation, "error", err)
		return
	}
	p.CountBytes(size)
	p.Index.Apply(source.Incarnation, events.Events)
	if sequence, trustNow := p.Index.State(source.Incarnation); trustNow < 1 && p.resyncAllowed(source.Incarnation) {
		p.Log.Info("cache_events_gap", "incarnation", source.Incarnation, "sequence", sequence, "trust_before", trust)
		p.resync(ctx, source, sequence)
	}
}

// resync replaces the blocks of an endpoint with a full listing. Events after
// sequence are applied again, as the listing may or may not include them.
func (p *Poller) resync(ctx context.Context, source Source, sequence uint64) {
	blocks, err := p.FetchEntries(ctx, source)
	if err != nil {
		p.Log.Info("cache_listing_unavailable", "incarnation", source.Incarnation, "error", err)
		return
	}
	p.Index.Resync(source.Incarnation, sequence, blocks)
}

func (p *Poller) begin(incarnation identity.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.polling[incarnation] {
		return false
	}
	p.polling[incarnation] = true
	return true
}

func (p *Poller) end(incarnation identity.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.polling, incarnation)
}

// resyncAllowed reports whether an incarnation may be listed now, and if so
// records the time.
func (p *Poller) resyncAllowed(incarnation identity.Incarnation) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.resyncedAt[incarnation]) < minResyncInterval {
		return false
	}
	p.resyncedAt[incarnation] = time.Now()
	return true
}
