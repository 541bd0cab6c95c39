package quarantine

import (
	"cmp"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// minCrashes is the least number of crashes, at different moments, for which a part
	// is quarantined; one is enough for a part that was quarantined before.
	minCrashes = 3
	// sameMoment is the time within which crashes may have one cause, such as the loss of
	// a rack or of this host's connections.
	sameMoment = 100 * time.Millisecond
	// maxChance is the probability of meeting so many crashes by chance above which a
	// part is not quarantined. Each call is a chance for a part to seem guilty.
	maxChance = 1e-7
	// minSpan is the shortest time over which the rate of crashes is taken.
	minSpan = time.Second
	// minUnshared is by how many crashes a part must differ from another one that more or
	// less the same crashes speak against.
	minUnshared = 2
)

// Decision is what Decide has changed.
type Decision struct {
	// Quarantined lists new quarantines, Released those that have ended because a call
	// was answered.
	Quarantined, Released []Order
}

// Decide quarantines the parts that are the cause of crashes and releases those that
// are not. endpoints is the number of endpoints of each service. Crashes younger than
// settled don't count yet: that is the time in which all hosts hear of a crash and this
// one hears what calls they have answered since.
func (q *Quarantine) Decide(endpoints map[identity.Service]int, settled time.Duration) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	var d Decision
	d.Released = append(q.release(), q.releaseCalls()...)
	if now.Sub(q.lastNews) < answerTTL {
		d.Quarantined = q.decideCalls(now, settled)
		for service, count := range endpoints {
			d.Quarantined = append(d.Quarantined, q.decide(now, service, count, settled)...)
		}
	}
	q.evict(now)
	return d
}

// release ends the quarantine of parts with which a call was answered after it began.
func (q *Quarantine) release() []Order {
	var released []Order
	for key, order := range q.orders {
		rest := q.withoutAnswered(order)
		if len(rest.Parts) == len(order.Parts) {
			continue
		}
		delete(q.orders, key)
		for _, part := range order.Parts {
			if s := (suspect{order.Service, part}); !slices.Contains(rest.Parts, part) {
				q.released[s] = q.answered[s]
			}
		}
		if len(rest.Parts) > 0 {
			mergeOrder(q.orders, rest)
			continue
		}
		released = append(released, order)
	}
	return released
}

// withoutAnswered returns an order without the parts with which a call was answered
// after it began.
func (q *Quarantine) withoutAnswered(order Order) Order {
	order.Parts = slices.DeleteFunc(slices.Clone(order.Parts), func(part PartID) bool {
		return q.answered[suspect{order.Service, part}].After(order.at())
	})
	return order
}

// candidate is a suspect with the unexplained crashes that speak against it.
type candidate struct {
	part    PartID
	crashes map[identity.Incarnation]*Crash
}

// decide quarantines parts of one service, the one against which most crashes speak
// first, since the crashes that it explains no longer count against others.
func (q *Quarantine) decide(now time.Time, service identity.Service, endpoints int, settled time.Duration) []Order {
	var made []Order
	for {
		all := q.unexplained(service, now.Add(-settled))
		candidates := q.candidates(service, all)
		order, found := q.mostCertain(now, service, endpoints, all, candidates)
		if !found {
			return made
		}
		mergeOrder(q.orders, order)
		made = append(made, order)
	}
}

// unexplained returns the crashes of a service until a time for which no quarantined
// part accounts.
func (q *Quarantine) unexplained(service identity.Service, until time.Time) map[identity.Incarnation]*Crash {
	rest := make(map[identity.Incarnation]*Crash)
	for id, crash := range q.crashes {
		if crash.Service == service && !crash.survived() && !crash.at().After(until) && !q.explained(crash) {
			rest[id] = crash
		}
	}
	return rest
}

// explained reports whether a quarantined part was in progress at a crash that happened
// before or during the quarantine.
func (q *Quarantine) explained(crash *Crash) bool {
	for _, order := range q.orders {
		if order.Service != crash.Service || crash.at().After(order.End()) {
			continue
		}
		inProgress := func(part PartID) bool { _, found := crash.Parts[part]; return found }
		if !slices.ContainsFunc(order.Parts, func(part PartID) bool { return !inProgress(part) }) {
			return true
		}
	}
	return false
}

