package gateway

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/departure"
	"github.com/dandelionlift/dandelionlift/internal/process/mirror"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// start is what a start of an endpoint has reported last.
type start struct {
	endpoint fleet.Endpoint
	// listed is when the store last listed it.
	listed time.Time
}

// doubtedEntry is an entry that the store lists since some time.
type doubtedEntry struct {
	incarnation identity.Incarnation
	since       time.Time
}

// doubts reports whether an entry may be of an earlier start than the latest one known for
// its key: a report of an endpoint may take effect after it has started again. The starts
// are ordered by what they report, not by when they are read. An endpoint whose clock was
// set back between two starts shows that it serves by renewing its entry.
func (g *Gateway) doubts(now time.Time, item mirror.Item, latest, e fleet.Endpoint) bool {
	same := latest.Incarnation == "" || latest.Incarnation == e.Incarnation
	if same || !e.Started.Before(latest.Started) && !g.control.leaving.Contains(e.Incarnation) {
		delete(g.control.doubted, item.Key)
		return false
	}
	d := g.control.doubted[item.Key]
	if d.incarnation != e.Incarnation {
		d = doubtedEntry{incarnation: e.Incarnation, since: now}
		g.control.doubted[item.Key] = d
		g.log.Info("endpoint_doubted", "endpoint", e.Incarnation, "latest", latest.Incarnation, "revision", item.Revision, "sequence", e.Sequence)
	}
	if !g.renewed(now, d) {
		return true
	}
	delete(g.control.doubted, item.Key)
	g.log.Info("endpoint_believed", "endpoint", e.Incarnation, "latest", latest.Incarnation, "listed", now.Sub(d.since))
	return false
}

// renewed reports whether an entry is listed for longer than one that nobody renews.
func (g *Gateway) renewed(now time.Time, d doubtedEntry) bool {
	since := d.since
	if since.Before(g.control.lastFailure) {
		since = g.control.lastFailure
	}
	return now.Sub(since) > lapsedHeartbeats*g.bounds.HeartbeatInterval
}

// sweepStarts drops the starts of keys that have not been listed for as long as departures
// are kept.
func (g *Gateway) sweepStarts(now time.Time) {
	for key, s := range g.control.starts {
		_, entered := g.control.entries[key]
		_, retained := g.control.retained[key]
		_, doubted := g.control.doubted[key]
		if entered || retained || doubted {
			s.listed = now
			g.control.starts[key] = s
			continue
		}
		if now.Sub(s.listed) > departure.Retention {
			delete(g.control.starts, key)
		}
	}
}

// recordStart tells the keeper of advice when an endpoint has started again. It doesn't if
// the start lies before this host found the earlier incarnation: the endpoint's clock must
// be wrong then.
func (g *Gateway) recordStart(now time.Time, ended, next fleet.Endpoint) {
	age := g.clock.Now().Sub(next.Started)
	if age > now.Sub(ended.FirstSeen) || !next.Started.After(ended.Started) {
		return
	}
	g.advice.Succeed(now, ended.Incarnation, next.Incarnation, age)
}
