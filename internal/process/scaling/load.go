package scaling

import (
	"math"
	"time"
)

// Load describes the calls to a service.
type Load struct {
	// Busy is the number of endpoints that the calls keep busy (endpoint seconds per
	// second).
	Busy float64
	// Residual is the mean time for which an endpoint is still occupied by a call when
	// another one arrives, given that it is occupied.
	Residual time.Duration
	// Slack is how long a call may wait for an endpoint and still meet its latency
	// target.
	Slack time.Duration
	// Missing is how many endpoints' worth of work the present endpoints refuse, because
	// they have named limits.
	Missing float64
}

// Late returns the share of calls that miss their latency target with a number of
// endpoints, those that are refused included. Calls that would make too many others late
// are refused, so that each further endpoint lowers the share in overload as well.
func (l Load) Late(endpoints float64) float64 {
	if l.Busy <= 0 {
		return 0
	}
	if endpoints -= l.Missing; endpoints <= 0 {
		return 1
	}
	best := 1.0
	for admitted := admittedStep; admitted <= 1; admitted += admittedStep {
		if utilisation := admitted * l.Busy / endpoints; utilisation < 1 {
			best = min(best, 1-admitted*(1-l.lateOfAdmitted(utilisation)))
		}
	}
	return best
}

// admittedStep is the resolution of the share of calls that is not refused: a power of
// two, so that the steps add up to exactly 1.
const admittedStep = 1.0 / 32

// lateOfAdmitted is the heavy-traffic approximation for a single queue of each endpoint,
// where the probability of a wait decays exponentially with its length.
func (l Load) lateOfAdmitted(utilisation float64) float64 {
	return utilisation * math.Exp(-(1-utilisation)*float64(l.Slack)/float64(max(1, l.Residual)))
}
