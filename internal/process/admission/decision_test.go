package admission_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/dandelionlift/dandelionlift/internal/process/admission"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// BenchmarkAdmission admits and releases one call at a time, after each
// organisation has made one call, and reports the heap that the Controller uses for
// them.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{5, 100, 5_000} {
		b.Run(fmt.Sprintf("organisations=%d", n), func(b *testing.B) {
			before := heap()
			g := admission.New(
				func(identity.Service) admission.Service {
					return admission.Service{Slots: 500, FirstTokenTarget: target}
				},
				func(identity.Organisation) admission.Organisation {
					return admission.Organisation{Weight: 1, TokensPerSecond: 1 << 40}
				})
			ids := make([]identity.Organisation, n)
			for i := range ids {
				ids[i] = identity.Organisation(fmt.Sprint(i))
			}
			call := func(i int) {
				release, failure := g.Admit(context.Background(), admission.Call{Service: "s", Organisation: ids[i%n], Tokens: 100})
				if failure != nil {
					b.Fatal(failure)
				}
				release()
			}
			for i := range n {
				call(i)
			}
			state := heap() - before
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				call(i)
				i++
			}
			b.ReportMetric(float64(state), "state_B")
			runtime.KeepAlive(g)
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
