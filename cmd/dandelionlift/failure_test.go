//go:build failure

// The failure test runs a deployment as separate processes on loopback addresses
// while they are killed, paused, disconnected and reclaimed. It takes minutes and
// is not part of the default tests:
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
	// failureNet is the second byte of the loopback addresses.
	failureNet     = 17
	callsPerSecond = 30
)

// cluster is a deployment that runs as separate processes.
type cluster struct {
	t               *testing.T
	dir             string
	binary          string
	user            scenario.User
	entryHosts      []settings.Entry
	standinSettings deployment.Settings
	proxy           *proxy

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
	cl := startCluster(t, func([]settings.Entry) {})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	group.Go(func() error {
		for ctx.Err() == nil {
			cl.refreshReady()
			time.Sleep(100 * time.Millisecond)
		}
		return nil
	})
	group.Go(func() error { cl.injectFaults(outage); return nil })
	operators := &operatorRace{cluster: cl}
	group.Go(func() error { return operators.run(ctx) })
	client := caller.Client{HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, PickAddress: cl.pick}
	outcomes, err := load.Run(ctx, client, cl.loadPlan(seed, outage))
	c.Assert(err, qt.IsNil)
	cancel()
	c.Assert(group.Wait(), qt.IsNil)

	var records deployment.Records
	cl.get(cl.standinSettings.Cloud.String(), "/standin/records", &records)
	var text bytes.Buffer
	report := load.NewReport(outcomes)
	c.Assert(report.WriteText(&text), qt.IsNil)
	t.Logf("seed %d outage %v\n%s", seed, outage, text.String())
	for _, o := range outcomes {
		if o.Accepted() && !o.Complete() {
			t.Logf("incomplete: %s %s request=%s failure=%v attempts=%v reattached=%d", o.Kind, o.ID, o.Result.Request, o.Result.Failure, verdicts(o), o.Result.Reconnects)
		}
	}
	c.Check(report.Misdelivered, qt.Equals, 0)
	c.Check(report.Truncated, qt.Equals, 0)
	c.Check(countLost(outcomes), qt.Equals, 0)
	for id, runs := range records.Filings {
		c.Check(runs, qt.Equals, 1, qt.Commentf("filing %s", id))
	}
	t.Logf("operators: %d commands, %d known to be accepted", len(operators.history), operators.acceptedCount)
	c.Check(operators.acceptedCount > 0, qt.IsTrue)
	c.Check(porcupine.CheckOperations(versionModel.ToModel(), operators.history), qt.IsTrue, qt.Commentf("%s", operators))
	c.Check(porcupine.CheckOperations(filingModel.ToModel(), filingHistory(outcomes, records.Filings)), qt.IsTrue)
}

func verdicts(o load.Outcome) string {
	var b bytes.Buffer
	for _, a := range o.Result.Attempts {
		fmt.Fprintf(&b, "%s ", a.Verdict)
	}
	return b.String()
}

// countLost counts drafts and lookups that were accepted but not answered in
// full. Filings are checked against filingModel.
func countLost(outcomes []load.Outcome) int {
	lost := 0
	for _, o := range outcomes {
		if o.Accepted() && !o.Complete() && o.Kind != load.Filing {
			lost++
		}
	}
	return lost
}

// filingInput is an operation of filingModel: an attempt, or the final read of
// the ledgers' records.
type filingInput struct {
	id string
	// runs is the recorded number of executions, or negative for an attempt.
	runs int
}

// filingModel models at-most-once execution of a filing. The state is the number
// of executions.
var filingModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, o := range history {
			id := o.Input.(filingInput).id
			byID[id] = append(byID[id], o)
		}
		var partitions [][]porcupine.Operation
		for _, part := range byID {
			partitions = append(partitions, part)
		}
		return partitions
	},
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		executions := state.(int)
		if runs := input.(filingInput).runs; runs >= 0 {
			if runs == executions {
				return []any{executions}
			}
			return nil
		}
		switch output.(verdict.Verdict) {
		case verdict.Ran:
			return []any{1}
		case verdict.NotRun:
			return []any{executions}
		default:
			return []any{executions, 1}
		}
	},
}

