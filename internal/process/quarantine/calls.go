package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// maxCallCrashes is the number of crashes, at different moments, after which a call
	// is no longer sent if it was never answered. Chance is no excuse as it is for parts:
	// a wrong quarantine costs one call.
	maxCallCrashes = 3
	// maxReportedCalls bounds the calls that a report lists for one crash.
	maxReportedCalls = 16
	// maxReportedCallAnswers bounds the answered calls that a report lists.
	maxReportedCallAnswers = 64
	// maxCrashCalls bounds the calls remembered for one crash: more than an endpoint runs.
	maxCrashCalls = 512
)

// Fingerprint identifies a call and its repeats, whatever service its route leads to.
type Fingerprint uint64

// String returns the fingerprint as it is logged.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// CheckCall returns the quarantine that stops a call and its repeats, if there is one.
func (q *Quarantine) CheckCall(call Fingerprint) (remaining time.Duration, quarantined bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	order, found := q.callOrders[call]
	remaining = order.End().Sub(q.now())
	return remaining, found && remaining > 0
}

// decideCalls quarantines the calls that crash endpoints. Crashes for which a
// quarantined part accounts are no evidence against a call. Those for which another call
// accounts are, as the wrong one of the two may have been quarantined first. An endpoint
// that cuts its answers to a call, and is not known to be down, has not crashed.
func (q *Quarantine) decideCalls(now time.Time, settled time.Duration) []Order {
	crashes := make(map[Fingerprint][]time.Time)
	for _, crash := range q.crashes {
		if !crash.Down || crash.survived() || crash.at().After(now.Add(-settled)) || q.explained(crash) {
			continue
		}
		for _, call := range crash.Calls {
			if crash.at().After(q.callsAnswered[call]) && crash.at().After(q.callOrders[call].End()) {
				crashes[call] = append(crashes[call], crash.at())
			}
		}
	}
	var made []Order
	for call, times := range crashes {
		previous, repeated := q.callOrders[call]
		if !repeated && moments(times) < maxCallCrashes {
			continue
		}
		order := Order{Call: call, AtMillis: now.UnixMilli()}
		if repeated {
			order.Repeats = previous.Repeats + 1
		}
		q.callOrders[call] = order
		made = append(made, order)
	}
	slices.SortFunc(made, func(a, b Order) int { return cmp.Compare(a.Call, b.Call) })
	return made
}

// RecordDown records that an endpoint could not be reached, so that one that broke off
// calls before has crashed.
func (q *Quarantine) RecordDown(endpoint identity.Incarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recordDown(endpoint)
}

func (q *Quarantine) recordDown(endpoint identity.Incarnation) {
	known := q.crashes[endpoint]
	if known == nil || known.Down || known.survived() {
		return
	}
	down := Crash{Endpoint: endpoint, Service: known.Service, AtMillis: known.AtMillis, Down: true}
	mergeCrash(q.observed, down)
	mergeCrash(q.crashes, down)
	q.lastNews = q.now()
}

// Unconfirmed returns the endpoints of which this host has seen a crash that counts against
// a call only if they are down, where that would be enough to quarantine the call.
func (q *Quarantine) Unconfirmed() []identity.Incarnation {
	q.mu.Lock()
	defer q.mu.Unlock()
	counts := q.callCrashCounts()
	var list []identity.Incarnation
	for endpoint, crash := range q.observed {
		known := q.crashes[endpoint]
		if known == nil || known.Down || known.survived() {
			continue
		}
		if slices.ContainsFunc(crash.Calls, func(call Fingerprint) bool { return counts[call] >= maxCallCrashes }) {
			list = append(list, endpoint)
		}
	}
	slices.Sort(list)
	return list
}

// RecordPresent records which endpoints there are: the others are down.
func (q *Quarantine) RecordPresent(present map[identity.Incarnation]bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for endpoint := range q.crashes {
		if !present[endpoint] {
			q.recordDown(endpoint)
		}
	}
}

// moments counts the times at which something happened, those at one moment as one.
func moments(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count, last := 0, time.Time{}
	for _, at := range times {
		if at.Sub(last) >= sameMoment {
			count++
			last = at
		}
	}
	return count
}

