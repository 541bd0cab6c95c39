package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/retry"
)

// Retry storm: all calls fail and each asks to be sent again. Over all hosts the
// retries of any window stay within the ratio and the slack.
func TestRetriesOfAnyWindowStayWithinTheBound(t *testing.T) {
	c := qt.New(t)
	limits := retry.Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	const hosts, perSecond, each = 8, 10, 100 * time.Millisecond
	budgets := make([]*retry.Budget, hosts)
	for i := range budgets {
		budgets[i] = retry.New(limits, func() int { return hosts })
	}
	var taken []time.Time
	start := time.Unix(0, 0)
	for now := start; now.Sub(start) < time.Minute; now = now.Add(each) {
		for _, b := range budgets {
			b.Called(now, "s")
			for b.Take(now, "s") {
				taken = append(taken, now)
			}
		}
	}
	most, first := 0, 0
	for i, at := range taken {
		for at.Sub(taken[first]) >= limits.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	bound := limits.Ratio*hosts*perSecond*limits.Window.Seconds() + limits.Slack
	c.Assert(float64(most) <= bound, qt.IsTrue, qt.Commentf("%d of %v", most, bound))
	c.Assert(most > 0, qt.IsTrue)
}
