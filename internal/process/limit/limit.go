// Package limit keeps the calls of all hosts to an endpoint within the rate that the
// endpoint names.
//
// # Limits
//
// An endpoint in need names in its answers how many calls a second it takes from all
// hosts together. The newest answer counts, at whichever host it arrived; hosts report
// limits to each other, as a single host seldom hears of an endpoint that takes few
// calls. A limit ends with an answer that names none to a call that was sent after the
// limit was last named.
//
// # Turns
//
// The rate is often less than the number of hosts, so that a host's share is less than
// one call for many seconds, and shares saved up by all hosts would come at once. Hosts
// therefore take turns: time is divided into slots of one call each, and a host may send
// one call in the slots that are its own. Slots may be shorter than the time between two
// calls that arrive at a host, so that the hosts of a window of slots, half a second or
// more, may use each other's. What a host does not use lapses. Each host uses the same
// fraction of all slots whatever its clock says, so that the sum holds even if hosts
// disagree on the time. Where each host's share is a call in two seconds or more, a host
// sends its calls at any time, evenly spaced.
package limit

import (
	"math"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// usedRatio is the fraction of a limit that is given out, since the hosts may disagree
	// on their number while some start or stop.
	usedRatio = 0.9
	// minPerSecond is the lowest rate that is kept to. Without any calls nothing would
	// tell that a limit has ended.
	minPerSecond = 0.1
	// maxPerSecond is a rate that no endpoint reaches.
	maxPerSecond = 1e6
	// pairPeriod and evenPeriod are the longest times from one slot of a host to the next
	// with which it sends calls at any time: two at once if it has not sent any for as long,
	// or one. The calls of all hosts may come at once; for longer periods that would be too
	// many in a few seconds.
	pairPeriod = time.Second
	evenPeriod = 2 * time.Second
	// recent is how long a host that does not speak for others reports a limit after it
	// was named to it.
	recent = 5 * time.Second
	// maxClockDifference is how far ahead of this host's clock a reported time may be.
	maxClockDifference = 10 * time.Second
)

// Named is the limit that an endpoint named in an answer.
type Named struct {
	// PerSecond is zero if the answer named none.
	PerSecond float64 `json:"r"`
	// AtMillis is when the answer came, in Unix milliseconds.
	AtMillis int64 `json:"t"`
}

func (n Named) limited() bool { return n.PerSecond > 0 }

func bounded(perSecond float64) float64 { return min(maxPerSecond, max(minPerSecond, perSecond)) }

// Turn is a host's place among all hosts: the zones have slots in turn, and each zone's
// hosts have its slots in turn. The zero Turn never comes.
type Turn struct {
	// Zone is at least zero and less than Zones, Host less than Hosts, the number of hosts
	// of the zone.
	Zone, Zones int
	Host, Hosts int
}

// hosts returns the number of hosts that take turns, if those of all zones are as many.
func (t Turn) hosts() int { return t.Zones * t.Hosts }

// has reports whether a slot is this host's.
func (t Turn) has(slot int64) bool {
	zones := int64(t.Zones)
	return slot%zones == int64(t.Zone) && slot/zones%int64(t.Hosts) == int64(t.Host)
}

// Limits holds the limits of endpoints as known to one host. Create one with New.
type Limits struct {
	now func() time.Time

	mu        sync.Mutex
	turn      Turn
	endpoints map[identity.Incarnation]*endpointLimit
}

type endpointLimit struct {
	newest Named
	// heardMillis is when this host itself last got an answer that bears on the limit.
	heardMillis int64
	// taken is when this host last sent a call, due the earliest time of the next one if
	// it sends them evenly.
	taken, due time.Time
}

// Option configures Limits.
type Option func(*Limits)

// WithClock sets the clock. It should be one on which the hosts agree, so that their
// slots don't overlap.
func WithClock(now func() time.Time) Option {
	return func(l *Limits) { l.now = now }
}

// New returns Limits of a host that is the only one.
func New(options ...Option) *Limits {
	l := &Limits{now: time.Now, turn: Turn{Zones: 1, Hosts: 1}, endpoints: make(map[identity.Incarnation]*endpointLimit)}
	for _, option := range options {
		option(l)
	}
	return l
}

// SetTurn sets this host's turn.
func (l *Limits) SetTurn(turn Turn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn = turn
}

