package reclaim_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/reclaim"
	"github.com/dandelionlift/dandelionlift/internal/standin/engine"
	"github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const notice = 30 * time.Second

// scene is one leaving endpoint, two that stay, and two entry hosts, of which
// first is the one that carries.
func scene(t *testing.T, blocks int) (w *world, first, second *entry) {
	w = newWorld(t)
	w.endpoint("source", "a", 60_000)
	w.endpoint("near", "a", 60_000)
	w.endpoint("far", "b", 60_000)
	w.fill("source", 1, 10, blocks/10)
	hosts := []identity.Host{"entry-1", "entry-2"}
	w.setLive(hosts...)
	if reclaim.First(hosts, "source") != hosts[0] {
		hosts[0], hosts[1] = hosts[1], hosts[0]
	}
	return w, w.start(hosts[0]), w.start(hosts[1])
}

func (w *world) stop(entries ...*entry) {
	for _, e := range entries {
		e.cancel()
	}
	qt.Check(w.t, w.group.Wait(), qt.IsNil)
}

// carried counts the blocks that can be used at either target.
func (w *world) carried() int {
	near, all := w.held("near")
	far, more := w.held("far")
	usable := 0
	for b, ok := range far {
		near[b] = near[b] || ok
	}
	for _, ok := range near {
		if ok {
			usable++
		}
	}
	qt.Check(w.t, usable <= all+more, qt.IsTrue)
	return usable
}

func TestReclaimFromNoticeToLastByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, first, second := scene(t, 200)
		w.leave("source", notice)
		time.Sleep(notice)
		w.remove("source")
		time.Sleep(time.Second)
		qt.Check(t, w.carried(), qt.Equals, 200)
		var story []string
		for _, e := range first.Record.History("source") {
			story = append(story, string(e.What))
		}
		qt.Check(t, strings.Join(story, " "), qt.Equals, "noticed carry_claimed carried carried carry_done gone")
		qt.Check(t, first.Record.Rows("source")[0], qt.HasLen, len(reclaim.Columns))
		qt.Check(t, second.Record.History("source"), qt.HasLen, 2)
		w.stop(first, second)
	})
}

// The host that carries is killed at each of its calls to the platform and the
// engines, before the call takes effect or after; the other one ends the work.
func TestReclaimKilledAtEachStep(t *testing.T) {
	const blocks = 40
	for killAt := 1; killAt < 2*blocks+10; killAt++ {
		for _, after := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				w, first, second := scene(t, blocks)
				first.killAt, first.killAfter = killAt, after
				w.leave("source", notice)
				time.Sleep(5 * time.Second)
				w.setLive(second.Host)
				time.Sleep(notice)
				comment := qt.Commentf("killed at call %d, after %v", killAt, after)
				qt.Check(t, w.carried(), qt.Equals, blocks, comment)
				doubled := 0
				for _, n := range w.imports {
					doubled += n - 1
				}
				// Each target may have had one block under way.
				qt.Check(t, doubled <= 2, qt.IsTrue, qt.Commentf("%d imports doubled, %v", doubled, comment))
				w.stop(first, second)
			})
		}
	}
}

// Each fault leaves whole prefixes behind, and the story tells of it.
func TestReclaimUnderFaults(t *testing.T) {
	const blocks = 200
	cases := []struct {
		name  string
		fault func(w *world, first *entry)
		least int
	}{
		{"endpoint dies unannounced", func(w *world, _ *entry) { w.remove("source") }, 1},
		{"target dies", func(w *world, _ *entry) { w.remove("near") }, blocks},
		{"key-value service down", func(w *world, _ *entry) { w.kv.SetFaults(keyvalue.Faults{Down: true}) }, blocks},
		{"its answers lost", func(w *world, _ *entry) { w.kv.SetFaults(keyvalue.Faults{LoseAnswerEvery: 1}) }, blocks},
		{"new host on the target's address", func(w *world, _ *entry) {
			e := engine.New("s", "successor", engine.DefaultSpeed, engine.NewRecords())
			w.mu.Lock()
			defer w.mu.Unlock()
			w.engines["successor"] = e
			w.handlers[w.fleet[1].Address.String()] = e.Handler()
		}, blocks},
		{"target takes no imports", func(w *world, _ *entry) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.handlers[w.fleet[1].Address.String()] = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPut {
					<-r.Context().Done()
				}
				w.engines["near"].Handler().ServeHTTP(rw, r)
			})
		}, blocks},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, first, second := scene(t, blocks)
				w.leave("source", notice)
				time.Sleep(time.Second)
				tc.fault(w, first)
				time.Sleep(notice)
				usable := w.carried()
				if strings.Contains(tc.name, "target") {
					_, usable = w.held("far")
				}
				qt.Check(t, usable >= tc.least, qt.IsTrue, qt.Commentf("%d", usable))
				if _, ok := w.engines["successor"]; ok {
					_, all := w.held("successor")
					qt.Check(t, all, qt.Equals, 0)
				}
				w.stop(first, second)
			})
		})
	}
}

// A carrier that was only thought dead stops once its successor holds the claim.
func TestReclaimSupersededCarrierStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, first, second := scene(t, 1800)
		w.leave("source", notice)
		time.Sleep(time.Second)
		w.setLive(second.Host)
		time.Sleep(notice)
		w.remove("source")
		time.Sleep(time.Second)
		last := first.Record.History("source")
		qt.Check(t, last[len(last)-2].What, qt.Equals, reclaim.Abandoned, qt.Commentf("%v", last))
		qt.Check(t, last[len(last)-2].Note, qt.Matches, "claim taken over.*")
		w.stop(first, second)
	})
}

// When a whole zone leaves, what stays is not pushed out of its caches.
func TestReclaimWaveSparesTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		for i := range 6 {
			host := identity.Host(fmt.Sprint("source-", i))
			w.endpoint(host, "a", 3200)
			w.fill(host, 1000*wire.Block(i+1), 5, 20)
		}
		for i := range 2 {
			host := identity.Host(fmt.Sprint("stays-", i))
			w.endpoint(host, "b", 6400)
			w.fill(host, 100_000*wire.Block(i+1), 5, 20)
		}
		w.setLive("entry-1")
		first := w.start("entry-1")
		for i := range 6 {
			w.leave(identity.Host(fmt.Sprint("source-", i)), notice)
		}
		time.Sleep(notice)
		for i := range 2 {
			usable, all := w.held(identity.Host(fmt.Sprint("stays-", i)))
			qt.Check(t, all > 120, qt.IsTrue, qt.Commentf("%d", all))
			for b := range wire.Block(100) {
				qt.Check(t, usable[100_000*wire.Block(i+1)+b], qt.IsTrue)
			}
		}
		w.stop(first)
	})
}

// An entry that arrives in part, or for another incarnation, is never used.
func TestReclaimHalfAnEntryIsNotUsed(t *testing.T) {
	w := newWorld(t)
	w.endpoint("near", "a", 6400)
	for body, incarnation := range map[string]string{
		`{"id":"1","block":1,"tok`: "near",
		`{"id":"1","block":1}`:     "predecessor",
		`{"id":"2","block":2}`:     "near",
	} {
		request := httptest.NewRequest(http.MethodPut, "/v1/kv_entries/1", strings.NewReader(body))
		request.Header.Set("Dandelionlift-Incarnation", incarnation)
		answer := httptest.NewRecorder()
		w.engines["near"].Handler().ServeHTTP(answer, request)
		qt.Check(t, answer.Code >= 400, qt.IsTrue)
	}
	_, all := w.held("near")
	qt.Check(t, all, qt.Equals, 0)
}
