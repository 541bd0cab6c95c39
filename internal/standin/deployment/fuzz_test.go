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

// FuzzSettings reads any text as each kind of file: no panic, a line within the
// text, and what is taken is right, says the same when written again.
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
		again(t, text, settings.DefaultEntry(), settings.Entry.Check)
		again(t, text, deployment.Settings{}, deployment.Settings.Check)
		again(t, text, configuration.Configuration{}, configuration.Configuration.Check)
	})
}

func again[T any](t *testing.T, text []byte, defaults T, check func(T) []configuration.Mistake) {
	read, found := settings.Parse("f.toml", text, defaults, check)
	for _, m := range found {
		quicktest.Assert(t, m.Line >= 1 && m.Line <= bytes.Count(text, []byte("\n"))+1, quicktest.IsTrue, quicktest.Commentf("%s", m))
		quicktest.Assert(t, m.Want, quicktest.Not(quicktest.Equals), "")
	}
	if len(found) > 0 {
		return
	}
	quicktest.Assert(t, check(read), quicktest.HasLen, 0)
	written, err := toml.Marshal(read)
	quicktest.Assert(t, err, quicktest.IsNil)
	same, found := settings.Parse("again.toml", written, defaults, check)
	quicktest.Assert(t, found, quicktest.HasLen, 0, quicktest.Commentf("%s", written))
	twice, err := toml.Marshal(same)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, string(twice), quicktest.Equals, string(written))
}
