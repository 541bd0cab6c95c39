package route_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/dispatch"
	"github.com/dandelionlift/dandelionlift/internal/process/prefix"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/route"
)

var endpointCounts = []int{10, 100, 750, 12_000}

// localState returns an entry host's state for n endpoints, of which it indexes the
// first 40 with 1,875 cached blocks each.
func localState(n int) (route.LocalState, *prefix.Index) {
	tracker, index := dispatch.New(), prefix.New()
	for i := range n {
		incarnation := identity.Incarnation(fmt.Sprintf("i%d", i))
		tracker.Begin(identity.Request(fmt.Sprint(i)), incarnation, 100, testTime)
		if i >= 40 {
			continue
		}
		var blocks []engine.Block
		for b := range uint64(1875) {
			blocks = append(blocks, engine.Block(b*40+uint64(i)))
		}
		index.Resync(incarnation, 1, blocks)
	}
	return route.LocalState{Dispatches: tracker.Dispatches, Cached: index.Cached, Holder: index.Holder, Hosts: 24}, index
}

func longPrompt() route.Call {
	call := route.Call{Service: "model", PromptTokens: 3200, MaxTokens: 200}
	for b := range uint64(100) {
		call.Blocks = append(call.Blocks, engine.Block(b*40+3))
	}
	return call
}

func BenchmarkRouteChoose(b *testing.B) {
	for _, n := range endpointCounts {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			config, list := deployment(n, "a", "b", "c")
			tbl, call, random := newTable(config, list, nil), longPrompt(), rand.New(rand.NewPCG(1, 1))
			local, _ := localState(n)
			var d route.Decision
			b.ReportAllocs()
			for b.Loop() {
				tbl.Choose(&call, &local, testTime, random, &d)
			}
		})
	}
}

// BenchmarkRouteTable measures the work for each new snapshot, and the memory of a
// table and of a host's dispatch tracker and prefix index.
func BenchmarkRouteTable(b *testing.B) {
	for _, n := range endpointCounts {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			config, list := deployment(n, "a", "b", "c")
			before := heapBytes()
			kept := newTable(config, list, nil)
			tableBytes := heapBytes() - before
			_, index := localState(n)
			bookAndIndexBytes := heapBytes() - before - tableBytes
			b.ReportAllocs()
			for b.Loop() {
				newTable(config, list, nil)
			}
			b.ReportMetric(float64(tableBytes), "table_B")
			b.ReportMetric(float64(bookAndIndexBytes), "book_and_index_B")
			runtime.KeepAlive(kept)
			runtime.KeepAlive(index)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A decision over 750 endpoints must not allocate.
func TestRouteChooseAllocatesNothing(t *testing.T) {
	config, list := deployment(750, "a", "b", "c")
	tbl, call, random := newTable(config, list, nil), longPrompt(), rand.New(rand.NewPCG(1, 1))
	local, _ := localState(750)
	var d route.Decision
	if n := testing.AllocsPerRun(1000, func() { tbl.Choose(&call, &local, testTime, random, &d) }); n != 0 {
		t.Fatalf("%v allocations per decision", n)
	}
}
