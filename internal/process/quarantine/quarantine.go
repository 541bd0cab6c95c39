// Package quarantine stops calls that crash the endpoints that answer them.
//
// # Crashes
//
// An endpoint that crashes breaks off all calls in progress there, and any part of any
// of their prompts may be the cause. A host records the parts of its own broken calls
// under the incarnation of the endpoint, and hosts exchange these records: the calls of
// one part reach all hosts, and no host need see more than one crash. A record counts
// until the endpoint answers a later call, which shows that only a connection was lost.
//
// # Suspicion
//
// A part under which endpoints crash is a suspect from its first crash until a call
// with it is answered anywhere. Parts that many calls share are thus suspects for a
// moment only. Crashes at one moment may have one cause that is no call at all, and
// count as one. A suspect is quarantined once its calls have met so many crashes that
// chance is no explanation: the expected number follows from how long they were in
// progress and from the rate of all other crashes of the service. A crash that a
// quarantined part explains is no evidence against other parts.
//
// # Ambiguity
//
// If the same crashes speak against several parts of the same calls, only calls with all
// of them are stopped. Calls with some of them go on, and what becomes of these tells the
// parts apart. Parts of different calls can't be stopped together: the one whose calls
// were in progress for longer is taken to be there by chance.
//
// # Calls
//
// A call that comes again and again may crash endpoints by itself, whatever its parts. Its
// repeats share a fingerprint. A call that was in progress at maxCallCrashes crashes
// without an answer is quarantined on its own, if the endpoints were down afterwards. As long as it may be the cause of the
// crashes that speak against a part, the part is not quarantined.
//
// # Release
//
// A quarantine ends when a call with its parts, already on its way, is answered, or
// after a time that doubles with each quarantine of the same parts. The first crash
// after it has run out starts the next.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// crashTTL is how long a crash is remembered: at a few calls a minute with a part it
	// takes that long until the part is quarantined.
	crashTTL = 2 * time.Minute
	// maxCrashes bounds the crashes remembered; the oldest are dropped.
	maxCrashes = 512
	// answerTTL is how long an answer is remembered that clears no suspect yet: reports of
	// crashes before it may be on their way.
	answerTTL = 10 * time.Second
	// survivalMargin is how long after an endpoint's crash answers that it sent before may
	// still arrive over the longest links.
	survivalMargin = 250 * time.Millisecond
	// firstQuarantine is how long parts are quarantined for the first time, maxQuarantine
	// the most that repeated doubling leads to.
	firstQuarantine = 2 * time.Minute
	maxQuarantine   = time.Hour
)

// PartID identifies a part of a prompt.
type PartID uint64

// suspect is a part of prompts of one service.
type suspect struct {
	service identity.Service
	part    PartID
}

// Quarantine holds the crashes that this host knows of and the parts that are
// quarantined. Create one with New.
type Quarantine struct {
	now func() time.Time

	mu sync.Mutex
	// crashes holds what all hosts recorded of each endpoint's crash, observed the part
	// of it that this host recorded itself.
	crashes, observed map[identity.Incarnation]*Crash
	// answered holds when a call with a part was last answered.
	answered map[suspect]time.Time
	orders   map[orderKey]Order
	// released holds the parts whose quarantine ended early, with the time of the answer
	// that ended it. Other hosts may still report the quarantine.
	released map[suspect]time.Time
	// companions holds the parts with which a part came in one call that this host saw
	// broken off.
	companions map[suspect]map[PartID]bool
	// callsAnswered, callOrders and callsReleased hold the same for calls, whatever their
	// parts.
	callsAnswered map[Fingerprint]time.Time
	callOrders    map[Fingerprint]Order
	callsReleased map[Fingerprint]time.Time
	// lastNews is when a crash, or more about one, became known.
	lastNews time.Time
}

// Option configures a Quarantine.
type Option func(*Quarantine)

// WithClock sets the clock. It should be one on which the hosts agree, since times of
// crashes and answers are compared between them.
func WithClock(now func() time.Time) Option {
	return func(q *Quarantine) { q.now = now }
}

