package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/claimer"
	"github.com/dandelionlift/dandelionlift/internal/process/entry"
	"github.com/dandelionlift/dandelionlift/internal/request/claim"
	standinengine "github.com/dandelionlift/dandelionlift/internal/standin/engine"
	standinkv "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/ledger"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
)

const (
	historySeeds   = 16
	historyHosts   = 3
	historyCallers = 6
	historyCalls   = 10
	historyKeys    = 12
)

// filing is the input of an operation: a call with a key, or the final count of
// the runs under a key.
type filing struct {
	key, body string
	count     bool
}

// outcome is the output of an operation: the caller's reply, or the count.
type outcome struct {
	verdict string
	body    string
	runs    int
}

const answered = "answered"

// keyState is the state of one key: how often its filing ran, and with which
// body.
type keyState struct {
	runs int
	body string
}

// atMostOnce is the model of calls with one key. A call answered with not_run
// does not change the key's state. One that may have run did so once or not at
// all.
var atMostOnce = porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []interface{} { return []interface{}{keyState{}} },
	Step: func(state, in, out interface{}) []interface{} {
		var next []interface{}
		for _, s := range nextStates(state.(keyState), in.(filing), out.(outcome)) {
			next = append(next, s)
		}
		return next
	},
}

func partitionByKey(all []porcupine.Operation) [][]porcupine.Operation {
	keys := make(map[string][]porcupine.Operation)
	for _, o := range all {
		key := o.Input.(filing).key
		keys[key] = append(keys[key], o)
	}
	return slices.Collect(maps.Values(keys))
}

// nextStates returns the states that a key may have after an operation.
func nextStates(state keyState, in filing, out outcome) []keyState {
	ranOnce := keyState{runs: 1, body: in.body}
	switch {
	case in.count:
		if out.runs == state.runs {
			return []keyState{state}
		}
		return nil
	case out.verdict == "not_run":
		return []keyState{state}
	case out.verdict == answered || out.verdict == "ran":
		matches := out.verdict == "ran" || out.body == in.body
		if matches && (state.runs == 0 || state == ranOnce) {
			return []keyState{ranOnce}
		}
		return nil
	case state.runs == 0:
		return []keyState{state, ranOnce}
	default:
		return []keyState{state}
	}
}

// history records the operations of all callers.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	// violations are replies that belong to another call, or that say that a call did
	// not run which did.
	violations []string
	// notRunIDs are the requests that were answered with not_run.
	notRunIDs []string
}

func (h *history) add(caller int, in filing, out outcome, began time.Time) {
	end := time.Now().UnixNano()
	if out.verdict != answered && out.verdict != "not_run" && out.verdict != "ran" && !in.count {
		// The call may take effect at any later time.
		end = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: caller, Input: in, Output: out, Call: began.UnixNano(), Return: end,
	})
}

// injectFaults makes ledgers, the key-value service and the network fail at random
// points determined by seed.
func injectFaults(d *deployment, seed uint64) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	d.ledgerHook = func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		fault, delay := random.IntN(10), time.Duration(random.IntN(13_000))*time.Millisecond
		mu.Unlock()
		switch {
		case r.URL.Path == engine.LoadPath || fault > 3:
			return false
		case fault == 0: // The connection is lost before the call runs.
			panic(http.ErrAbortHandler)
		case fault == 1: // The call is refused.
			w.Header().Set(engine.RequestHeader, r.Header.Get(engine.RequestHeader))
			w.Header().Set(engine.RefusedHeader, "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		case fault == 2: // The call is late.
			time.Sleep(delay)
			return false
		default: // The call runs, but its answer is lost.
			d.ranRequests.Store(r.Header.Get(engine.RequestHeader), true)
			d.filings.CountRun(r.URL.Path[len("/filings/"):])
			panic(http.ErrAbortHandler)
		}
	}
	d.group.Go(func() error {
		faultRandom := rand.New(rand.NewPCG(seed, 2))
		for range 8 {
			d.keyValue.SetFaults([]standinkv.Faults{
				{}, {LoseAnswerEvery: 2}, {Down: true}, {DelayMillis: int64(faultRandom.IntN(4000))}, {LoseAnswerEvery: 3},
			}[faultRandom.IntN(5)])
			isolated := d.hosts[faultRandom.IntN(len(d.hosts))].address.Addr()
			if faultRandom.IntN(4) == 0 {
				d.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: from == isolated || to == isolated} })
			}
			if !pauseFor(d.ctx, time.Duration(faultRandom.IntN(5000))*time.Millisecond) {
				return nil
			}
			d.network.SetRule(nil)
		}
		d.keyValue.SetFaults(standinkv.Faults{})
		return nil
	})
}

