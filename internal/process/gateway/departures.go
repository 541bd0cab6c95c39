package gateway

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/departure"
	"github.com/dandelionlift/dandelionlift/internal/process/neighbour"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// lapsedHeartbeats is after how many heartbeat intervals of silence the store has removed
// an entry, and this host has learned of it.
const lapsedHeartbeats = 4

// handleRemovals marks the endpoints of removed entries as leaving. Around a store
// outage an entry may have expired although its endpoint is alive, so the endpoint is
// retained until it has had time to register again since the store last failed.
func (g *Gateway) handleRemovals(now time.Time, previous map[string]entry) {
	var removed []string
	for key := range previous {
		if _, ok := g.control.entries[key]; !ok {
			removed = append(removed, key)
		}
	}
	outage := now.Sub(g.control.lastFailure) < outageGrace || len(removed) >= massRemovalSize
	for _, key := range removed {
		e := previous[key].endpoint
		leaving := g.control.leaving.Contains(e.Incarnation)
		g.log.Info("endpoint_removed", "endpoint", e.Host, "service", e.Service, "leaving", leaving, "store_trouble", outage)
		if outage && !leaving && !e.Leaving {
			g.control.retained[key] = retainedEndpoint{endpoint: e, until: now.Add(g.bounds.ReappearTimeout)}
			continue
		}
		g.control.leaving.Add(now, e.Incarnation, departure.Evidence{Revision: g.control.asOf, Sequence: e.Sequence})
	}
}

// markLeaving marks an endpoint as leaving.
func (g *Gateway) markLeaving(now time.Time, id identity.Incarnation, source string, evidence departure.Evidence) {
	if g.control.leaving.Add(now, id, evidence) {
		g.log.Info("endpoint_leaving", "endpoint", id, "source", source, "revision", evidence.Revision, "sequence", evidence.Sequence)
	}
}

// mergeLeaving marks the endpoints that a neighbour knows to be leaving, unless this host's
// copy of the store refutes its evidence. Endpoints not listed in the store are ignored:
// nothing needs to be done about them, and hosts would keep reporting them to each other.
func (g *Gateway) mergeLeaving(r neighbour.Report) {
	now := time.Now()
	changed := false
	for id, evidence := range r.Departures {
		// Each report repeats what is known; that is checked first, as there may be thousands
		// of endpoints.
		if g.control.leaving.Covers(id, evidence) || !g.inStore(id) || !g.control.leaving.Learn(now, id, evidence, g.listing(id)) {
			continue
		}
		g.log.Info("endpoint_leaving", "endpoint", id, "source", r.Host, "report", r.Sequence, "revision", evidence.Revision, "sequence", evidence.Sequence)
		changed = true
	}
	if changed {
		g.publish(now)
	}
}

// listing returns an endpoint's entry in the copy of the store, or the zero Listing.
func (g *Gateway) listing(id identity.Incarnation) departure.Listing {
	for _, e := range g.control.entries {
		if e.endpoint.Incarnation == id {
			return g.listed(e)
		}
	}
	return departure.Listing{}
}

func (g *Gateway) listed(e entry) departure.Listing {
	since := e.since
	if since.Before(g.control.lastFailure) {
		since = g.control.lastFailure
	}
	return departure.Listing{
		Revision: e.revision, Sequence: e.endpoint.Sequence, Leaving: e.endpoint.Leaving, Since: since,
	}
}

// settleDepartures ends the departures that the endpoints' entries refute, and reports
// whether there were any.
func (g *Gateway) settleDepartures(now time.Time) bool {
	ended := false
	for _, e := range g.control.entries {
		if id := e.endpoint.Incarnation; g.control.leaving.Settle(now, id, g.listed(e)) {
			g.log.Info("endpoint_returned", "endpoint", id, "revision", e.revision, "sequence", e.endpoint.Sequence, "listed", now.Sub(e.since))
			ended = true
		}
	}
	return ended
}

// inStore reports whether the store lists an endpoint, or may do so again.
func (g *Gateway) inStore(id identity.Incarnation) bool {
	for _, e := range g.control.entries {
		if e.endpoint.Incarnation == id {
			return true
		}
	}
	for _, kept := range g.control.retained {
		if kept.endpoint.Incarnation == id {
			return true
		}
	}
	return false
}
