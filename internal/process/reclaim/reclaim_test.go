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

// newScenario starts an endpoint that will leave, two that stay, and two entry
// hosts, of which first is the one that handles the leaving endpoint.
func newScenario(t *testing.T, blocks int) (c *cluster, first, second *entryHost) {
	c = newCluster(t)
	c.addEndpoint("source", "a", 60_000)
	c.addEndpoint("near", "a", 60_000)
	c.addEndpoint("far", "b", 60_000)
	c.fillCache("source", 1, 10, blocks/10)
	hosts := []identity.Host{"entry-1", "entry-2"}
	c.setLive(hosts...)
	if reclaim.AssignedHost(hosts, "source") != hosts[0] {
		hosts[0], hosts[1] = hosts[1], hosts[0]
	}
	return c, c.startEntry(hosts[0]), c.startEntry(hosts[1])
}

func (c *cluster) stopEntries(entries ...*entryHost) {
	for _, e := range entries {
		e.cancel()
	}
	qt.Check(c.t, c.group.Wait(), qt.IsNil)
}

// countTransferred returns the number of blocks usable at either target.
func (c *cluster) countTransferred() int {
	near, nearCount := c.cachedBlocks("near")
	far, farCount := c.cachedBlocks("far")
	usable := 0
	for b, ok := range far {
		near[b] = near[b] || ok
	}
	for _, ok := range near {
		if ok {
			usable++
		}
	}
	qt.Check(c.t, usable <= nearCount+farCount, qt.IsTrue)
	return usable
}

func TestReclaimTransfersWholeCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, first, second := newScenario(t, 200)
		c.announceLeave("source", notice)
		time.Sleep(notice)
		c.remove("source")
		time.Sleep(time.Second)
		qt.Check(t, c.countTransferred(), qt.Equals, 200)
		var events []string
		for _, e := range first.Record.History("source") {
			events = append(events, string(e.Type))
		}
		qt.Check(t, strings.Join(events, " "), qt.Equals, "noticed carry_claimed carried carried carry_done gone")
		qt.Check(t, first.Record.HistoryRows("source")[0], qt.HasLen, len(reclaim.HistoryColumns))
		qt.Check(t, second.Record.History("source"), qt.HasLen, 2)
		c.stopEntries(first, second)
	})
}

// The host that transfers the cache is killed at each of its calls to the
// key-value service and the engines, before or after the call takes effect. The
// other host must complete the transfer.
func TestReclaimKilledAtEachStep(t *testing.T) {
	const blocks = 40
	for killAt := 1; killAt < 2*blocks+10; killAt++ {
		for _, after := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				c, first, second := newScenario(t, blocks)
				first.killAt, first.killAfter = killAt, after
				c.announceLeave("source", notice)
				time.Sleep(5 * time.Second)
				c.setLive(second.Host)
				time.Sleep(notice)
				comment := qt.Commentf("killed at call %d, after %v", killAt, after)
				qt.Check(t, c.countTransferred(), qt.Equals, blocks, comment)
				duplicates := 0
				for _, n := range c.imports {
					duplicates += n - 1
				}
				// Each of the two targets may have had one block in flight.
				qt.Check(t, duplicates <= 2, qt.IsTrue, qt.Commentf("%d duplicate imports, %v", duplicates, comment))
				c.stopEntries(first, second)
			})
		}
	}
}

