package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// state is all of a Gate's state, with the clock passed in.
type state struct {
	service      func(identity.Service) Service
	organisation func(identity.Organisation) Organisation
	services     map[identity.Service]*service
	limits       limits
}

// class orders calls of one service.
type class int

const (
	interactive class = iota
	batch
	classes
)

// service holds the slots of one service and those who wait for one.
type service struct {
	id    identity.Service
	known Service
	// slots is this host's part of known.Slots, times factor.
	slots    int
	inFlight int
	queues   [classes]fairQueue
	// hold is the mean time for which a slot is held.
	hold time.Duration
	// factor falls while endpoints report queues and rises when they don't.
	factor float64
}

func (v *service) waiting() int {
	return v.queues[interactive].length + v.queues[batch].length
}

// ticket is one call's place; decided is set once, before done is closed.
type ticket struct {
	ask      Ask
	class    class
	expires  time.Time
	admitted time.Time
	decided  bool
	failure  *verdict.Error
	done     chan struct{}
}

func (t *ticket) decide(failure *verdict.Error) {
	t.decided, t.failure = true, failure
	close(t.done)
}

const (
	// waitShare is the part of the first token's target that may be spent
	// waiting for a slot.
	waitShare       = 0.5
	patience        = time.Second
	batchPatience   = time.Minute
	interactiveKept = 0.1
	firstHold       = 2 * time.Second
	holdSmoothing   = 0.1
	leastFactor     = 0.2
	factorFall      = 0.9
	factorRise      = 0.02
	// queuedShare is the share of running requests that may queue at endpoints.
	queuedShare = 0.1
)

func newState(known func(identity.Service) Service, organisation func(identity.Organisation) Organisation) state {
	return state{service: known, organisation: organisation, services: make(map[identity.Service]*service), limits: newLimits()}
}

// find gives a service's state with its slots as they are now.
func (s *state) find(id identity.Service) *service {
	found := s.services[id]
	if found == nil {
		found = &service{id: id, hold: firstHold, factor: 1}
		s.services[id] = found
	}
	s.refresh(found)
	return found
}

func (s *state) refresh(v *service) {
	v.known = s.service(v.id)
	share := s.limits.share(key{service: v.id})
	v.slots = max(1, int(math.Ceil(float64(v.known.Slots)*share*v.factor)))
}

// arrive admits a call, refuses it, or gives it a place in the queue.
func (s *state) arrive(now time.Time, ask Ask) (*ticket, *verdict.Error) {
	v := s.find(ask.Service)
	o := s.organisation(ask.Organisation)
	t := &ticket{ask: ask, done: make(chan struct{})}
	if ask.Batch {
		t.class = batch
	}
	s.limits.want(now, ask)
	if debt := s.limits.debt(now, ask.Organisation, o); debt > 0 && t.class == interactive {
		return nil, refuse(verdict.OrganisationLimit, debt, "tokens a second")
	}
	wait := v.expected(t, o)
	bound := v.bound(t)
	if !ask.Deadline.IsZero() {
		bound = min(bound, ask.Deadline.Sub(now))
	}
	if v.known.Slots > 0 && wait > bound {
		return nil, refuse(v.full(verdict.TargetOutOfReach), wait, fmt.Sprintf("would wait %s", wait.Round(time.Millisecond)))
	}
	t.expires = now.Add(bound)
	v.queues[t.class].push(t, o.Weight)
	s.serve(now, v)
	return t, nil
}

// enter takes a slot past the queue and the limits, which it is charged for.
func (s *state) enter(now time.Time, ask Ask) *ticket {
	v := s.find(ask.Service)
	t := &ticket{ask: ask, admitted: now, decided: true}
	v.inFlight++
	s.limits.spend(now, ask, s.organisation(ask.Organisation))
	return t
}

func refuse(reason verdict.Reason, wait time.Duration, detail string) *verdict.Error {
	failure := verdict.New(verdict.NotRun, reason, detail)
	failure.RetryAfter = max(retryAfter, wait)
	return failure
}

// full is the reason for a refusal for want of slots: that zones are cut off
// goes before the usual one.
func (v *service) full(usual verdict.Reason) verdict.Reason {
	if v.known.CutOff {
		return verdict.ZoneCutOff
	}
	return usual
}

// bound is how long a call may wait for a slot.
func (v *service) bound(t *ticket) time.Duration {
	if t.class == batch {
		return batchPatience
	}
	if v.known.FirstToken == 0 {
		return patience
	}
	return time.Duration(waitShare * float64(v.known.FirstToken))
}

// expected estimates the wait of one more call: its turn comes after those
// that fairness puts before it, and slots come free one hold apart in slots.
func (v *service) expected(t *ticket, o Organisation) time.Duration {
	slots := v.open(t.class)
	if v.inFlight < slots && v.queues[interactive].length == 0 {
		return 0
	}
	ahead := v.queues[t.class].ahead(t.ask.Organisation, o.Weight)
	if t.class == batch {
		ahead += v.queues[interactive].length
	}
	return time.Duration(float64(ahead+1) * float64(v.hold) / float64(max(1, slots)))
}

// open is how many slots a class may use.
func (v *service) open(c class) int {
	if c == batch {
		return max(1, int(float64(v.slots)*(1-interactiveKept)))
	}
	return v.slots
}

// serve gives free slots to those who wait.
func (s *state) serve(now time.Time, v *service) {
	for c := interactive; c < classes; c++ {
		for v.queues[c].length > 0 && (v.inFlight < v.open(c) || v.known.Slots == 0) {
			t := v.queues[c].pop(func(id identity.Organisation) bool {
				return c == interactive || s.limits.debt(now, id, s.organisation(id)) == 0
			})
			if t == nil {
				break
			}
			v.inFlight++
			t.admitted = now
			s.limits.spend(now, t.ask, s.organisation(t.ask.Organisation))
			t.decide(nil)
		}
		if v.queues[c].length > 0 && c == interactive {
			return
		}
	}
}

// release frees a slot.
func (s *state) release(now time.Time, t *ticket) {
	v := s.find(t.ask.Service)
	v.inFlight--
	held := now.Sub(t.admitted)
	v.hold += time.Duration(holdSmoothing * float64(held-v.hold))
	s.serve(now, v)
}

// withdraw takes an undecided call out of its queue.
func (s *state) withdraw(t *ticket) {
	s.services[t.ask.Service].queues[t.class].remove(t)
	t.decided = true
}

// tick refreshes slots, ends waits that lasted too long, and serves.
func (s *state) tick(now time.Time) {
	for _, v := range s.services {
		s.adapt(v)
		s.refresh(v)
		for c := range v.queues {
			v.queues[c].expire(now, func(t *ticket) {
				t.decide(refuse(v.full(verdict.QueueTimeout), v.hold, "no slot came free"))
			})
		}
		s.serve(now, v)
	}
	s.limits.tell(now)
}

// adapt lets fewer calls in while endpoints have more queued than they should.
func (s *state) adapt(v *service) {
	if float64(v.known.Waiting) > queuedShare*float64(v.known.Running) {
		v.factor = max(leastFactor, v.factor*factorFall)
		return
	}
	v.factor = min(1, v.factor+factorRise)
}

// tokensOf is at least one, so that every call costs something.
func tokensOf(ask Ask) unit.Tokens { return max(1, ask.Tokens) }
