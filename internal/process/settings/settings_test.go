package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"

	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

func parseEntry(text string) (settings.Entry, settings.Mistakes) {
	return settings.Parse("host.toml", []byte(text), settings.DefaultEntry(), settings.Entry.Check)
}

// edit replaces one line of the default settings file.
func edit(t *testing.T, line, replacement string) string {
	quicktest.Assert(t, strings.Count(settings.Defaults, "\n"+line+"\n"), quicktest.Equals, 1)
	return strings.Replace(settings.Defaults, "\n"+line+"\n", "\n"+replacement+"\n", 1)
}

func TestDefaultsFileMatchesDefaultEntry(t *testing.T) {
	c := quicktest.New(t)
	read, found := parseEntry(settings.Defaults)
	c.Assert(found, quicktest.HasLen, 0)
	want := settings.DefaultEntry()
	c.Assert(read.LogLevel, quicktest.Equals, want.LogLevel)
	c.Assert(read.Bootstrap, quicktest.Equals, want.Bootstrap)
	c.Assert(read.Stop, quicktest.Equals, want.Stop)
	c.Assert(read.Limits, quicktest.Equals, want.Limits)

	// The file has every key of Entry. Marshal adds headerCount headers, of tables
	// that only contain tables.
	const headerCount = 1
	all, err := toml.Marshal(read)
	c.Assert(err, quicktest.IsNil)
	c.Assert(settings.CountKeys[settings.Entry]([]byte(settings.Defaults)), quicktest.Equals, settings.CountKeys[settings.Entry](all)-headerCount)
}

func TestSettingsMistakesSayFileLineKeyAndWhatIsRight(t *testing.T) {
	const listen = `listen = "127.0.1.1:8080"`
	for _, test := range []struct{ line, with, want string }{
		{listen, `listen = "localhost:8080"`, `host.toml:9: listen: .*localhost.*; write an IP number and port.*`},
		{listen, `listen = "127.0.1.1"`, `host.toml:9: listen: .*; write an IP number and port.*`},
		{listen, `listen = 8080`, `host.toml:9: listen: .*; write an IP number and port.*`},
		{listen, `listen = "127.0.1.1:0"`, `host.toml:9: listen: has port 0; write .*`},
		{listen, ``, `host.toml:1: listen: is missing; write an IP number and port.*`},
		{listen, `listne = "127.0.1.1:8080"`, `host.toml:1: listen: is missing.*\nhost.toml:9: listne: unknown key "listne"; .*did you mean "listen"\?`},
		{listen, `listen = "127.0.1.1:8081"`, `host.toml:11: peer_listen: duplicate address "127.0.1.1:8081", which listen has.*`},
		{listen, `listen = `, `host.toml:9: .*`},
		{listen, listen + "\n" + listen, `host.toml:10: listen: .*already.*; write each key once`},
		{`zone = "levant-a"`, `zone = "levant a"`, `host.toml:7: zone: "levant a" has a character.*`},
		{`host = "levant-a-entry-1"`, `host = 3`, `host.toml:5: host: .*; write a quoted string`},
		{`log_level = "info"`, `log_level = "inf"`, `host.toml:13: log_level: unknown log level "inf"; write "info"\?`},
		{`balancer_lag = "5s"`, `balancer_lag = 5`, `host.toml:41: stop.balancer_lag: a duration without a unit; write a number with its unit.*`},
		{`balancer_lag = "5s"`, `balancer_lag = "5"`, `host.toml:41: stop.balancer_lag: .*missing unit.*; write a number with its unit.*`},
		{`balancer_lag = "5s"`, `balancer_lag = "5 seconds"`, `host.toml:41: stop.balancer_lag: .*unit.*`},
		{`balancer_lag = "5s"`, `balancer_lag = "-5s"`, `host.toml:41: stop.balancer_lag: is below 0.*`},
		{`requests = 10000`, `requests = 1.5`, `host.toml:45: limits.requests: .*; write a whole number`},
		{`requests = 10000`, `requests = 0`, `host.toml:45: limits.requests: is missing or 0; write a number above 0`},
		{`keys = ["replace-this-peer-key"]`, `keys = ["short"]`, `host.toml:30: peer.keys\[0\]: has 5 bytes; write a key of at least 16 bytes`},
		{`keys = ["replace-this-peer-key"]`, ``, `host.toml:26: peer.keys: is missing.*`},
		{`name = "example"`, ``, `host.toml:33: operator.token\[0\].name: is missing.*`},
		{`[limits]`, `[limit]`, `host.toml:43: limit: unknown key "limit".*did you mean "limits"\?`},
	} {
		_, found := parseEntry(edit(t, test.line, test.with))
		quicktest.Check(t, found.Error(), quicktest.Matches, test.want, quicktest.Commentf("%s", test.with))
	}
}

