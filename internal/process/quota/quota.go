// Package quota enforces limits of organisations across all entry hosts. Limits
// count units: calls if catalogue.RateLimit.CountsCalls is set, tokens otherwise.
//
// # Shares
//
// Each host has a token bucket per organisation, filled at the host's share of the
// limit. Shares follow the demand that hosts report to each other. If the total
// demand is below the limit, each host gets its own demand plus an equal part of
// the remainder; otherwise it gets a minimum, and a part of the rest in proportion
// to its demand. Shares are computed from the reported demand alone, so that they
// add up to one as long as all hosts receive each other's reports. An equal share
// is set aside for each host that does not report.
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
	// minShareRatio is the fraction of an equal share that a host gets even
	// without demand.
	minShareRatio = 0.25
	// limitRatio is the fraction of a limit that is distributed, so that the limit
	// holds while shares of different hosts disagree for a moment.
	limitRatio = 0.94
	// burstRatio is the corresponding fraction of the burst.
	burstRatio = 0.5
	// A call may take more units than the bucket holds, which leaves it negative.
	// A call is small if a full bucket holds at least smallCallRatio times its
	// units; it passes unless the bucket is empty. For a larger call the bucket
	// must hold largeCallRatio of the call's units or of a full bucket, whichever
	// is less, since the negative buckets of all hosts add up.
	smallCallRatio = 3.0
	largeCallRatio = 0.5
)

// Demand is the demand of each organisation in units per second.
type Demand map[identity.Organisation]float64

// ReportedDemand is the demand reported by one host or by a group of hosts.
type ReportedDemand struct {
	// HostCount is the number of hosts that the report covers.
	HostCount int
	Demand    Demand
}

// Quota enforces the limits on one host. Create one with New.
type Quota struct {
	mu      sync.Mutex
	started time.Time
	// equalShare is the share of one host if the limit is divided equally.
	equalShare float64
	buckets    map[identity.Organisation]*bucket
}

// bucket holds the units that an organisation may still use on this host; units
// is negative after a call that took more than there were.
type bucket struct {
	units    float64
	filledAt time.Time
	// share is this host's share of the limit, 0 to 1.
	share float64
	// perSecond is the limit at the time of the last call.
	perSecond float64
	// demand is the sum of the requested units, decaying with demandWindow.
	demand   float64
	demandAt time.Time
}

// New returns a Quota for a host that started at the given time.
func New(started time.Time) *Quota {
	return &Quota{started: started, equalShare: defaultShare, buckets: make(map[identity.Organisation]*bucket)}
}

// Take charges units to an organisation's limit. If the bucket holds too little,
// it returns the time until the same call would pass.
func (q *Quota) Take(now time.Time, o *catalogue.Organisation, units float64) (wait time.Duration, ok bool) {
	if o.RateLimit.PerSecond <= 0 {
		return 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(now, o)
	b.addDemand(now, units)
	full := b.fill(now, o.RateLimit)
	need := 0.0
	if full < smallCallRatio*units {
		need = min(units, full) * largeCallRatio
	}
	if b.units < need || b.units <= 0 {
		perSecond := o.RateLimit.PerSecond * limitRatio * b.share
		return time.Duration((need - b.units) / perSecond * float64(time.Second)), false
	}
	b.units -= units
	return 0, true
}

// Return refunds the units of a call that was not executed.
func (q *Quota) Return(o *catalogue.Organisation, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[o.ID]; b != nil {
		b.units += units
	}
}

// Demand returns the demand that this host has seen, refused calls included.
func (q *Quota) Demand(now time.Time) Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	rates := make(Demand, len(q.buckets))
	for id, b := range q.buckets {
		b.addDemand(now, 0)
		rates[id] = b.demand / demandWindow.Seconds()
	}
	return rates
}

// UpdateShares updates this host's shares. own is the demand that this host reported,
// others are the reports received from other hosts, and hosts is the number of all
// hosts, reporting or not.
func (q *Quota) UpdateShares(own ReportedDemand, others []ReportedDemand, hosts int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	reporting := 1
	for _, o := range others {
		reporting += o.HostCount
	}
	hosts = max(hosts, reporting)
	q.equalShare = 1 / float64(hosts)
	reportingShare := float64(reporting) * q.equalShare
	for id, b := range q.buckets {
		sum := own.Demand[id]
		for _, o := range others {
			sum += o.Demand[id]
		}
		b.share = reportingShare * hostShare(own.Demand[id], sum, b.perSecond*limitRatio*reportingShare, reporting)
	}
}

// hostShare returns one host's share of a limit that is divided among the
// reporting hosts.
func hostShare(own, sum, limit float64, reporting int) float64 {
	equalShare := 1 / float64(reporting)
	if sum <= 0 || limit <= 0 {
		return equalShare
	}
	if sum < limit {
		return (own + (limit-sum)*equalShare) / limit
	}
	return minShareRatio*equalShare + (1-minShareRatio)*own/sum
}

func (q *Quota) bucket(now time.Time, o *catalogue.Organisation) *bucket {
	b := q.buckets[o.ID]
	if b == nil {
		b = &bucket{filledAt: q.started, demandAt: now, share: q.equalShare}
		q.buckets[o.ID] = b
	}
	b.perSecond = o.RateLimit.PerSecond
	return b
}

// defaultShare is used until the first call of UpdateShares.
const defaultShare = 0.1

// fill adds the units accumulated until now and returns the bucket's capacity.
func (b *bucket) fill(now time.Time, l catalogue.RateLimit) float64 {
	full := (l.PerSecond + l.Burst*burstRatio) * b.share
	b.units = min(full, b.units+l.PerSecond*limitRatio*b.share*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	return full
}

func (b *bucket) addDemand(now time.Time, units float64) {
	elapsed := now.Sub(b.demandAt).Seconds()
	b.demand = b.demand*decay(elapsed) + units
	b.demandAt = now
}

// decay returns the factor by which the demand decays within a number of seconds.
func decay(seconds float64) float64 {
	return math.Exp(-seconds / demandWindow.Seconds())
}
