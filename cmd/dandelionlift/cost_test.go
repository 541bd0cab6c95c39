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
	costDuration     = 12 * time.Second
	ticksPerSecond   = 100
	kilobytesPerPage = 4
)

// processUsage is the processor time and the resident memory, in kB, of a process
// as accounted by the kernel.
type processUsage struct {
	cpu      time.Duration
	resident int
}

func (cl *cluster) usage(entryHost int) processUsage {
	pid := cl.processes[cl.entryHosts[entryHost].Host].Process.Pid
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	qt.Assert(cl.t, err, qt.IsNil)
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	number := func(i int) int {
		n, err := strconv.Atoi(fields[i])
		qt.Assert(cl.t, err, qt.IsNil)
		return n
	}
	// Of the fields after the command, 11 and 12 are the ticks in user and in kernel
	// mode, 21 is the number of resident pages.
	ticks := number(11) + number(12)
	return processUsage{cpu: time.Duration(ticks) * time.Second / ticksPerSecond, resident: number(21) * kilobytesPerPage}
}

// measuredHost is one of the entry hosts that are compared under the same load.
// idle is its processor use without load, in cores.
type measuredHost struct {
	name      string
	entryHost int
	idle      float64
	before    processUsage
	after     processUsage
	outcomes  []load.Outcome
}

// TestEntryCost measures the processor time per token and the memory that entry
// hosts need at different loads. Two hosts, one of them without coalescing of
// tokens (gather=0s), serve the same load at the same time, so that their ratio
// does not depend on other load on the machine. It only logs the results and
// checks none.
//
//	go test -tags failure -count 1 -run TestEntryCost -v ./cmd/dandelionlift
func TestEntryCost(t *testing.T) {
	c := qt.New(t)
	cl := startCluster(t, func(s []settings.Entry) { s[3].Limits.MaxCoalesceDelay = 0 })
	hosts := []*measuredHost{{name: "gather=40ms", entryHost: 0}, {name: "gather=0s", entryHost: 3}}
	for _, host := range hosts {
		host.before = cl.usage(host.entryHost)
	}
	controlBefore := cl.controlCounters(0)
	time.Sleep(costDuration)
	cl.logControlRates(0, costDuration, controlBefore)
	for _, host := range hosts {
		host.idle = (cl.usage(host.entryHost).cpu - host.before.cpu).Seconds() / costDuration.Seconds()
		t.Logf("%s idle: cpu %.2f%% of a core", host.name, 100*host.idle)
	}
	for _, shape := range []struct {
		rate   float64
		answer unit.Tokens
	}{{12, 40}, {24, 40}, {48, 40}, {24, 160}, {24, 320}} {
		started := time.Now()
		var group errgroup.Group
		for _, host := range hosts {
			host.before = cl.usage(host.entryHost)
			group.Go(func() error {
				var err error
				host.outcomes, err = load.Run(context.Background(), cl.clientFor(host.entryHost), cl.draftPlan(shape.rate, shape.answer))
				return err
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		elapsed := time.Since(started)
		for _, host := range hosts {
			host.after = cl.usage(host.entryHost)
			t.Logf("rate=%.0f answer=%d %s", shape.rate, shape.answer, host.summary(elapsed))
		}
	}
}

func (cl *cluster) clientFor(entryHost int) caller.Client {
	return caller.Client{
		HTTP:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}},
		PickAddress: func() string { return cl.entryHosts[entryHost].Listen.String() },
	}
}

func (cl *cluster) draftPlan(rate float64, answer unit.Tokens) load.Plan {
	plan := load.Plan{
		Rate: rate, Duration: costDuration, Mix: load.Mix{Draft: 1}, Seed: 1, Model: cl.user.Model,
		PromptTokens: 400, AnswerTokens: answer, Conversations: 8, Timeout: time.Minute,
	}
	for _, o := range cl.user.Organisations {
		plan.Organisations = append(plan.Organisations, load.Organisation{Key: o.Key, Share: o.Share})
	}
	return plan
}

// summary returns a host's results; idle processor use is subtracted.
func (host *measuredHost) summary(elapsed time.Duration) string {
	tokens := 0
	for _, o := range host.outcomes {
		tokens += len(strings.Fields(o.Result.Text))
	}
	busy := (host.after.cpu - host.before.cpu).Seconds() - host.idle*elapsed.Seconds()
	report := load.NewReport(host.outcomes)
	return fmt.Sprintf("%s: requests %d whole %d tokens %d (%.0f/s) cpu %.2f s = %.1f us a token, resident %d kB, first token p95 %.1f ms, between tokens p95 %.1f ms",
		host.name, len(host.outcomes), report.Complete, tokens, float64(tokens)/elapsed.Seconds(), busy,
		busy*1e6/float64(max(1, tokens)), host.after.resident, report.FirstToken.P95, report.BetweenTokens.P95)
}

// controlCounters returns an entry host's metrics of control traffic and
// key-value calls.
func (cl *cluster) controlCounters(entryHost int) map[string]int {
	response, err := http.Get("http://" + cl.entryHosts[entryHost].Listen.String() + "/metrics")
	qt.Assert(cl.t, err, qt.IsNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	qt.Assert(cl.t, err, qt.IsNil)
	counters := make(map[string]int)
	for line := range strings.Lines(string(text)) {
		name, number, _ := strings.Cut(strings.TrimSpace(line), " ")
		if strings.HasPrefix(name, "control_bytes_total") || strings.HasPrefix(name, "keyvalue_calls_total") {
			counters[name], err = strconv.Atoi(number)
			qt.Assert(cl.t, err, qt.IsNil)
		}
	}
	return counters
}

// logControlRates logs the average increase per second of the control counters
// since before.
func (cl *cluster) logControlRates(entryHost int, elapsed time.Duration, before map[string]int) {
	sum := 0
	for kind, count := range cl.controlCounters(entryHost) {
		cl.t.Logf("idle %s: %.1f per second", kind, float64(count-before[kind])/elapsed.Seconds())
		if strings.HasPrefix(kind, "control_bytes_total") {
			sum += count - before[kind]
		}
	}
	cl.t.Logf("idle control bytes in total: %.0f per second", float64(sum)/elapsed.Seconds())
}
