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

var sizes = []int{10, 100, 750, 12_000}

// known fills a book and an index as a host has them: each of at most 40
// endpoints that it asks holds 1,875 blocks.
func known(n int) (route.Knowledge, *prefix.Index) {
	book, index := dispatch.New(), prefix.New()
	for i := range n {
		of := identity.Incarnation(fmt.Sprintf("i%d", i))
		book.Begin(identity.Request(fmt.Sprint(i)), of, 100, at)
		if i >= 40 {
			continue
		}
		var blocks []engine.Block
		for b := range uint64(1875) {
			blocks = append(blocks, engine.Block(b*40+uint64(i)))
		}
		index.Resync(of, 1, blocks)
	}
	return route.Knowledge{Own: book.Own, Cached: index.Cached, Holder: index.Holder, Hosts: 24}, index
}

func conversation() route.Ask {
	ask := route.Ask{Service: "model", PromptTokens: 3200, MaxTokens: 200}
	for b := range uint64(100) {
		ask.Blocks = append(ask.Blocks, engine.Block(b*40+3))
	}
	return ask
}

func BenchmarkRouteChoose(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			config, list := deployment(n, "a", "b", "c")
			tbl, ask, random := table(config, list, nil), conversation(), rand.New(rand.NewPCG(1, 1))
			know, _ := known(n)
			var d route.Decision
			b.ReportAllocs()
			for b.Loop() {
				tbl.Choose(&ask, &know, at, random, &d)
			}
		})
	}
}

// BenchmarkRouteTable is what each new snapshot costs, with the bytes that a
// table and a host's index hold.
func BenchmarkRouteTable(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			config, list := deployment(n, "a", "b", "c")
			before := heap()
			kept := table(config, list, nil)
			state := heap() - before
			_, index := known(n)
			indexed := heap() - before - state
			b.ReportAllocs()
			for b.Loop() {
				table(config, list, nil)
			}
			b.ReportMetric(float64(state), "table_B")
			b.ReportMetric(float64(indexed), "book_and_index_B")
			runtime.KeepAlive(kept)
			runtime.KeepAlive(index)
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A decision at 750 endpoints, a zone of the target size, allocates nothing.
func TestRouteChooseAllocatesNothing(t *testing.T) {
	config, list := deployment(750, "a", "b", "c")
	tbl, ask, random := table(config, list, nil), conversation(), rand.New(rand.NewPCG(1, 1))
	know, _ := known(750)
	var d route.Decision
	if n := testing.AllocsPerRun(1000, func() { tbl.Choose(&ask, &know, at, random, &d) }); n != 0 {
		t.Fatalf("%v allocations a decision", n)
	}
}
