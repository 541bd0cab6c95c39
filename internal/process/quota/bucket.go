package quota

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
)

// bucket is this host's copy of the pool's bucket of an organisation; units is negative
// after a call that took more than there were.
type bucket struct {
	units    float64
	filledAt time.Time
	// share is the pool's share of the limit, 0 to 1.
	share float64
	limit catalogue.RateLimit
	// demand is the sum of the units requested from this host, decaying with
	// demandWindow.
	demand   float64
	demandAt time.Time
	// demandSince is from when on the demand is known: when the first units were requested
	// or, if that is earlier, unheardTime after the host's start.
	demandSince time.Time
	// admitted counts the units that this host let pass, poolAdmitted those of the
	// other hosts of the pool.
	admitted, poolAdmitted float64
	// poolDemand is the units per second requested from all hosts of the pool.
	poolDemand float64
	// poolHosts is the number of hosts of the pool; zero before the first reports.
	poolHosts int
	// slack is the part of the slack that adds to the capacity of all pools together.
	slack float64
}

// throttled reports, with a probability that rises with the pool's demand, whether a call is
// refused although the bucket is not empty: the other hosts of the pool take from it at
// the same time.
func (b *bucket) throttled(perSecond, demand float64) bool {
	lasts := max(0, b.units)/throttleTime.Seconds() + perSecond
	return rand.Float64()*demand > lasts
}

// full returns the capacity of the bucket.
func (b *bucket) full() float64 {
	return (b.limit.PerSecond*rateSeconds + b.limit.Burst*burstRatio + b.slack) * b.share
}

// fill adds the units accumulated until now.
func (b *bucket) fill(now time.Time) {
	b.units = min(b.full(), b.units+b.limit.PerSecond*b.share*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
}

func (b *bucket) addDemand(now time.Time, units float64) {
	elapsed := now.Sub(b.demandAt).Seconds()
	b.demand = b.demand*decay(elapsed) + units
	b.demandAt = now
	if units > 0 && now.Before(b.demandSince) {
		b.demandSince = now
	}
}

// demandPerSecond returns the average demand. A host that has just started averages it over
// the time since the first call, so as not to take it for small.
func (b *bucket) demandPerSecond(now time.Time) float64 {
	b.addDemand(now, 0)
	age := max(minDemandPeriod, now.Sub(b.demandSince)).Seconds()
	return b.demand / (demandWindow.Seconds() * (1 - decay(age)))
}

// decay returns the factor by which the demand decays within a number of seconds.
func decay(seconds float64) float64 {
	return math.Exp(-seconds / demandWindow.Seconds())
}