func TestCheckListsAllMistakesAtOnce(t *testing.T) {
	text := settings.Defaults
	for _, wrong := range [][2]string{
		{`listen = "127.0.1.1:8080"`, `listen = "localhost:8080"`},
		{`log_level = "info"`, `loglevel = "info"`},
		{`balancer_lag = "5s"`, `balancer_lag = 5`},
		{`requests = 10000`, `requests = "many"`},
		{`sha256 = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"`, `sha256 = "operator"`},
	} {
		text = strings.Replace(text, "\n"+wrong[0], "\n"+wrong[1], 1)
	}
	_, found := parseEntry(text)
	keys := make([]string, 0, len(found))
	for _, m := range found {
		keys = append(keys, m.Key)
	}
	quicktest.Assert(t, keys, quicktest.DeepEquals,
		[]string{"listen", "loglevel", "operator.token[0].sha256", "stop.balancer_lag", "limits.requests"})
}

const validConfiguration = `[[zone]]
id = "a"
region = "north"

[[zone]]
id = "b"
region = "south"

[[service]]
id = "drafts"
kind = "model"
first_token = "1300ms"
between_tokens = "73ms"

[[service]]
id = "tickets"
kind = "plain"
first_token = "1s"
retry_share = 0.1

[[service.call]]
method = "GET"
path_prefix = "/"
repeatable = true

[[organisation]]
id = "sheds"
key_sha256 = ["06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"]
weight = 1

[[price]]
zone = "a"
class = "small"
reclaimable_micro_per_hour = 1
on_demand_micro_per_hour = 2

[[price]]
zone = "b"
class = "small"
reclaimable_micro_per_hour = 1
on_demand_micro_per_hour = 2

[[link]]
from = "north"
to = "south"
`

