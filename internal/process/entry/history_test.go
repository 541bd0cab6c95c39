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

// filing is one call under a key, or the last count of what ran.
type filing struct {
	key, body string
	count     bool
}

// outcome is what a caller was told, or the count.
type outcome struct {
	verdict string
	body    string
	runs    int
}

const answered = "answered"

// ran is the state of one key: how often it ran, and with which body.
type ran struct {
	runs int
	body string
}

// atMostOnce says what may be told of calls under one key. A call that was told
// not_run leaves the key alone; one that may have run did so once or not at all.
var atMostOnce = porcupine.NondeterministicModel{
	Partition: byKey,
	Init:      func() []interface{} { return []interface{}{ran{}} },
	Step: func(state, in, out interface{}) []interface{} {
		var next []interface{}
		for _, s := range steps(state.(ran), in.(filing), out.(outcome)) {
			next = append(next, s)
		}
		return next
	},
}

func byKey(all []porcupine.Operation) [][]porcupine.Operation {
	keys := make(map[string][]porcupine.Operation)
	for _, o := range all {
		key := o.Input.(filing).key
		keys[key] = append(keys[key], o)
	}
	return slices.Collect(maps.Values(keys))
}

// steps gives the states that a key may be in after an operation.
func steps(state ran, in filing, out outcome) []ran {
	run := ran{runs: 1, body: in.body}
	switch {
	case in.count:
		if out.runs == state.runs {
			return []ran{state}
		}
		return nil
	case out.verdict == "not_run":
		return []ran{state}
	case out.verdict == answered || out.verdict == "ran":
		right := out.verdict == "ran" || out.body == in.body
		if right && (state.runs == 0 || state == run) {
			return []ran{run}
		}
		return nil
	case state.runs == 0:
		return []ran{state, run}
	default:
		return []ran{state}
	}
}

// history collects the operations of all callers.
type history struct {
	mu         sync.Mutex
	operations []porcupine.Operation
	// wrong are answers that were not the caller's own, or not true.
	wrong []string
	// refused are requests that were told not_run.
	refused []string
}

func (h *history) add(caller int, in filing, out outcome, began time.Time) {
	end := time.Now().UnixNano()
	if out.verdict != answered && out.verdict != "not_run" && out.verdict != "ran" && !in.count {
		// It may take effect at any time from now on.
		end = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: caller, Input: in, Output: out, Call: began.UnixNano(), Return: end,
	})
}

// misbehave makes ledgers and the key-value service fail as seed says.
func misbehave(d *deployment, seed uint64) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	d.front = func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		fault, late := random.IntN(10), time.Duration(random.IntN(13_000))*time.Millisecond
		mu.Unlock()
		switch {
		case r.URL.Path == engine.LoadPath || fault > 3:
			return false
		case fault == 0:
			panic(http.ErrAbortHandler)
		case fault == 1:
			w.Header().Set(engine.RequestHeader, r.Header.Get(engine.RequestHeader))
			w.Header().Set(engine.RefusedHeader, "not_run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		case fault == 2:
			time.Sleep(late)
			return false
		default:
			d.reached.Store(r.Header.Get(engine.RequestHeader), true)
			d.filed.Run(r.URL.Path[len("/filings/"):])
			panic(http.ErrAbortHandler)
		}
	}
	d.group.Go(func() error {
		weather := rand.New(rand.NewPCG(seed, 2))
		for range 8 {
			d.service.SetFaults([]standinkv.Faults{
				{}, {LoseAnswerEvery: 2}, {Down: true}, {DelayMillis: int64(weather.IntN(4000))}, {LoseAnswerEvery: 3},
			}[weather.IntN(5)])
			cut := d.hosts[weather.IntN(len(d.hosts))].address.Addr()
			if weather.IntN(4) == 0 {
				d.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: from == cut || to == cut} })
			}
			if !pauseFor(d.ctx, time.Duration(weather.IntN(5000))*time.Millisecond) {
				return nil
			}
			d.network.SetRule(nil)
		}
		d.service.SetFaults(standinkv.Faults{})
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

// runHistory lets callers file under few keys through several entry hosts.
func runHistory(seed uint64, change variant) (*history, porcupine.CheckResult) {
	h := new(history)
	d := newDeployment(historyHosts, 2, 2, change)
	defer d.stop()
	misbehave(d, seed)
	var group errgroup.Group
	for caller := range historyCallers {
		group.Go(func() error {
			random := rand.New(rand.NewPCG(seed, uint64(10+caller)))
			for i := range historyCalls {
				h.file(d, caller, random)
				if i%4 == 3 {
					h.draft(d, caller, random)
				}
				time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			}
			h.draft(d, caller, random)
			return nil
		})
	}
	leaver := rand.New(rand.NewPCG(seed, 3))
	time.Sleep(time.Duration(leaver.IntN(20_000)) * time.Millisecond)
	d.hosts[leaver.IntN(len(d.hosts))].server.HandOver(d.ctx)
	_ = group.Wait()
	time.Sleep(time.Minute) // Late calls end.
	for _, request := range h.refused {
		if _, ran := d.reached.Load(request); ran {
			h.wrong = append(h.wrong, request+" was told not_run and ran")
		}
	}
	for key := range historyKeys {
		name := fmt.Sprint("key-", key)
		began := time.Now()
		h.add(historyCallers, filing{key: name, count: true}, outcome{runs: d.filed.Runs(name)}, began)
	}
	return h, porcupine.CheckOperationsTimeout(atMostOnce.ToModel(), h.operations, 0)
}

