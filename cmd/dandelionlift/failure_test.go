//go:build failure

// The failure run drives separate processes on loopback addresses while they
// are killed, paused, cut off and reclaimed. It takes minutes and is not part of
// the default tests:
//
//	go test -tags failure -count 1 -timeout 20m -run TestFailureRun -v ./cmd/dandelionlift
package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/caller"
	"github.com/dandelionlift/dandelionlift/internal/process/load"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/standin/cloud"
	"github.com/dandelionlift/dandelionlift/internal/standin/deployment"
	"github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/scenario"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	failureNet  = 17
	callsPerSec = 30
)

// run is one deployment of separate processes.
type run struct {
	t       *testing.T
	dir     string
	binary  string
	user    scenario.User
	entries []settings.Entry
	standin deployment.Settings
	relay   *relay

	mu        sync.Mutex
	processes map[identity.Host]*exec.Cmd
	ready     []string
}

func TestFailureRun(t *testing.T) {
	c := qt.New(t)
	outage := 2 * time.Minute
	if text := os.Getenv("DANDELIONLIFT_OUTAGE"); text != "" {
		parsed, err := time.ParseDuration(text)
		c.Assert(err, qt.IsNil)
		outage = parsed
	}
	seed := uint64(1)
	if text := os.Getenv("DANDELIONLIFT_SEED"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		c.Assert(err, qt.IsNil)
		seed = parsed
	}
	r := start(t, func([]settings.Entry) {})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			r.balance()
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	})
	group.Go(func() error { r.events(outage); return nil })
	racing := &orders{run: r}
	group.Go(func() error { return racing.race(ctx) })
	client := caller.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, Pick: r.pick}
	outcomes, err := load.Run(ctx, client, r.plan(seed, outage))
	c.Assert(err, qt.IsNil)
	cancel()
	c.Assert(group.Wait(), qt.IsNil)

	var records deployment.Records
	r.get(r.standin.Cloud.String(), "/standin/records", &records)
	var text bytes.Buffer
	report := load.Sum(outcomes)
	c.Assert(report.WriteText(&text), qt.IsNil)
	t.Logf("seed %d outage %v\n%s", seed, outage, text.String())
	for _, o := range outcomes {
		if o.Accepted() && !o.Whole() {
			t.Logf("not whole: %s %s request=%s failure=%v attempts=%v reattached=%d", o.Kind, o.ID, o.Result.Request, o.Result.Failure, verdicts(o), o.Result.Reattached)
		}
	}
	c.Check(report.Swapped, qt.Equals, 0)
	c.Check(report.Cut, qt.Equals, 0)
	c.Check(lostByTheSystem(outcomes), qt.Equals, 0)
	for id, runs := range records.Filings {
		c.Check(runs, qt.Equals, 1, qt.Commentf("filing %s", id))
	}
	t.Logf("operators: %d commands, %d accepted for sure", len(racing.history), racing.accepted)
	c.Check(racing.accepted > 0, qt.IsTrue)
	c.Check(porcupine.CheckOperations(versions.ToModel(), racing.history), qt.IsTrue, qt.Commentf("%s", racing))
	c.Check(porcupine.CheckOperations(filings.ToModel(), history(outcomes, records.Filings)), qt.IsTrue)
}

func verdicts(o load.Outcome) string {
	var b bytes.Buffer
	for _, a := range o.Result.Attempts {
		fmt.Fprintf(&b, "%s ", a.Verdict)
	}
	return b.String()
}

// lostByTheSystem counts drafts and lookups that were accepted and not answered
// whole, and filings that ended without the caller knowing what came of them
// though the service was there to ask.
func lostByTheSystem(outcomes []load.Outcome) int {
	lost := 0
	for _, o := range outcomes {
		if o.Accepted() && !o.Whole() && o.Kind != load.Filing {
			lost++
		}
	}
	return lost
}

// filed is the model's input: one sending, or the final look at the record.
type filed struct {
	id string
	// runs is what the record says; negative for a sending.
	runs int
}

