package entry

import (
	"context"

	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/route"
)

// admit waits until the call may start, or refuses it as NotRun. The caller
// calls release once, when the call has ended.
func (s *Server) admit(ctx context.Context, _ call.Call) (release func(), failure *verdict.Error) {
	if ctx.Err() != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CallerGone, "")
	}
	return func() {}, nil
}

// choose picks the endpoint of the call's next attempt. Those in tried have
// already failed it. It reports false when no endpoint can take the call.
func (s *Server) choose(c call.Call, tried []identity.Incarnation) (fleet.Endpoint, bool) {
	return s.Choose(s.Snapshot(), route.Ask{Service: c.Service, Tried: tried})
}