func pauseFor(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// runHistory runs callers that make filings with a few keys through several entry
// hosts, and checks the recorded history.
func runHistory(seed uint64, mutate hostMutation) (*history, porcupine.CheckResult) {
	h := new(history)
	d := newDeployment(historyHosts, 2, 2, mutate)
	defer d.stop()
	injectFaults(d, seed)
	var group errgroup.Group
	for caller := range historyCallers {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(seed, uint64(10+caller)))
			for i := range historyCalls {
				h.submitFiling(d, caller, random)
				if i%4 == 3 {
					h.callModel(d, caller, random)
				}
				time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			}
			h.callModel(d, caller, random)
			return nil
		})
	}
	handoverRandom := rand.New(rand.NewPCG(seed, 3))
	time.Sleep(time.Duration(handoverRandom.IntN(20_000)) * time.Millisecond)
	d.hosts[handoverRandom.IntN(len(d.hosts))].server.HandOver(d.ctx)
	_ = group.Wait()
	time.Sleep(time.Minute) // Waits for late calls to end.
	for _, request := range h.notRunIDs {
		if _, ran := d.ranRequests.Load(request); ran {
			h.violations = append(h.violations, request+" was answered with not_run but ran")
		}
	}
	for key := range historyKeys {
		name := fmt.Sprint("key-", key)
		began := time.Now()
		h.add(historyCallers, filing{key: name, count: true}, outcome{runs: d.filings.Runs(name)}, began)
	}
	return h, porcupine.CheckOperationsTimeout(atMostOnce.ToModel(), h.operations, 0)
}

// submitFiling makes one call that may not be repeated.
func (h *history) submitFiling(d *deployment, caller int, random *rand.Rand) {
	// One call in eight has another body than the rest.
	in := filing{key: fmt.Sprint("key-", random.IntN(historyKeys)), body: fmt.Sprint("body-", random.IntN(8)/7)}
	host := d.hosts[random.IntN(len(d.hosts))]
	began := time.Now()
	got := d.call(caller, host, http.MethodPost, "/v1/services/ledger/filings/"+in.key, in.key, in.body)
	out := outcome{verdict: got.verdict}
	if got.err == nil && got.status == http.StatusOK {
		var f ledger.Filing
		if json.Unmarshal([]byte(got.body), &f) != nil || f.ID != in.key || f.Runs != 1 {
			h.mu.Lock()
			h.violations = append(h.violations, fmt.Sprintf("%+v got %s", in, got.body))
			h.mu.Unlock()
		}
		out = outcome{verdict: answered, body: f.Body}
	}
	h.add(caller, in, out, began)
	if got.verdict == "not_run" && got.request != "" {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.notRunIDs = append(h.notRunIDs, got.request)
	}
}

