package forward_test

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// plainCall returns a call that is not retried.
func plainCall(organisation identity.Organisation, target, body string) *forward.Call {
	now := time.Now()
	return &forward.Call{
		ID: "1", Method: http.MethodPost, Target: target, Host: "h", Header: http.Header{}, Body: []byte(body),
		Route:        &catalogue.Route{Kind: catalogue.NonIdempotent, Attempts: 1},
		Service:      &catalogue.Service{ID: "s"},
		Organisation: &catalogue.Organisation{ID: organisation},
		Arrived:      now, Deadline: now.Add(2 * time.Second), LastEvent: -1,
	}
}

var loggedFingerprint = regexp.MustCompile(`connection_lost.* fingerprint=([0-9a-f]+) `)

// Operators compare the calls of several crashes by their fingerprints: those of repeats
// are equal whatever their ids, those of other calls differ.
func TestRepeatsOfACallAreLoggedWithOneFingerprint(t *testing.T) {
	c := qt.New(t)
	env := newTestEnv(c, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	logged := func(call *forward.Call) string {
		var log bytes.Buffer
		env.forwarder.Log = slog.New(slog.NewTextHandler(&log, nil))
		_, failure := env.forwarder.Serve(context.Background(), httptest.NewRecorder(), call)
		c.Assert(failure, qt.IsNotNil)
		match := loggedFingerprint.FindStringSubmatch(log.String())
		c.Assert(match, qt.HasLen, 2, qt.Commentf("log: %s", log.String()))
		return match[1]
	}
	first := logged(plainCall("o", "/a/b", "body"))
	repeat := plainCall("o", "/a/b", "body")
	repeat.ID = "2"
	c.Check(logged(repeat), qt.Equals, first)
	// A route may split its calls among services.
	other := env.endpoints[0]
	other.Host, other.Incarnation, other.Service = "s2", "s2", "s2"
	env.balancer.SetEndpoints(append(env.endpoints, other))
	elsewhere := plainCall("o", "/a/b", "body")
	elsewhere.Service = &catalogue.Service{ID: "s2"}
	c.Check(logged(elsewhere), qt.Equals, first)
	for _, different := range []*forward.Call{plainCall("p", "/a/b", "body"), plainCall("o", "/a/bb", "ody"), plainCall("o", "/a/b", "Body")} {
		c.Check(logged(different), qt.Not(qt.Equals), first)
	}
}
