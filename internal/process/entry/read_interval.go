package entry

import "time"

const (
	// readIntervalPerStream is what each open request adds to the read interval.
	readIntervalPerStream = 100 * time.Microsecond
	// minReadInterval is the shortest interval worth waiting: below it a wait
	// costs more than it saves.
	minReadInterval = 10 * time.Millisecond
)

// readInterval returns the least time between two reads of one stream. An idle
// host passes each token on at once. A busy one reads several tokens together,
// within the limit from the settings, to spend less time on each.
func (s *Server) readInterval() time.Duration {
	interval := min(time.Duration(s.settings.Limits.MaxCoalesceDelay), time.Duration(s.requests.countRunning())*readIntervalPerStream)
	if interval < minReadInterval {
		return 0
	}
	return interval
}
