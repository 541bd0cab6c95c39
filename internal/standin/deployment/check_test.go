package deployment_test

import (
	"os"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/standin/deployment"
)

func TestCheckStandinSettings(t *testing.T) {
	text, err := os.ReadFile("../../../examples/perseid/standin.toml")
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, test := range []struct{ old, with, want string }{
		{``, ``, ``},
		{`key_value = "127.0.0.10:7001"`, `key_value = "platform:7001"`, `s.toml:2: key_value: .*; write an IP number and port.*`},
		{`list_lag = "2s"`, `list_lag = 2`, `s.toml:6: list_lag: a duration without a unit.*`},
		{`list_lag = "2s"`, `list_leg = "2s"`, `s.toml:6: list_leg: unknown key "list_leg".*did you mean "list_lag"\?`},
		{`host = "andes-a-engine-1"`, `host = "levant-a-engine-1"`, `s.toml:28: endpoint\[1\].host: duplicate host "levant-a-engine-1".*`},
		{`listen = "127.0.2.101:9000"`, `listen = "127.0.1.101:9000"`, `s.toml:34: endpoint\[1\].listen: duplicate address.*`},
		{`kind = "model"`, ``, `s.toml:18: endpoint\[0\].kind: is missing.*`},
		{"host = \"karoo-a-entry-2\"\nzone = \"karoo-a\"", "host = \"karoo-a-entry-2\"\nzone = \"karo-a\"", `s.toml:\d+: entry_host\[7\].zone: unknown zone "karo-a"; write "karoo-a"\?`},
	} {
		changed := strings.Replace(string(text), test.old, test.with, 1)
		_, found := settings.Parse("s.toml", []byte(changed), deployment.Settings{}, deployment.Settings.Check)
		if test.want == "" {
			quicktest.Check(t, found, quicktest.HasLen, 0)
			continue
		}
		quicktest.Check(t, found.Error(), quicktest.Matches, "(?s)"+test.want, quicktest.Commentf("%s", test.with))
	}
}
