package gateway

import (
	"context"
	"errors"
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
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// streamsPrefix is the prefix of this system's own keys in the store for each host's
	// streams, by shard.
	streamsPrefix = "dandelionlift/streams/"
	// minOriginInterval is the shortest period of writing streams to the store.
	minOriginInterval = 250 * time.Millisecond
	// originWriteShare is the share of the store's writes that the streams of all hosts
	// together may use.
	originWriteShare = 0.5
	// originTimeout limits one look for a stream in the store. Callers wait for it.
	originTimeout = 500 * time.Millisecond
)

// originState is what a host knows of where streams began.
type originState struct {
	streams  *origin.Streams
	versions *origin.Versions
	// lookups joins the concurrent reads of one shard, and of the record of versions.
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
