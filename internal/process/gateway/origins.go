package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/process/duty"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/origin"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// versionsKey and streamsPrefix are this system's own keys in the store: the leader's
	// record of software versions, and each host's streams, by shard.
	versionsKey   = "dandelionlift/versions"
	streamsPrefix = "dandelionlift/streams/"
	// minOriginInterval is the shortest period of writing streams to the store.
	minOriginInterval = 250 * time.Millisecond
	// originWriteShare is the share of the store's writes that the streams of all hosts
	// together may use.
	originWriteShare = 0.5
	// originTimeout limits one look for a stream in the store. Callers wait for it.
	originTimeout = 500 * time.Millisecond
	// maxReportAge and maxAggregateAge limit the age of others' reports that tell what may
	// have changed in the store: each is two periods of sending.
	maxReportAge    = 500 * time.Millisecond
	maxAggregateAge = 1500 * time.Millisecond
	// recordDelay is how long the leader has for recording a new software version before
	// another host does, after up to as long again at random.
	recordDelay = 750 * time.Millisecond
)

// originState is what a host knows of where streams began.
type originState struct {
	streams  *origin.Streams
	versions *origin.Versions
	// lookups joins the concurrent reads of one shard.
	lookups singleflight.Group
	// hosts is how many hosts there were when the store last answered.
	hosts atomic.Int64
	// confirmed is when confirmVersions last read the record. The lookup that joins its
	// callers owns it.
	confirmed time.Time
}

// streamRetention returns for how long streams must be remembered by the configuration.
func streamRetention(c *catalogue.Catalogue) time.Duration {
	longest := time.Duration(0)
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Kind == catalogue.Stream {
			longest = max(longest, r.Timeout)
		}
	}
	return origin.Retention(longest)
}

// retainStreams remembers streams and versions for as long as the configuration requires.
func (g *Gateway) retainStreams(c *catalogue.Catalogue) {
	retention := streamRetention(c)
	g.origins.streams.SetRetention(retention)
	g.origins.versions.SetRetention(retention)
}

// originInterval returns the period of writing streams to the store.
func (g *Gateway) originInterval() time.Duration {
	if g.bounds.StoreWritesPerSecond <= 0 {
		return minOriginInterval
	}
	seconds := float64(g.neighbours.HostCount(hostCountWindow)) / (g.bounds.StoreWritesPerSecond * originWriteShare)
	return max(minOriginInterval, time.Duration(seconds*float64(time.Second)))
}

// runOrigins keeps the record of versions and writes this host's streams to the store.
// Streams are written only while a service has several versions.
func (g *Gateway) runOrigins(ctx context.Context) error {
	var versions storedVersions
	var streams storedStreams
	for pause.For(ctx, g.originInterval()) {
		g.origins.streams.Evict()
		versions.keep(ctx, g)
		if !g.origins.versions.Several() {
			continue
		}
		if err := streams.write(ctx, g); err != nil {
			g.log.Info("streams_not_stored", "error", err)
		}
	}
	return nil
}

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

// storedStreams is the lease under which this host writes its streams.
type storedStreams struct {
	lease   keyvalue.LeaseID
	renewed time.Time
}

// write writes the shards with new streams in one transaction. Without a lease, which ends
// with what is written under it, all shards are written.
func (s *storedStreams) write(ctx context.Context, g *Gateway) error {
	ctx, cancel := context.WithTimeout(ctx, duty.CallTimeout)
	defer cancel()
	if err := s.renew(ctx, g); err != nil {
		return err
	}
	shards := g.origins.streams.Changed()
	var t keyvalue.Transaction
	for _, shard := range shards {
		data, err := g.origins.streams.Document(shard)
		if err != nil {
			return err
		}
		t.Writes = append(t.Writes, keyvalue.Entry{Key: shardPrefix(shard) + string(g.incarnation), Data: data, Lease: s.lease})
	}
	if len(t.Writes) == 0 {
		return nil
	}
	_, err := g.platform.Store.Commit(ctx, t)
	if err == nil {
		return nil
	}
	for _, shard := range shards {
		g.origins.streams.SetChanged(shard)
	}
	if errors.Is(err, keyvalue.ErrNoLease) {
		s.lease = keyvalue.LeaseID{}
	}
	return err
}

