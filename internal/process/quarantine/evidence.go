package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// reportedFor is how long hosts report a crash that they have seen, and the answers
	// that bear on it. Reports are sent several times a second, and any of them may be
	// lost.
	reportedFor = 6 * time.Second
	// maxReportedCrashes, maxReportedParts and maxReportedAnswers bound what a report says
	// of crashes, of the parts of one crash and of answers: a few kilobytes.
	maxReportedCrashes = 24
	maxReportedParts   = 10
	maxReportedAnswers = 64
	// maxReportedOrders bounds the quarantines that a report lists.
	maxReportedOrders = 64
	// maxClockDifference is how far ahead of this host's clock a reported time may be.
	maxClockDifference = 10 * time.Second
)

// Crash is what is known of the crash of an endpoint.
type Crash struct {
	Endpoint identity.Incarnation `json:"e"`
	Service  identity.Service     `json:"s"`
	// AtMillis is when the first call was broken off, in Unix milliseconds.
	AtMillis int64 `json:"t"`
	// Parts holds, for each part of the calls in progress, how long a call with it had
	// been, in milliseconds.
	Parts map[PartID]int64 `json:"p"`
	// Calls lists the calls in progress.
	Calls []Fingerprint `json:"f,omitempty"`
	// AnsweredMillis is when the endpoint answered a call that shows that it had not
	// crashed before; zero if it has not.
	AnsweredMillis int64 `json:"ok,omitempty"`
	// Down is set once the endpoint could not be reached or was gone afterwards: without
	// it, only answers may have been cut.
	Down bool `json:"d,omitempty"`
}

// survived reports whether the endpoint has gone on, so that there was no crash.
func (c *Crash) survived() bool { return c.AnsweredMillis >= c.AtMillis }

func (c *Crash) at() time.Time { return time.UnixMilli(c.AtMillis) }

// Order is the quarantine of a call and its repeats or, without a Call, of a service's
// calls whose prompts have all of Parts.
type Order struct {
	Call    Fingerprint      `json:"f,omitempty"`
	Service identity.Service `json:"s,omitempty"`
	// Parts is sorted.
	Parts []PartID `json:"p,omitempty"`
	// AtMillis is when the quarantine began, in Unix milliseconds.
	AtMillis int64 `json:"t"`
	// Repeats is how often the same parts were quarantined before.
	Repeats int `json:"n,omitempty"`
}

func (o Order) at() time.Time { return time.UnixMilli(o.AtMillis) }

// End returns when the quarantine runs out.
func (o Order) End() time.Time { return o.at().Add(o.duration()) }

// duration returns how long the quarantine lasts.
func (o Order) duration() time.Duration {
	d := firstQuarantine
	for i := 0; i < o.Repeats && d < maxQuarantine; i++ {
		d = min(2*d, maxQuarantine)
	}
	return d
}

// orderKey identifies the orders for the same parts.
type orderKey string

func (o Order) key() orderKey { return orderKey(fmt.Sprint(o.Service, o.Parts)) }

// Evidence is what hosts report to each other.
type Evidence struct {
	// Crashes lists recent crashes, the newest first.
	Crashes []Crash `json:"c,omitempty"`
	// Answered holds when a call with a part was last answered, in Unix milliseconds.
	Answered map[identity.Service]map[PartID]int64 `json:"a,omitempty"`
	// AnsweredCalls holds when a call was last answered, in Unix milliseconds.
	AnsweredCalls map[Fingerprint]int64 `json:"ac,omitempty"`
	// Orders lists the quarantines in force.
	Orders []Order `json:"o,omitempty"`
}

// Evidence returns this host's report: the crashes that it has seen itself or, for a
// host that speaks for others, all that it knows of, and all quarantines.
func (q *Quarantine) Evidence(all bool) Evidence {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	reported := q.observed
	if all {
		reported = q.crashes
	}
	var e Evidence
	for _, crash := range reported {
		if now.Sub(crash.at()) < reportedFor {
			e.Crashes = append(e.Crashes, *crash)
		}
	}
	slices.SortFunc(e.Crashes, func(a, b Crash) int { return cmp.Compare(b.AtMillis, a.AtMillis) })
	e.Crashes = e.Crashes[:min(len(e.Crashes), maxReportedCrashes)]
	counts, callCounts := q.crashCounts(), q.callCrashCounts()
	for i := range e.Crashes {
		e.Crashes[i].Parts = mostSuspected(e.Crashes[i], counts)
		e.Crashes[i].Calls = q.suspectedCalls(&e.Crashes[i], callCounts)
	}
	// Of all crashes, not only of the observed ones: an answer at this host may clear
	// what another one suspects.
	for _, crash := range q.crashes {
		if now.Sub(crash.at()) < reportedFor {
			for part := range crash.Parts {
				e.addAnswer(suspect{crash.Service, part}, q.answered)
			}
		}
	}
	e.AnsweredCalls = q.reportedCallAnswers(now)
	e.Orders = q.inForce()
	for _, order := range e.Orders {
		for _, part := range order.Parts {
			e.addAnswer(suspect{order.Service, part}, q.answered)
		}
	}
	for s := range q.released {
		e.addAnswer(s, q.released)
	}
	return e.bounded()
}

