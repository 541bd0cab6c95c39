package attempt_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/answer"
	"github.com/dandelionlift/dandelionlift/internal/request/attempt"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
)

// Each invalid frame fails the attempt and adds nothing to the answer.
func TestRunRefusesWrongFrames(t *testing.T) {
	const head = `data: {"request":"r","incarnation":"i",`
	for _, test := range []struct {
		name, stream string
		want         verdict.Reason
	}{
		{"no usage", head + `"done":true}`, verdict.AnswerMismatch},
		{"end too late", head + `"offset":9,"done":true,"usage":{}}`, verdict.AnswerGap},
		{"negative offset", head + `"offset":-1,"tokens":["a","b"]}`, verdict.AnswerGap},
		{"gap", head + `"offset":1,"tokens":["b"]}`, verdict.AnswerGap},
		{"another request", `data: {"request":"q","incarnation":"i","tokens":["a"]}`, verdict.AnswerMismatch},
		{"another incarnation", `data: {"request":"r","incarnation":"h","tokens":["a"]}`, verdict.AnswerMismatch},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			client := engine.Client{HTTP: &http.Client{Transport: fixedResponse(test.stream + "\n\n")}}
			a := answer.New()
			timeouts := attempt.ProgressTimeouts{FirstToken: time.Minute, BetweenTokens: time.Minute}
			err := attempt.Run(context.Background(), client, call.Call{Request: "r"}, fleet.Endpoint{Incarnation: "i", Address: netip.MustParseAddrPort("127.0.0.1:1")}, a, timeouts)
			c.Assert(err, qt.Not(qt.IsNil))
			c.Check(verdict.FromError(err).Reason, qt.Equals, test.want)
			c.Check(a.Text(), qt.Equals, "")
		})
	}
}