// file makes one call that may not be repeated.
func (h *history) file(d *deployment, caller int, random *rand.Rand) {
	in := filing{key: fmt.Sprint("key-", random.IntN(historyKeys)), body: fmt.Sprint("body-", random.IntN(8)/7)}
	host := d.hosts[random.IntN(len(d.hosts))]
	began := time.Now()
	got := d.call(caller, host, http.MethodPost, "/v1/services/ledger/filings/"+in.key, in.key, in.body)
	out := outcome{verdict: got.verdict}
	if got.err == nil && got.status == http.StatusOK {
		var f ledger.Filing
		if json.Unmarshal([]byte(got.body), &f) != nil || f.ID != in.key || f.Runs != 1 {
			h.mu.Lock()
			h.wrong = append(h.wrong, fmt.Sprintf("%+v got %s", in, got.body))
			h.mu.Unlock()
		}
		out = outcome{verdict: answered, body: f.Body}
	}
	h.add(caller, in, out, began)
	if got.verdict == "not_run" && got.request != "" {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.refused = append(h.refused, got.request)
	}
}

// draft makes a model call, whose answer must be the caller's own.
func (h *history) draft(d *deployment, caller int, random *rand.Rand) {
	prompt := fmt.Sprintf("prompt of %d %d", caller, random.IntN(1000))
	text, got := d.complete(caller, d.hosts[random.IntN(len(d.hosts))], prompt, 100)
	if got.reason == "host_stopping" && got.verdict == "may_have_run" {
		got = d.call(caller, d.hosts[random.IntN(len(d.hosts))], http.MethodGet, "/v1/requests/"+got.request, "", "")
		text = completionText(got.body)
	}
	if got.err == nil && got.status == http.StatusOK && text != standinengine.Text(prompt, 100) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.wrong = append(h.wrong, fmt.Sprintf("%s got %s", prompt, got.body))
	}
}

// TestHistoryOfFilings checks concurrent runs, while the key-value service,
// ledgers and entry hosts fail, against the model of at most one run a key.
func TestHistoryOfFilings(t *testing.T) {
	kinds := make(map[string]int)
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			h, result := runHistory(seed, nil)
			c.Check(h.wrong, qt.HasLen, 0, qt.Commentf("seed %d", seed))
			c.Check(result, qt.Equals, porcupine.Ok, qt.Commentf("seed %d", seed))
			for _, o := range h.operations {
				kinds[o.Output.(outcome).verdict]++
			}
		})
	}
	t.Logf("told: %v", kinds)
	for _, kind := range []string{answered, "not_run", "may_have_run"} {
		qt.Check(t, kinds[kind] > 0, qt.IsTrue, qt.Commentf("no caller was told %s", kind))
	}
}

// TestHistoryCatchesBrokenVariants checks that the checker is worth something.
func TestHistoryCatchesBrokenVariants(t *testing.T) {
	for name, broken := range map[string]variant{
		"claim skipped": func(_ *entry.Server, claims entry.Claims) entry.Claims {
			claims.Claim = func(context.Context, *claim.Entry) claimer.Result { return claimer.Result{Decision: claim.Held} }
			return claims
		},
		"replay allowed": func(s *entry.Server, claims entry.Claims) entry.Claims {
			s.Engine.Fresh = &http.Client{Transport: replaying{base: s.Engine.Fresh.Transport}}
			return claims
		},
		"lost answer taken as failure": func(s *entry.Server, claims entry.Claims) entry.Claims {
			s.Engine.Fresh = &http.Client{Transport: careless{base: s.Engine.Fresh.Transport}}
			return claims
		},
		"unconfirmed claim taken as held": func(_ *entry.Server, claims entry.Claims) entry.Claims {
			sound := claims.Claim
			claims.Claim = func(ctx context.Context, wanted *claim.Entry) claimer.Result {
				result := sound(ctx, wanted)
				if result.Err != nil {
					return claimer.Result{Decision: claim.Held}
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
					h, result := runHistory(seed, broken)
					caught = result == porcupine.Illegal || len(h.wrong) > 0
				})
				if caught {
					t.Logf("caught with seed %d", seed)
					return
				}
			}
			t.Fatal("not caught with any seed")
		})
	}
}

// replaying sends a request again when its connection fails, as net/http does.
type replaying struct{ base http.RoundTripper }

func (t replaying) RoundTrip(r *http.Request) (*http.Response, error) {
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

// careless reports a lost answer as a refusal.
type careless struct{ base http.RoundTripper }

func (t careless) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r)
	if err == nil {
		return response, nil
	}
	header := http.Header{}
	header.Set(engine.RefusedHeader, "not_run")
	header.Set(engine.RequestHeader, r.Header.Get(engine.RequestHeader))
	return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: header, Body: http.NoBody, Request: r}, nil
}
