package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
	// connect returns how long a call waits for a connection, and answer is how long the
	// answer of an endpoint that refuses a call is on its way.
	connect func() time.Duration
	answer  time.Duration
	// arrived counts the calls that reach endpoints while they refuse calls, early those of
	// them that their host sent before it knew; unwanted are those that it sent although it
	// knew that the endpoint is quiet. rechosen counts those that it did not send therefore.
	arrived, early, unwanted, rechosen int
	// delays lists how long after its arrival each call reached an endpoint that took it.
	delays []time.Duration
}

type quietHost struct {
	*balance.Balancer
	advice *advice.Keeper
	// quietUntil, graceUntil and late hold for each endpoint how long it wants no calls,
	// until when one may still arrive and how many have arrived later.
	quietUntil, graceUntil map[identity.Incarnation]time.Time
	late                   map[identity.Incarnation]int
	// told holds until when the host knows that an endpoint is quiet.
	told    map[identity.Incarnation]time.Time
	ends    []quietCall
	waiting []*waitingCall
}

// waitingCall is a call that waits for a connection or, if refused is set, for the answer.
type waitingCall struct {
	balance.Call
	choice      balance.Choice
	outstanding *balance.OutstandingCall
	arrived, at time.Time
	refused     bool
	attempts    int
}

type quietCall struct {
	*balance.OutstandingCall
	at time.Time
}

func newQuietFleet(hosts, endpoints, refusing int, named time.Duration) *quietFleet {
	f := &quietFleet{now: time.Unix(1000, 0), service: catalogue.Service{ID: "s"}, refusing: refusing, named: named, connect: func() time.Duration { return 0 }}
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
			graceUntil: make(map[identity.Incarnation]time.Time), late: make(map[identity.Incarnation]int), told: make(map[identity.Incarnation]time.Time),
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
			waiting := h.waiting
			h.waiting = nil
			for _, w := range waiting {
				f.advance(h, w)
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
	w := &waitingCall{Call: balance.Call{Service: &f.service}, arrived: f.now}
	f.choose(h, w)
}

func (f *quietFleet) choose(h *quietHost, w *waitingCall) {
	choice, found := h.Choose(f.now, w.Call)
	if !found || w.attempts == 4 {
		f.lost++
		return
	}
	w.choice, w.outstanding, w.refused = choice, h.Start(f.now, choice, w.Call), false
	w.at = f.now.Add(f.connect())
	f.advance(h, w)
}

// advance does what is due for a call.
func (f *quietFleet) advance(h *quietHost, w *waitingCall) {
	id := w.choice.Endpoint.Incarnation
	switch {
	case w.at.After(f.now):
		h.waiting = append(h.waiting, w)
	case w.refused:
		w.outstanding.End(f.now, balance.Full)
		h.advice.Record(f.now, id, advice.Advice{Quiet: f.named}, false, f.answer)
		h.told[id] = f.now.Add(f.named)
		w.Avoid = append(w.Avoid, id)
		f.choose(h, w)
	case !h.Permits(f.now, w.choice.Endpoint):
		f.rechosen++
		w.outstanding.End(f.now, balance.Abandoned)
		w.Avoid = append(w.Avoid, id)
		f.choose(h, w)
	default:
		f.send(h, w)
	}
}

// send lets a call reach its endpoint.
func (f *quietFleet) send(h *quietHost, w *waitingCall) {
	id := w.choice.Endpoint.Incarnation
	w.attempts++
	if f.now.After(h.graceUntil[id]) && f.now.Before(h.quietUntil[id]) {
		h.late[id]++
	}
	if f.now.Before(h.told[id]) {
		f.unwanted++
	}
	if !f.refuses(id) {
		h.ends = append(h.ends, quietCall{w.outstanding, f.now.Add(200 * time.Millisecond)})
		f.delays = append(f.delays, f.now.Sub(w.arrived))
		return
	}
	f.arrived++
	if f.now.Before(h.quietUntil[id]) {
		f.early++
	}
	h.quietUntil[id], h.graceUntil[id] = f.now.Add(f.named), f.now.Add(500*time.Millisecond)
	w.refused, w.at = true, f.now.Add(f.answer)
	f.advance(h, w)
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

// As above, where the answers take a while and a quarter of the calls wait for a connection,
// up to 400 ms. No call may be sent to an endpoint that the host knows to be quiet, and few
// calls reach the 40 at all. Callers are served by the others, and soon.
func TestCallsOfALargeFleetThatWaitForConnectionsKeepToQuietEndpoints(t *testing.T) {
	c := qt.New(t)
	f := newQuietFleet(300, 100, 40, 3*time.Second)
	random := rand.New(rand.NewPCG(1, 2))
	f.connect = func() time.Duration {
		if random.IntN(4) > 0 {
			return 0
		}
		return time.Duration(random.IntN(400)) * time.Millisecond
	}
	f.answer = 50 * time.Millisecond
	f.refusingUntil = f.now.Add(8 * time.Second)
	f.run(10, 12*time.Second)
	for i := range f.hosts {
		for id, n := range f.hosts[i].late {
			c.Check(n <= 2, qt.IsTrue, qt.Commentf("host %d sent %d calls to %s, which wanted none", i, n, id))
		}
	}
	slices.Sort(f.delays)
	tail := f.delays[len(f.delays)*99/100]
	c.Logf("%d calls, %d refused to their callers; %d reached endpoints that refuse calls, %d of them early, and %d were not sent there; the hundredth that waits longest reached an endpoint after %v",
		f.calls, f.lost, f.arrived, f.early, f.rechosen, tail)
	c.Check(f.unwanted, qt.Equals, 0)
	c.Check(f.rechosen > 0, qt.IsTrue)
	// Each host may ask each of the 40 once in three seconds.
	c.Check(f.arrived-f.early <= 300*40*3, qt.IsTrue)
	c.Check(float64(f.lost) <= 0.01*float64(f.calls), qt.IsTrue)
	c.Check(tail <= time.Second, qt.IsTrue)
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
	call := balance.Call{Service: &catalogue.Service{ID: "s"}}
	c.Assert(h.HasOther(f.now, call, h.Endpoints("s")[0]), qt.IsTrue)
	h.advice.Record(f.now, endpointName(1), advice.Advice{Quiet: time.Second}, false, 0)
	c.Check(h.HasOther(f.now, call, h.Endpoints("s")[0]), qt.IsFalse)
	c.Check(h.HasOther(f.now.Add(time.Second), call, h.Endpoints("s")[0]), qt.IsTrue)
}
