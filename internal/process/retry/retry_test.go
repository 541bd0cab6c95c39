package retry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/retry"
)

// Retry storm: all calls fail and are retried as often as possible. In any window
// the retries of all hosts stay within the ratio and the slack.
func TestRetriesInAnyWindowStayWithinLimits(t *testing.T) {
	c := qt.New(t)
	limits := retry.Limits{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	const hosts, perSecond, interval = 8, 10, 100 * time.Millisecond
	budgets := make([]*retry.Budget, hosts)
	for i := range budgets {
		budgets[i] = retry.New(limits, func() int { return hosts })
	}
	var retries []time.Time
	start := time.Unix(0, 0)
	for now := start; now.Sub(start) < time.Minute; now = now.Add(interval) {
		for _, b := range budgets {
			b.RecordCall(now, "s")
			for b.Take(now, "s") {
				retries = append(retries, now)
			}
		}
	}
	maxRetries, first := 0, 0
	for i, at := range retries {
		for at.Sub(retries[first]) >= limits.Window {
			first++
		}
		maxRetries = max(maxRetries, i-first+1)
	}
	bound := limits.Ratio*hosts*perSecond*limits.Window.Seconds() + limits.Slack
	c.Assert(float64(maxRetries) <= bound, qt.IsTrue, qt.Commentf("%d of %v", maxRetries, bound))
	c.Assert(maxRetries > 0, qt.IsTrue)
}
