// Package catalogue holds the routes, services and organisations of a
// deployment whose configuration is kept by its platform.
//
// # Routes
//
// A call's route is the one of its host name with the longest prefix that
// begins its path. The route names the services that may run the call and says
// what may be repeated.
//
// # Versions
//
// A Catalogue is immutable. A higher Version replaces a lower one, never the
// other way round, whatever the order in which they arrive.
package catalogue

import (
	"slices"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Kind says what may be repeated.
type Kind uint8

// The zero Kind is the cautious one.
const (
	// NotRepeatable calls run at most once.
	NotRepeatable Kind = iota
	// Repeatable calls may run any number of times.
	Repeatable
	// Stream calls are answered by events, and are not repeatable unless their
	// route can resume.
	Stream
)

// Target is one service that a route sends to.
type Target struct {
	Service identity.Service
	// Weight is the service's part of the route's calls, relative to others.
	Weight int
}

// Route says what becomes of the calls under a host name and a path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time to an answer, Latency the objective.
	Timeout time.Duration
	Latency time.Duration
	// LongestPause is the objective between two events of a stream.
	LongestPause time.Duration
	// Priority orders routes; zero is the most urgent.
	Priority int
	// Targets is never empty.
	Targets []Target
	// Attempts is on how many endpoints one call may run, at least 1.
	Attempts int
	// Public routes take calls without an API key.
	Public bool
	// Resumable streams may be continued on another endpoint.
	Resumable bool
}

// MayRepeat tells whether a call that may have run can be sent again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Engine describes the endpoints of a model service.
type Engine struct {
	// Slots is how many requests an endpoint runs at once.
	Slots int
	// Memory is the tokens that an endpoint holds.
	Memory unit.Tokens
}

// Scaling bounds and prices a service's endpoints in each zone.
type Scaling struct {
	Min, Max int
	// Boot is how long a new endpoint takes until it serves.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a part of that
	// of another.
	ReclaimablePrice float64
	ZonePrices       map[identity.Zone]float64
}

// Service is what the endpoints of one service have in common.
type Service struct {
	ID identity.Service
	// MaxConnections is what one endpoint takes from all entry hosts together.
	MaxConnections int
	// Engine is nil for a plain service, Scaling for one of fixed size.
	Engine  *Engine
	Scaling *Scaling
}

// Limit bounds an organisation over all entry hosts together.
type Limit struct {
	// PerSecond and Burst are tokens, or calls if Calls is set; a PerSecond of
	// zero means no limit.
	PerSecond, Burst float64
	Calls            bool
	// PlainTokens is what a call without a token count is charged.
	PlainTokens unit.Tokens
}

// Organisation is a party with API keys of its own.
type Organisation struct {
	ID       identity.Organisation
	Keys     []string
	Priority int
	Limit    Limit
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   unit.Bytes
	BodyBytes     unit.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Catalogue is one version of all of it.
type Catalogue struct {
	Version       identity.Version
	Routes        []Route
	Services      []Service
	Organisations []Organisation
	Limits        Limits

	byHost    map[string][]*Route
	byKey     map[string]*Organisation
	byService map[identity.Service]*Service
}

// New indexes c, which must not be changed any more.
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
	return &c
}

// Route finds the route of a call.
func (c *Catalogue) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Organisation finds the holder of an API key.
func (c *Catalogue) Organisation(key string) (*Organisation, bool) {
	o, ok := c.byKey[key]
	return o, ok
}

// Service finds a service.
func (c *Catalogue) Service(id identity.Service) (*Service, bool) {
	s, ok := c.byService[id]
	return s, ok
}
