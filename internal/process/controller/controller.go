// Package controller maintains an entry host's view of its deployment: the
// configuration, the endpoints and the other entry hosts.
//
// # Single owner
//
// Only the goroutine in Run modifies the state. All others post events to it and
// read the immutable snapshots that it publishes.
//
// # Events
//
// An event is a small struct that describes an observation. Events may be repeated,
// late or out of order: an older host list, load or configuration never replaces a
// newer one, and an incarnation that is known to be leaving stays so. A load of an
// endpoint that is not listed yet is dropped.
package controller

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	eventQueueSize = 1024
	// minLoadPublishInterval is the minimum time between the last snapshot and one
	// that differs from it in load only.
	minLoadPublishInterval = 250 * time.Millisecond
)

// Event is an observation that may change the state.
type Event interface {
	apply(s *state)
}

// HostListUpdate reports the host list.
type HostListUpdate struct {
	ReceivedAt time.Time
	Hosts      []cloud.Host
}

// LoadUpdate reports an endpoint's load.
type LoadUpdate struct {
	ReceivedAt time.Time
	Host       identity.Host
	Report     engine.LoadReport
}

// ConfigurationUpdate reports a configuration from any source.
type ConfigurationUpdate struct {
	Configuration configuration.Configuration
}

// Controller owns the state. Create one with New and call Run.
type Controller struct {
	events        chan Event
	snapshot      atomic.Pointer[fleet.Snapshot]
	entryHostList atomic.Pointer[[]cloud.Host]
	state         state
}

// state is modified by Run only.
type state struct {
	host          identity.Host
	zone          identity.Zone
	configuration configuration.Configuration
	endpoints     map[identity.Host]fleet.Endpoint
	entryHosts    map[identity.Host]cloud.Host
	// sortedEndpointHosts holds the sorted keys of endpoints; it is nil if they have changed.
	sortedEndpointHosts []identity.Host
	// hostListTime is the time of the newest host list that was applied.
	hostListTime time.Time
	leaving      leavingSet
}

// New returns a Controller for an entry host in a zone.
func New(host identity.Host, zone identity.Zone) *Controller {
	c := &Controller{
		events: make(chan Event, eventQueueSize),
		state: state{
			host:       host,
			zone:       zone,
			endpoints:  make(map[identity.Host]fleet.Endpoint),
			entryHosts: make(map[identity.Host]cloud.Host),
			leaving:    newLeavingSet(),
		},
	}
	c.publish()
	return c
}

// Snapshot returns the latest published snapshot.
func (c *Controller) Snapshot() *fleet.Snapshot {
	return c.snapshot.Load()
}

// EntryHosts returns the entry hosts in the host list, sorted by id.
func (c *Controller) EntryHosts() []cloud.Host {
	return *c.entryHostList.Load()
}

// Post sends an event to Run, unless ctx ends first.
func (c *Controller) Post(ctx context.Context, e Event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// Run applies events until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var lastPublished time.Time
	publishTimer := time.NewTimer(minLoadPublishInterval)
	defer publishTimer.Stop()
	for {
		select {
		case e := <-c.events:
			urgent := c.applyQueued(e)
			if wait := minLoadPublishInterval - time.Since(lastPublished); !urgent && wait > 0 {
				publishTimer.Reset(wait)
				continue
			}
		case <-publishTimer.C:
		case <-ctx.Done():
			return nil
		}
		c.publish()
		lastPublished = time.Now()
		publishTimer.Stop()
	}
}

// applyQueued applies an event and all queued ones, so that a burst causes only one
// snapshot. It reports whether any of them was more than a load report; a load
// report of a leaving endpoint counts as more.
func (c *Controller) applyQueued(e Event) (urgent bool) {
	for {
		e.apply(&c.state)
		load, ok := e.(LoadUpdate)
		urgent = urgent || !ok || load.Report.Leaving
		select {
		case e = <-c.events:
		default:
			return urgent
		}
	}
}

