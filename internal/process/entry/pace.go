package entry

import "time"

// pacePerStream is what each open stream adds to the pace of all.
const pacePerStream = 100 * time.Microsecond

// pace gives the least time between two reads of one stream. An idle host
// passes each token on at once; a busy one lets a few gather, up to the
// settings' limit, and so spends less on each.
func (s *Server) pace() time.Duration {
	return min(time.Duration(s.settings.Limits.Gather), time.Duration(s.requests.count())*pacePerStream)
}
