// Package controller owns what an entry host knows of its deployment.
//
// # One owner
//
// Run is the only goroutine that touches the state. Everything else posts
// events to it and reads the snapshots that it publishes.
//
// # Events
//
// An event is a small struct that says what was seen. Applying one twice, or
// two in the other order, gives the same state.
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
	queuedEvents = 1024
	// loadsApart is the least time between snapshots that only load differs in.
	loadsApart = 250 * time.Millisecond
)

// Event is something seen that may change the state.
type Event interface {
	apply(s *state)
}

// HostsSeen carries the host list.
type HostsSeen struct {
	At    time.Time
	Hosts []cloud.Host
}

// LoadSeen carries an endpoint's report of its load.
type LoadSeen struct {
	At     time.Time
	Host   identity.Host
	Report engine.LoadReport
}

// ConfigurationSeen carries a configuration from any source.
type ConfigurationSeen struct {
	Configuration configuration.Configuration
}

// Controller owns the state. Make one with New and call Run.
type Controller struct {
	events   chan Event
	snapshot atomic.Pointer[fleet.Snapshot]
	hosts    atomic.Pointer[[]cloud.Host]
	state    state
}

// state is touched by Run alone.
type state struct {
	host          identity.Host
	zone          identity.Zone
	configuration configuration.Configuration
	endpoints     map[identity.Host]fleet.Endpoint
	entryHosts    map[identity.Host]cloud.Host
	// order is the sorted keys of endpoints, and nil after these changed.
	order []identity.Host
	// listedAt is when the newest host list that was applied was seen.
	listedAt time.Time
	leaving  leaving
}

// New makes a Controller for an entry host in a zone.
func New(host identity.Host, zone identity.Zone) *Controller {
	c := &Controller{
		events: make(chan Event, queuedEvents),
		state: state{
			host:       host,
			zone:       zone,
			endpoints:  make(map[identity.Host]fleet.Endpoint),
			entryHosts: make(map[identity.Host]cloud.Host),
			leaving:    newLeaving(),
		},
	}
	c.publish()
	return c
}

// Snapshot gives the newest published state.
func (c *Controller) Snapshot() *fleet.Snapshot {
	return c.snapshot.Load()
}

// EntryHosts gives the entry hosts of the host list, sorted by id.
func (c *Controller) EntryHosts() []cloud.Host {
	return *c.hosts.Load()
}

// Post hands an event to Run; it gives up when ctx ends.
func (c *Controller) Post(ctx context.Context, e Event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// Run applies events until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var published time.Time
	late := time.NewTimer(loadsApart)
	defer late.Stop()
	for {
		select {
		case e := <-c.events:
			urgent := c.drain(e)
			if wait := loadsApart - time.Since(published); !urgent && wait > 0 {
				late.Reset(wait)
				continue
			}
		case <-late.C:
		case <-ctx.Done():
			return nil
		}
		c.publish()
		published = time.Now()
		late.Stop()
	}
}

// drain applies an event and what is queued, so that a burst costs one snapshot.
// It tells whether any of them was more than a report of load.
func (c *Controller) drain(e Event) (urgent bool) {
	for {
		e.apply(&c.state)
		load, ok := e.(LoadSeen)
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
	if len(s.order) != len(s.endpoints) {
		s.order = slices.Sorted(maps.Keys(s.endpoints))
	}
	for _, id := range s.order {
		endpoints = append(endpoints, s.endpoints[id])
	}
	hosts := make([]cloud.Host, 0, len(s.entryHosts))
	for _, id := range slices.Sorted(maps.Keys(s.entryHosts)) {
		hosts = append(hosts, s.entryHosts[id])
	}
	c.hosts.Store(&hosts)
	c.snapshot.Store(fleet.New(s.host, s.zone, s.configuration, endpoints))
}

func (e HostsSeen) apply(s *state) {
	if e.At.Before(s.listedAt) {
		return
	}
	s.listedAt = e.At
	listed := make(map[identity.Host]bool, len(e.Hosts))
	for _, h := range e.Hosts {
		listed[h.ID] = true
		if h.Service == "" {
			s.entryHosts[h.ID] = h
			continue
		}
		s.see(e.At, h)
	}
	before := len(s.endpoints)
	maps.DeleteFunc(s.endpoints, func(id identity.Host, _ fleet.Endpoint) bool { return !listed[id] })
	if len(s.endpoints) != before {
		s.order = nil
	}
	maps.DeleteFunc(s.entryHosts, func(id identity.Host, _ cloud.Host) bool { return !listed[id] })
	s.leaving.age(e.At, s.endpoints)
}

// see takes one endpoint of the host list into the state.
func (s *state) see(at time.Time, h cloud.Host) {
	known, ok := s.endpoints[h.ID]
	if !ok {
		s.order = nil
	}
	if !ok || known.Incarnation != h.Incarnation {
		known = fleet.Endpoint{Host: h.ID, Incarnation: h.Incarnation, Since: at}
	}
	known.Address = h.Address
	known.Service = h.Service
	known.Zone = h.Zone
	known.Class = h.Class
	known.Reclaimable = h.Reclaimable
	known.ChecksFence = h.ChecksFence
	if h.State == cloud.Leaving {
		s.leaving.add(h.Incarnation, time.Time{})
	}
	s.leaving.listed(at, h.ID, h.Incarnation)
	s.endpoints[h.ID] = s.leaving.mark(known)
}

func (e LoadSeen) apply(s *state) {
	if e.Report.Leaving {
		LeavingSeen{Host: e.Host, Incarnation: e.Report.Incarnation}.apply(s)
	}
	known, ok := s.endpoints[e.Host]
	if !ok || known.Incarnation != e.Report.Incarnation || e.At.Before(known.Load.At) {
		return
	}
	known.Load = fleet.Load{
		At:            e.At,
		Running:       e.Report.Running,
		Waiting:       e.Report.Waiting,
		WaitingTokens: e.Report.WaitingTokens,
		CachedTokens:  e.Report.CachedTokens,
		CacheCapacity: e.Report.CacheCapacity,
		ModelVersion:  e.Report.ModelVersion,
		Adapter:       e.Report.Adapter,
		Role:          e.Report.Role,
	}
	s.endpoints[e.Host] = known
}

func (e ConfigurationSeen) apply(s *state) {
	if e.Configuration.Version > s.configuration.Version {
		s.configuration = e.Configuration
		s.stop(e.Configuration.Stops)
	}
}
