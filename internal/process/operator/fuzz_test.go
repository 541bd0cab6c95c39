package operator_test

import (
	"context"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/journal"
)

var columnPattern = regexp.MustCompile(`^column (\d+): `)

// FuzzOperatorLine executes arbitrary lines. None may panic, report a column
// outside the line, produce a configuration that Check refuses, or create a
// version without an accepted command in the history.
func FuzzOperatorLine(f *testing.F) {
	for _, line := range []string{
		"show endpoints where service = drafts and running >= 2", "show history of move 2", "explain request r1",
		"cost of move drafts from a to b", "move drafts from a to b if version 1 dry run", "cancel move 2",
		"stop host a-engine-1", `set organisation sheds key_sha256 = "ab,cd"`, "set service drafts first_token = 1300ms",
		"set price a small on_demand_micro_per_hour = 4", "show wörk", "set service drafts retry_share = NaN",
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		kv := newMemoryStore()
		quicktest.Assert(t, journal.New(kv).Bootstrap(context.Background(), initialConfiguration), quicktest.IsNil)
		h := newHost(kv)
		answer := h.execute("c1", "amal", line)
		if match := columnPattern.FindStringSubmatch(answer.Error); match != nil {
			column, err := strconv.Atoi(match[1])
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, column >= 1 && column <= utf8.RuneCountInString(line)+1, quicktest.IsTrue)
		}
		quicktest.Assert(t, h.current().Configuration.Check(), quicktest.HasLen, 0)
		quicktest.Assert(t, h.execute("c1", "amal", line).Version, quicktest.Equals, answer.Version)
		history := h.execute("", "amal", "show history").Rows
		quicktest.Assert(t, len(history) == 1, quicktest.Equals, answer.Version == 2)
		if len(history) == 1 {
			quicktest.Assert(t, history[0][3], quicktest.Equals, strings.TrimSpace(line))
		}
	})
}
