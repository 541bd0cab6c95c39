package quota

import (
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Source identifies who sends a report. Reports of one Group cover the same hosts,
// whichever of several relays sends them.
type Source struct {
	Group  string
	Sender identity.Incarnation
}

// PeerReport is the report of one host or of a group of hosts.
type PeerReport struct {
	Source
	// HostCount is the number of hosts that the report covers.
	HostCount int
	// InPool is set if these hosts are in the pool of the receiver.
	InPool bool
	// Demand is the requested units per second.
	Demand Demand
	// Admitted is the number of units that passed since the source started.
	Admitted Demand
}

// group holds the counters of one group of hosts.
type group struct {
	senders map[identity.Incarnation]*counters
	// applied is the highest progress of any sender by organisation.
	applied Demand
}

// counters holds what one sender reported of a group.
type counters struct {
	latest, progress Demand
	reportedAt       time.Time
}

// takeReported takes what a group of hosts let pass since its last report from the
// buckets. Several senders may report the same group; the one that is ahead counts.
func (q *Quota) takeReported(now time.Time, p PeerReport) {
	g := q.groups[p.Group]
	if g == nil {
		g = &group{senders: make(map[identity.Incarnation]*counters), applied: make(Demand)}
		q.groups[p.Group] = g
	}
	c := g.senders[p.Sender]
	if c == nil {
		c = &counters{latest: make(Demand), progress: make(Demand)}
		for id, units := range p.Admitted {
			c.latest[id], c.progress[id] = units, g.applied[id]
		}
		g.senders[p.Sender] = c
	}
	c.reportedAt = now
	for id, units := range p.Admitted {
		c.progress[id] += max(0, units-c.latest[id])
		c.latest[id] = max(units, c.latest[id])
		taken := c.progress[id] - g.applied[id]
		if taken <= 0 {
			continue
		}
		g.applied[id] = c.progress[id]
		b := q.bucketOf(now, id)
		b.poolAdmitted += taken
		b.units = max(-maxDebtRatio*b.full(), b.units-taken)
	}
}

func (q *Quota) evictSources(now time.Time) {
	for name, g := range q.groups {
		for sender, c := range g.senders {
			if now.Sub(c.reportedAt) > sourceTTL {
				delete(g.senders, sender)
			}
		}
		if len(g.senders) == 0 {
			delete(q.groups, name)
		}
	}
}
