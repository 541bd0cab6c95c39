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

// Demand is what callers of one host want, refused calls included: of a service
// if Organisation is empty, else of an organisation.
type Demand struct {
	Service      identity.Service
	Organisation identity.Organisation
	// TokensPerSecond is a mean over some seconds.
	TokensPerSecond unit.Tokens
}

// PeerDemand is what another host told last, or several hosts together.
type PeerDemand struct {
	Host identity.Host
	// Hosts is how many it stands for; zero means one.
	Hosts   int
	Demands []Demand
}

type key struct {
	service      identity.Service
	organisation identity.Organisation
}

// limits holds shares by demand and the organisations' buckets.
type limits struct {
	wants   map[key]*rate
	buckets map[identity.Organisation]*bucket
	// told is what this host said of itself last. mine is what it had said
	// when it heard peers, so that both sides of a share are of one time.
	told  map[key]unit.Tokens
	mine  map[key]unit.Tokens
	peers map[key]unit.Tokens
	// hosts counts all entry hosts, heard those whose demand is known, this
	// one included. The others are taken to want as much as those on average.
	hosts, heard int
	next         time.Time
}

// rate is a mean that decays with rateWindow.
type rate struct {
	sum float64
	at  time.Time
	// ended counts how often it was told that the demand is zero.
	ended int
}

// bucket is one organisation's tokens on this host; it may be in debt.
type bucket struct {
	tokens float64
	at     time.Time
}

const (
	rateWindow = 2 * time.Second
	tellEvery  = time.Second
	// tellsOfEnd is how often a demand that ended is told as zero, so that no
	// host goes on with the last one it heard.
	tellsOfEnd = 10
	// burst is the time for which unused tokens are kept.
	burst = time.Second
	// unknownShares is how many equal shares of a service's slots a host
	// takes while nobody told demand: callers may come to a few hosts only, and
	// endpoints' queues bring the slots down.
	unknownShares = 2
	// floorShare is the part of an equal share that a host has in any case.
	floorShare = 0.1
)

func newLimits() limits {
	return limits{
		wants: make(map[key]*rate), buckets: make(map[identity.Organisation]*bucket),
		told: make(map[key]unit.Tokens), mine: make(map[key]unit.Tokens), peers: make(map[key]unit.Tokens), hosts: 1, heard: 1,
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

// want counts a call as demand, whatever becomes of it.
func (l *limits) want(now time.Time, ask Ask) {
	for _, k := range []key{{service: ask.Service}, {organisation: ask.Organisation}} {
		r := l.wants[k]
		if r == nil {
			r = new(rate)
			l.wants[k] = r
		}
		r.add(now, float64(tokensOf(ask)))
	}
}

// tell fixes what this host says of itself, each second.
func (l *limits) tell(now time.Time) {
	if now.Before(l.next) {
		return
	}
	l.next = now.Add(tellEvery)
	clear(l.told)
	for k, r := range l.wants {
		n := r.perSecond(now)
		l.told[k] = n
		if n > 0 {
			r.ended = 0
			continue
		}
		if r.ended++; r.ended > tellsOfEnd {
			delete(l.told, k)
			delete(l.wants, k)
		}
	}
}

// share is this host's part of all hosts' demand, as told, 0 to 1.
func (l *limits) share(k key) float64 {
	if l.hosts <= 1 {
		return 1
	}
	equal := 1 / float64(l.hosts)
	own, others := float64(l.mine[k]), float64(l.peers[k])
	if others == 0 && k.organisation == "" {
		return min(1, unknownShares*equal)
	}
	if own+others == 0 {
		return equal
	}
	unheard := max(1, float64(l.hosts)/float64(l.heard))
	return max(floorShare*equal, own/((own+others)*unheard))
}

// debt is how long an organisation must wait until its bucket holds tokens.
func (l *limits) debt(now time.Time, id identity.Organisation, o Organisation) time.Duration {
	if o.TokensPerSecond == 0 {
		return 0
	}
	b, perSecond := l.fill(now, id, o)
	if b.tokens > 0 {
		return 0
	}
	return time.Duration((1 - b.tokens) / perSecond * float64(time.Second))
}

// fill brings a bucket up to now; it holds a burst at most.
func (l *limits) fill(now time.Time, id identity.Organisation, o Organisation) (*bucket, float64) {
	perSecond := float64(o.TokensPerSecond) * l.share(key{organisation: id})
	most := perSecond * burst.Seconds()
	b := l.buckets[id]
	if b == nil {
		b = &bucket{tokens: most, at: now}
		l.buckets[id] = b
	}
	b.tokens = min(most, b.tokens+perSecond*now.Sub(b.at).Seconds())
	b.at = now
	return b, perSecond
}

func (l *limits) spend(now time.Time, ask Ask, o Organisation) {
	if o.TokensPerSecond == 0 {
		return
	}
	b, _ := l.fill(now, ask.Organisation, o)
	b.tokens -= float64(tokensOf(ask))
}

// Demand is what this host told last, for other hosts.
func (g *Gate) Demand() []Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Demand, 0, len(g.state.limits.told))
	for k, n := range g.state.limits.told {
		list = append(list, Demand{Service: k.service, Organisation: k.organisation, TokensPerSecond: n})
	}
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Organisation, b.Organisation))
	})
	return list
}

// SetHosts sets how many entry hosts there are by the host list. While no
// demand is known each has an equal share.
func (g *Gate) SetHosts(hosts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.limits.hosts = max(1, hosts)
}

// SetPeers takes what other live hosts told, all of them or those that are
// heard. A host that hears of none any more doesn't call it, and so keeps its
// last shares.
func (g *Gate) SetPeers(peers []PeerDemand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := &g.state.limits
	l.heard = 1
	clear(l.mine)
	maps.Copy(l.mine, l.told)
	clear(l.peers)
	for _, p := range peers {
		l.heard += max(1, p.Hosts)
		for _, d := range p.Demands {
			l.peers[key{service: d.Service, organisation: d.Organisation}] += d.TokensPerSecond
		}
	}
	l.hosts = max(l.hosts, l.heard)
}