// filingHistory returns the history to check against filingModel. An attempt that
// may have been executed is recorded as lasting until now, the end of the run.
func filingHistory(outcomes []load.Outcome, records map[string]int) []porcupine.Operation {
	var operations []porcupine.Operation
	for _, o := range outcomes {
		if o.Kind != load.Filing {
			continue
		}
		for _, a := range o.Result.Attempts {
			end := a.AnsweredAt.UnixNano()
			if a.Verdict == verdict.MayHaveRun {
				end = time.Now().UnixNano()
			}
			operations = append(operations, porcupine.Operation{
				Input: filingInput{o.ID, -1}, Call: a.SentAt.UnixNano(), Output: a.Verdict, Return: end,
			})
		}
		now := time.Now().UnixNano()
		operations = append(operations, porcupine.Operation{
			Input: filingInput{o.ID, records[o.ID]}, Call: now, Output: verdict.Ran, Return: now + 1,
		})
	}
	return operations
}

func (cl *cluster) loadPlan(seed uint64, outage time.Duration) load.Plan {
	plan := load.Plan{
		Rate: callsPerSecond, Duration: outage + 60*time.Second, Mix: load.Mix{Draft: 2, Lookup: 5, Filing: 2}, Seed: seed,
		Model: cl.user.Model, Ledger: cl.user.Ledger, PromptTokens: 300, AnswerTokens: 120, Conversations: 4,
		Timeout: outage + 60*time.Second,
	}
	for _, o := range cl.user.Organisations {
		plan.Organisations = append(plan.Organisations, load.Organisation{Key: o.Key, Share: o.Share})
	}
	return plan
}

// injectFaults injects faults at fixed times after the load has started.
func (cl *cluster) injectFaults(outage time.Duration) {
	step := func(after time.Duration, description string, action func()) {
		time.Sleep(after)
		cl.t.Logf("%s", description)
		action()
	}
	killed, paused := cl.entryHosts[1].Host, cl.entryHosts[4].Host
	step(5*time.Second, "kill -9 "+string(killed), func() { cl.signal(killed, syscall.SIGKILL) })
	step(3*time.Second, "key-value service loses every 3rd answer", func() { cl.setFaults(keyvalue.Faults{LoseAnswerEvery: 3}) })
	step(2*time.Second, "pause "+string(paused), func() { cl.signal(paused, syscall.SIGSTOP) })
	step(2*time.Second, "freeze the connections to one engine", cl.proxy.freeze)
	step(20*time.Second, "continue "+string(paused), func() { cl.signal(paused, syscall.SIGCONT) })
	step(3*time.Second, "key-value service down", func() { cl.setFaults(keyvalue.Faults{Down: true}) })
	step(10*time.Second, "reclaim zone with 5 s of notice", func() {
		cl.post(cl.standinSettings.Cloud.String(), "/standin/reclaim", cloud.Reclaim{Zone: cl.user.Zones[1].ID, NoticeMillis: 5000})
	})
	step(2*time.Second, "one engine ends without notice", func() {
		cl.post(cl.standinSettings.Cloud.String(), "/standin/reclaim", cloud.Reclaim{Host: cl.standinSettings.Endpoints[0].Host, Silent: true})
	})
	step(2*time.Second, "one ledger ends without notice", func() {
		last := cl.standinSettings.Endpoints[len(cl.standinSettings.Endpoints)-1].Host
		cl.post(cl.standinSettings.Cloud.String(), "/standin/reclaim", cloud.Reclaim{Host: last, Silent: true})
	})
	step(outage-14*time.Second, "key-value service back, losing every 5th answer", func() { cl.setFaults(keyvalue.Faults{LoseAnswerEvery: 5}) })
	step(8*time.Second, "key-value service healthy", func() { cl.setFaults(keyvalue.Faults{}) })
}