// After each fault the targets hold at least minUsable usable blocks.
func TestReclaimUnderFaults(t *testing.T) {
	const blocks = 200
	cases := []struct {
		name      string
		fault     func(c *cluster, first *entryHost)
		minUsable int
	}{
		{"endpoint dies before its deadline", func(c *cluster, _ *entryHost) { c.remove("source") }, 1},
		{"target dies", func(c *cluster, _ *entryHost) { c.remove("near") }, blocks},
		{"key-value service down", func(c *cluster, _ *entryHost) { c.kv.SetFaults(keyvalue.Faults{Down: true}) }, blocks},
		{"key-value service answers lost", func(c *cluster, _ *entryHost) { c.kv.SetFaults(keyvalue.Faults{LoseAnswerEvery: 1}) }, blocks},
		{"new host on the target's address", func(c *cluster, _ *entryHost) {
			e := engine.New("s", "successor", engine.DefaultSpeed, engine.NewRecords())
			c.mu.Lock()
			defer c.mu.Unlock()
			c.engines["successor"] = e
			c.handlers[c.endpoints[1].Address.String()] = e.Handler()
		}, blocks},
		{"target takes no imports", func(c *cluster, _ *entryHost) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.handlers[c.endpoints[1].Address.String()] = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPut {
					<-r.Context().Done()
				}
				c.engines["near"].Handler().ServeHTTP(rw, r)
			})
		}, blocks},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, first, second := newScenario(t, blocks)
				c.announceLeave("source", notice)
				time.Sleep(time.Second)
				tc.fault(c, first)
				time.Sleep(notice)
				usable := c.countTransferred()
				if strings.Contains(tc.name, "target") {
					_, usable = c.cachedBlocks("far")
				}
				qt.Check(t, usable >= tc.minUsable, qt.IsTrue, qt.Commentf("%d", usable))
				if _, ok := c.engines["successor"]; ok {
					_, all := c.cachedBlocks("successor")
					qt.Check(t, all, qt.Equals, 0)
				}
				c.stopEntries(first, second)
			})
		})
	}
}

// A wrongly suspected host abandons its transfer once its successor holds the claim.
func TestReclaimSupersededHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, first, second := newScenario(t, 1800)
		c.announceLeave("source", notice)
		time.Sleep(time.Second)
		c.setLive(second.Host)
		time.Sleep(notice)
		c.remove("source")
		time.Sleep(time.Second)
		last := first.Record.History("source")
		qt.Check(t, last[len(last)-2].Type, qt.Equals, reclaim.TransferAbandoned, qt.Commentf("%v", last))
		qt.Check(t, last[len(last)-2].Note, qt.Matches, "claim taken over.*")
		c.stopEntries(first, second)
	})
}

// When a whole zone leaves, imports must not evict the targets' own entries.
func TestReclaimOfZoneEvictsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for i := range 6 {
			host := identity.Host(fmt.Sprint("source-", i))
			c.addEndpoint(host, "a", 3200)
			c.fillCache(host, 1000*wire.Block(i+1), 5, 20)
		}
		for i := range 2 {
			host := identity.Host(fmt.Sprint("stays-", i))
			c.addEndpoint(host, "b", 6400)
			c.fillCache(host, 100_000*wire.Block(i+1), 5, 20)
		}
		c.setLive("entry-1")
		first := c.startEntry("entry-1")
		for i := range 6 {
			c.announceLeave(identity.Host(fmt.Sprint("source-", i)), notice)
		}
		time.Sleep(notice)
		for i := range 2 {
			usable, all := c.cachedBlocks(identity.Host(fmt.Sprint("stays-", i)))
			qt.Check(t, all > 120, qt.IsTrue, qt.Commentf("%d", all))
			for b := range wire.Block(100) {
				qt.Check(t, usable[100_000*wire.Block(i+1)+b], qt.IsTrue)
			}
		}
		c.stopEntries(first)
	})
}

// An engine refuses an entry that is truncated, has the wrong id, or is meant for
// another incarnation.
func TestEngineRefusesInvalidImports(t *testing.T) {
	c := newCluster(t)
	c.addEndpoint("near", "a", 6400)
	for body, incarnation := range map[string]string{
		`{"id":"1","block":1,"tok`: "near",
		`{"id":"1","block":1}`:     "predecessor",
		`{"id":"2","block":2}`:     "near",
	} {
		request := httptest.NewRequest(http.MethodPut, "/v1/kv_entries/1", strings.NewReader(body))
		request.Header.Set("Dandelionlift-Incarnation", incarnation)
		answer := httptest.NewRecorder()
		c.engines["near"].Handler().ServeHTTP(answer, request)
		qt.Check(t, answer.Code >= 400, qt.IsTrue)
	}
	_, all := c.cachedBlocks("near")
	qt.Check(t, all, qt.Equals, 0)
}
