package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// router holds what routing decisions are made on beside the snapshot.
type router struct {
	book  *dispatch.Book
	index *prefix.Index
	// table was made from the newest snapshot that a decision has seen.
	table   atomic.Pointer[route.Table]
	know    route.Knowledge
	randoms sync.Pool
	// hosts counts the entry hosts that dispatch, this one included.
	hosts   func() int
	gate    *admission.Gate
	memory  *explain.Memory
	parties atomic.Pointer[parties]
}

func newCallRouter(s *Server) *router {
	r := &router{book: dispatch.New(), index: prefix.New(), hosts: func() int { return 1 }, memory: explain.New()}
	r.gate = admission.New(s.service, s.organisation)
	r.know = route.Knowledge{Own: r.book.Own, Cached: r.index.Cached, Holder: r.index.Holder, Hosts: 1}
	r.randoms.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return r
}

// A table of many endpoints is used for tableKept though there is a newer
// snapshot, since its making costs half a microsecond an endpoint.
const (
	tableKept     = 100 * time.Millisecond
	manyEndpoints = 200
)

// prepared gives the table of a snapshot, made once for each.
func (r *router) prepared(s *fleet.Snapshot) *route.Table {
	before, now := r.table.Load(), time.Now()
	if before != nil && (before.Snapshot() == s || len(s.Endpoints) >= manyEndpoints && now.Sub(before.At()) < tableKept) {
		return before
	}
	t := route.New(s, before, now, func(i identity.Incarnation) bool { return r.book.Failing(i, now) })
	r.table.Store(t)
	return t
}

// admitting lets a call start. The caller calls release once, when the call has
// ended.
type admitting func(context.Context, call.Call) (release func(), failure *verdict.Error)

// admit waits until the call may start, or refuses it as NotRun. The caller
// calls release once, when the call has ended.
func (s *Server) admit(ctx context.Context, c call.Call) (release func(), failure *verdict.Error) {
	leave, failure := s.router.gate.Admit(ctx, askOf(c))
	if failure != nil {
		s.router.memory.Refused(c.Request, failure.Error(), time.Now())
		return nil, failure
	}
	return s.ending(c, leave), nil
}

// admitTaken lets a call that another host had accepted go on at once.
func (s *Server) admitTaken(_ context.Context, c call.Call) (release func(), failure *verdict.Error) {
	return s.ending(c, s.router.gate.Enter(askOf(c))), nil
}

func askOf(c call.Call) admission.Ask {
	return admission.Ask{
		Service: c.Service, Organisation: c.Organisation, Tokens: c.PromptTokens + c.MaxTokens,
		Batch: isBatch(c), Deadline: c.Deadline,
	}
}

// ending closes a call's last dispatch and leaves the gate.
func (s *Server) ending(c call.Call, leave func()) func() {
	return func() {
		s.router.book.End(c.Request, true, time.Now())
		leave()
	}
}

// service tells admission of a service as it is now.
func (s *Server) service(id identity.Service) admission.Service {
	snapshot := s.Snapshot()
	known, _ := snapshot.Configuration.Service(id)
	table := s.router.prepared(snapshot)
	slots, running, waiting := table.Capacity(id)
	return admission.Service{
		Slots: slots, Running: running, Waiting: waiting, FirstToken: time.Duration(known.FirstToken),
		CutOff: table.CutOff(id),
	}
}

// organisation tells admission of an organisation as it is now.
func (s *Server) organisation(id identity.Organisation) admission.Organisation {
	o := s.router.party(s.Snapshot().Configuration, id)
	return admission.Organisation{Weight: o.Weight, TokensPerSecond: o.TokensPerSecond}
}

// parties are the organisations of one version, by id.
type parties struct {
	version identity.Version
	byID    map[identity.Organisation]configuration.Organisation
}

// party finds an organisation in a map that is made once a version.
func (r *router) party(c configuration.Configuration, id identity.Organisation) configuration.Organisation {
	p := r.parties.Load()
	if p == nil || p.version != c.Version {
		p = &parties{version: c.Version, byID: make(map[identity.Organisation]configuration.Organisation, len(c.Organisations))}
		for _, o := range c.Organisations {
			p.byID[o.ID] = o
		}
		r.parties.Store(p)
	}
	return p.byID[id]
}

// isBatch tells a model call that may wait; a plain call has no priority.
func isBatch(c call.Call) bool { return c.Prompt != "" && c.Priority == engine.Batch }

// Explain tells where a call of this host went and why, or why it was refused.
func (s *Server) Explain(_ context.Context, id identity.Request) (operator.Table, error) {
	r, ok := s.router.memory.Explain(id)
	if !ok {
		return operator.Table{}, fmt.Errorf("request %s is not among the newest calls of entry host %s", id, s.settings.Host)
	}
	return operator.Table{Columns: explain.Columns, Rows: r.Rows()}, nil
}

// choose picks the endpoint of the call's next attempt. Those in tried have
// already failed it. It reports false when no endpoint can take the call.
func (s *Server) choose(c call.Call, tried []identity.Incarnation) (fleet.Endpoint, bool) {
	ask := route.Ask{
		Service: c.Service, Blocks: c.Blocks, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
		Batch: isBatch(c), Tried: tried,
	}
	r := s.router
	table := r.prepared(s.Snapshot())
	random := r.randoms.Get().(*rand.Rand)
	defer r.randoms.Put(random)
	var d route.Decision
	now := time.Now()
	know := r.know
	know.Hosts = r.hosts()
	if !table.Choose(&ask, &know, now, random, &d) {
		r.memory.Chose(c.Request, table.Snapshot(), &d, now)
		return fleet.Endpoint{}, false
	}
	r.memory.Chose(c.Request, table.Snapshot(), &d, now)
	e := table.Find(&d)
	s.requests.place(c.Request, e.Host)
	r.book.Begin(c.Request, e.Incarnation, d.Candidates[d.Winner].Terms.Uncached, now)
	return e, true
}
