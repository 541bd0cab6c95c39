package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// A stream that begins at a version of which not all hosts can know may be taken up at
// another version. One that has begun there can go on nowhere else.
func TestHeldEndpointOnlyGoesOnWithStreams(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := balance.New("z", func(identity.Zone) identity.Region { return "r" })
	list := []fleet.Endpoint{{Incarnation: "new", Service: "s", Zone: "z", Slots: 8, Software: "v2", Held: true, FirstSeen: now}}
	for _, id := range []identity.Incarnation{"a", "b"} {
		list = append(list, fleet.Endpoint{Incarnation: id, Service: "s", Zone: "z", Slots: 8, Software: "v1", FirstSeen: now})
	}
	b.SetEndpoints(list)
	service := &catalogue.Service{ID: "s"}
	for range 50 {
		choice, found := b.Choose(now, balance.Call{Service: service})
		c.Assert(found, qt.IsTrue)
		c.Assert(choice.Endpoint.Software, qt.Equals, identity.Software("v1"))
	}
	software := identity.Software("v2")
	choice, found := b.Choose(now, balance.Call{Service: service, Software: &software})
	c.Assert(found, qt.IsTrue)
	c.Check(choice.Endpoint.Incarnation, qt.Equals, identity.Incarnation("new"))
}
