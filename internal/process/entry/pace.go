package entry

import "time"

const (
	// pacePerStream is what each open stream adds to the pace of all.
	pacePerStream = 100 * time.Microsecond
	// leastPace is the pace from which on a pause saves more than it costs.
	leastPace = 10 * time.Millisecond
)

// pace gives the least time between two reads of one stream. An idle host
// passes each token on at once; a busy one lets a few gather, up to the
// settings' limit, and so spends less on each.
func (s *Server) pace() time.Duration {
	pace := min(time.Duration(s.settings.Limits.Gather), time.Duration(s.requests.count())*pacePerStream)
	if pace < leastPace {
		return 0
	}
	return pace
}
