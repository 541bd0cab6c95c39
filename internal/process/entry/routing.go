package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/dispatch"
	"github.com/dandelionlift/dandelionlift/internal/process/prefix"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
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
	hosts func() int
}

func newCallRouter() *router {
	r := &router{book: dispatch.New(), index: prefix.New(), hosts: func() int { return 1 }}
	r.know = route.Knowledge{Own: r.book.Own, Cached: r.index.Cached, Holder: r.index.Holder, Hosts: 1}
	r.randoms.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return r
}

// prepared gives the table of a snapshot, made once for each.
func (r *router) prepared(s *fleet.Snapshot) *route.Table {
	before := r.table.Load()
	if before != nil && before.Snapshot() == s {
		return before
	}
	now := time.Now()
	t := route.New(s, before, now, func(i identity.Incarnation) bool { return r.book.Failing(i, now) })
	r.table.Store(t)
	return t
}

// admit waits until the call may start, or refuses it as NotRun. The caller
// calls release once, when the call has ended.
func (s *Server) admit(ctx context.Context, c call.Call) (release func(), failure *verdict.Error) {
	if ctx.Err() != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CallerGone, "")
	}
	return func() { s.router.book.End(c.Request, true, time.Now()) }, nil
}

// choose picks the endpoint of the call's next attempt. Those in tried have
// already failed it. It reports false when no endpoint can take the call.
func (s *Server) choose(c call.Call, tried []identity.Incarnation) (fleet.Endpoint, bool) {
	ask := route.Ask{
		Service: c.Service, Blocks: c.Blocks, PromptTokens: c.PromptTokens, MaxTokens: c.MaxTokens,
		Batch: c.Priority == engine.Batch, Tried: tried,
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
		return fleet.Endpoint{}, false
	}
	e := table.Find(&d)
	s.requests.place(c.Request, e.Host)
	r.book.Begin(c.Request, e.Incarnation, d.Candidates[d.Winner].Terms.Uncached, now)
	return e, true
}