// candidates returns the suspects, the one with most crashes first.
func (q *Quarantine) candidates(service identity.Service, unexplained map[identity.Incarnation]*Crash) []candidate {
	byPart := make(map[PartID]map[identity.Incarnation]*Crash)
	for id, crash := range unexplained {
		for part := range crash.Parts {
			if !crash.at().After(q.answered[suspect{service, part}]) {
				continue
			}
			if byPart[part] == nil {
				byPart[part] = make(map[identity.Incarnation]*Crash)
			}
			byPart[part][id] = crash
		}
	}
	var list []candidate
	for part, crashes := range byPart {
		list = append(list, candidate{part, crashes})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.part, b.part))
	})
	return list
}

// mostCertain returns the order for the first candidate that is certain enough,
// together with those of the same calls that the same crashes speak against. Of two
// candidates of different calls, the one that was in progress for longer is the one that
// chance explains better.
func (q *Quarantine) mostCertain(now time.Time, service identity.Service, endpoints int, all map[identity.Incarnation]*Crash, candidates []candidate) (Order, bool) {
	for i, c := range candidates {
		if !q.quarantinedBefore(service, c.part) && (q.explainedByCall(c) || !q.certain(now, service, endpoints, all, c)) {
			continue
		}
		order := Order{Service: service, Parts: []PartID{c.part}, AtMillis: now.UnixMilli()}
		ambiguous := false
		for j, other := range candidates {
			unshared := c.unshared(other)
			if i == j || unshared >= minUnshared {
				continue
			}
			switch together := q.together(service, c.part, other.part); {
			case together && unshared == 0:
				order.Parts = append(order.Parts, other.part)
			case together, other.inProgress() < c.inProgress():
				ambiguous = true
			}
		}
		if ambiguous {
			continue
		}
		slices.Sort(order.Parts)
		if previous, found := q.orders[order.key()]; found {
			order.Repeats = previous.Repeats + 1
		}
		return order, true
	}
	return Order{}, false
}

// explainedByCall reports whether one unanswered call was in progress at all of a
// candidate's crashes, so that the call may be the cause and the part be sound.
func (q *Quarantine) explainedByCall(c candidate) bool {
	counts := make(map[Fingerprint]int)
	for _, crash := range c.crashes {
		for _, call := range crash.Calls {
			if crash.at().After(q.callsAnswered[call]) {
				counts[call]++
			}
			if counts[call] == len(c.crashes) {
				return true
			}
		}
	}
	return false
}

// unshared returns how many of the candidate's crashes don't speak against another one.
func (c candidate) unshared(other candidate) int {
	count := 0
	for id := range c.crashes {
		if _, found := other.crashes[id]; !found {
			count++
		}
	}
	return count
}

// certain reports whether chance is no explanation for a candidate's crashes.
func (q *Quarantine) certain(now time.Time, service identity.Service, endpoints int, all map[identity.Incarnation]*Crash, c candidate) bool {
	moments, first := c.moments()
	if moments < minCrashes {
		return false
	}
	others := 0
	for id, crash := range all {
		if _, own := c.crashes[id]; !own && !crash.at().Before(first) {
			others++
		}
	}
	span := max(minSpan, now.Sub(first))
	expected := float64(others+1) * c.inProgress().Seconds() / (span.Seconds() * float64(max(1, endpoints)))
	return distuv.Poisson{Lambda: expected}.Survival(float64(moments-1)) < maxChance
}

// quarantinedBefore reports whether a quarantine of a part alone has run out.
func (q *Quarantine) quarantinedBefore(service identity.Service, part PartID) bool {
	_, found := q.orders[Order{Service: service, Parts: []PartID{part}}.key()]
	return found
}

// moments counts the candidate's crashes, those at one moment as one. It also returns
// when the first was.
func (c candidate) moments() (count int, first time.Time) {
	var times []time.Time
	for _, crash := range c.crashes {
		times = append(times, crash.at())
	}
	return moments(times), slices.MinFunc(times, time.Time.Compare)
}

// inProgress returns how long calls with the part were in progress before its crashes.
func (c candidate) inProgress() time.Duration {
	var total time.Duration
	for _, crash := range c.crashes {
		total += time.Duration(crash.Parts[c.part]) * time.Millisecond
	}
	return total
}
