package controller

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// leavingKept is how long an incarnation stays known as leaving after the host
// list last showed it; it outlasts every lag of the platform.
const leavingKept = time.Hour

// LeavingSeen tells that an incarnation is leaving: by notice, by an operator's
// order, by a peer, or by its own word. An empty Incarnation means the one that
// is known now, or else the next one listed under the host before the deadline.
type LeavingSeen struct {
	Host        identity.Host
	Incarnation identity.Incarnation
	// Deadline is when the host is gone; zero when not known.
	Deadline time.Time
}

// leaving remembers which incarnations are leaving. It only ever adds: a
// withdrawn notice does not undo one, since other hosts may have moved its work
// already and may never see the withdrawal.
type leaving struct {
	incarnations map[identity.Incarnation]departure
	// unlisted holds notices without an incarnation for hosts not yet listed.
	unlisted map[identity.Host]departure
}

// departure is what is known of one leaving host.
type departure struct {
	// deadline is the earliest that was told; zero when none was.
	deadline time.Time
	// forget is when it may be forgotten; zero while it is listed.
	forget time.Time
}

func newLeaving() leaving {
	return leaving{
		incarnations: make(map[identity.Incarnation]departure),
		unlisted:     make(map[identity.Host]departure),
	}
}

// add keeps the earliest deadline of an incarnation.
func (l leaving) add(incarnation identity.Incarnation, deadline time.Time) {
	known := l.incarnations[incarnation]
	known.deadline = earliest(known.deadline, deadline)
	l.incarnations[incarnation] = known
}

// wait keeps a notice until its host is listed.
func (l leaving) wait(host identity.Host, deadline time.Time) {
	known := l.unlisted[host]
	known.deadline = earliest(known.deadline, deadline)
	l.unlisted[host] = known
}

// listed gives a waiting notice to the first incarnation listed for its host.
// One listed only after the deadline is a successor, which keeps out of it.
func (l leaving) listed(at time.Time, host identity.Host, incarnation identity.Incarnation) {
	waiting, ok := l.unlisted[host]
	if !ok {
		return
	}
	delete(l.unlisted, host)
	if waiting.deadline.IsZero() || at.Before(waiting.deadline) {
		l.add(incarnation, waiting.deadline)
	}
}

// mark sets what is known of an endpoint's incarnation.
func (l leaving) mark(e fleet.Endpoint) fleet.Endpoint {
	known, ok := l.incarnations[e.Incarnation]
	if ok {
		e.Leaving = true
		e.Deadline = known.deadline
	}
	return e
}

// age forgets what the host list has not shown for leavingKept.
func (l leaving) age(at time.Time, endpoints map[identity.Host]fleet.Endpoint) {
	listed := make(map[identity.Incarnation]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.Incarnation] = true
	}
	ageOut(l.incarnations, at, func(id identity.Incarnation) bool { return listed[id] })
	ageOut(l.unlisted, at, func(identity.Host) bool { return false })
}

func ageOut[K comparable](known map[K]departure, at time.Time, listed func(K) bool) {
	for key, d := range known {
		switch {
		case listed(key):
			d.forget = time.Time{}
		case d.forget.IsZero():
			d.forget = at.Add(leavingKept)
		case !at.Before(d.forget):
			delete(known, key)
			continue
		}
		known[key] = d
	}
}

// earliest gives the earlier of two times, of which zero means not known.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (e LeavingSeen) apply(s *state) {
	known, ok := s.endpoints[e.Host]
	incarnation := e.Incarnation
	if incarnation == "" && !ok {
		s.leaving.wait(e.Host, e.Deadline)
		return
	}
	if incarnation == "" {
		incarnation = known.Incarnation
	}
	s.leaving.add(incarnation, e.Deadline)
	if ok {
		s.endpoints[e.Host] = s.leaving.mark(known)
	}
}
