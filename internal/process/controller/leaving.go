package controller

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// leavingRetention is how long a leaving incarnation is remembered after it
// disappeared from the host list; it exceeds any delay of the platform.
const leavingRetention = time.Hour

// LeavingUpdate reports that an incarnation is leaving, as learned from a notice, an
// operator's command, a peer or the endpoint itself. An empty Incarnation refers to
// the known one or, if there is none, to the next one that is listed for the host
// before the deadline.
type LeavingUpdate struct {
	Host        identity.Host
	Incarnation identity.Incarnation
	// Deadline is when the host will be gone; zero if unknown.
	Deadline time.Time
}

// leavingSet records the leaving incarnations. Entries are never withdrawn: even if
// a notice is withdrawn, other hosts may already have moved the incarnation's work,
// or may never receive the withdrawal.
type leavingSet struct {
	incarnations map[identity.Incarnation]departure
	// pending holds notices without an incarnation, for hosts not listed yet.
	pending map[identity.Host]departure
}

// departure describes a leaving incarnation.
type departure struct {
	// deadline is the earliest reported one; zero if none was reported.
	deadline time.Time
	// expires is when the entry may be deleted; zero while the host list shows it.
	expires time.Time
}

func newLeavingSet() leavingSet {
	return leavingSet{
		incarnations: make(map[identity.Incarnation]departure),
		pending:      make(map[identity.Host]departure),
	}
}

// add adds an incarnation, keeping its earliest deadline.
func (l leavingSet) add(incarnation identity.Incarnation, deadline time.Time) {
	known := l.incarnations[incarnation]
	known.deadline = earliest(known.deadline, deadline)
	l.incarnations[incarnation] = known
}

// addPending stores a notice until its host is listed.
func (l leavingSet) addPending(host identity.Host, deadline time.Time) {
	known := l.pending[host]
	known.deadline = earliest(known.deadline, deadline)
	l.pending[host] = known
}

// resolvePending applies a pending notice to the first incarnation that is listed
// for its host. If that is only listed after the deadline, it is a successor, and
// the notice is dropped.
func (l leavingSet) resolvePending(at time.Time, host identity.Host, incarnation identity.Incarnation) {
	notice, ok := l.pending[host]
	if !ok {
		return
	}
	delete(l.pending, host)
	if notice.deadline.IsZero() || at.Before(notice.deadline) {
		l.add(incarnation, notice.deadline)
	}
}

// annotate sets the Leaving and Deadline fields of an endpoint from its
// incarnation's entry.
func (l leavingSet) annotate(e fleet.Endpoint) fleet.Endpoint {
	known, ok := l.incarnations[e.Incarnation]
	if ok {
		e.Leaving = true
		e.Deadline = known.deadline
	}
	return e
}

// expire deletes entries that have been missing from the host list for
// leavingRetention. Pending notices expire after the same time.
func (l leavingSet) expire(at time.Time, endpoints map[identity.Host]fleet.Endpoint) {
	listed := make(map[identity.Incarnation]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.Incarnation] = true
	}
	expireUnlisted(l.incarnations, at, func(id identity.Incarnation) bool { return listed[id] })
	expireUnlisted(l.pending, at, func(identity.Host) bool { return false })
}

func expireUnlisted[K comparable](departures map[K]departure, at time.Time, listed func(K) bool) {
	for key, d := range departures {
		switch {
		case listed(key):
			d.expires = time.Time{}
		case d.expires.IsZero():
			d.expires = at.Add(leavingRetention)
		case !at.Before(d.expires):
			delete(departures, key)
			continue
		}
		departures[key] = d
	}
}

// earliest returns the earlier of two times, where zero means unknown.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (e LeavingUpdate) apply(s *state) {
	endpoint, ok := s.endpoints[e.Host]
	incarnation := e.Incarnation
	if incarnation == "" && !ok {
		s.leaving.addPending(e.Host, e.Deadline)
		return
	}
	if incarnation == "" {
		incarnation = endpoint.Incarnation
	}
	s.leaving.add(incarnation, e.Deadline)
	if ok {
		s.endpoints[e.Host] = s.leaving.annotate(endpoint)
	}
}
