// Package quota holds organisations to limits that count over all entry hosts.
//
// # Shares
//
// Each host fills a bucket for each organisation at its share of the limit.
// Shares follow the demand that hosts tell each other: each host gets its own and
// an equal part of what is left over, or, where more is asked for than the limit,
// a part in proportion above a floor. Shares are computed from what was told, so
// that they add up to one where hosts hear each other. Hosts that fell silent
// keep an equal share.
//
// # Starting empty
//
// A bucket starts with what its share would have gathered since the host started:
// what was spent by a process before it is not known, and a fleet that restarts
// must not get its burst again.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// demandWindow smooths demand; told demand follows a change within seconds.
	demandWindow = 2 * time.Second
	// floor is the part of an equal share that a host has whatever its demand.
	floor = 0.25
	// held is the part of a limit that is given out, so that shares which
	// disagree for a moment stay within it.
	held = 0.94
	// burstHeld is the same for a burst, which is a limit's smaller part.
	burstHeld = 0.5
	// small is how many times a call's units a full bucket must hold for the call
	// to pass as long as the bucket isn't empty. Larger calls must find the part
	// largest of their units or of a full bucket, since each host's debt adds up.
	small   = 3.0
	largest = 0.5
)

// Demand is what callers ask for, in units a second.
type Demand map[identity.Organisation]float64

// Told is the demand of one host, or of several together.
type Told struct {
	// Hosts is how many it stands for.
	Hosts  int
	Demand Demand
}

// Quota is one host's view. Make one with New.
type Quota struct {
	mu      sync.Mutex
	started time.Time
	// equal is the share of a host among all.
	equal   float64
	buckets map[identity.Organisation]*bucket
}

// bucket is one organisation's units on this host; it may be in debt.
type bucket struct {
	units float64
	at    time.Time
	// share is this host's part of the limit, zero to one.
	share float64
	// perSecond is the limit that was in force at the last call.
	perSecond float64
	// asked is the demand, which decays with demandWindow.
	asked   float64
	askedAt time.Time
}

// New makes a Quota of a host that started at a time.
func New(started time.Time) *Quota {
	return &Quota{started: started, equal: defaultShare, buckets: make(map[identity.Organisation]*bucket)}
}

// Take asks for units of an organisation's limit. Where they are not to be had
// it gives the time after which they would be.
func (q *Quota) Take(now time.Time, o *catalogue.Organisation, units float64) (wait time.Duration, ok bool) {
	if o.Limit.PerSecond <= 0 {
		return 0, true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.bucket(now, o)
	b.demand(now, units)
	full := b.fill(now, o.Limit)
	need := 0.0
	if full < small*units {
		need = min(units, full) * largest
	}
	if b.units < need || b.units <= 0 {
		perSecond := o.Limit.PerSecond * held * b.share
		return time.Duration((need - b.units) / perSecond * float64(time.Second)), false
	}
	b.units -= units
	return 0, true
}

// Return gives back what a call took that did not run.
func (q *Quota) Return(o *catalogue.Organisation, units float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.buckets[o.ID]; b != nil {
		b.units += units
	}
}

// Demand is what callers asked for a second, refused calls included.
func (q *Quota) Demand(now time.Time) Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	told := make(Demand, len(q.buckets))
	for id, b := range q.buckets {
		b.demand(now, 0)
		told[id] = b.asked / demandWindow.Seconds()
	}
	return told
}

// Share sets this host's shares: own is what it told itself, others what the
// hosts it hears told, and hosts how many there are, heard or not.
func (q *Quota) Share(own Told, others []Told, hosts int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	heard := 1
	for _, o := range others {
		heard += o.Hosts
	}
	hosts = max(hosts, heard)
	q.equal = 1 / float64(hosts)
	open := float64(heard) * q.equal
	for id, b := range q.buckets {
		sum := own.Demand[id]
		for _, o := range others {
			sum += o.Demand[id]
		}
		b.share = open * part(own.Demand[id], sum, b.perSecond*held*open, heard)
	}
}

// part is one host's part of a limit that is divided among those heard.
func part(own, sum, limit float64, heard int) float64 {
	equal := 1 / float64(heard)
	if sum <= 0 || limit <= 0 {
		return equal
	}
	if sum < limit {
		return (own + (limit-sum)*equal) / limit
	}
	return floor*equal + (1-floor)*own/sum
}

func (q *Quota) bucket(now time.Time, o *catalogue.Organisation) *bucket {
	b := q.buckets[o.ID]
	if b == nil {
		b = &bucket{at: q.started, askedAt: now, share: q.equal}
		q.buckets[o.ID] = b
	}
	b.perSecond = o.Limit.PerSecond
	return b
}

// defaultShare is used before any other host was heard.
const defaultShare = 0.1

// fill brings a bucket up to now and gives what it holds when full.
func (b *bucket) fill(now time.Time, l catalogue.Limit) float64 {
	full := (l.PerSecond + l.Burst*burstHeld) * b.share
	b.units = min(full, b.units+l.PerSecond*held*b.share*now.Sub(b.at).Seconds())
	b.at = now
	return full
}

func (b *bucket) demand(now time.Time, units float64) {
	elapsed := now.Sub(b.askedAt).Seconds()
	b.asked = b.asked*decay(elapsed) + units
	b.askedAt = now
}

// decay is what is left of a mean after seconds.
func decay(seconds float64) float64 {
	return math.Exp(-seconds / demandWindow.Seconds())
}
