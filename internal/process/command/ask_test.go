package command_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/command"
	"github.com/dandelionlift/dandelionlift/internal/process/operator"
)

// newAnsweringHost starts a server that replies to each Request with answer, and
// returns its address.
func newAnsweringHost(t *testing.T, answer func(operator.Request) operator.Table) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request operator.Request
		quicktest.Check(t, json.NewDecoder(r.Body).Decode(&request), quicktest.IsNil)
		quicktest.Check(t, r.Header.Get("Authorization"), quicktest.Equals, "Bearer secret")
		json.NewEncoder(w).Encode(answer(request))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func runAsk(input, target string, args ...string) (string, string, int) {
	root := command.Root()
	var out, errOut bytes.Buffer
	root.SetOut(&out)
	root.SetErr(&errOut)
	root.SetIn(strings.NewReader(input))
	root.SetArgs(append([]string{"ask", "--token", "secret", "--target", target}, args...))
	err := root.Execute()
	if err != nil {
		errOut.WriteString(err.Error())
	}
	return out.String(), errOut.String(), command.Status(err)
}

func TestAskPrintsTablesAndJSON(t *testing.T) {
	c := quicktest.New(t)
	var received []operator.Request
	target := newAnsweringHost(t, func(request operator.Request) operator.Table {
		received = append(received, request)
		return operator.Table{Columns: []string{"zone", "x"}, Rows: [][]string{{"levant-a", ""}}, Note: "one zone"}
	})
	out, _, status := runAsk("", target, "show prices")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Equals, "zone      x\nlevant-a  -\none zone\n")
	out, _, status = runAsk("", target, "--json", "--dry-run", "--command", "c1", "move s from a to b")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Equals, `{"columns":["zone","x"],"rows":[["levant-a",""]],"note":"one zone"}`+"\n")
	c.Assert(received[1], quicktest.Equals, operator.Request{Command: "c1", Line: "move s from a to b", DryRun: true})
}

func TestAskReadsStandardInputAndReturnsWorstStatus(t *testing.T) {
	c := quicktest.New(t)
	var ids []string
	target := newAnsweringHost(t, func(request operator.Request) operator.Table {
		ids = append(ids, string(request.Command))
		switch request.Line {
		case "bad":
			return operator.Table{Error: "no"}
		case "late":
			return operator.Table{Error: "conflict", Conflict: &operator.Conflict{Version: 3}}
		default:
			return operator.Table{Note: request.Line}
		}
	})
	out, errOut, status := runAsk("a\n\nbad\nlate\nb\n", target, "--command", "night")
	c.Assert(out, quicktest.Equals, "a\nb\n")
	c.Assert(errOut, quicktest.Equals, "line 3: no\nline 4: conflict\none or more lines failed")
	c.Assert(status, quicktest.Equals, 3)
	c.Assert(ids, quicktest.DeepEquals, []string{"night-1", "night-3", "night-4", "night-5"})
	_, _, status = runAsk("", target, "bad")
	c.Assert(status, quicktest.Equals, 1)
	out, _, status = runAsk("", target, "--json", "late")
	c.Assert(out, quicktest.Contains, `"conflict":{"version":3`)
	c.Assert(status, quicktest.Equals, 3)
}

func TestAskRepeatsWithSameIDWhileOutcomeIsUnknown(t *testing.T) {
	c := quicktest.New(t)
	var ids []string
	target := newAnsweringHost(t, func(request operator.Request) operator.Table {
		ids = append(ids, string(request.Command))
		switch len(ids) {
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			return operator.Table{Error: "not known", OutcomeUnknown: true}
		default:
			return operator.Table{Note: "accepted as version 2"}
		}
	})
	out, _, status := runAsk("", target, "set service s retry_share = 0.1")
	c.Assert(status, quicktest.Equals, 0)
	c.Assert(out, quicktest.Equals, "accepted as version 2\n")
	c.Assert(ids, quicktest.DeepEquals, []string{ids[0], ids[0], ids[0]})

	gone := newAnsweringHost(t, func(operator.Request) operator.Table { panic(http.ErrAbortHandler) })
	_, errOut, status := runAsk("", gone, "--command", "c9", "show work")
	c.Assert(status, quicktest.Equals, 2)
	c.Assert(errOut, quicktest.Matches, ".*repeat with --command c9")
}