// startCluster starts a cluster and waits until all its entry hosts are ready.
// change may modify the settings of the entry hosts.
func startCluster(t *testing.T, change func([]settings.Entry)) *cluster {
	c := qt.New(t)
	cl := &cluster{t: t, dir: t.TempDir(), user: scenario.Perseid(), processes: make(map[identity.Host]*exec.Cmd)}
	cl.binary = filepath.Join(cl.dir, "dandelionlift")
	built, err := exec.Command("go", "build", "-o", cl.binary, ".").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", built))
	addresses := scenario.Addresses{Net: failureNet}
	cl.standinSettings = cl.user.Deployment(addresses)
	proxied := &cl.standinSettings.Endpoints[2]
	proxyListen := fmt.Sprintf("127.%d.0.30:9000", failureNet)
	cl.proxy, err = newProxy(proxyListen, proxied.Listen.String())
	c.Assert(err, qt.IsNil)
	proxied.Advertise = cl.proxy.address()
	cl.write("configuration.toml", cl.user.Configuration())
	cl.entryHosts = cl.user.Entries(addresses)
	change(cl.entryHosts)
	for _, e := range cl.entryHosts {
		e.Bootstrap.Configuration = "configuration.toml"
		cl.write(string(e.Host)+".toml", e)
	}
	t.Cleanup(cl.stop)
	for _, e := range cl.entryHosts {
		// Another process on the address would be mistaken for this entry host.
		_, err := net.DialTimeout("tcp", e.Listen.String(), time.Second)
		c.Assert(err, qt.ErrorMatches, ".*connection refused", qt.Commentf("%s is in use", e.Listen))
	}
	cl.spawn("standin", "standin", cl.write("standin.toml", cl.standinSettings))
	for _, e := range cl.entryHosts {
		cl.spawn(e.Host, "entry", filepath.Join(cl.dir, string(e.Host)+".toml"))
	}
	for deadline := time.Now().Add(30 * time.Second); cl.refreshReady() < len(cl.entryHosts); {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not all entry hosts became ready"))
		time.Sleep(100 * time.Millisecond)
	}
	return cl
}

func (cl *cluster) write(name string, value any) string {
	text, err := toml.Marshal(value)
	qt.Assert(cl.t, err, qt.IsNil)
	path := filepath.Join(cl.dir, name)
	qt.Assert(cl.t, os.WriteFile(path, text, 0o600), qt.IsNil)
	return path
}

func (cl *cluster) spawn(host identity.Host, command, path string) {
	log, err := os.Create(filepath.Join(cl.logDir(), string(host)+".log"))
	qt.Assert(cl.t, err, qt.IsNil)
	process := exec.Command(cl.binary, command, "--settings", path)
	process.Stderr = log
	// The kernel kills the process when the test process ends, even if that is
	// killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	qt.Assert(cl.t, process.Start(), qt.IsNil)
	cl.processes[host] = process
}

// logDir returns the directory for the logs of the processes: DANDELIONLIFT_LOGS,
// or a temporary directory.
func (cl *cluster) logDir() string {
	if dir := os.Getenv("DANDELIONLIFT_LOGS"); dir != "" {
		return dir
	}
	return cl.dir
}

func (cl *cluster) signal(host identity.Host, s syscall.Signal) {
	qt.Check(cl.t, cl.processes[host].Process.Signal(s), qt.IsNil)
}

func (cl *cluster) stop() {
	for host, p := range cl.processes {
		if err := p.Process.Kill(); err != nil {
			cl.t.Logf("%s: %v", host, err)
		}
		if err := p.Wait(); err != nil {
			cl.t.Logf("%s: %v", host, err)
		}
	}
	cl.proxy.listener.Close()
}

func (cl *cluster) setFaults(f keyvalue.Faults) {
	cl.send(http.MethodPut, cl.standinSettings.KeyValue.String(), "/standin/faults", f)
}

func (cl *cluster) post(address, path string, body any) {
	cl.send(http.MethodPost, address, path, body)
}

func (cl *cluster) send(method, address, path string, body any) {
	data, err := json.Marshal(body)
	qt.Assert(cl.t, err, qt.IsNil)
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	qt.Assert(cl.t, err, qt.IsNil)
	response, err := http.DefaultClient.Do(request)
	qt.Assert(cl.t, err, qt.IsNil)
	_, err = io.Copy(io.Discard, response.Body)
	qt.Check(cl.t, err, qt.IsNil)
	response.Body.Close()
}

func (cl *cluster) get(address, path string, out any) {
	response, err := http.Get("http://" + address + path)
	qt.Assert(cl.t, err, qt.IsNil)
	defer response.Body.Close()
	qt.Assert(cl.t, json.NewDecoder(response.Body).Decode(out), qt.IsNil)
}

// refreshReady probes the entry hosts as a load balancer does, and returns the
// number of those that are ready.
func (cl *cluster) refreshReady() int {
	client := http.Client{Timeout: 300 * time.Millisecond}
	var ready []string
	for _, e := range cl.entryHosts {
		response, err := client.Get("http://" + e.Listen.String() + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusNoContent {
			ready = append(ready, e.Listen.String())
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.ready = ready
	return len(ready)
}

// pick returns the address of a random ready entry host, or of the first one if
// none is ready.
func (cl *cluster) pick() string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.ready) == 0 {
		return cl.entryHosts[0].Listen.String()
	}
	return cl.ready[rand.IntN(len(cl.ready))]
}
