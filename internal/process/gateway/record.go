package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/process/duty"
	"github.com/dandelionlift/dandelionlift/internal/process/origin"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// versionsKey is this system's own key in the store for the record of software versions.
	versionsKey = "dandelionlift/versions"
	// recordDelay is how long the leader has for recording a new software version before
	// another host does, after up to as long again at random.
	recordDelay = 750 * time.Millisecond
	// maxReportAge and maxAggregateAge limit the age of others' reports that tell what may
	// have changed in the store: each is two periods of sending.
	maxReportAge    = 500 * time.Millisecond
	maxAggregateAge = 1500 * time.Millisecond
)

// storedVersions is the record of versions that this host has last written or read.
type storedVersions struct {
	data     string
	revision keyvalue.Revision
	// delay is how long this host leaves it to others to record a version.
	delay time.Duration
}

// keep writes the record on the leader. Other hosts read it while it lacks a version, and
// write it in place of a leader that does not.
func (s *storedVersions) keep(ctx context.Context, g *Gateway) {
	ctx, cancel := context.WithTimeout(ctx, duty.CallTimeout)
	defer cancel()
	if _, leads := g.elector.Fence(); !leads && !s.mustStandIn(ctx, g) {
		return
	}
	if err := s.write(ctx, g); err != nil {
		g.log.Info("versions_not_stored", "error", err)
	}
}

// mustStandIn reports whether a version is still not recorded after the leader had the time
// to do so.
func (s *storedVersions) mustStandIn(ctx context.Context, g *Gateway) bool {
	if _, unrecorded := g.origins.versions.Unrecorded(); !unrecorded {
		return false
	}
	if err := s.read(ctx, g); err != nil {
		g.log.Info("versions_not_read", "error", err)
		return false
	}
	age, unrecorded := g.origins.versions.Unrecorded()
	if s.delay == 0 {
		s.delay = recordDelay + rand.N(recordDelay)
	}
	return unrecorded && age >= s.delay
}

// read reads the record and merges it.
func (s *storedVersions) read(ctx context.Context, g *Gateway) error {
	value, err := g.readVersions(ctx)
	if errors.Is(err, errVersionsUnreadable) {
		err = nil
	}
	if err == nil {
		s.data, s.revision = string(value.Data), value.Revision
	}
	return err
}

// write writes the record if it has changed. Another host may have written it meanwhile,
// with versions of which this one has not heard.
func (s *storedVersions) write(ctx context.Context, g *Gateway) error {
	for {
		data, err := g.origins.versions.Document()
		if err != nil || string(data) == s.data && g.storeEra() == s.revision.Era() {
			return err
		}
		revision, err := g.platform.Store.Commit(ctx, keyvalue.Transaction{
			Conditions: []keyvalue.Condition{{Key: versionsKey, Revision: s.revision}},
			Writes:     []keyvalue.Entry{{Key: versionsKey, Data: data}},
		})
		if errors.Is(err, keyvalue.ErrConflict) || errors.Is(err, keyvalue.ErrRestored) {
			if err := s.read(ctx, g); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		s.data, s.revision = string(data), revision
		return g.mergeVersions(data)
	}
}

// readVersions reads the record of versions and merges it.
func (g *Gateway) readVersions(ctx context.Context) (keyvalue.Value, error) {
	value, err := g.platform.Store.Get(ctx, versionsKey)
	if err != nil && !errors.Is(err, keyvalue.ErrAbsent) {
		return value, err
	}
	g.origins.hosts.Store(int64(g.neighbours.HostCount(hostCountWindow)))
	if err := g.mergeVersions(value.Data); err != nil {
		g.log.Warn("versions_unreadable", "revision", value.Revision, "error", err)
		return value, errVersionsUnreadable
	}
	return value, nil
}

// errVersionsUnreadable is returned with the record that can't be read, which confirms
// nothing and may be replaced.
var errVersionsUnreadable = errors.New("gateway: the record of versions can't be read")

// mergeVersions merges the record of versions. What it contains decides which endpoints
// are held.
func (g *Gateway) mergeVersions(data []byte) error {
	changed, err := g.origins.versions.Merge(data)
	if changed {
		g.onMirrorChange(g.platform.EndpointPrefix)
	}
	return err
}

// confirmVersions reads the record of versions by a call that began after this one.
func (g *Gateway) confirmVersions(ctx context.Context) error {
	for joined := false; ; joined = true {
		executed := false
		_, err, _ := g.origins.lookups.Do(versionsKey, func() (any, error) {
			executed = true
			// The read is not that of one caller only, who may leave.
			ctx := context.WithoutCancel(ctx)
			pause.For(ctx, g.confirmInterval()-time.Since(g.origins.confirmed))
			g.origins.confirmed = time.Now()
			ctx, cancel := context.WithTimeout(ctx, originTimeout)
			defer cancel()
			_, err := g.readVersions(ctx)
			return nil, err
		})
		// The first read that a caller joins may have begun before it, the second can't.
		if executed || joined || err != nil {
			return err
		}
	}
}

// confirmInterval returns the shortest period of reading the record for callers: after a
// kill of all hosts these take up streams at each of them. Together the hosts read it as
// often as the store allows writes, which is a fraction of the reads that it allows.
func (g *Gateway) confirmInterval() time.Duration {
	if g.bounds.StoreWritesPerSecond <= 0 {
		return 0
	}
	seconds := float64(g.neighbours.HostCount(hostCountWindow)) / g.bounds.StoreWritesPerSecond
	return time.Duration(seconds * float64(time.Second))
}

// holdUnrecorded sets Held on the endpoints that should not begin streams yet, and counts
// them. It concerns services whose streams may be resumed.
func (g *Gateway) holdUnrecorded(endpoints []fleet.Endpoint) int {
	c := g.Catalogue()
	if c == nil {
		return 0
	}
	resumed := make(map[identity.Service]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		for _, target := range r.Targets {
			resumed[target.Service] = resumed[target.Service] || r.Kind == catalogue.Stream && r.Resumable
		}
	}
	held, count := make(map[origin.Origin]bool), 0
	for i := range endpoints {
		e := &endpoints[i]
		o := origin.Origin{Service: e.Service, Software: e.Software}
		if _, known := held[o]; !known && resumed[e.Service] {
			held[o] = g.origins.versions.Held(o)
		}
		if e.Held = held[o]; e.Held {
			count++
		}
	}
	return count
}

// agreesWithOthers reports whether most hosts have lately told that the store does not
// answer them either, and that they know of no later change of the endpoints than this one.
// Otherwise it may have told others of new versions.
func (g *Gateway) agreesWithOthers(now time.Time) bool {
	own := g.mirror.LatestRevision(g.platform.EndpointPrefix)
	hosts := 1
	for _, h := range g.neighbours.HeardReports() {
		if h.Revisions[g.platform.EndpointPrefix] > own {
			return false
		}
		maxAge := maxReportAge
		if h.Hosts > 0 {
			maxAge = maxAggregateAge
		}
		if h.StoreFailing && now.Sub(h.ReceivedAt) <= maxAge {
			hosts += h.HostCount()
		}
	}
	return 2*hosts > max(g.neighbours.HostCount(hostCountWindow), int(g.origins.hosts.Load()))
}
