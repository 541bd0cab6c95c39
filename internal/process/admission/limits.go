package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Demand is the token rate requested at one host, refused calls included: for a
// service if Organisation is empty, else for an organisation.
type Demand struct {
	Service      identity.Service
	Organisation identity.Organisation
	// TokensPerSecond is an exponentially decaying mean.
	TokensPerSecond unit.Tokens
}

// PeerDemand is the latest demand advertised by another host, or the sum of
// several hosts.
type PeerDemand struct {
	Host identity.Host
	// HostCount is how many hosts the report covers; zero means one.
	HostCount int
	Demands   []Demand
}

type demandKey struct {
	service      identity.Service
	organisation identity.Organisation
}

// limiter computes demand shares and holds the organisations' token buckets.
type limiter struct {
	demand  map[demandKey]*rate
	buckets map[identity.Organisation]*bucket
	// advertised is this host's latest advertised demand. ownDemand is its copy
	// from when peer reports were last received, so that the numerator and the
	// denominator of a share are of the same time.
	advertised map[demandKey]unit.Tokens
	ownDemand  map[demandKey]unit.Tokens
	peerDemand map[demandKey]unit.Tokens
	// hostCount counts all entry hosts; reportingHosts counts those with known
	// demand, including this one. The rest are assumed to have the same mean
	// demand.
	hostCount, reportingHosts int
	nextAdvert                time.Time
}

// rate measures a token rate: sum is an exponentially decaying sum of tokens with
// time constant rateWindow, as of at.
type rate struct {
	sum float64
	at  time.Time
	// zeroAdverts counts how often zero demand has been advertised.
	zeroAdverts int
}

// bucket is an organisation's token bucket on this host; it may go negative.
type bucket struct {
	tokens float64
	at     time.Time
}

const (
	rateWindow     = 2 * time.Second
	advertInterval = time.Second
	// maxZeroAdverts is how often zero is advertised after demand ended, so that
	// no host keeps using the last value it received.
	maxZeroAdverts = 10
	// burstWindow bounds the bucket: unused tokens accumulate for this long.
	burstWindow = time.Second
	// unknownDemandShares is how many equal shares of a service's slots a host uses
	// while the other hosts advertise no demand for it: callers may use only a few
	// hosts. If that is too many slots, the queues that endpoints report reduce
	// them.
	unknownDemandShares = 2
	// minShareRatio is the minimum share of a host, relative to an equal share.
	minShareRatio = 0.1
)

func newLimiter() limiter {
	return limiter{
		demand: make(map[demandKey]*rate), buckets: make(map[identity.Organisation]*bucket),
		advertised: make(map[demandKey]unit.Tokens), ownDemand: make(map[demandKey]unit.Tokens), peerDemand: make(map[demandKey]unit.Tokens), hostCount: 1, reportingHosts: 1,
	}
}

func (r *rate) add(now time.Time, n float64) {
	r.sum = r.sum*decay(now.Sub(r.at)) + n
	r.at = now
}

func (r *rate) perSecond(now time.Time) unit.Tokens {
	return unit.Tokens(r.sum * decay(now.Sub(r.at)) / rateWindow.Seconds())
}

func decay(d time.Duration) float64 { return math.Exp(-float64(d) / float64(rateWindow)) }

// recordDemand counts a call as demand, whether or not it is admitted.
func (l *limiter) recordDemand(now time.Time, call Call) {
	for _, k := range []demandKey{{service: call.Service}, {organisation: call.Organisation}} {
		r := l.demand[k]
		if r == nil {
			r = new(rate)
			l.demand[k] = r
		}
		r.add(now, float64(tokenCost(call)))
	}
}

// advertise updates the demand that this host advertises, once per advertInterval.
func (l *limiter) advertise(now time.Time) {
	if now.Before(l.nextAdvert) {
		return
	}
	l.nextAdvert = now.Add(advertInterval)
	clear(l.advertised)
	for k, r := range l.demand {
		n := r.perSecond(now)
		l.advertised[k] = n
		if n > 0 {
			r.zeroAdverts = 0
			continue
		}
		if r.zeroAdverts++; r.zeroAdverts > maxZeroAdverts {
			delete(l.advertised, k)
			delete(l.demand, k)
		}
	}
}

// share returns this host's fraction of the advertised demand of all hosts, from
// 0 to 1.
func (l *limiter) share(k demandKey) float64 {
	if l.hostCount <= 1 {
		return 1
	}
	equal := 1 / float64(l.hostCount)
	own, others := float64(l.ownDemand[k]), float64(l.peerDemand[k])
	if others == 0 && k.organisation == "" {
		return min(1, unknownDemandShares*equal)
	}
	if own+others == 0 {
		return equal
	}
	hostsPerReportingHost := max(1, float64(l.hostCount)/float64(l.reportingHosts))
	return max(minShareRatio*equal, own/((own+others)*hostsPerReportingHost))
}

// throttleDelay returns how long it takes until an organisation's bucket has
// tokens.
func (l *limiter) throttleDelay(now time.Time, id identity.Organisation, o Organisation) time.Duration {
	if o.TokensPerSecond == 0 {
		return 0
	}
	b, perSecond := l.refill(now, id, o)
	if b.tokens > 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}

// refill adds the tokens accrued up to now; the bucket holds at most one burst.
func (l *limiter) refill(now time.Time, id identity.Organisation, o Organisation) (*bucket, float64) {
	perSecond := float64(o.TokensPerSecond) * l.share(demandKey{organisation: id})
	capacity := perSecond * burstWindow.Seconds()
	b := l.buckets[id]
	if b == nil {
		b = &bucket{tokens: capacity, at: now}
		l.buckets[id] = b
	}
	b.tokens = min(capacity, b.tokens+perSecond*now.Sub(b.at).Seconds())
	b.at = now
	return b, perSecond
}

func (l *limiter) spend(now time.Time, call Call, o Organisation) {
	if o.TokensPerSecond == 0 {
		return
	}
	b, _ := l.refill(now, call.Organisation, o)
	b.tokens -= float64(tokenCost(call))
}

// AdvertisedDemand returns this host's latest advertised demand.
func (c *Controller) AdvertisedDemand() []Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]Demand, 0, len(c.state.limiter.advertised))
	for k, n := range c.state.limiter.advertised {
		list = append(list, Demand{Service: k.service, Organisation: k.organisation, TokensPerSecond: n})
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list
}

// SetHostCount sets the number of entry hosts in the host list. While no demand is
// known, each host has an equal share of an organisation's limit.
func (c *Controller) SetHostCount(hosts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.limiter.hostCount = max(1, hosts)
}

// SetPeerDemand replaces the demand of other live hosts by the given reports, which
// may leave out hosts that can't be reached. A host that receives no reports
// doesn't call it, and so keeps its last shares.
func (c *Controller) SetPeerDemand(peers []PeerDemand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := &c.state.limiter
	l.reportingHosts = 1
	clear(l.ownDemand)
	maps.Copy(l.ownDemand, l.advertised)
	clear(l.peerDemand)
	for _, p := range peers {
		l.reportingHosts += max(1, p.HostCount)
		for _, d := range p.Demands {
			l.peerDemand[demandKey{service: d.Service, organisation: d.Organisation}] += d.TokensPerSecond
		}
	}
	l.hostCount = max(l.hostCount, l.reportingHosts)
}
