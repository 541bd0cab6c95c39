// Package departure keeps which endpoints are leaving, and the evidence of it.
//
// # Evidence
//
// A host takes an endpoint to be leaving once the endpoint has reported so to the store,
// its entry was removed, or a later start of it has registered. Each of these is true as
// of a revision of the store, and hosts tell each other the evidence and not the mere
// conclusion: one of them may be behind.
//
// # End
//
// An endpoint whose entry was removed may be alive: it was cut off from the store, and
// registers again once it is not. The mark ends with a later report of the same start, by
// its sequence. An entry that was written again with the sequence it had may be a write
// that took effect late; the store keeps that only for as long as it keeps an entry which
// nobody renews, so one that is listed for longer ends the mark, too. An endpoint that
// has itself reported that it is leaving is believed until it reports later that it stays.
package departure

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Retention is the least time for which a departure is kept, and reported to neighbours.
// It is kept for longer if the store still lists the endpoint.
const Retention = 30 * time.Second

// Evidence shows that an endpoint is leaving.
type Evidence struct {
	// Revision is one of the store at which the endpoint's entry says so, is missing or
	// belongs to a later start.
	Revision keyvalue.Revision
	// Sequence is that of the endpoint's latest report then; zero if unknown.
	Sequence uint64
	// Announced is set if the endpoint has itself reported that it is leaving.
	Announced bool
}

// Listing is an endpoint's entry in this host's copy of the store.
type Listing struct {
	// Revision is that of the entry; zero if the copy does not contain the endpoint.
	Revision keyvalue.Revision
	Sequence uint64
	// Leaving is set if the entry says so.
	Leaving bool
	// Since is when the host first read an entry of the endpoint that has not been
	// removed since, or when the store last failed, if that was later.
	Since time.Time
}

// Set holds the endpoints that are leaving. Create one with New.
type Set struct {
	// lapse is how long the store lists an entry at most that nobody renews.
	lapse      time.Duration
	departures map[identity.Incarnation]departure
}

type departure struct {
	evidence Evidence
	// known is when the host learned of it, or of its latest evidence.
	known time.Time
}

// New returns a Set for a store that lists entries which nobody renews for lapse.
func New(lapse time.Duration) *Set {
	return &Set{lapse: lapse, departures: make(map[identity.Incarnation]departure)}
}

// Add adds evidence that an endpoint is leaving, and reports whether it was unknown.
func (s *Set) Add(now time.Time, id identity.Incarnation, e Evidence) bool {
	d, found := s.departures[id]
	if found {
		e.Revision = max(e.Revision, d.evidence.Revision)
		e.Sequence = max(e.Sequence, d.evidence.Sequence)
		e.Announced = e.Announced || d.evidence.Announced
	}
	s.departures[id] = departure{evidence: e, known: now}
	return !found
}

// Learn adds another host's evidence unless this host's copy of the store refutes it, and
// reports whether the departure was unknown.
func (s *Set) Learn(now time.Time, id identity.Incarnation, e Evidence, l Listing) bool {
	if s.refutes(now, l, e) {
		return false
	}
	return !s.Covers(id, e) && s.Add(now, id, e)
}

// Covers reports whether what is known of a departure contains the evidence.
func (s *Set) Covers(id identity.Incarnation, e Evidence) bool {
	d, found := s.departures[id]
	return found && e.Revision <= d.evidence.Revision && e.Sequence <= d.evidence.Sequence && (d.evidence.Announced || !e.Announced)
}

// Settle ends the departure of an endpoint if its entry refutes the evidence, and reports
// whether it did.
func (s *Set) Settle(now time.Time, id identity.Incarnation, l Listing) bool {
	d, found := s.departures[id]
	if !found || !s.refutes(now, l, d.evidence) {
		return false
	}
	delete(s.departures, id)
	return true
}

// refutes reports whether an endpoint's entry shows that it is not leaving, or not any more.
func (s *Set) refutes(now time.Time, l Listing, e Evidence) bool {
	switch {
	case l.Leaving || l.Revision == 0:
		return false
	case l.Revision <= e.Revision:
		// The entry is from before. That the copy is as new as the evidence proves nothing:
		// it may have missed a removal.
		return false
	case e.Sequence > 0 && l.Sequence > e.Sequence:
		return true
	default:
		return !e.Announced && now.Sub(l.Since) > s.lapse
	}
}

// Contains reports whether an endpoint is leaving.
func (s *Set) Contains(id identity.Incarnation) bool {
	_, found := s.departures[id]
	return found
}

// Departures returns all departures.
func (s *Set) Departures() Departures {
	all := make(Departures, len(s.departures))
	for id, d := range s.departures {
		all[id] = d.evidence
	}
	return all
}

// Evict drops the departures known for Retention of endpoints that are not listed.
func (s *Set) Evict(now time.Time, listed func(identity.Incarnation) bool) {
	for id, d := range s.departures {
		if now.Sub(d.known) > Retention && !listed(id) {
			delete(s.departures, id)
		}
	}
}
