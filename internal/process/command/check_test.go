package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/command"
)

func runCheck(args ...string) (string, error) {
	root := command.Root()
	var out bytes.Buffer
	root.SetOut(&out)
	root.SetArgs(append([]string{"check"}, args...))
	err := root.Execute()
	return out.String(), err
}

func TestCheckDetectsFileKind(t *testing.T) {
	c := quicktest.New(t)
	for file, want := range map[string]string{
		"levant-a-entry-1.toml": "ok: settings of an entry host\n",
		"standin.toml":          "ok: settings of the stand-ins\n",
		"configuration.toml":    "ok: configuration\n",
	} {
		out, err := runCheck("--settings", filepath.Join("../../../examples/perseid", file))
		c.Check(err, quicktest.IsNil)
		c.Check(out, quicktest.Equals, want)
	}
	_, err := runCheck("--settings", "absent.toml")
	c.Assert(err, quicktest.ErrorMatches, ".*no such file.*")
	_, err = runCheck()
	c.Assert(err, quicktest.ErrorMatches, "check needs .*")
}

func TestPrintedDefaultsAreValid(t *testing.T) {
	c := quicktest.New(t)
	text, err := runCheck("--print-defaults")
	c.Assert(err, quicktest.IsNil)
	path := filepath.Join(t.TempDir(), "entry.toml")
	c.Assert(os.WriteFile(path, []byte(text), 0o600), quicktest.IsNil)
	_, err = runCheck("--settings", path)
	c.Assert(err, quicktest.IsNil)

	wrong := strings.NewReplacer(`listen = "127.0.1.1:8080"`, `listen = "here"`, `"1m"`, `60`, `[peer]`, `[peers]`).Replace(text)
	c.Assert(os.WriteFile(path, []byte(wrong), 0o600), quicktest.IsNil)
	_, err = runCheck("--settings", path)
	c.Assert(err, quicktest.ErrorMatches, `(?s).*entry.toml:9: listen: .*\n.*unknown key "peers".*\n.*limits.answer_kept: a duration without a unit.*`)
}
