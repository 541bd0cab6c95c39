package deployment_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"

	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/standin/deployment"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
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

// keyPattern matches the keys of a TOML document.
var keyPattern = regexp.MustCompile(`(?m)^([a-z0-9_]+) =`)

func TestCheckDocumentationNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../../docs/configuration.md")
	quicktest.Assert(t, err, quicktest.IsNil)
	declared := configuration.Configuration{
		Zones: make([]configuration.Zone, 1), Services: []configuration.Service{{CallRules: make([]configuration.CallRule, 1)}},
		Organisations: make([]configuration.Organisation, 1), Prices: make([]configuration.Price, 1), Links: make([]configuration.Link, 1),
	}
	standins := deployment.Settings{Endpoints: make([]deployment.Endpoint, 1), EntryHosts: make([]deployment.EntryHost, 1)}
	host := settings.DefaultEntry()
	host.Operator.Tokens = make([]settings.OperatorToken, 1)
	names := append(marshalledKeys(t, declared), append(marshalledKeys(t, standins), marshalledKeys(t, host)...)...)
	quicktest.Assert(t, len(names) > 60, quicktest.IsTrue, quicktest.Commentf("%d", len(names)))
	for _, name := range names {
		quicktest.Check(t, string(page), quicktest.Matches, "(?s).*`([a-z_]+\\.)*"+name+"`.*")
	}
}

// marshalledKeys returns the TOML keys of value.
func marshalledKeys[T any](t *testing.T, value T) []string {
	text, err := toml.Marshal(value)
	quicktest.Assert(t, err, quicktest.IsNil)
	var all []string
	for _, match := range keyPattern.FindAllStringSubmatch(string(text), -1) {
		all = append(all, match[1])
	}
	return all
}