// callModel makes a model call and checks that the answer is that of its prompt.
func (h *history) callModel(d *deployment, caller int, random *rand.Rand) {
	prompt := fmt.Sprintf("prompt of %d %d", caller, random.IntN(1000))
	text, got := d.complete(caller, d.hosts[random.IntN(len(d.hosts))], prompt, 100)
	if got.reason == "host_stopping" && got.verdict == "may_have_run" {
		got = d.call(caller, d.hosts[random.IntN(len(d.hosts))], http.MethodGet, "/v1/requests/"+got.request, "", "")
		text = completionText(got.body)
	}
	if got.err == nil && got.status == http.StatusOK && text != standinengine.ExpectedText(prompt, 100) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.violations = append(h.violations, fmt.Sprintf("%s got %s", prompt, got.body))
	}
}

// TestHistoryOfFilings makes concurrent filings while the key-value service,
// ledgers and entry hosts fail, and checks them against the model of at most one
// run per key.
func TestHistoryOfFilings(t *testing.T) {
	verdicts := make(map[string]int)
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			h, result := runHistory(seed, nil)
			c.Check(h.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
			c.Check(result, qt.Equals, porcupine.Ok, qt.Commentf("seed %d", seed))
			for _, o := range h.operations {
				verdicts[o.Output.(outcome).verdict]++
			}
		})
	}
	t.Logf("verdicts: %v", verdicts)
	for _, kind := range []string{answered, "not_run", "may_have_run"} {
		qt.Check(t, verdicts[kind] > 0, qt.IsTrue, qt.Commentf("no caller got the verdict %s", kind))
	}
}

// TestHistoryCatchesBrokenVariants verifies that the history check detects known
// faults in the entry host.
func TestHistoryCatchesBrokenVariants(t *testing.T) {
	for name, mutate := range map[string]hostMutation{
		"claim skipped": func(_ *entry.Server, claims entry.Claims) entry.Claims {
			claims.Claim = func(context.Context, *claim.Entry) claimer.Result {
				return claimer.Result{Decision: claim.HeldByRequest}
			}
			return claims
		},
		"replay allowed": func(s *entry.Server, claims entry.Claims) entry.Claims {
			s.Engine.NoKeepAliveHTTP = &http.Client{Transport: replayingTransport{base: s.Engine.NoKeepAliveHTTP.Transport}}
			return claims
		},
		"lost answer taken as refusal": func(s *entry.Server, claims entry.Claims) entry.Claims {
			s.Engine.NoKeepAliveHTTP = &http.Client{Transport: refusingTransport{base: s.Engine.NoKeepAliveHTTP.Transport}}
			return claims
		},
		"unconfirmed claim taken as held": func(_ *entry.Server, claims entry.Claims) entry.Claims {
			claimEntry := claims.Claim
			claims.Claim = func(ctx context.Context, wanted *claim.Entry) claimer.Result {
				result := claimEntry(ctx, wanted)
				if result.Err != nil {
					return claimer.Result{Decision: claim.HeldByRequest}
				}
				return result
			}
			return claims
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(historySeeds) {
				caught := false
				synctest.Test(t, func(*testing.T) {
					h, result := runHistory(seed, mutate)
					caught = result == porcupine.Illegal || len(h.violations) > 0
				})
				if caught {
					t.Logf("fault detected with seed %d", seed)
					return
				}
			}
			t.Fatal("fault not detected with any seed")
		})
	}
}

// replayingTransport resends a request if its connection fails, as net/http does.
type replayingTransport struct{ base http.RoundTripper }

func (t replayingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	for range 2 {
		again := r.Clone(r.Context())
		again.Body = io.NopCloser(bytes.NewReader(body))
		response, err := t.base.RoundTrip(again)
		if err == nil {
			return response, nil
		}
	}
	return nil, io.ErrUnexpectedEOF
}

// refusingTransport reports a lost response as a refusal.
type refusingTransport struct{ base http.RoundTripper }

func (t refusingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err == nil {
		return response, nil
	}
	header := http.Header{}
	header.Set(engine.RefusedHeader, "not_run")
	header.Set(engine.RequestHeader, r.Header.Get(engine.RequestHeader))
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: header, Body: http.NoBody, Request: r}, nil
}
