package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/admission"
	"github.com/dandelionlift/dandelionlift/internal/process/dispatch"
	"github.com/dandelionlift/dandelionlift/internal/process/explain"
	"github.com/dandelionlift/dandelionlift/internal/process/operator"
	"github.com/dandelionlift/dandelionlift/internal/process/prefix"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/route"
)

// routingState holds the inputs of routing decisions besides the snapshot.
type routingState struct {
	dispatches *dispatch.Tracker
	index      *prefix.Index
	// table is the newest routing table.
	table      atomic.Pointer[route.Table]
	local      route.LocalState
	randomPool sync.Pool
	// hostCount returns the number of live entry hosts, including this one.
	hostCount        func() int
	admissionControl *admission.Controller
	decisions        *explain.DecisionLog
	organisations    atomic.Pointer[organisationIndex]
}

func newRoutingState(s *Server) *routingState {
	r := &routingState{dispatches: dispatch.New(), index: prefix.New(), hostCount: func() int { return 1 }, decisions: explain.New()}
	r.admissionControl = admission.New(s.admissionService, s.admissionOrganisation)
	r.local = route.LocalState{Dispatches: r.dispatches.Dispatches, Cached: r.index.Cached, Holder: r.index.Holder, Hosts: 1}
	r.randomPool.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return r
}

// A table of at least largeTableEndpoints is reused for tableMaxAge even if there
// is a newer snapshot, since building it costs half a microsecond per endpoint.
const (
	tableMaxAge         = 100 * time.Millisecond
	largeTableEndpoints = 200
)

// tableFor returns the routing table of a snapshot. A table that is still valid
// is reused.
func (r *routingState) tableFor(snapshot *fleet.Snapshot) *route.Table {
	previous, now := r.table.Load(), time.Now()
	if previous != nil && (previous.Snapshot() == snapshot || len(snapshot.Endpoints) >= largeTableEndpoints && now.Sub(previous.BuiltAt()) < tableMaxAge) {
		return previous
	}
	t := route.New(snapshot, previous, now, func(i identity.Incarnation) bool { return r.dispatches.Ejected(i, now) })
	r.table.Store(t)
	return t
}

// admitFunc decides whether a call may start. The caller must call release once,
// when the call has ended.
type admitFunc func(context.Context, call.Call) (release func(), failure *verdict.Error)

// admit waits until the call may start, or refuses it with NotRun. The caller
// must call release once, when the call has ended.
func (s *Server) admit(ctx context.Context, c call.Call) (release func(), failure *verdict.Error) {
	releaseSlot, failure := s.routing.admissionControl.Admit(ctx, admissionCall(c))
	if failure != nil {
		s.routing.decisions.RecordRefusal(c.Request, failure.Error(), time.Now())
		return nil, failure
	}
	return s.releaseFunc(c, releaseSlot), nil
}

// admitHandedOver lets a call that another host has accepted start without
// waiting.
func (s *Server) admitHandedOver(_ context.Context, c call.Call) (release func(), failure *verdict.Error) {
	return s.releaseFunc(c, s.routing.admissionControl.AdmitAccepted(admissionCall(c))), nil
}

func admissionCall(c call.Call) admission.Call {
	return admission.Call{
		Service: c.Service, Organisation: c.Organisation, Tokens: c.PromptTokens + c.MaxTokens,
		Batch: isBatch(c), Deadline: c.Deadline,
	}
}

// releaseFunc returns the function that ends a call's last dispatch, which it counts
// as successful whatever its result, and releases its admission slot.
func (s *Server) releaseFunc(c call.Call, releaseSlot func()) func() {
	return func() {
		s.routing.dispatches.End(c.Request, true, time.Now())
		releaseSlot()
	}
}

// admissionService returns the current state of a service for admission.
func (s *Server) admissionService(id identity.Service) admission.Service {
	snapshot := s.Snapshot()
	known, _ := snapshot.Configuration.Service(id)
	table := s.routing.tableFor(snapshot)
	slots, running, waiting := table.Capacity(id)
	return admission.Service{
		Slots: slots, Running: running, Waiting: waiting, FirstTokenTarget: time.Duration(known.FirstTokenTarget),
		HasUnreachableZone: table.HasUnreachableZone(id),
	}
}

// admissionOrganisation returns the current weight and limit of an organisation
// for admission.
func (s *Server) admissionOrganisation(id identity.Organisation) admission.Organisation {
	o := s.routing.organisation(s.Snapshot().Configuration, id)
	return admission.Organisation{Weight: o.Weight, TokensPerSecond: o.TokensPerSecond}
}

// organisationIndex holds the organisations of one configuration version by id.
type organisationIndex struct {
	version identity.Version
	byID    map[identity.Organisation]configuration.Organisation
}

// organisation looks up an organisation in an index that is built once for each
// configuration version.
func (r *routingState) organisation(c configuration.Configuration, id identity.Organisation) configuration.Organisation {
	p := r.organisations.Load()
	if p == nil || p.version != c.Version {
		p = &organisationIndex{version: c.Version, byID: make(map[identity.Organisation]configuration.Organisation, len(c.Organisations))}
		for _, o := range c.Organisations {
			p.byID[o.ID] = o
		}
		r.organisations.Store(p)
	}
	return p.byID[id]
}

// isBatch reports whether c is a model call of batch priority. Plain calls have no
// priority.
func isBatch(c call.Call) bool { return c.Prompt != "" && c.Priority == engine.Batch }

// Explain returns the routing decisions of a recent call of this host, or why it
// was refused.
func (s *Server) Explain(_ context.Context, id identity.Request) (operator.Table, error) {
	r, ok := s.routing.decisions.Lookup(id)
	if !ok {
		return operator.Table{}, fmt.Errorf("request %s is not among the newest calls of entry host %s", id, s.settings.Host)
	}
	return operator.Table{Columns: explain.Columns, Rows: r.Rows()}, nil
}

// choose picks the endpoint of a call's next attempt. Those in tried have already
// failed the call, and those that want no calls are left out. It reports false if no
// endpoint can take the call.
func (s *Server) choose(c call.Call, tried []identity.Incarnation) (fleet.Endpoint, bool) {
	now := time.Now()
	s.retainAdvice(now)
	if closed := s.advice.Closed(now); len(closed) > 0 {
		tried = slices.Concat(tried, closed)
	}
	routeCall := route.Call{
		Service: c.Service, Blocks: c.PrefixBlocks, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
		Batch: isBatch(c), Tried: tried,
	}
	r := s.routing
	table := r.tableFor(s.Snapshot())
	random := r.randomPool.Get().(*rand.Rand)
	defer r.randomPool.Put(random)
	var d route.Decision
	local := r.local
	local.Hosts = r.hostCount()
	if !table.Choose(&routeCall, &local, now, random, &d) {
		r.decisions.RecordDecision(c.Request, table.Snapshot(), &d, now)
		return fleet.Endpoint{}, false
	}
	r.decisions.RecordDecision(c.Request, table.Snapshot(), &d, now)
	e := table.ChosenEndpoint(&d)
	s.requests.setEndpoint(c.Request, e.Host)
	s.advice.Take(e.Incarnation)
	r.dispatches.Begin(c.Request, e.Incarnation, d.Candidates[d.Winner].Score.Uncached, now)
	return e, true
}