// releaseCalls ends the quarantine of calls that were answered after it began.
func (q *Quarantine) releaseCalls() []Order {
	var released []Order
	for call, order := range q.callOrders {
		if q.callsAnswered[call].After(order.at()) {
			delete(q.callOrders, call)
			q.callsReleased[call] = q.callsAnswered[call]
			released = append(released, order)
		}
	}
	return released
}

// clearCall records that a call or a repeat of it was answered.
func (q *Quarantine) clearCall(call Fingerprint, at time.Time) {
	if q.callsAnswered[call].Before(at) {
		q.callsAnswered[call] = at
	}
}

// mergeCallOrder adds an order of another host unless the call was answered since.
func (q *Quarantine) mergeCallOrder(order Order) {
	known, found := q.callOrders[order.Call]
	if q.callsAnswered[order.Call].After(order.at()) || q.callsReleased[order.Call].After(order.at()) || found && known.AtMillis >= order.AtMillis {
		return
	}
	order.Parts, order.Service, order.Repeats = nil, "", max(order.Repeats, known.Repeats)
	q.callOrders[order.Call] = order
}

// suspectedCalls returns at most maxReportedCalls calls of a crash that were not answered
// since, those with most crashes first.
func (q *Quarantine) suspectedCalls(crash *Crash, counts map[Fingerprint]int) []Fingerprint {
	suspected := slices.DeleteFunc(slices.Clone(crash.Calls), func(call Fingerprint) bool { return counts[call] == 0 })
	slices.SortFunc(suspected, func(a, b Fingerprint) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b)) })
	return suspected[:min(len(suspected), maxReportedCalls)]
}

// callCrashCounts returns how many crashes speak against each call.
func (q *Quarantine) callCrashCounts() map[Fingerprint]int {
	counts := make(map[Fingerprint]int)
	for _, crash := range q.crashes {
		if crash.survived() {
			continue
		}
		for _, call := range crash.Calls {
			if crash.at().After(q.callsAnswered[call]) {
				counts[call]++
			}
		}
	}
	return counts
}

// reportedCallAnswers returns when the calls of recent crashes and those quarantined were
// last answered, in Unix milliseconds.
func (q *Quarantine) reportedCallAnswers(now time.Time) map[Fingerprint]int64 {
	reported := make(map[Fingerprint]int64)
	add := func(call Fingerprint) {
		if at, found := q.callsAnswered[call]; found {
			reported[call] = at.UnixMilli()
		}
	}
	for _, crash := range q.crashes {
		if now.Sub(crash.at()) < reportedFor {
			for _, call := range crash.Calls {
				add(call)
			}
		}
	}
	for call, at := range q.callsReleased {
		reported[call] = at.UnixMilli()
	}
	newestFirst := slices.SortedFunc(maps.Keys(reported), func(a, b Fingerprint) int { return cmp.Compare(reported[b], reported[a]) })
	for _, call := range newestFirst[min(len(newestFirst), maxReportedCallAnswers):] {
		delete(reported, call)
	}
	return reported
}

// evictCalls drops what is too old to count.
func (q *Quarantine) evictCalls(now time.Time) {
	known := make(map[Fingerprint]bool)
	for _, crash := range q.crashes {
		for _, call := range crash.Calls {
			known[call] = true
		}
	}
	maps.DeleteFunc(q.callsAnswered, func(call Fingerprint, at time.Time) bool { return !known[call] && now.Sub(at) > answerTTL })
	maps.DeleteFunc(q.callOrders, func(_ Fingerprint, o Order) bool { return now.Sub(o.End()) > o.duration() })
	maps.DeleteFunc(q.callsReleased, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) > maxQuarantine })
}

// mergeCalls adds calls to a crash and reports whether any was new.
func (c *Crash) mergeCalls(calls []Fingerprint) bool {
	changed := false
	for _, call := range calls {
		if len(c.Calls) < maxCrashCalls && !slices.Contains(c.Calls, call) {
			c.Calls = append(c.Calls, call)
			changed = true
		}
	}
	return changed
}
