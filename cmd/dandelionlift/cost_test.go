//go:build failure

package main_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/caller"
	"github.com/dandelionlift/dandelionlift/internal/process/load"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	costDuration    = 12 * time.Second
	ticksPerSecond  = 100
	kilobytesInPage = 4
)

// usage is what the kernel says a process has used.
type usage struct {
	cpu      time.Duration
	resident int
}

func (r *run) usage(entry int) usage {
	pid := r.processes[r.entries[entry].Host].Process.Pid
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	qt.Assert(r.t, err, qt.IsNil)
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	number := func(i int) int {
		n, err := strconv.Atoi(fields[i])
		qt.Assert(r.t, err, qt.IsNil)
		return n
	}
	ticks := number(11) + number(12)
	return usage{cpu: time.Duration(ticks) * time.Second / ticksPerSecond, resident: number(21) * kilobytesInPage}
}

// side is one of the two entry hosts that are compared under the same load.
type side struct {
	name   string
	entry  int
	idle   float64
	before usage
	after  usage
	load   []load.Outcome
}

// TestEntryCost measures what entry hosts spend on callers: processor time a
// request and a token, and memory, at growing rates. Two hosts get the same
// load at the same time, one of them without gathering tokens, so that their
// ratio does not depend on what else the machine does. It asserts nothing.
//
//	go test -tags failure -count 1 -run TestEntryCost -v ./cmd/dandelionlift
func TestEntryCost(t *testing.T) {
	c := qt.New(t)
	r := start(t, func(s []settings.Entry) { s[3].Limits.Gather = 0 })
	sides := []*side{{name: "gather=40ms", entry: 0}, {name: "gather=0s", entry: 3}}
	for _, s := range sides {
		s.before = r.usage(s.entry)
	}
	controlBefore := r.control(0)
	time.Sleep(costDuration)
	r.logControl(0, costDuration, controlBefore)
	for _, s := range sides {
		s.idle = (r.usage(s.entry).cpu - s.before.cpu).Seconds() / costDuration.Seconds()
		t.Logf("%s idle: cpu %.2f%% of a core", s.name, 100*s.idle)
	}
	for _, shape := range []struct {
		rate   float64
		answer unit.Tokens
	}{{12, 40}, {24, 40}, {48, 40}, {24, 160}, {24, 320}} {
		began := time.Now()
		var group errgroup.Group
		for _, s := range sides {
			s.before = r.usage(s.entry)
			group.Go(func() error {
				var err error
				s.load, err = load.Run(context.Background(), r.clientOf(s.entry), r.drafts(shape.rate, shape.answer))
				return err
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		took := time.Since(began)
		for _, s := range sides {
			s.after = r.usage(s.entry)
			t.Logf("rate=%.0f answer=%d %s", shape.rate, shape.answer, s.line(took))
		}
	}
}

func (r *run) clientOf(entry int) caller.Client {
	return caller.Client{
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		Pick: func() string { return r.entries[entry].Listen.String() },
	}
}

func (r *run) drafts(rate float64, answer unit.Tokens) load.Plan {
	plan := load.Plan{
		Rate: rate, Duration: costDuration, Mix: load.Mix{Draft: 1}, Seed: 1, Model: r.user.Model,
		PromptTokens: 400, AnswerTokens: answer, Conversations: 8, Timeout: time.Minute,
	}
	for _, o := range r.user.Organisations {
		plan.Organisations = append(plan.Organisations, load.Organisation{Key: o.Key, Share: o.Share})
	}
	return plan
}

// line says what one side spent.
func (s *side) line(took time.Duration) string {
	tokens := 0
	for _, o := range s.load {
		tokens += len(strings.Fields(o.Result.Text))
	}
	busy := (s.after.cpu - s.before.cpu).Seconds() - s.idle*took.Seconds()
	report := load.Sum(s.load)
	return fmt.Sprintf("%s: requests %d whole %d tokens %d (%.0f/s) cpu %.2f s = %.1f us a token, resident %d kB, first token p95 %.1f ms, between tokens p95 %.1f ms",
		s.name, len(s.load), report.Whole, tokens, float64(tokens)/took.Seconds(), busy,
		busy*1e6/float64(max(1, tokens)), s.after.resident, report.FirstToken.P95, report.BetweenTokens.P95)
}

// control reads the bytes of control by kind from an entry host's metrics.
func (r *run) control(entry int) map[string]int {
	response, err := http.Get("http://" + r.entries[entry].Listen.String() + "/metrics")
	qt.Assert(r.t, err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	qt.Assert(r.t, err, qt.IsNil)
	kinds := make(map[string]int)
	for line := range strings.Lines(string(text)) {
		name, number, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(name, "control_bytes_total") || strings.HasPrefix(name, "keyvalue_calls_total") {
			kinds[name], err = strconv.Atoi(number)
			qt.Assert(r.t, err, qt.IsNil)
		}
	}
	return kinds
}

// logControl says what control took a second since before.
func (r *run) logControl(entry int, took time.Duration, before map[string]int) {
	sum := 0
	for kind, count := range r.control(entry) {
		r.t.Logf("idle %s: %.1f a second", kind, float64(count-before[kind])/took.Seconds())
		if strings.HasPrefix(kind, "control_bytes_total") {
			sum += count - before[kind]
		}
	}
	r.t.Logf("idle control bytes in all: %.0f a second", float64(sum)/took.Seconds())
}
