package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/operator"
)

// Work lists the unfinished requests, oldest first.
func (s *Server) Work() []operator.Work {
	s.requests.mu.Lock()
	defer s.requests.mu.Unlock()
	var running []operator.Work
	for _, tracked := range s.requests.byID {
		if !tracked.endedAt.IsZero() {
			continue
		}
		running = append(running, operator.Work{
			Request:      tracked.call.Request,
			Organisation: tracked.call.Organisation,
			Service:      tracked.call.Service,
			Endpoint:     tracked.endpoint,
			Tokens:       int64(tracked.answer.TokenCount()),
			AgeMillis:    time.Since(tracked.startedAt).Milliseconds(),
		})
	}
	slices.SortFunc(running, func(a, b operator.Work) int { return cmp.Compare(a.Request, b.Request) })
	return running
}