// crashCounts returns how many crashes speak against each suspect: those since the last
// answer to a call with it.
func (q *Quarantine) crashCounts() map[suspect]int {
	counts := make(map[suspect]int)
	for _, crash := range q.crashes {
		if crash.survived() {
			continue
		}
		for part := range crash.Parts {
			if s := (suspect{crash.Service, part}); crash.at().After(q.answered[s]) {
				counts[s]++
			}
		}
	}
	return counts
}

// mostSuspected returns at most maxReportedParts parts of a crash, those against which
// most crashes speak.
func mostSuspected(crash Crash, counts map[suspect]int) map[PartID]int64 {
	parts := maps.Clone(crash.Parts)
	if len(parts) <= maxReportedParts {
		return parts
	}
	against := func(part PartID) int { return counts[suspect{crash.Service, part}] }
	ranked := slices.SortedFunc(maps.Keys(crash.Parts), func(a, b PartID) int {
		return cmp.Or(cmp.Compare(against(b), against(a)), cmp.Compare(parts[a], parts[b]), cmp.Compare(a, b))
	})
	for _, part := range ranked[maxReportedParts:] {
		delete(parts, part)
	}
	return parts
}

func (e *Evidence) addAnswer(s suspect, answered map[suspect]time.Time) {
	at, found := answered[s]
	if !found {
		return
	}
	if e.Answered == nil {
		e.Answered = make(map[identity.Service]map[PartID]int64)
	}
	if e.Answered[s.service] == nil {
		e.Answered[s.service] = make(map[PartID]int64)
	}
	e.Answered[s.service][s.part] = max(e.Answered[s.service][s.part], at.UnixMilli())
}

// bounded returns e without what exceeds the bounds of a report: the oldest quarantines
// and answers.
func (e Evidence) bounded() Evidence {
	e.Orders = e.Orders[max(0, len(e.Orders)-maxReportedOrders):]
	for _, parts := range e.Answered {
		newestFirst := slices.SortedFunc(maps.Keys(parts), func(a, b PartID) int { return cmp.Compare(parts[b], parts[a]) })
		for _, part := range newestFirst[min(len(newestFirst), maxReportedAnswers):] {
			delete(parts, part)
		}
	}
	return e
}

// Empty reports whether there is nothing to tell.
func (e Evidence) Empty() bool {
	return len(e.Crashes)+len(e.Answered)+len(e.AnsweredCalls)+len(e.Orders) == 0
}

// Merge adds the evidence that another host reported.
func (q *Quarantine) Merge(e Evidence) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for _, crash := range e.Crashes {
		if age := now.Sub(crash.at()); age < crashTTL && age > -maxClockDifference {
			if mergeCrash(q.crashes, crash) {
				q.lastNews = now
			}
		}
	}
	for service, parts := range e.Answered {
		for part, millis := range parts {
			if at := time.UnixMilli(millis); at.Sub(now) < maxClockDifference {
				q.clear(suspect{service, part}, at)
			}
		}
	}
	for call, millis := range e.AnsweredCalls {
		if at := time.UnixMilli(millis); at.Sub(now) < maxClockDifference {
			q.clearCall(call, at)
		}
	}
	for _, order := range e.Orders {
		if order.Call != 0 {
			if order.at().Sub(now) < maxClockDifference {
				q.mergeCallOrder(order)
			}
			continue
		}
		if order = q.withoutAnswered(order); len(order.Parts) > 0 && order.at().Sub(now) < maxClockDifference {
			mergeOrder(q.orders, order)
		}
	}
}

// mergeCrash adds a record of a crash, and reports whether it says anything new. An
// endpoint may break off a call, go on and crash later; only the last counts.
func mergeCrash(crashes map[identity.Incarnation]*Crash, crash Crash) bool {
	known := crashes[crash.Endpoint]
	if known == nil {
		crash.Parts, crash.Calls = cloneParts(crash.Parts), slices.Clone(crash.Calls)
		crashes[crash.Endpoint] = &crash
		return true
	}
	answered := max(known.AnsweredMillis, crash.AnsweredMillis)
	known.AnsweredMillis, crash.AnsweredMillis = answered, answered
	switch {
	case crash.survived():
		return false
	case known.survived():
		crash.Parts, crash.Calls = cloneParts(crash.Parts), slices.Clone(crash.Calls)
		*known = crash
		return true
	}
	known.AtMillis = min(known.AtMillis, crash.AtMillis)
	changed := known.mergeCalls(crash.Calls) || crash.Down && !known.Down
	known.Down = known.Down || crash.Down
	for part, inProgress := range crash.Parts {
		if known.Parts[part] < inProgress {
			known.Parts[part] = inProgress
			changed = true
		}
	}
	return changed
}

// cloneParts returns a copy of parts that is not nil.
func cloneParts(parts map[PartID]int64) map[PartID]int64 {
	copied := make(map[PartID]int64, len(parts))
	maps.Copy(copied, parts)
	return copied
}

// mergeOrder adds an order. Of two for the same parts the later one counts.
func mergeOrder(orders map[orderKey]Order, order Order) {
	known, found := orders[order.key()]
	if !found || known.AtMillis < order.AtMillis {
		order.Repeats = max(order.Repeats, known.Repeats)
		orders[order.key()] = order
	}
}
