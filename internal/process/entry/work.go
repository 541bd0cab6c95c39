package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/operator"
)

// UnfinishedRequests lists the unfinished requests, oldest first.
func (s *Server) UnfinishedRequests() []operator.UnfinishedRequest {
	s.requests.mu.Lock()
	defer s.requests.mu.Unlock()
	var running []operator.UnfinishedRequest
	for _, tracked := range s.requests.byID {
		if !tracked.endedAt.IsZero() {
			continue
		}
		running = append(running, operator.UnfinishedRequest{
			Request:      tracked.call.Request,
			Organisation: tracked.call.Organisation,
			Service:      tracked.call.Service,
			Endpoint:     tracked.endpoint,
			Tokens:       int64(tracked.answer.TokenCount()),
			AgeMillis:    time.Since(tracked.startedAt).Milliseconds(),
		})
	}
	slices.SortFunc(running, func(a, b operator.UnfinishedRequest) int { return cmp.Compare(a.Request, b.Request) })
	return running
}
