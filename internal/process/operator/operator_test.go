package operator_test

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/process/operator"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// host is the Interpreter of one entry host with its snapshot.
type host struct {
	operator.Interpreter
	mu       sync.Mutex
	snapshot *fleet.Snapshot
	moved    []configuration.Move
}

func (h *host) current() *fleet.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot
}

func (h *host) adopt(_ context.Context, c configuration.Configuration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.Version > h.snapshot.Configuration.Version {
		h.snapshot = fleet.New("a-entry-1", "a", c, h.snapshot.Endpoints)
	}
}

var initialConfiguration = configuration.Configuration{
	Version: 1,
	Zones:   []configuration.Zone{{ID: "a", Region: "north"}, {ID: "b", Region: "south"}},
	Services: []configuration.Service{{
		ID: "drafts", Kind: configuration.Model, RetryShare: 0.1,
		FirstTokenTarget: configuration.Duration(time.Second), TokenIntervalTarget: configuration.Duration(time.Second),
	}},
	Organisations: []configuration.Organisation{{ID: "sheds", Weight: 1, KeySHA256: []string{strings.Repeat("ab", 32)}}},
	Prices: []configuration.Price{
		{Zone: "a", Class: "small", Reclaimable: 1, OnDemand: 2}, {Zone: "b", Class: "small", Reclaimable: 1, OnDemand: 2},
	},
	Links: []configuration.Link{{From: "north", To: "south"}},
}

