package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// pair returns a balancer with the endpoints a and b in its zone.
func pair(now time.Time) (*balance.Balancer, *advice.Keeper, []fleet.Endpoint) {
	said := advice.New(limit.New())
	b := balance.New("z", func(identity.Zone) identity.Region { return "r" }, balance.WithAdvice(said))
	list := []fleet.Endpoint{
		{Incarnation: "a", Service: "s", Zone: "z", Slots: 8, Software: "v1", FirstSeen: now},
		{Incarnation: "b", Service: "s", Zone: "z", Slots: 8, Software: "v1", FirstSeen: now},
	}
	b.SetEndpoints(list)
	return b, said, list
}

// A silent call is given up only for an endpoint that takes it: one that is leaving, wants
// no calls or may not serve it would leave the call without any. A call that has no part of
// its answer yet may go to other software: an endpoint that is the only one of its version
// would keep it until its deadline.
func TestOtherEndpointTakesCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		change func(said *advice.Keeper, other *fleet.Endpoint)
		// unbound is the result for a call without a part of its answer, bound for a stream
		// that has begun.
		unbound, bound bool
	}{
		{"sound", func(*advice.Keeper, *fleet.Endpoint) {}, true, true},
		{"entry says leaving", func(_ *advice.Keeper, other *fleet.Endpoint) { other.Leaving = true }, false, false},
		{"answer says leaving", func(said *advice.Keeper, other *fleet.Endpoint) {
			said.Record(now, other.Incarnation, advice.Advice{Leaving: true}, true, 0)
		}, false, false},
		{"wants no calls", func(said *advice.Keeper, other *fleet.Endpoint) {
			said.Record(now, other.Incarnation, advice.Advice{Quiet: time.Second}, false, 0)
		}, false, false},
		{"other software", func(_ *advice.Keeper, other *fleet.Endpoint) { other.Software = "v2" }, true, false},
		{"begins no streams yet", func(_ *advice.Keeper, other *fleet.Endpoint) { other.Held = true }, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			b, said, list := pair(now)
			test.change(said, &list[1])
			b.SetEndpoints(list)
			call := balance.Call{Service: &catalogue.Service{ID: "s"}}
			c.Check(b.HasOther(now, call, list[0]), qt.Equals, test.unbound)
			call.Software = &list[0].Software
			c.Check(b.HasOther(now, call, list[0]), qt.Equals, test.bound)
		})
	}
}

// One long silence of a call counts as one failure, however the call ends, so that a sound
// endpoint isn't ejected for it. Silence under several calls ejects an endpoint briefly,
// and calls still find one if all are silent.
func TestSilenceEjectsBriefly(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b, _, list := pair(now)
	call := balance.Call{Service: &catalogue.Service{ID: "s"}}
	start := func(e fleet.Endpoint) *balance.OutstandingCall {
		return b.Start(now, balance.Choice{Endpoint: e}, call)
	}
	ejected := func(e fleet.Endpoint) bool { return b.LocalLoads(now)[e.Incarnation].Ejected }

	silent := start(list[0])
	silent.RecordSilence(now)
	silent.RecordSilence(now)
	c.Check(ejected(list[0]), qt.IsFalse)
	silent.End(now, balance.Failed)
	c.Check(ejected(list[0]), qt.IsFalse)

	for _, e := range list {
		for range 2 {
			start(e).RecordSilence(now)
		}
		c.Check(ejected(e), qt.IsTrue)
	}
	_, found := b.Choose(now, call)
	c.Check(found, qt.IsTrue)
	now = now.Add(2 * time.Second)
	for _, e := range list {
		c.Check(ejected(e), qt.IsFalse)
	}
}
