package deployment_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"

	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/standin/deployment"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// FuzzSettings parses arbitrary text as each kind of settings file. The parser
// must not panic, each mistake must name a line of the text, and accepted
// settings must be valid and survive a round trip through TOML unchanged.
func FuzzSettings(f *testing.F) {
	for _, name := range []string{"standin.toml", "configuration.toml", "levant-a-entry-1.toml"} {
		text, err := os.ReadFile(filepath.Join("../../../examples/perseid", name))
		quicktest.Assert(f, err, quicktest.IsNil)
		f.Add(text)
	}
	f.Add([]byte(settings.Defaults))
	f.Add([]byte("service = [{id = \"a\", first_token = 3}]\n[[service.call]]\n"))
	f.Add([]byte("stop.balancer_lag = 1979-05-27\n[limits]\nrequests = [1,\n2]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		checkRoundTrip(t, text, settings.DefaultEntry(), settings.Entry.Check)
		checkRoundTrip(t, text, deployment.Settings{}, deployment.Settings.Check)
		checkRoundTrip(t, text, configuration.Configuration{}, configuration.Configuration.Check)
	})
}

func checkRoundTrip[T any](t *testing.T, text []byte, defaults T, check func(T) []configuration.Mistake) {
	parsed, found := settings.Parse("f.toml", text, defaults, check)
	for _, m := range found {
		quicktest.Assert(t, m.Line >= 1 && m.Line <= bytes.Count(text, []byte("\n"))+1, quicktest.IsTrue, quicktest.Commentf("%s", m))
		quicktest.Assert(t, m.Want, quicktest.Not(quicktest.Equals), "")
	}
	if len(found) > 0 {
		return
	}
	quicktest.Assert(t, check(parsed), quicktest.HasLen, 0)
	written, err := toml.Marshal(parsed)
	quicktest.Assert(t, err, quicktest.IsNil)
	reparsed, found := settings.Parse("again.toml", written, defaults, check)
	quicktest.Assert(t, found, quicktest.HasLen, 0, quicktest.Commentf("%s", written))
	rewritten, err := toml.Marshal(reparsed)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, string(rewritten), quicktest.Equals, string(written))
}
