package fleet_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

func endpoints(n int) []fleet.Endpoint {
	list := make([]fleet.Endpoint, n)
	for i := range list {
		list[i].Host = identity.Host(fmt.Sprintf("host-%05d", i))
		list[i].Service = "drafts"
	}
	return list
}

func TestFind(t *testing.T) {
	c := qt.New(t)
	s := fleet.New("entry", "a", configuration.Configuration{}, endpoints(100))
	for _, e := range s.Endpoints {
		found, ok := s.Find(e.Host)
		c.Check(ok, qt.IsTrue)
		c.Check(found.Host, qt.Equals, e.Host)
	}
	for _, host := range []identity.Host{"", "host-00000x", "zzz"} {
		_, ok := s.Find(host)
		c.Check(ok, qt.IsFalse)
	}
	c.Check(s.Serving("drafts"), qt.HasLen, 100)
	c.Check(s.Serving("other"), qt.HasLen, 0)
}

// BenchmarkFind measures the lookup that each open stream makes ten times a
// second.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 100, 750, 12_000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := fleet.New("entry", "a", configuration.Configuration{}, endpoints(n))
			last := s.Endpoints[n-1].Host
			for b.Loop() {
				s.Find(last)
			}
		})
	}
}
