// Package quota enforces limits of organisations across all entry hosts. Limits
// count units: calls if catalogue.RateLimit.CountsCalls is set, tokens otherwise.
//
// # Pools
//
// The hosts of a small fleet, or those of one zone of a larger one, form a pool. Each
// host keeps its own copy of the pool's token bucket per organisation: it takes its own
// calls from it at once and those of the other hosts when their reports arrive, several
// times a second. A host's own part of a limit could be less than one call, the pool's
// seldom is.
//
// # Refusals
//
// What an organisation is entitled to, its rate and most of its burst, is given out
// whole. The hosts of a pool hear of each other's calls within a fraction of a second;
// what they admit beyond the limit meanwhile is covered by the slack that the operators
// allow, and by the part of the burst that is kept back.
//
// # Shares
//
// A pool's bucket is filled at its share of the limit. Shares follow the demand that
// pools report to each other. If the total demand is below the limit, each pool gets
// its own demand plus an equal part of the remainder; otherwise it gets a minimum, and
// a part of the rest in proportion to its demand. An equal share is set aside for each
// host that does not report.
//
// # Initial state
//
// A bucket starts with the units that its share would have accumulated since the
// host started. What a previous process spent is unknown, and a restart of all
// hosts must not grant the burst again.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// demandWindow is the time constant of the demand average; reported demand
	// follows a change within seconds.
	demandWindow = 2 * time.Second
	// minDemandPeriod is the shortest period over which demand is averaged, so that the
	// first call is not taken for a high demand.
	minDemandPeriod = 500 * time.Millisecond
	// unheardTime is how long after its start a host takes the demand of the other hosts
	// of its pool to be that of its own, if they report less: they may have started with
	// it, and their reports of it are on their way. Hosts are ready within a second.
	unheardTime = 2 * time.Second
	// minShareRatio is the fraction of an equal share that a pool gets even
	// without demand.
	minShareRatio = 0.25
	// burstRatio and rateSeconds give the capacity of a bucket: a fraction of the burst
	// and some seconds' worth of the rate. The rest of the burst is kept for what the
	// hosts of a pool admit before they hear of each other's calls.
	burstRatio  = 0.8
	rateSeconds = 0.2
	// A call may take more units than the bucket holds, which leaves it negative.
	// A call is small if a full bucket holds at least smallCallRatio times its
	// units; it passes unless the bucket is empty. For a larger call the bucket
	// must hold largeCallRatio of the call's units or of a full bucket, whichever
	// is less, since the negative buckets of all pools add up.
	smallCallRatio = 3.0
	largeCallRatio = 0.5
	// slackCapacityRatio and slackDebtRatio are the fractions of the slack that are added
	// to the capacity of buckets, and by which they may be negative while calls pass.
	slackCapacityRatio = 0.2
	slackDebtRatio     = 0.4
	// throttleTime is how long a bucket must last while the demand exceeds the rate at
	// which it is filled: about as long as the hosts of a pool take to hear of each
	// other's calls.
	throttleTime = 500 * time.Millisecond
	// maxDebtRatio bounds how far a bucket can become negative, as a multiple of a full
	// one, by reports that repeat what was already taken.
	maxDebtRatio = 4.0
	// sourceTTL is how long the counters of a source that stopped reporting are kept.
	sourceTTL = time.Minute
)

// Demand is a number of units, or of units per second, of each organisation.
type Demand map[identity.Organisation]float64

// Quota enforces the limits on one host. Create one with New.
type Quota struct {
	mu      sync.Mutex
	started time.Time
	// initialShare is the share of the pool until its demand is known.
	initialShare float64
	// slack is by how many units the calls of a window may exceed a limit; pools is the
	// number of pools.
	slack   float64
	pools   int
	buckets map[identity.Organisation]*bucket
	groups  map[string]*group
}

// Option configures a Quota.
type Option func(*Quota)

// WithSlack sets by how many units the calls of a window may exceed a limit.
func WithSlack(units float64) Option {
	return func(q *Quota) { q.slack = units }
}