var endpoints = []fleet.Endpoint{
	{Host: "a-engine-1", Incarnation: "i1", Service: "drafts", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.1:9"), Load: fleet.Load{Running: 3}},
	{Host: "b-engine-1", Incarnation: "i2", Service: "drafts", Zone: "b", Address: netip.MustParseAddrPort("10.0.0.2:9"), Leaving: true},
}

// newHost returns a host that uses the key-value service kv.
func newHost(kv keyvalue.Client) *host {
	h := &host{snapshot: fleet.New("a-entry-1", "a", initialConfiguration, endpoints)}
	j := journal.New(kv)
	j.OnAdopted = h.adopt
	h.Interpreter = operator.Interpreter{
		Snapshot: h.current, Propose: j.Propose, History: j.History,
		UnfinishedRequests: func() []operator.UnfinishedRequest {
			return []operator.UnfinishedRequest{{Request: "r1", Service: "drafts", Tokens: 7}}
		},
		OnMove: func(_ context.Context, m configuration.Move) error {
			h.moved = append(h.moved, m)
			return nil
		},
		OnStop: func(context.Context, configuration.Stop) error { return nil },
		Tokens: []settings.OperatorToken{{Name: "amal", SHA256: "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"}},
	}
	return h
}

// newMemoryStore returns a key-value service in memory without faults.
func newMemoryStore() keyvalue.Client {
	var mu sync.Mutex
	values := make(map[string]keyvalue.Value)
	return keyvalue.Client{
		Get: func(_ context.Context, key string) (keyvalue.Value, error) {
			mu.Lock()
			defer mu.Unlock()
			stored, ok := values[key]
			if !ok {
				return stored, keyvalue.ErrAbsent
			}
			return stored, nil
		},
		Put: func(_ context.Context, key string, put keyvalue.Put) (keyvalue.Value, error) {
			mu.Lock()
			defer mu.Unlock()
			stored := values[key]
			if put.IfRevision != stored.Revision {
				return stored, keyvalue.ErrConflict
			}
			stored = keyvalue.Value{Key: key, Data: put.Data, Revision: stored.Revision + 1, WriterToken: put.WriterToken}
			values[key] = stored
			return stored, nil
		},
	}
}

func bootstrapped(t *testing.T, kv keyvalue.Client) keyvalue.Client {
	err := journal.New(kv).Bootstrap(t.Context(), initialConfiguration)
	quicktest.Assert(t, err, quicktest.IsNil)
	return kv
}

func (h *host) execute(id identity.Command, by, line string) operator.Table {
	return h.Execute(context.Background(), by, operator.Request{Command: id, Line: line})
}

func TestMistakeNamesColumn(t *testing.T) {
	h := newHost(bootstrapped(t, newMemoryStore()))
	for _, test := range []struct {
		line   string
		column string
		want   string
	}{
		{``, "1", `unexpected end of line; expected show, explain, cost, move, cancel, stop, set`},
		{`shwo work`, "1", `unexpected "shwo"; expected show, .*; did you mean "show"\?`},
		{`show wrk`, "6", `unexpected "wrk"; expected work, leaving, .*, history; did you mean "work"\?`},
		{`show work please`, "11", `unexpected "please"; expected where, if, dry`},
		{`show`, "5", `unexpected end of line; expected work, .*`},
		{`show endpoints where zon = a`, "22", `unknown column "zon"; did you mean "zone"\?`},
		{`show endpoints where zone a`, "27", `unexpected "a"; expected =, !=, <, >, <=, >=`},
		{`show endpoints where zone =`, "28", `unexpected end of line; expected a name or value`},
		{`show endpoints where zone = "a`, "29", `.*`},
		{`show endpoints & hosts`, "16", `unexpected "&"; .*`},
		{`show history of hst x`, "17", `unexpected "hst"; expected move, host; did you mean "host"\?`},
		{`show history of move x`, "22", `"x" is not a number; .*`},
		{`explain r1`, "9", `unexpected "r1"; expected request`},
		{`cost of move drfts from a to b`, "14", `unknown service "drfts"; did you mean "drafts"\?`},
		{`move drafts from a to c`, "23", `unknown zone "c"; known: a, b`},
		{`move drafts from a to a`, "23", `source and target are the same zone; .*`},
		{`move drafts from b to a`, "18", `no live endpoint of drafts is in b`},
		{`move drafts to b`, "13", `unexpected "to"; expected from`},
		{`cancel move 0`, "13", `"0" is not a number; .*`},
		{`stop host a-engin-1`, "11", `unknown host "a-engin-1"; did you mean "a-engine-1"\?`},
		{`stop host a-entry-1`, "11", `a-entry-1 is an entry host: .*SIGTERM.*`},
		{`set service drafts retry_shar = 0.2`, "20", `unknown field "retry_shar"; did you mean "retry_share"\?`},
		{`set service drafts retry_share = much`, "34", `"much" is not a number; expected one such as 0.1`},
		{`set service drafts first_token = 1300`, "34", `.*missing unit.*; expected a number with its unit.*`},
		{`set organisation shed weight = 2`, "18", `unknown organisation "shed"; did you mean "sheds"\?`},
		{`set price a smal on_demand_micro_per_hour = 2`, "13", `unknown class "smal"; did you mean "small"\?`},
		{`set price a small on_demand_micro_per_hour = 1.5`, "46", `"1.5" is not a whole number; .*`},
		{`set service drafts retry_share = 0.2 if version x`, "49", `"x" is not a number; .*`},
		{`set service drafts retry_share = 0.2 if version 1 if version 1`, "51", `duplicate option`},
		{`show work dry run`, "11", `a query changes nothing, .*`},
	} {
		got := h.execute("c", "amal", test.line)
		problem, rest, _ := strings.Cut(got.Error, "\n")
		quicktest.Check(t, problem, quicktest.Matches, "column "+test.column+": "+test.want, quicktest.Commentf("%s", test.line))
		if test.line != "" {
			mark := strings.Repeat(" ", len(strings.Split(rest, "\n")[1])-1) + "^"
			quicktest.Check(t, rest, quicktest.Equals, test.line+"\n"+mark)
		}
	}
	quicktest.Check(t, h.current().Configuration.Version, quicktest.Equals, identity.Version(1))
}

func TestOperatorQueries(t *testing.T) {
	c := quicktest.New(t)
	h := newHost(bootstrapped(t, newMemoryStore()))
	h.Confirmations = func() []operator.Confirmation {
		return []operator.Confirmation{{Host: "a-entry-1", Zone: "a", Version: 1}, {Host: "a-entry-2", Zone: "a"}}
	}
	index := func(line string, column int) []string {
		got := h.execute("", "amal", line)
		c.Assert(got.Error, quicktest.Equals, "", quicktest.Commentf("%s", line))
		var cells []string
		for _, row := range got.Rows {
			c.Assert(row, quicktest.HasLen, len(got.Columns))
			cells = append(cells, row[column])
		}
		return cells
	}
	c.Assert(index("show work", 0), quicktest.DeepEquals, []string{"r1"})
	c.Assert(index("show work where tokens > 10", 0), quicktest.HasLen, 0)
	c.Assert(index("show endpoints", 0), quicktest.DeepEquals, []string{"a-engine-1", "b-engine-1"})
	c.Assert(index("show endpoints where service = drafts and zone = a and state = live", 0), quicktest.DeepEquals, []string{"a-engine-1"})
	c.Assert(index("show endpoints where state = leaving", 0), quicktest.DeepEquals, []string{"b-engine-1"})
	c.Assert(index("show endpoints where running >= 3", 0), quicktest.DeepEquals, []string{"a-engine-1"})
	c.Assert(index(`show endpoints where zone != "a"`, 0), quicktest.DeepEquals, []string{"b-engine-1"})
	c.Assert(index("show leaving", 0), quicktest.DeepEquals, []string{"b-engine-1"})
	c.Assert(index("show hosts", 0), quicktest.DeepEquals, []string{"a-entry-1", "a-engine-1", "b-engine-1"})
	c.Assert(index("show services", 0), quicktest.DeepEquals, []string{"drafts"})
	c.Assert(index("show organisations", 0), quicktest.DeepEquals, []string{"sheds"})
	c.Assert(index("show prices where zone = b", 0), quicktest.DeepEquals, []string{"b"})
	c.Assert(index("show configuration", 2), quicktest.DeepEquals, []string{"0", "unknown"})
	c.Assert(index("show configuration", 4), quicktest.DeepEquals, []string{"a-entry-2", "-"})
	c.Assert(index("show history", 0), quicktest.HasLen, 0)
	for line, want := range map[string]string{
		"explain request r1":              "explain request is not available on this entry host",
		"cost of move drafts from a to b": "cost of move is not available on this entry host",
	} {
		c.Assert(h.execute("", "amal", line).Error, quicktest.Equals, want)
	}
}

func TestCommandIsAppliedOnce(t *testing.T) {
	c := quicktest.New(t)
	h := newHost(bootstrapped(t, newMemoryStore()))
	line := "set service drafts retry_share = 0.2"

	dry := h.Execute(t.Context(), "amal", operator.Request{Command: "c1", Line: line, DryRun: true})
	c.Assert(dry.Error, quicktest.Equals, "")
	c.Assert(dry.Rows, quicktest.DeepEquals, [][]string{{"service drafts retry_share", "0.1", "0.2"}})
	c.Assert(h.execute("c1", "amal", line+" dry run").Rows, quicktest.DeepEquals, dry.Rows)
	c.Assert(h.current().Configuration.Version, quicktest.Equals, identity.Version(1))

	accepted := h.execute("c1", "amal", line)
	c.Assert(accepted, quicktest.DeepEquals, operator.Table{Note: "accepted as version 2", Version: 2})
	c.Assert(h.current().Configuration.Services[0].RetryShare, quicktest.Equals, 0.2)
	c.Assert(h.execute("c1", "amal", line), quicktest.DeepEquals, accepted)
	c.Assert(h.current().Configuration.Version, quicktest.Equals, identity.Version(2))
	c.Assert(h.execute("c1", "amal", "set service drafts retry_share = 0.3").Error, quicktest.Matches, ".*the command id was used for another line.*")

	for _, line := range []string{
		"set service drafts retry_share = 7", "set organisation sheds weight = -1", `set organisation sheds key_sha256 = "x,y"`,
		"set service drafts first_token = 0s", "set price a small reclaimable_micro_per_hour = -4",
	} {
		c.Check(h.execute(identity.Command(line), "amal", line).Error, quicktest.Matches, "(?s)(service|organisation|price).*; write .*")
	}
	c.Assert(h.current().Configuration.Version, quicktest.Equals, identity.Version(2))

	for i, line := range []string{
		"set organisation sheds weight = 3", "set organisation sheds tokens_per_second = 500",
		"set price a small on_demand_micro_per_hour = 9", "set service drafts first_token = 700ms",
		"set service drafts model_version = v2 if version 6",
	} {
		c.Check(h.execute(identity.Command(line), "amal", line).Version, quicktest.Equals, identity.Version(3+i))
	}
	history := h.execute("", "amal", "show history")
	c.Assert(history.Rows, quicktest.HasLen, 6)
	c.Assert(history.Rows[0][2:], quicktest.DeepEquals, []string{"amal", line, "c1"})
}

func TestConflictNamesEarlierCommand(t *testing.T) {
	c := quicktest.New(t)
	kv := bootstrapped(t, newMemoryStore())
	host1, host2 := newHost(kv), newHost(kv)
	c.Assert(host1.execute("c1", "amal", "set service drafts retry_share = 0.2").Error, quicktest.Equals, "")
	c.Assert(host1.execute("c2", "amal", "set organisation sheds weight = 2").Error, quicktest.Equals, "")

	refused := host2.execute("c3", "bert", "set service drafts retry_share = 0.3")
	c.Assert(refused.Error, quicktest.Matches, `refused: service drafts retry_share was changed to "0.2" since; version 2: "set service drafts retry_share = 0.2" by amal at .*`)
	c.Assert(refused.Conflict.Operator, quicktest.Equals, "amal")
	c.Assert(refused.Conflict.At.IsZero(), quicktest.IsFalse)

	refused = host2.execute("c4", "bert", "set service drafts first_token = 2s if version 1")
	c.Assert(refused.Error, quicktest.Matches, `refused: version 1 is not in force; version 3: "set organisation sheds weight = 2" by amal at .*`)
	dry := host2.execute("c4", "bert", "set service drafts first_token = 2s if version 5 dry run")
	c.Assert(dry.Error, quicktest.Matches, "refused: version 5 is not in force.*")

	// A command that requires the version in force is accepted even if the
	// snapshot of its host is older.
	stale := newHost(kv)
	c.Assert(host1.execute("c6", "amal", "set organisation sheds weight = 5").Version, quicktest.Equals, identity.Version(4))
	c.Assert(stale.execute("c7", "bert", "set organisation sheds weight = 6 if version 4").Error, quicktest.Equals, "")

	// A change of another value is no conflict.
	c.Assert(host2.execute("c5", "bert", "set service drafts first_token = 2s").Version, quicktest.Equals, identity.Version(6))
}

func TestMoveAndStopCommands(t *testing.T) {
	c := quicktest.New(t)
	kv := bootstrapped(t, newMemoryStore())
	host1, host2 := newHost(kv), newHost(kv)
	accepted := host1.execute("m1", "amal", "move drafts from a to b")
	c.Assert(accepted.Note, quicktest.Equals, "accepted as move 2")
	move := configuration.Move{Number: 2, Service: "drafts", From: "a", To: "b"}
	c.Assert(host1.moved, quicktest.DeepEquals, []configuration.Move{move})
	c.Assert(host1.current().Configuration.Moves, quicktest.DeepEquals, []configuration.Move{move})
	c.Assert(host1.execute("m1", "amal", "move drafts from a to b"), quicktest.DeepEquals, accepted)

	refused := host2.execute("m2", "bert", "move drafts from a to b")
	c.Assert(refused.Error, quicktest.Matches, `refused: move 2 of drafts is pending; version 2: "move drafts from a to b" by amal at .*`)
	c.Assert(host2.execute("m3", "bert", "cancel move 2").Note, quicktest.Equals, "cancelled in version 3")
	c.Assert(host2.current().Configuration.Moves, quicktest.HasLen, 0)
	refused = host1.execute("m4", "amal", "cancel move 2")
	c.Assert(refused.Error, quicktest.Matches, `refused: move 2 is not pending; version 3: "cancel move 2" by bert at .*`)

	c.Assert(host1.execute("s1", "amal", "stop host a-engine-1").Note, quicktest.Equals, "accepted in version 4")
	refused = host2.execute("s2", "bert", "stop host a-engine-1")
	c.Assert(refused.Error, quicktest.Matches, `refused: a-engine-1 is being stopped already; version 4: .* by amal at .*`)
	host1.HostEvents = func(host identity.Host) []operator.HostEvent {
		return []operator.HostEvent{{At: time.Now(), Type: "carried", Target: "b-engine-1", Detail: string(host)}}
	}
	rows := host1.execute("", "amal", "show history of host a-engine-1").Rows
	c.Assert(rows, quicktest.HasLen, 2)
	c.Assert(rows[0][1:], quicktest.DeepEquals, []string{"command", "", "stop host a-engine-1 (version 4, by amal)"})
	c.Assert(rows[1][1:], quicktest.DeepEquals, []string{"carried", "b-engine-1", "a-engine-1"})
	c.Assert(host1.execute("", "amal", "show history of move 2").Rows, quicktest.HasLen, 2)
}

// Operators must see why a live endpoint gets no calls: it wants none for a while.
func TestShowEndpointsTellsForHowLongTheyAreQuiet(t *testing.T) {
	c := quicktest.New(t)
	h := newHost(bootstrapped(t, newMemoryStore()))
	quiet := func(line string) string {
		table := h.execute("1", "amal", line)
		c.Assert(table.Error, quicktest.Equals, "")
		var values []string
		for _, row := range table.Rows {
			values = append(values, row[len(row)-1])
		}
		return strings.Join(values, " ")
	}
	c.Assert(quiet("show endpoints"), quicktest.Equals, "0 0")
	h.QuietFor = func(id identity.Incarnation) time.Duration {
		if id == "i1" {
			return 1500 * time.Millisecond
		}
		return 0
	}
	c.Assert(quiet("show endpoints"), quicktest.Equals, "1500 0")
	c.Assert(quiet("show endpoints where quiet_ms > 0"), quicktest.Equals, "1500")
}
