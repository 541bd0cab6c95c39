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

// pausingFleet is a host with endpoints in virtual time that all say nothing for a while
// and then go on.
type pausingFleet struct {
	*balance.Balancer
	now     time.Time
	service catalogue.Service
	// queues holds the calls of each endpoint, the first slots of which it works on.
	queues map[identity.Incarnation][]*pausedCall
}

type pausedCall struct {
	*balance.OutstandingCall
	sent time.Time
	left time.Duration
}

const (
	pausingEndpoints, pausingSlots = 6, 8
	pausingWork                    = 20 * time.Millisecond
	pausingPatience                = 800 * time.Millisecond
)

func newPausingFleet() *pausingFleet {
	f := &pausingFleet{
		Balancer: balance.New("z", func(identity.Zone) identity.Region { return "r" }), now: time.Unix(1000, 0),
		service: catalogue.Service{ID: "s", LatencyTarget: 10 * pausingWork}, queues: make(map[identity.Incarnation][]*pausedCall),
	}
	var list []fleet.Endpoint
	for i := range pausingEndpoints {
		list = append(list, fleet.Endpoint{Incarnation: endpointName(i), Service: "s", Zone: "z", Slots: pausingSlots, FirstSeen: f.now})
	}
	f.SetEndpoints(list)
	return f
}

// run lets calls arrive at a share of what the endpoints can do, and returns how many
// there were and how many would be refused as late.
func (f *pausingFleet) run(load float64, paused bool, duration time.Duration) (calls, late int) {
	const step = time.Millisecond
	due := 0.0
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		for due += load * pausingEndpoints * pausingSlots * float64(step) / float64(pausingWork); due >= 1; due-- {
			calls++
			if !f.send() {
				late++
			}
		}
		for id := range f.queues {
			f.work(id, paused, step)
		}
	}
	return calls, late
}

// send sends a call unless its wait is too long.
func (f *pausingFleet) send() bool {
	call := balance.Call{Service: &f.service}
	choice, found := f.Choose(f.now, call)
	if !found || !choice.LightlyLoaded && choice.Wait > f.service.LatencyTarget {
		return false
	}
	id := choice.Endpoint.Incarnation
	f.queues[id] = append(f.queues[id], &pausedCall{f.Start(f.now, choice, call), f.now, pausingWork})
	return true
}

func (f *pausingFleet) work(id identity.Incarnation, paused bool, step time.Duration) {
	var rest []*pausedCall
	for i, c := range f.queues[id] {
		if !paused && i < pausingSlots {
			c.left -= step
		}
		switch {
		case c.left <= 0:
			c.RecordAnswer(f.now)
			c.End(f.now, balance.Succeeded)
		case f.now.Sub(c.sent) > pausingPatience:
			c.End(f.now, balance.Abandoned)
		default:
			rest = append(rest, c)
		}
	}
	f.queues[id] = rest
}

// After all endpoints of a service have been silent together, they must not be taken for
// slow: half a second later no call is refused.
func TestPauseOfAllEndpointsIsForgotten(t *testing.T) {
	for _, load := range []float64{0.1, 0.6} {
		for _, pause := range []time.Duration{500 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
			c := qt.New(t)
			f := newPausingFleet()
			calls, late := f.run(load, false, 3*time.Second)
			c.Check(calls > 0 && late == 0, qt.IsTrue, qt.Commentf("load %v: %d of %d late before", load, late, calls))
			f.run(load, true, pause)
			f.run(load, false, 500*time.Millisecond)
			calls, late = f.run(load, false, 3*time.Second)
			c.Check(late, qt.Equals, 0, qt.Commentf("load %v, pause %v: %d of %d late", load, pause, late, calls))
		}
	}
}