// filings says what answers at-most-once allows: the state is how often it ran.
var filings = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, o := range history {
			id := o.Input.(filed).id
			byID[id] = append(byID[id], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byID {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		ran := state.(int)
		if runs := input.(filed).runs; runs >= 0 {
			if runs == ran {
				return []any{ran}
			}
			return nil
		}
		switch output.(verdict.Verdict) {
		case verdict.Ran:
			return []any{1}
		case verdict.NotRun:
			return []any{ran}
		default:
			return []any{ran, 1}
		}
	},
}

func history(outcomes []load.Outcome, records map[string]int) []porcupine.Operation {
	var operations []porcupine.Operation
	for _, o := range outcomes {
		if o.Kind != load.Filing {
			continue
		}
		for _, a := range o.Result.Attempts {
			end := a.Answered.UnixNano()
			if a.Verdict == verdict.MayHaveRun {
				end = time.Now().UnixNano()
			}
			operations = append(operations, porcupine.Operation{
				Input: filed{o.ID, -1}, Call: a.Sent.UnixNano(), Output: a.Verdict, Return: end,
			})
		}
		now := time.Now().UnixNano()
		operations = append(operations, porcupine.Operation{
			Input: filed{o.ID, records[o.ID]}, Call: now, Output: verdict.Ran, Return: now + 1,
		})
	}
	return operations
}

func (r *run) plan(seed uint64, outage time.Duration) load.Plan {
	plan := load.Plan{
		Rate: callsPerSec, Duration: outage + 60*time.Second, Mix: load.Mix{Draft: 2, Lookup: 5, Filing: 2}, Seed: seed,
		Model: r.user.Model, Ledger: r.user.Ledger, PromptTokens: 300, AnswerTokens: 120, Conversations: 4,
		Timeout: outage + 60*time.Second,
	}
	for _, o := range r.user.Organisations {
		plan.Organisations = append(plan.Organisations, load.Organisation{Key: o.Key, Share: o.Share})
	}
	return plan
}

// events happen at fixed times after the calls began.
func (r *run) events(outage time.Duration) {
	step := func(after time.Duration, what string, do func()) {
		time.Sleep(after)
		r.t.Logf("%s", what)
		do()
	}
	victim, paused := r.entries[1].Host, r.entries[4].Host
	step(5*time.Second, "kill -9 "+string(victim), func() { r.signal(victim, syscall.SIGKILL) })
	step(3*time.Second, "key-value service loses every 3rd answer", func() { r.faults(keyvalue.Faults{LoseAnswerEvery: 3}) })
	step(2*time.Second, "pause "+string(paused), func() { r.signal(paused, syscall.SIGSTOP) })
	step(2*time.Second, "freeze the connections to one engine", r.relay.freeze)
	step(20*time.Second, "continue "+string(paused), func() { r.signal(paused, syscall.SIGCONT) })
	step(3*time.Second, "key-value service down", func() { r.faults(keyvalue.Faults{Down: true}) })
	step(10*time.Second, "reclaim zone with 5 s of notice", func() {
		r.post(r.standin.Cloud.String(), "/standin/reclaim", cloud.Reclaim{Zone: r.user.Zones[1].ID, NoticeMillis: 5000})
	})
	step(2*time.Second, "one engine dies unannounced", func() {
		r.post(r.standin.Cloud.String(), "/standin/reclaim", cloud.Reclaim{Host: r.standin.Endpoints[0].Host, Silent: true})
	})
	step(2*time.Second, "one ledger dies unannounced", func() {
		last := r.standin.Endpoints[len(r.standin.Endpoints)-1].Host
		r.post(r.standin.Cloud.String(), "/standin/reclaim", cloud.Reclaim{Host: last, Silent: true})
	})
	step(outage-14*time.Second, "key-value service back, losing every 5th answer", func() { r.faults(keyvalue.Faults{LoseAnswerEvery: 5}) })
	step(8*time.Second, "key-value service whole", func() { r.faults(keyvalue.Faults{}) })
}

// start runs the deployment; change may alter the entry hosts' settings.
func start(t *testing.T, change func([]settings.Entry)) *run {
	c := qt.New(t)
	r := &run{t: t, dir: t.TempDir(), user: scenario.Perseid(), processes: make(map[identity.Host]*exec.Cmd)}
	r.binary = filepath.Join(r.dir, "dandelionlift")
	built, err := exec.Command("go", "build", "-o", r.binary, ".").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", built))
	addresses := scenario.Addresses{Net: failureNet}
	r.standin = r.user.Deployment(addresses)
	behind := &r.standin.Endpoints[2]
	front := fmt.Sprintf("127.%d.0.30:9000", failureNet)
	r.relay, err = newRelay(front, behind.Listen.String())
	c.Assert(err, qt.IsNil)
	behind.Advertise = r.relay.address()
	r.write("configuration.toml", r.user.Configuration())
	r.entries = r.user.Entries(addresses)
	change(r.entries)
	for _, e := range r.entries {
		e.Bootstrap.Configuration = "configuration.toml"
		r.write(string(e.Host)+".toml", e)
	}
	t.Cleanup(r.stop)
	for _, e := range r.entries {
		// Whoever listens there already would be taken for this run's.
		_, err := net.DialTimeout("tcp", e.Listen.String(), time.Second)
		c.Assert(err, qt.ErrorMatches, ".*connection refused", qt.Commentf("%s is in use", e.Listen))
	}
	r.spawn("standin", "standin", r.write("standin.toml", r.standin))
	for _, e := range r.entries {
		r.spawn(e.Host, "entry", filepath.Join(r.dir, string(e.Host)+".toml"))
	}
	for deadline := time.Now().Add(30 * time.Second); r.balance() < len(r.entries); {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not all entry hosts became ready"))
		time.Sleep(100 * time.Millisecond)
	}
	return r
}

func (r *run) write(name string, value any) string {
	text, err := toml.Marshal(value)
	qt.Assert(r.t, err, qt.IsNil)
	path := filepath.Join(r.dir, name)
	qt.Assert(r.t, os.WriteFile(path, text, 0o600), qt.IsNil)
	return path
}

func (r *run) spawn(host identity.Host, command, path string) {
	log, err := os.Create(filepath.Join(r.logs(), string(host)+".log"))
	qt.Assert(r.t, err, qt.IsNil)
	process := exec.Command(r.binary, command, "--settings", path)
	process.Stderr = log
	// The processes end with the test, also when it is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	qt.Assert(r.t, process.Start(), qt.IsNil)
	r.processes[host] = process
}

// logs is where the processes' logs go: DANDELIONLIFT_LOGS, or a passing folder.
func (r *run) logs() string {
	if dir := os.Getenv("DANDELIONLIFT_LOGS"); dir != "" {
		return dir
	}
	return r.dir
}

func (r *run) signal(host identity.Host, s syscall.Signal) {
	qt.Check(r.t, r.processes[host].Process.Signal(s), qt.IsNil)
}

func (r *run) stop() {
	for host, p := range r.processes {
		if err := p.Process.Kill(); err != nil {
			r.t.Logf("%s: %v", host, err)
		}
		if err := p.Wait(); err != nil {
			r.t.Logf("%s: %v", host, err)
		}
	}
	r.relay.listener.Close()
}

func (r *run) faults(f keyvalue.Faults) {
	r.send(http.MethodPut, r.standin.KeyValue.String(), "/standin/faults", f)
}

func (r *run) post(address, path string, body any) { r.send(http.MethodPost, address, path, body) }

func (r *run) send(method, address, path string, body any) {
	data, err := json.Marshal(body)
	qt.Assert(r.t, err, qt.IsNil)
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	qt.Assert(r.t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(r.t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	qt.Check(r.t, err, qt.IsNil)
	response.Body.Close()
}

func (r *run) get(address, path string, out any) {
	response, err := http.Get("http://" + address + path)
	qt.Assert(r.t, err, qt.IsNil)
	defer response.Body.Close()
	qt.Assert(r.t, json.NewDecoder(response.Body).Decode(out), qt.IsNil)
}

// balance asks the entry hosts whether they are ready, as a balancer does.
func (r *run) balance() int {
	client := http.Client{Timeout: 300 * time.Millisecond}
	var ready []string
	for _, e := range r.entries {
		response, err := client.Get("http://" + e.Listen.String() + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusNoContent {
			ready = append(ready, e.Listen.String())
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = ready
	return len(ready)
}

func (r *run) pick() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ready) == 0 {
		return r.entries[0].Listen.String()
	}
	return r.ready[rand.IntN(len(r.ready))]
}