func TestCheckConfiguration(t *testing.T) {
	for _, test := range []struct{ old, with, want string }{
		{``, ``, ``},
		{`region = "south"`, ``, `c.toml:5: zone\[1\].region: is missing.*\nc.toml:45: link\[0\].to: unknown region "south".*`},
		{`id = "b"`, `id = "a"`, `c.toml:6: zone\[1\].id: duplicate zone "a", which zone\[0\].id has.*\nc.toml:38: price\[1\].zone: unknown zone "b".*`},
		{`zone = "b"`, `zone = "a"`, `c.toml:6: zone\[1\].id: zone "b" has no price; .*\nc.toml:39: price\[1\].class: duplicate price.*`},
		{`to = "south"`, `to = "souht"`, `(?s).*link\[0\].to: unknown region "souht"; write "south"\?`},
		{`to = "south"`, `to = "north"`, `(?s).*regions "north" and "south" have no link.*another region`},
		{`kind = "plain"`, `kind = "plian"`, `c.toml:17: service\[1\].kind: unknown kind "plian"; write "plain"\?`},
		{`kind = "plain"`, ``, `c.toml:15: service\[1\].kind: is missing; write one of model, plain`},
		{`id = "tickets"`, `id = "drafts"`, `c.toml:16: service\[1\].id: duplicate service "drafts".*`},
		{`first_token = "1300ms"`, `first_token = 1300`, `c.toml:12: service\[0\].first_token: a duration without a unit.*`},
		{validConfiguration[:strings.Index(validConfiguration, "[[service]]")], `zone = [{id = "a", region = 1}, {id = "b", region = "south"}]` + "\n", `c.toml:1: zone: cannot decode.*; write a list\n(?s).*`},
		{"method = \"GET\"\npath_prefix = \"/\"\nrepeatable = true", `method = "GET"` + "\n" + `path_prefix = "/"` + "\nlatency = {first_token = 3}", `c.toml:24: service\[1\].call\[0\].latency: unknown key.*`},
		{strings.Split(validConfiguration, "[[organisation]]")[0], `service = [{id = "drafts", kind = "model", first_token = 1300, between_tokens = "73ms"}]` + "\n", `(?s)c.toml:1: service\[0\].first_token: a duration without a unit.*`},
		{`between_tokens = "73ms"`, ``, `c.toml:9: service\[0\].between_tokens: is missing or 0s; write .*`},
		{`retry_share = 0.1`, `retry_share = 1.1`, `c.toml:19: service\[1\].retry_share: is 1.1; write a number from 0 to 1`},
		{`retry_share = 0.1`, `retry_share = nan`, `c.toml:19: service\[1\].retry_share: is NaN; .*`},
		{`method = "GET"`, `method = "get"`, `c.toml:22: service\[1\].call\[0\].method: unknown method "get"; write "GET"\?`},
		{`path_prefix = "/"`, `path_prefix = "x"`, `c.toml:23: service\[1\].call\[0\].path_prefix: "x" does not begin.*`},
		{`weight = 1`, `weight = 0`, `c.toml:29: organisation\[0\].weight: is missing or 0; write a number above 0`},
		{`weight = 1`, `weight = inf`, `c.toml:29: organisation\[0\].weight: .*`},
		{`weight = 1`, "weight = 1\ntokens_per_second = -1", `c.toml:30: organisation\[0\].tokens_per_second: is -1; .*`},
		{`42f23"`, `42f2"`, `c.toml:28: organisation\[0\].key_sha256\[0\]: .* is not a SHA-256 in hex; .*`},
		{`06e55b`, `06E55B`, `c.toml:28: organisation\[0\].key_sha256\[0\]: .* is not a SHA-256 in hex; .*`},
		{`on_demand_micro_per_hour = 2`, ``, `c.toml:31: price\[0\].on_demand_micro_per_hour: is missing or 0.*`},
	} {
		text := strings.Replace(validConfiguration, test.old, test.with, 1)
		_, found := settings.Parse("c.toml", []byte(text), configuration.Configuration{}, configuration.Configuration.Check)
		quicktest.Check(t, found.Error(), quicktest.Matches, test.want, quicktest.Commentf("%s", test.with))
	}
}

func TestCheckEntryWithItsBootstrapConfiguration(t *testing.T) {
	c := quicktest.New(t)
	dir := t.TempDir()
	path := filepath.Join(dir, "host.toml")
	write := func(name, text string) {
		c.Assert(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600), quicktest.IsNil)
	}
	write("host.toml", edit(t, `configuration = ""`, `configuration = "c.toml"`))

	_, _, err := settings.ReadEntry(path)
	c.Assert(err, quicktest.ErrorMatches, `.*host.toml:24: bootstrap.configuration: .*no such file.*`)

	write("c.toml", strings.Replace(validConfiguration, `weight = 1`, `weight = -1`, 1))
	_, _, err = settings.ReadEntry(path)
	c.Assert(err, quicktest.ErrorMatches, `(?s).*host.toml:7: zone: unknown zone "levant-a"; write one of a, b\n.*c.toml:29: organisation\[0\].weight: .*`)

	write("host.toml", strings.Replace(edit(t, `configuration = ""`, `configuration = "c.toml"`), `"levant-a"`, `"a"`, 1))
	write("c.toml", validConfiguration)
	_, bootstrap, err := settings.ReadEntry(path)
	c.Assert(err, quicktest.IsNil)
	c.Assert(bootstrap.Zones, quicktest.HasLen, 2)
}

func TestCheckAcceptsExamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/*-entry-*.toml")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(files) >= 16, quicktest.IsTrue)
	for _, file := range files {
		_, _, err := settings.ReadEntry(file)
		quicktest.Check(t, err, quicktest.IsNil)
	}
}
