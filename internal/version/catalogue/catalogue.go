// Package catalogue holds the routes, services and organisations of a
// deployment whose configuration is stored by its platform.
//
// # Routes
//
// A call matches the route of its host name that has the longest prefix of its
// path. The route names the services that may run the call and defines whether
// it may be retried.
//
// # Versions
//
// A Catalogue is immutable. A higher Version replaces a lower one and never the
// reverse, in whatever order they arrive.
package catalogue

import (
	"slices"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Kind defines whether a route's calls may be retried.
type Kind uint8

// The zero Kind is the safe default.
const (
	// NonIdempotent calls are not idempotent and run at most once.
	NonIdempotent Kind = iota
	// Idempotent calls are idempotent and may run any number of times.
	Idempotent
	// Stream calls are answered by an event stream; they are retried only if
	// their route is Resumable.
	Stream
)

// Target is one service that a route sends calls to.
type Target struct {
	Service identity.Service
	// Weight is the service's share of the route's calls, relative to the other
	// targets.
	Weight int
}

// Route defines how calls under a host name and a path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout limits the time to a response; LatencyTarget is the target for it.
	Timeout       time.Duration
	LatencyTarget time.Duration
	// EventIntervalTarget is the target interval between two events of a stream.
	EventIntervalTarget time.Duration
	// Priority orders routes; zero is the most urgent.
	Priority int
	// Targets is never empty.
	Targets []Target
	// Attempts is the number of endpoints that one call may be sent to, at
	// least 1.
	Attempts int
	// Public routes accept calls without an API key.
	Public bool
	// Resumable streams may be resumed on another endpoint.
	Resumable bool
}

// Retryable reports whether a call that may already have run can be retried.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Leads reports whether the route leads to a service.
func (r *Route) Leads(to identity.Service) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == to })
}

// Engine describes the endpoints of a model service.
type Engine struct {
	// Slots is the number of requests that an endpoint runs concurrently.
	Slots int
	// KVCapacity is the number of tokens that an endpoint's KV cache holds.
	KVCapacity unit.Tokens
}

// Scaling sets the bounds and prices of a service's endpoints in each zone.
type Scaling struct {
	Min, Max int
	// BootTime is the time from the start of an endpoint until it serves.
	BootTime time.Duration
	// ReclaimablePriceRatio is the price of a reclaimable endpoint as a fraction of
	// the on-demand price.
	ReclaimablePriceRatio float64
	ZonePrices            map[identity.Zone]float64
}

// Service holds the settings shared by the endpoints of one service.
type Service struct {
	ID identity.Service
	// MaxConnections limits the connections of all entry hosts together to one
	// endpoint.
	MaxConnections int
	// Engine is nil for a plain service, Scaling for a service of fixed size.
	Engine  *Engine
	Scaling *Scaling
	// LatencyTarget and EventIntervalTarget are the shortest ones of the routes to the
	// service, or zero if none has one. New sets them.
	LatencyTarget, EventIntervalTarget time.Duration
}

// RateLimit is an organisation's rate limit, over all entry hosts together.
type RateLimit struct {
	// PerSecond and Burst count tokens, or calls if CountsCalls is set. A PerSecond
	// of zero means no limit.
	PerSecond, Burst float64
	CountsCalls      bool
	// DefaultTokens is the charge for a call without a token count.
	DefaultTokens unit.Tokens
}

// Organisation is a tenant with its own API keys.
type Organisation struct {
	ID        identity.Organisation
	Keys      []string
	Priority  int
	RateLimit RateLimit
}

// RequestLimits bounds the size and duration of callers' requests.
type RequestLimits struct {
	HeaderBytes   unit.Bytes
	BodyBytes     unit.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalogue is one version of the routes, services, organisations and limits.
type Catalogue struct {
	Version       identity.Version
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        RequestLimits

	byHost    map[string][]*Route
	byKey     map[string]*Organisation
	byService map[identity.Service]*Service
}

// New returns c with its indexes built. The caller must not modify c afterwards.
func New(c Catalogue) *Catalogue {
	c.byHost = make(map[string][]*Route)
	c.byKey = make(map[string]*Organisation)
	c.byService = make(map[identity.Service]*Service)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			c.byKey[key] = &c.Organisations[i]
		}
	}
	for i := range c.Services {
		c.byService[c.Services[i].ID] = &c.Services[i]
	}
	for i := range c.Routes {
		c.applyTargets(&c.Routes[i])
	}
	return &c
}

// applyTargets lowers the targets of the services that a route sends calls to.
func (c *Catalogue) applyTargets(r *Route) {
	for _, target := range r.Targets {
		s := c.byService[target.Service]
		if s == nil {
			continue
		}
		s.LatencyTarget = lesser(s.LatencyTarget, r.LatencyTarget)
		s.EventIntervalTarget = lesser(s.EventIntervalTarget, r.EventIntervalTarget)
	}
}

// lesser returns the lesser of two durations, where zero means that there is none.
func lesser(a, b time.Duration) time.Duration {
	if a <= 0 || b <= 0 {
		return max(a, b)
	}
	return min(a, b)
}

// Route returns the route of a call.
func (c *Catalogue) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Organisation returns the owner of an API key.
func (c *Catalogue) Organisation(key string) (*Organisation, bool) {
	o, ok := c.byKey[key]
	return o, ok
}

// Service returns the service with the given id.
func (c *Catalogue) Service(id identity.Service) (*Service, bool) {
	s, ok := c.byService[id]
	return s, ok
}
