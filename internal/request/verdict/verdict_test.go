package verdict_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

func TestVerdictAfterEarlierAttempts(t *testing.T) {
	c := qt.New(t)
	refused := verdict.New(verdict.NotRun, verdict.EndpointRefused, "")
	lost := verdict.New(verdict.MayHaveRun, verdict.EndpointLost, "")
	c.Assert(refused.WithEarlier(verdict.NotRun).Verdict, qt.Equals, verdict.NotRun)
	c.Assert(refused.WithEarlier(verdict.MayHaveRun).Verdict, qt.Equals, verdict.MayHaveRun)
	c.Assert(lost.WithEarlier(verdict.NotRun).Verdict, qt.Equals, verdict.MayHaveRun)
	c.Assert(refused.Verdict, qt.Equals, verdict.NotRun)
}