// New returns a Quota for a host that started at the given time.
func New(started time.Time, options ...Option) *Quota {
	q := &Quota{
		started: started, initialShare: defaultShare, pools: 1,
		buckets: make(map[identity.Organisation]*bucket), groups: make(map[string]*group),
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// Refusal says why a call exceeds a limit.
type Refusal struct {
	// Wait is the time until the bucket holds enough for the same call, or zero if it
	// does and the call was refused by chance.
	Wait time.Duration
	// Available is what the pool's bucket holds, Needed what the call requires of it,
	// and PerSecond the rate at which it is filled.
	Available, Needed, PerSecond float64
}

// Take charges units to an organisation's limit. If the pool's bucket holds too little,
// it returns the refusal.
func (q *Quota) Take(now time.Time, o *catalogue.Organisation, units float64) (Refusal, bool) {
	if o.RateLimit.PerSecond <= 0 {
		return Refusal{}, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucketOf(now, o.ID)
	b.limit = o.RateLimit
	b.addDemand(now, units)
	b.fill(now)
	need, full := 0.0, b.full()
	if full < smallCallRatio*units {
		need = min(units, full) * largeCallRatio
	}
	need -= slackDebtRatio * q.slack / float64(q.pools)
	perSecond := o.RateLimit.PerSecond * b.share
	if b.units < need || b.units <= 0 && need >= 0 || b.throttled(perSecond, q.assumedDemand(now, b)) {
		wait := time.Duration(max(0, need-b.units) / perSecond * float64(time.Second))
		return Refusal{Wait: wait, Available: b.units, Needed: need, PerSecond: perSecond}, false
	}
	b.units -= units
	b.admitted += units
	return Refusal{}, true
}

// assumedDemand returns the units per second requested from all hosts of the pool.
func (q *Quota) assumedDemand(now time.Time, b *bucket) float64 {
	if own := b.demandPerSecond(now); now.Sub(q.started) < unheardTime && b.poolDemand < 2*own {
		return max(b.poolDemand, own*float64(b.poolHosts))
	}
	return b.poolDemand
}

// Return refunds the units of a call that was not executed. They still count as
// admitted to the other hosts, whose counters only rise.
func (q *Quota) Return(o *catalogue.Organisation, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[o.ID]; b != nil {
		b.units += units
	}
}

// Demand returns the units per second requested from this host, refused calls included.
func (q *Quota) Demand(now time.Time) Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	rates := make(Demand, len(q.buckets))
	for id, b := range q.buckets {
		rates[id] = b.demandPerSecond(now)
	}
	return rates
}

// Admitted returns the units that this host let pass.
func (q *Quota) Admitted() Demand {
	return q.counted(func(b *bucket) float64 { return b.admitted })
}

// PoolAdmitted returns the units that the hosts of the pool let pass, as far as this
// host has heard. It never decreases.
func (q *Quota) PoolAdmitted() Demand {
	return q.counted(func(b *bucket) float64 { return b.admitted + b.poolAdmitted })
}

func (q *Quota) counted(count func(*bucket) float64) Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	units := make(Demand, len(q.buckets))
	for id, b := range q.buckets {
		units[id] = math.Round(count(b))
	}
	return units
}

// Update takes what the other hosts of the pool let pass from the buckets, and updates
// the pool's shares. limits holds the organisations, own is the demand that this host
// reported, peers are the reports received from other hosts, and hosts is the number of
// all hosts, reporting or not.
func (q *Quota) Update(now time.Time, limits []catalogue.Organisation, own Demand, peers []PeerReport, hosts int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range limits {
		b := q.bucketOf(now, limits[i].ID)
		b.limit = limits[i].RateLimit
		b.fill(now)
	}
	reporting, pools := 1, 1
	for _, p := range peers {
		reporting += p.HostCount
		if !p.InPool {
			pools++
			continue
		}
		q.takeReported(now, p)
	}
	hosts = max(hosts, reporting)
	reportingShare := float64(reporting) / float64(hosts)
	q.initialShare, q.pools = reportingShare/float64(pools), pools
	poolHosts := 1
	for _, p := range peers {
		if p.InPool {
			poolHosts += p.HostCount
		}
	}
	for id, b := range q.buckets {
		b.poolHosts = poolHosts
		pool, sum := own[id], own[id]
		for _, p := range peers {
			sum += p.Demand[id]
			if p.InPool {
				pool += p.Demand[id]
			}
		}
		b.poolDemand = pool
		b.slack = q.slack * slackCapacityRatio
		b.share = reportingShare * poolShare(pool, sum, b.limit.PerSecond*reportingShare, pools)
	}
	q.evictSources(now)
}

// poolShare returns one pool's share of a limit that is divided among pools.
func poolShare(own, sum, limit float64, pools int) float64 {
	equalShare := 1 / float64(pools)
	if sum <= 0 || limit <= 0 {
		return equalShare
	}
	if sum < limit {
		return (own + (limit-sum)*equalShare) / limit
	}
	return minShareRatio*equalShare + (1-minShareRatio)*own/sum
}

func (q *Quota) bucketOf(now time.Time, id identity.Organisation) *bucket {
	b := q.buckets[id]
	if b == nil {
		b = &bucket{filledAt: q.started, demandAt: now, demandSince: q.started.Add(unheardTime), share: q.initialShare}
		q.buckets[id] = b
	}
	return b
}

// defaultShare is used until the first call of Update.
const defaultShare = 0.1