// New returns a Quarantine without any parts.
func New(options ...Option) *Quarantine {
	q := &Quarantine{
		now: time.Now, crashes: make(map[identity.Incarnation]*Crash), observed: make(map[identity.Incarnation]*Crash),
		answered: make(map[suspect]time.Time), orders: make(map[orderKey]Order), released: make(map[suspect]time.Time),
		companions: make(map[suspect]map[PartID]bool), callsAnswered: make(map[Fingerprint]time.Time), callOrders: make(map[Fingerprint]Order), callsReleased: make(map[Fingerprint]time.Time),
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// Attempt is one try of a call at an endpoint.
type Attempt struct {
	Service  identity.Service
	Endpoint identity.Incarnation
	// Call is zero if the call has no fingerprint.
	Call Fingerprint
	// Parts lists the parts that the call may share with others.
	Parts []PartID
	// InProgress is the time since the call was sent.
	InProgress time.Duration
}

// RecordCrash records that an endpoint broke off a call.
func (q *Quarantine) RecordCrash(a Attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	crash := Crash{Endpoint: a.Endpoint, Service: a.Service, AtMillis: q.now().UnixMilli(), Parts: make(map[PartID]int64, len(a.Parts))}
	if a.Call != 0 {
		crash.Calls = []Fingerprint{a.Call}
	}
	for _, part := range a.Parts {
		crash.Parts[part] = max(1, a.InProgress.Milliseconds())
		q.recordCompanions(suspect{a.Service, part}, a.Parts)
	}
	mergeCrash(q.observed, crash)
	mergeCrash(q.crashes, crash)
	q.lastNews = q.now()
}

func (q *Quarantine) recordCompanions(s suspect, parts []PartID) {
	if q.companions[s] == nil {
		q.companions[s] = make(map[PartID]bool)
	}
	for _, part := range parts {
		q.companions[s][part] = true
	}
}

// together reports whether two parts may come in one call: they have, or this host does
// not know calls with each of them.
func (q *Quarantine) together(service identity.Service, a, b PartID) bool {
	ofA, ofB := q.companions[suspect{service, a}], q.companions[suspect{service, b}]
	return ofA == nil || ofB == nil || ofA[b] || ofB[a]
}

// RecordAnswer records that an endpoint answered a call completely.
func (q *Quarantine) RecordAnswer(a Attempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for _, part := range a.Parts {
		q.clear(suspect{a.Service, part}, now)
	}
	if a.Call != 0 {
		q.clearCall(a.Call, now)
	}
	crash := q.crashes[a.Endpoint]
	if crash == nil || crash.survived() || now.Sub(crash.at()) <= survivalMargin {
		return
	}
	survived := Crash{Endpoint: crash.Endpoint, Service: crash.Service, AtMillis: crash.AtMillis, AnsweredMillis: now.UnixMilli()}
	mergeCrash(q.observed, survived)
	mergeCrash(q.crashes, survived)
}

// clear records that a call with a part was answered.
func (q *Quarantine) clear(s suspect, at time.Time) {
	if q.answered[s].Before(at) {
		q.answered[s] = at
	}
}

// Check returns the quarantine that stops a call with the given parts, if there is one.
func (q *Quarantine) Check(service identity.Service, parts []PartID) (remaining time.Duration, quarantined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.orders) == 0 {
		return 0, false
	}
	now := q.now()
	for _, order := range q.orders {
		if order.Service == service && now.Before(order.End()) && containsAll(parts, order.Parts) {
			return order.End().Sub(now), true
		}
	}
	return 0, false
}

func containsAll(parts, required []PartID) bool {
	for _, part := range required {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// Orders returns the quarantines in force, the oldest first.
func (q *Quarantine) Orders() []Order {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inForce()
}

// Counts returns the number of quarantines in force of prompt parts and of calls.
func (q *Quarantine) Counts() (parts, calls int) {
	for _, order := range q.Orders() {
		if order.Call != 0 {
			calls++
		} else {
			parts++
		}
	}
	return parts, calls
}

func (q *Quarantine) inForce() []Order {
	now := q.now()
	var orders []Order
	for _, order := range q.orders {
		if now.Before(order.End()) {
			orders = append(orders, order)
		}
	}
	for _, order := range q.callOrders {
		if now.Before(order.End()) {
			orders = append(orders, order)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.AtMillis, b.AtMillis), cmp.Compare(a.Service, b.Service), slices.Compare(a.Parts, b.Parts), cmp.Compare(a.Call, b.Call))
	})
	return orders
}

// evict drops what is too old to count.
func (q *Quarantine) evict(now time.Time) {
	for _, crashes := range []map[identity.Incarnation]*Crash{q.observed, q.crashes} {
		maps.DeleteFunc(crashes, func(_ identity.Incarnation, c *Crash) bool { return now.Sub(c.at()) > crashTTL })
		for len(crashes) > maxCrashes {
			delete(crashes, oldest(crashes))
		}
	}
	q.evictCalls(now)
	known := make(map[suspect]bool)
	for _, crash := range q.crashes {
		for part := range crash.Parts {
			known[suspect{crash.Service, part}] = true
		}
	}
	for _, order := range q.orders {
		for _, part := range order.Parts {
			known[suspect{order.Service, part}] = true
		}
	}
	maps.DeleteFunc(q.companions, func(s suspect, _ map[PartID]bool) bool { return !known[s] })
	maps.DeleteFunc(q.answered, func(s suspect, at time.Time) bool { return !known[s] && now.Sub(at) > answerTTL })
	maps.DeleteFunc(q.orders, func(_ orderKey, o Order) bool { return now.Sub(o.End()) > o.duration() })
	maps.DeleteFunc(q.released, func(_ suspect, at time.Time) bool { return now.Sub(at) > maxQuarantine })
}

func oldest(crashes map[identity.Incarnation]*Crash) identity.Incarnation {
	var first *Crash
	for _, c := range crashes {
		if first == nil || c.AtMillis < first.AtMillis {
			first = c
		}
	}
	return first.Endpoint
}
