package forward_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
)

// An endpoint in need names the calls a second that it takes, and must not get more
// while another endpoint can serve them.
func TestNamedLimitIsKept(t *testing.T) {
	c := qt.New(t)
	const perSecond = 2.0
	limited := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Limit", fmt.Sprint(perSecond))
		fmt.Fprint(w, "a")
	}
	env := newTestEnv(c, limited, answer("b"))
	started := time.Now()
	for range 60 {
		_, _, failure := env.serve(catalogue.Idempotent, false, 1)
		c.Assert(failure == nil, qt.IsTrue, qt.Commentf("%v", failure))
		time.Sleep(50 * time.Millisecond)
	}
	// Half as much again, and 5 calls, are allowed.
	allowed := 1.5*perSecond*time.Since(started).Seconds() + 5
	got := strings.Count(env.receivers(), "a")
	c.Check(float64(got) <= allowed, qt.IsTrue, qt.Commentf("%d calls, allowed %.0f", got, allowed))
	c.Check(got >= 3, qt.IsTrue, qt.Commentf("%d calls: the endpoint takes some", got))
}