func (s *storedStreams) renew(ctx context.Context, g *Gateway) error {
	now := time.Now()
	if s.lease.Number != 0 && s.lease.Era == g.storeEra() {
		if now.Sub(s.renewed) < registrationRenewal {
			return nil
		}
		err := g.platform.Store.KeepAlive(ctx, s.lease)
		if !errors.Is(err, keyvalue.ErrNoLease) {
			if err == nil {
				s.renewed = now
			}
			return err
		}
	}
	// The streams of a killed host stay for as long as it would have remembered them.
	ttl := registrationRenewal + origin.Retention(0)
	if c := g.Catalogue(); c != nil {
		ttl = registrationRenewal + streamRetention(c)
	}
	lease, err := g.platform.Store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	s.lease, s.renewed = lease, now
	for shard := range origin.Shard(origin.Shards) {
		g.origins.streams.SetChanged(shard)
	}
	return nil
}

func shardPrefix(shard origin.Shard) string {
	const digits = "0123456789abcdef"
	return streamsPrefix + digits[shard:shard+1] + "/"
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

// findOrigin returns the service and software version at which the stream began that a
// call resumes, or a refusal if that is not known: the caller can tell a stream that ended
// early from a whole one, but not a text that two versions wrote.
func (g *Gateway) findOrigin(ctx context.Context, c *forward.Call) (*catalogue.Service, identity.Software, *verdict.Error) {
	o, found := g.origins.streams.Find(c.Resumes)
	source := "own"
	var err error
	if !found {
		source = "only version"
		if err = g.confirmVersions(ctx); err == nil || g.agreesWithOthers(time.Now()) {
			o, found = g.onlyOrigin(c)
		}
	}
	if !found && err == nil && c.Resumes != "" {
		source = "store"
		o, found, err = g.findStored(ctx, c.Resumes)
	}
	if !found {
		g.log.Warn("stream_origin_unknown", "request", c.ID, "resumes", c.Resumes, "error", err)
		failure := verdict.New(verdict.NotRun, verdict.StreamOriginUnknown, string(c.Resumes))
		if err != nil {
			failure.RetryAfter = time.Second
		}
		return nil, "", failure
	}
	g.log.Info("stream_origin_found", "request", c.ID, "resumes", c.Resumes, "service", o.Service, "software", o.Software, "source", source,
		"endpoints_revision", g.mirror.LatestRevision(g.platform.EndpointPrefix), "error", err)
	service, known := g.Catalogue().Service(o.Service)
	if !known || !c.Route.Leads(o.Service) {
		return nil, "", verdict.New(verdict.NotRun, verdict.StreamVersionGone, string(o.Service))
	}
	return service, o.Software, nil
}

// onlyOrigin returns the origin of a stream if all services to which the call's route
// leads have had one software version lately.
func (g *Gateway) onlyOrigin(c *forward.Call) (origin.Origin, bool) {
	only := origin.Origin{Service: c.Service.ID}
	for _, target := range c.Route.Targets {
		list, complete := g.origins.versions.Recent(target.Service)
		if !complete || len(list) != 1 {
			return origin.Origin{}, false
		}
		if target.Service == c.Service.ID {
			only.Software = list[0]
		}
	}
	return only, true
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

// findStored looks for a stream in the store. What has just begun may not have been
// written yet, so it looks a second time.
func (g *Gateway) findStored(ctx context.Context, id identity.Request) (origin.Origin, bool, error) {
	o, found, err := g.findInShard(ctx, id)
	if found || err != nil || !pause.For(ctx, g.originInterval()+minOriginInterval/4) {
		return o, found, err
	}
	return g.findInShard(ctx, id)
}

func (g *Gateway) findInShard(ctx context.Context, id identity.Request) (origin.Origin, bool, error) {
	prefix := shardPrefix(origin.ShardOf(id))
	listing, err, _ := g.origins.lookups.Do(prefix, func() (any, error) {
		// The read is not that of one caller only, who may leave.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), originTimeout)
		defer cancel()
		return g.platform.Store.Range(ctx, prefix)
	})
	if err != nil {
		return origin.Origin{}, false, err
	}
	for _, v := range listing.(keyvalue.Listing).Values {
		o, found, err := origin.FindStored(v.Data, id)
		if err != nil {
			g.log.Warn("streams_unreadable", "key", v.Key, "revision", v.Revision, "error", err)
			continue
		}
		if found {
			return o, true, nil
		}
	}
	return origin.Origin{}, false, nil
}
