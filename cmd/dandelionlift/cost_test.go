//go:build failure

package main_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/caller"
	"github.com/dandelionlift/dandelionlift/internal/process/load"
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

// TestEntryCost measures what one entry host spends on callers: processor time
// a request and a token, and memory, at growing rates. It asserts nothing.
//
//	go test -tags failure -count 1 -run TestEntryCost -v ./cmd/dandelionlift
func TestEntryCost(t *testing.T) {
	c := qt.New(t)
	r := start(t)
	client := caller.Client{
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		Pick: func() string { return r.entries[0].Listen.String() },
	}
	before := r.usage(0)
	time.Sleep(costDuration)
	after := r.usage(0)
	idle := after.cpu - before.cpu
	t.Logf("idle: cpu %.2f%% of a core, resident %d kB", 100*idle.Seconds()/costDuration.Seconds(), after.resident)
	for _, shape := range []struct {
		rate   float64
		answer unit.Tokens
	}{{24, 40}, {48, 40}, {96, 40}, {48, 160}, {48, 480}} {
		plan := load.Plan{
			Rate: shape.rate, Duration: costDuration, Mix: load.Mix{Draft: 1}, Seed: 1, Model: r.user.Model,
			PromptTokens: 400, AnswerTokens: shape.answer, Conversations: 8, Timeout: time.Minute,
		}
		for _, o := range r.user.Organisations {
			plan.Organisations = append(plan.Organisations, load.Organisation{Key: o.Key, Share: o.Share})
		}
		before, began := r.usage(0), time.Now()
		outcomes, err := load.Run(context.Background(), client, plan)
		c.Assert(err, qt.IsNil)
		after, took := r.usage(0), time.Since(began)
		tokens := 0
		for _, o := range outcomes {
			tokens += len(strings.Fields(o.Result.Text))
		}
		busy := after.cpu - before.cpu - time.Duration(float64(idle)*took.Seconds()/costDuration.Seconds())
		report := load.Sum(outcomes)
		t.Logf("rate %.0f answer %d: %d requests %d whole, %d tokens (%.0f/s), cpu %v = %.1f us a token, %.2f ms a request, resident %d kB, first token p95 %.1f ms",
			shape.rate, shape.answer, len(outcomes), report.Whole, tokens, float64(tokens)/took.Seconds(), busy,
			float64(busy.Microseconds())/float64(max(1, tokens)), busy.Seconds()*1000/float64(max(1, len(outcomes))), after.resident, report.FirstToken.P95)
	}
}