func (c *Controller) publish() {
	s := &c.state
	endpoints := make([]fleet.Endpoint, 0, len(s.endpoints))
	if len(s.sortedEndpointHosts) != len(s.endpoints) {
		s.sortedEndpointHosts = slices.Sorted(maps.Keys(s.endpoints))
	}
	for _, id := range s.sortedEndpointHosts {
		endpoints = append(endpoints, s.endpoints[id])
	}
	entryHostList := make([]cloud.Host, 0, len(s.entryHosts))
	for _, id := range slices.Sorted(maps.Keys(s.entryHosts)) {
		entryHostList = append(entryHostList, s.entryHosts[id])
	}
	c.entryHostList.Store(&entryHostList)
	c.snapshot.Store(fleet.New(s.host, s.zone, s.configuration, endpoints))
}

func (e HostListUpdate) apply(s *state) {
	if e.ReceivedAt.Before(s.hostListTime) {
		return
	}
	s.hostListTime = e.ReceivedAt
	listed := make(map[identity.Host]bool, len(e.Hosts))
	for _, h := range e.Hosts {
		listed[h.ID] = true
		if h.Service == "" {
			s.entryHosts[h.ID] = h
			continue
		}
		s.updateEndpoint(e.ReceivedAt, h)
	}
	before := len(s.endpoints)
	maps.DeleteFunc(s.endpoints, func(id identity.Host, _ fleet.Endpoint) bool { return !listed[id] })
	if len(s.endpoints) != before {
		s.sortedEndpointHosts = nil
	}
	maps.DeleteFunc(s.entryHosts, func(id identity.Host, _ cloud.Host) bool { return !listed[id] })
	s.leaving.expire(e.ReceivedAt, s.endpoints)
}

// updateEndpoint applies one endpoint of the host list.
func (s *state) updateEndpoint(at time.Time, h cloud.Host) {
	endpoint, ok := s.endpoints[h.ID]
	if !ok {
		s.sortedEndpointHosts = nil
	}
	if !ok || endpoint.Incarnation != h.Incarnation {
		endpoint = fleet.Endpoint{Host: h.ID, Incarnation: h.Incarnation, FirstSeen: at}
	}
	endpoint.Address = h.Address
	endpoint.Service = h.Service
	endpoint.Zone = h.Zone
	endpoint.Class = h.Class
	endpoint.Reclaimable = h.Reclaimable
	endpoint.ChecksFence = h.ChecksFence
	if h.State == cloud.Leaving {
		s.leaving.add(h.Incarnation, time.Time{})
	}
	s.leaving.resolvePending(at, h.ID, h.Incarnation)
	s.endpoints[h.ID] = s.leaving.annotate(endpoint)
}

func (e LoadUpdate) apply(s *state) {
	if e.Report.Leaving {
		LeavingUpdate{Host: e.Host, Incarnation: e.Report.Incarnation}.apply(s)
	}
	endpoint, ok := s.endpoints[e.Host]
	if !ok || endpoint.Incarnation != e.Report.Incarnation || e.ReceivedAt.Before(endpoint.Load.ReceivedAt) {
		return
	}
	endpoint.Load = fleet.Load{
		ReceivedAt:    e.ReceivedAt,
		Running:       e.Report.Running,
		Waiting:       e.Report.Waiting,
		WaitingTokens: e.Report.WaitingTokens,
		CachedTokens:  e.Report.CachedTokens,
		CacheCapacity: e.Report.CacheCapacity,
		ModelVersion:  e.Report.ModelVersion,
		Adapter:       e.Report.Adapter,
		Role:          e.Report.Role,
	}
	s.endpoints[e.Host] = endpoint
}

func (e ConfigurationUpdate) apply(s *state) {
	if e.Configuration.Version > s.configuration.Version {
		s.configuration = e.Configuration
		s.applyStops(e.Configuration.Stops)
	}
}
