package balance_test

import (
	"fmt"
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

// quietFleet is a fleet in virtual time in which some endpoints refuse all calls for a
// while and name a time for which they want none.
type quietFleet struct {
	now     time.Time
	hosts   []quietHost
	service catalogue.Service
	// refusing is how many of the endpoints refuse calls until refusingUntil.
	refusing      int
	refusingUntil time.Time
	named         time.Duration
	calls, lost   int
}

type quietHost struct {
	*balance.Balancer
	advice *advice.Keeper
	// quietUntil, graceUntil and late hold for each endpoint how long it wants no calls,
	// until when one may still arrive and how many have arrived later.
	quietUntil, graceUntil map[identity.Incarnation]time.Time
	late                   map[identity.Incarnation]int
	ends                   []quietCall
}

type quietCall struct {
	*balance.OutstandingCall
	at time.Time
}

func newQuietFleet(hosts, endpoints, refusing int, named time.Duration) *quietFleet {
	f := &quietFleet{now: time.Unix(1000, 0), service: catalogue.Service{ID: "s"}, refusing: refusing, named: named}
	var list []fleet.Endpoint
	for i := range endpoints {
		list = append(list, fleet.Endpoint{Incarnation: endpointName(i), Service: "s", Zone: identity.Zone(fmt.Sprint("z", i%6)), Slots: 32, FirstSeen: f.now})
	}
	for i := range hosts {
		keeper := advice.New(limit.New())
		b := balance.New(identity.Zone(fmt.Sprint("z", i%6)), func(identity.Zone) identity.Region { return "r" }, balance.WithAdvice(keeper))
		b.SetEndpoints(list)
		f.hosts = append(f.hosts, quietHost{
			Balancer: b, advice: keeper, quietUntil: make(map[identity.Incarnation]time.Time),
			graceUntil: make(map[identity.Incarnation]time.Time), late: make(map[identity.Incarnation]int),
		})
	}
	return f
}

func endpointName(i int) identity.Incarnation { return identity.Incarnation(fmt.Sprint("e", i)) }

// run lets each host send perSecond calls a second for some time. A call takes 200 ms.
func (f *quietFleet) run(perSecond int, duration time.Duration) {
	const step = 10 * time.Millisecond
	interval := time.Second / time.Duration(perSecond)
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		for i := range f.hosts {
			h := &f.hosts[i]
			for len(h.ends) > 0 && !h.ends[0].at.After(f.now) {
				h.ends[0].End(f.now, balance.Succeeded)
				h.ends = h.ends[1:]
			}
			if (f.now.UnixMilli()+int64(i)*10)%interval.Milliseconds() < step.Milliseconds() {
				f.call(h)
			}
		}
	}
}

// call sends a call to up to as many endpoints as a forwarder does.
func (f *quietFleet) call(h *quietHost) {
	f.calls++
	call := balance.Call{Service: &f.service}
	for range 4 {
		choice, found := h.Choose(f.now, call)
		if !found {
			break
		}
		id := choice.Endpoint.Incarnation
		if f.now.After(h.graceUntil[id]) && f.now.Before(h.quietUntil[id]) {
			h.late[id]++
		}
		outstanding := h.Start(f.now, choice, call)
		if !f.refuses(id) {
			h.ends = append(h.ends, quietCall{outstanding, f.now.Add(200 * time.Millisecond)})
			return
		}
		outstanding.End(f.now, balance.Full)
		h.advice.Record(f.now, id, advice.Advice{Quiet: f.named}, false, 0)
		h.quietUntil[id], h.graceUntil[id] = f.now.Add(f.named), f.now.Add(500*time.Millisecond)
		call.Avoid = append(call.Avoid, id)
	}
	f.lost++
}

func (f *quietFleet) refuses(id identity.Incarnation) bool {
	if !f.now.Before(f.refusingUntil) {
		return false
	}
	for i := range f.refusing {
		if endpointName(i) == id {
			return true
		}
	}
	return false
}

// 40 of 100 endpoints refuse calls for six seconds and want none for three: no host may
// send an endpoint more than two in that time, and the others serve the calls.
func TestQuietEndpointsGetNoCallsFromALargeFleet(t *testing.T) {
	c := qt.New(t)
	f := newQuietFleet(300, 100, 40, 3*time.Second)
	f.refusingUntil = f.now.Add(6 * time.Second)
	f.run(5, 12*time.Second)
	for i := range f.hosts {
		for id, n := range f.hosts[i].late {
			c.Check(n <= 2, qt.IsTrue, qt.Commentf("host %d sent %d calls to %s, which wanted none", i, n, id))
		}
	}
	c.Check(float64(f.lost) <= 0.01*float64(f.calls), qt.IsTrue, qt.Commentf("%d of %d calls were refused", f.lost, f.calls))
	c.Logf("%d of %d calls were refused", f.lost, f.calls)
}

// All endpoints of a service are quiet at once: nothing reaches them, and the calls are
// told for how long.
func TestServiceOfQuietEndpointsIsClosed(t *testing.T) {
	c := qt.New(t)
	f := newQuietFleet(20, 3, 3, 2*time.Second)
	f.refusingUntil = f.now.Add(500 * time.Millisecond)
	f.run(10, time.Second)
	for i := range f.hosts {
		h := &f.hosts[i]
		_, found := h.Choose(f.now, balance.Call{Service: &f.service})
		c.Assert(found, qt.IsFalse)
		limited, quiet := h.Closed(f.now, "s")
		c.Check(limited, qt.IsFalse)
		c.Check(quiet > 0 && quiet <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", quiet))
		c.Check(h.late, qt.HasLen, 0)
	}
	before := f.calls - f.lost
	f.run(10, 4*time.Second)
	c.Check(f.calls-f.lost > before, qt.IsTrue, qt.Commentf("calls are served again"))
}

// A stream falls silent while all other endpoints want no calls. If one counted as able to
// go on with it, the stream would be given up and cut, though it may go on.
func TestQuietEndpointIsNoOtherForAStream(t *testing.T) {
	c := qt.New(t)
	f := newQuietFleet(1, 2, 0, 0)
	h := f.hosts[0]
	c.Assert(h.HasOther(f.now, h.Endpoints("s")[0]), qt.IsTrue)
	h.advice.Record(f.now, endpointName(1), advice.Advice{Quiet: time.Second}, false, 0)
	c.Check(h.HasOther(f.now, h.Endpoints("s")[0]), qt.IsFalse)
	c.Check(h.HasOther(f.now.Add(time.Second), h.Endpoints("s")[0]), qt.IsTrue)
}
