package balance

import (
	"math"
	"time"
)

// slowness tracks how much longer an endpoint takes for calls than expected of its
// service's endpoints.
type slowness struct {
	// logRatio is the moving average of the logarithm of the time taken to the time
	// expected, over about slownessWindow calls.
	logRatio float64
	updated  time.Time
}

const (
	// slownessWindow is the number of calls over which the ratio is averaged.
	slownessWindow = 6.0
	// maxRatio bounds the influence of one call.
	maxRatio = 8.0
	// minSlowness is the ratio up to which an endpoint counts as fast as the others:
	// an estimate may be off by as much.
	minSlowness = 1.5
	// slownessDecay is the time in which an endpoint that gets no calls regains most
	// of its reputation.
	slownessDecay = 5 * time.Second
)

func (s *slowness) record(now time.Time, took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	ratio := min(maxRatio, max(1/maxRatio, float64(took)/float64(expected)))
	current := s.decayed(now)
	s.logRatio = current + (math.Log(ratio)-current)/slownessWindow
	s.updated = now
}

func (s *slowness) decayed(now time.Time) float64 {
	return s.logRatio * math.Exp(-now.Sub(s.updated).Seconds()/slownessDecay.Seconds())
}

// factor returns by how much the expected times are multiplied for the endpoint.
func (s *slowness) factor(now time.Time) float64 {
	ratio := math.Exp(s.decayed(now))
	if ratio < minSlowness {
		return 1
	}
	return ratio
}
