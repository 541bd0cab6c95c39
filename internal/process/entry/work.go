package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/operator"
)

// Work lists the requests being assembled, oldest first.
func (s *Server) Work() []operator.Work {
	s.requests.mu.Lock()
	defer s.requests.mu.Unlock()
	var list []operator.Work
	for _, w := range s.requests.works {
		if !w.ended.IsZero() {
			continue
		}
		list = append(list, operator.Work{
			Request:      w.call.Request,
			Organisation: w.call.Organisation,
			Service:      w.call.Service,
			Endpoint:     w.endpoint,
			Tokens:       int64(w.answer.Offset()),
			AgeMillis:    time.Since(w.started).Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b operator.Work) int { return cmp.Compare(a.Request, b.Request) })
	return list
}
