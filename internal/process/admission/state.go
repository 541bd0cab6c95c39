package admission

import (
	"fmt"
	"math"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// state is the state of a Controller. Its methods take the current time.
type state struct {
	serviceByID      func(identity.Service) Service
	organisationByID func(identity.Organisation) Organisation
	services         map[identity.Service]*serviceState
	limiter          limiter
}

// class is the priority class of a call, highest first.
type class int

const (
	interactive class = iota
	batch
	classCount
)

// serviceState holds one service's slots and the calls that wait for them.
type serviceState struct {
	id      identity.Service
	current Service
	// slots is this host's share of current.Slots, times slotFactor.
	slots    int
	inFlight int
	queues   [classCount]fairQueue
	// holdTime is the moving average of the time for which a slot is held.
	holdTime time.Duration
	// slotFactor decreases while endpoints report queues and increases otherwise.
	slotFactor float64
}

func (v *serviceState) waiting() int {
	return v.queues[interactive].length + v.queues[batch].length
}

// ticket tracks one call; decided is set once, before done is closed.
type ticket struct {
	call     Call
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
	// maxWaitRatio is the fraction of the first-token target that a call may
	// wait for a slot.
	maxWaitRatio            = 0.5
	defaultMaxWait          = time.Second
	batchMaxWait            = time.Minute
	interactiveReserveRatio = 0.1
	initialHoldTime         = 2 * time.Second
	holdSmoothing           = 0.1
	minSlotFactor           = 0.2
	slotFactorDecrease      = 0.9
	slotFactorIncrease      = 0.02
	// maxQueuedRatio is the tolerated ratio of queued to running requests at
	// endpoints.
	maxQueuedRatio = 0.1
)

func newState(currentService func(identity.Service) Service, organisation func(identity.Organisation) Organisation) state {
	return state{serviceByID: currentService, organisationByID: organisation, services: make(map[identity.Service]*serviceState), limiter: newLimiter()}
}

// lookup returns a service's state with its slots refreshed.
func (s *state) lookup(id identity.Service) *serviceState {
	v := s.services[id]
	if v == nil {
		v = &serviceState{id: id, holdTime: initialHoldTime, slotFactor: 1}
		s.services[id] = v
	}
	s.refresh(v)
	return v
}

func (s *state) refresh(v *serviceState) {
	v.current = s.serviceByID(v.id)
	share := s.limiter.share(demandKey{service: v.id})
	v.slots = max(1, int(math.Ceil(float64(v.current.Slots)*share*v.slotFactor)))
}

// arrive admits, refuses or queues a call.
func (s *state) arrive(now time.Time, call Call) (*ticket, *verdict.Error) {
	v := s.lookup(call.Service)
	o := s.organisationByID(call.Organisation)
	t := &ticket{call: call, done: make(chan struct{})}
	if call.Batch {
		t.class = batch
	}
	s.limiter.recordDemand(now, call)
	if delay := s.limiter.throttleDelay(now, call.Organisation, o); delay > 0 && t.class == interactive {
		return nil, refuse(verdict.OrganisationLimit, delay, "token rate limit exceeded")
	}
	wait := v.expectedWait(t, o)
	maxWait := v.maxWait(t)
	if !call.Deadline.IsZero() {
		maxWait = min(maxWait, call.Deadline.Sub(now))
	}
	if v.current.Slots > 0 && wait > maxWait {
		return nil, refuse(v.refusalReason(verdict.TargetOutOfReach), wait, fmt.Sprintf("expected wait is %s", wait.Round(time.Millisecond)))
	}
	t.expires = now.Add(maxWait)
	v.queues[t.class].push(t, o.Weight)
	s.serve(now, v)
	return t, nil
}

// forceAdmit takes a slot, bypassing the queue and the limits; the tokens are
// still charged to the organisation.
func (s *state) forceAdmit(now time.Time, call Call) *ticket {
	v := s.lookup(call.Service)
	t := &ticket{call: call, admitted: now, decided: true}
	v.inFlight++
	s.limiter.spend(now, call, s.organisationByID(call.Organisation))
	return t
}

func refuse(reason verdict.Reason, wait time.Duration, detail string) *verdict.Error {
	failure := verdict.New(verdict.NotRun, reason, detail)
	failure.RetryAfter = max(minRetryAfter, wait)
	return failure
}

// refusalReason returns the reason for a refusal for lack of slots: unreachable
// zones take precedence over defaultReason.
func (v *serviceState) refusalReason(defaultReason verdict.Reason) verdict.Reason {
	if v.current.HasUnreachableZone {
		return verdict.ZoneCutOff
	}
	return defaultReason
}

// maxWait returns how long a call may wait for a slot.
func (v *serviceState) maxWait(t *ticket) time.Duration {
	if t.class == batch {
		return batchMaxWait
	}
	if v.current.FirstTokenTarget == 0 {
		return defaultMaxWait
	}
	return time.Duration(maxWaitRatio * float64(v.current.FirstTokenTarget))
}

// expectedWait estimates how long a new call would wait: it is served after the
// calls that fair queueing puts ahead of it, and one slot is released every
// holdTime/slots on average.
func (v *serviceState) expectedWait(t *ticket, o Organisation) time.Duration {
	slots := v.slotsFor(t.class)
	if v.inFlight < slots && v.queues[interactive].length == 0 {
		return 0
	}
	ahead := v.queues[t.class].ahead(t.call.Organisation, o.Weight)
	if t.class == batch {
		ahead += v.queues[interactive].length
	}
	return time.Duration(float64(ahead+1) * float64(v.holdTime) / float64(max(1, slots)))
}

// slotsFor returns how many slots a class may use.
func (v *serviceState) slotsFor(c class) int {
	if c == batch {
		return max(1, int(float64(v.slots)*(1-interactiveReserveRatio)))
	}
	return v.slots
}

// serve assigns free slots to waiting calls.
func (s *state) serve(now time.Time, v *serviceState) {
	for c := interactive; c < classCount; c++ {
		for v.queues[c].length > 0 && (v.inFlight < v.slotsFor(c) || v.current.Slots == 0) {
			t := v.queues[c].pop(func(id identity.Organisation) bool {
				return c == interactive || s.limiter.throttleDelay(now, id, s.organisationByID(id)) == 0
			})
			if t == nil {
				break
			}
			v.inFlight++
			t.admitted = now
			s.limiter.spend(now, t.call, s.organisationByID(t.call.Organisation))
			t.decide(nil)
		}
		if v.queues[c].length > 0 && c == interactive {
			return
		}
	}
}

// release returns a slot.
func (s *state) release(now time.Time, t *ticket) {
	v := s.lookup(t.call.Service)
	v.inFlight--
	held := now.Sub(t.admitted)
	v.holdTime += time.Duration(holdSmoothing * float64(held-v.holdTime))
	s.serve(now, v)
}

// withdraw removes an undecided call from its queue.
func (s *state) withdraw(t *ticket) {
	s.services[t.call.Service].queues[t.class].remove(t)
	t.decided = true
}

// tick refreshes slots, expires waiting calls and serves the queues.
func (s *state) tick(now time.Time) {
	for _, v := range s.services {
		s.adapt(v)
		s.refresh(v)
		for c := range v.queues {
			v.queues[c].expire(now, func(t *ticket) {
				t.decide(refuse(v.refusalReason(verdict.QueueTimeout), v.holdTime, "no slot became free within the wait limit"))
			})
		}
		s.serve(now, v)
	}
	s.limiter.advertise(now)
}

// adapt reduces the slots while endpoints have more queued than tolerated, and
// restores them gradually otherwise.
func (s *state) adapt(v *serviceState) {
	if float64(v.current.Waiting) > maxQueuedRatio*float64(v.current.Running) {
		v.slotFactor = max(minSlotFactor, v.slotFactor*slotFactorDecrease)
		return
	}
	v.slotFactor = min(1, v.slotFactor+slotFactorIncrease)
}

// tokenCost returns at least 1, so that no call is free.
func tokenCost(call Call) unit.Tokens { return max(1, call.Tokens) }