// Record records the limit that an endpoint named in an answer, or that it named none, to
// a call that was sent some time ago. It reports whether the limit has changed.
func (l *Limits) Record(endpoint identity.Incarnation, perSecond float64, named bool, sentBefore time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	e := l.endpoints[endpoint]
	if !named && (e == nil || !e.newest.limited() || now.Add(-sentBefore).UnixMilli() <= e.newest.AtMillis) {
		return false
	}
	if e == nil {
		e = new(endpointLimit)
		l.endpoints[endpoint] = e
	}
	previous := e.newest
	e.newest = Named{AtMillis: now.UnixMilli()}
	if named {
		e.newest.PerSecond = bounded(perSecond)
	}
	e.heardMillis = e.newest.AtMillis
	return previous.PerSecond != e.newest.PerSecond
}

// Merge adds the limits that another host reported.
func (l *Limits) Merge(reported map[identity.Incarnation]Named) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.now().Add(maxClockDifference).UnixMilli()
	for id, named := range reported {
		if named.AtMillis > latest || math.IsNaN(named.PerSecond) || named.PerSecond < 0 {
			continue
		}
		if named.limited() {
			named.PerSecond = bounded(named.PerSecond)
		}
		e := l.endpoints[id]
		if e == nil {
			e = new(endpointLimit)
			l.endpoints[id] = e
		}
		if named.AtMillis > e.newest.AtMillis {
			e.newest = named
		}
	}
}

// Reported returns the limits for this host's report: those that were named to it, or
// ended, lately or, for a host that speaks for others, all in force and those that ended
// lately.
func (l *Limits) Reported(all bool) map[identity.Incarnation]Named {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var reported map[identity.Incarnation]Named
	for id, e := range l.endpoints {
		if !all && now.Sub(time.UnixMilli(e.heardMillis)) > recent {
			continue
		}
		// A host that does not hear that a limit has ended gets answers without it.
		if !e.newest.limited() && now.Sub(time.UnixMilli(e.newest.AtMillis)) > recent {
			continue
		}
		if reported == nil {
			reported = make(map[identity.Incarnation]Named)
		}
		reported[id] = e.newest
	}
	return reported
}

// Retain drops the limits of all other endpoints.
func (l *Limits) Retain(endpoints map[identity.Incarnation]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.endpoints {
		if !endpoints[id] {
			delete(l.endpoints, id)
		}
	}
}

// Limited returns the limit of an endpoint, and whether it has one.
func (l *Limits) Limited(endpoint identity.Incarnation) (perSecond float64, limited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil || !e.newest.limited() {
		return 0, false
	}
	return e.newest.PerSecond, true
}

// Open reports whether this host may send a call to an endpoint now.
func (l *Limits) Open(endpoint identity.Incarnation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	return e == nil || !e.newest.limited() || l.turn.opens(l.now(), e)
}

// Take records that a call is sent to an endpoint.
func (l *Limits) Take(endpoint identity.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.endpoints[endpoint]
	if e == nil || !e.newest.limited() {
		return
	}
	now := l.now()
	_, period := l.turn.times(e)
	e.taken, e.due = now, later(e.due, now.Add(-period)).Add(period)
}

// times returns the length of a slot, and the time from one slot of this host to the next.
func (t Turn) times(e *endpointLimit) (slot, period time.Duration) {
	slot = time.Duration(float64(time.Second) / (usedRatio * e.newest.PerSecond))
	return slot, slot * time.Duration(t.hosts())
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// opens reports whether a call may be sent now.
func (t Turn) opens(now time.Time, e *endpointLimit) bool {
	if t.hosts() <= 0 {
		return false
	}
	slot, period := t.times(e)
	since := now.Sub(e.taken)
	// A clock that has been set back must not stop this host for long.
	switch setBack := since < 0; {
	case period <= pairPeriod:
		return !now.Before(e.due) || since >= period || setBack
	case period <= evenPeriod:
		return since >= period || setBack
	}
	slots := slotsPerWindow(e.newest.PerSecond)
	window := slot * time.Duration(slots)
	// A call may come late in one window and early in the next of this host's. The limit
	// may also have changed since the last one, and with it the windows.
	if since >= 0 && since < max(period-window, window/2) {
		return false
	}
	first := now.UnixNano() / int64(window) * slots
	for i := range slots {
		if t.has(first + i) {
			return true
		}
	}
	return false
}

// slotsPerWindow returns how many slots a window has, about half a second's worth. The
// calls of two windows may come at once.
func slotsPerWindow(perSecond float64) int64 {
	return 1 + int64(perSecond/2)
}
