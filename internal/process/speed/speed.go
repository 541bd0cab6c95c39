// Package speed estimates how fast the endpoints of each service work.
//
// # Samples
//
// Every call shows something: the time to its first event, set against the prompt
// tokens and calls that were ahead of it, the time between its events, or the time
// until its answer. The estimate of a service is a robust fit to the latest of
// these, so that slow endpoints, wrong beliefs about caches and lost answers have
// little influence.
//
// # Sharing
//
// Hosts exchange their estimates, weighted by the number of samples, so that a host
// that has just started or sees few calls uses what the others have learned. Before
// any call there is only a prior that follows from the configuration, which a few
// calls outweigh.
package speed

import (
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Estimate describes how fast the endpoints of one service work. The first event of
// a model call takes Base, PerToken for each of its prompt tokens, PerQueuedToken for
// each prompt token of other calls that is believed to be waiting there, and PerCall
// for each call that runs there.
type Estimate struct {
	Base           time.Duration `json:"b,omitempty"`
	PerToken       time.Duration `json:"t,omitempty"`
	PerQueuedToken time.Duration `json:"q,omitempty"`
	PerCall        time.Duration `json:"c,omitempty"`
	// MissRatio is the share of the tokens expected in an endpoint's cache that it has
	// to process nevertheless.
	MissRatio float64 `json:"m,omitempty"`
	// Interval is the time between two events of a stream, without the
	// IntervalPerCall that each running call adds to it.
	Interval        time.Duration `json:"i,omitempty"`
	IntervalPerCall time.Duration `json:"ic,omitempty"`
	// EventsPerToken is the number of events of an answer per token of the maximum
	// output that its caller stated.
	EventsPerToken float64 `json:"e,omitempty"`
	// Answer is the time that a non-model call takes at an endpoint with a free slot.
	Answer time.Duration `json:"a,omitempty"`
	// Samples is the number of calls behind the estimate.
	Samples int `json:"n,omitempty"`
}

// FirstEvent returns the expected time to the first event of a call.
func (e Estimate) FirstEvent(ahead Ahead) time.Duration {
	tokens := ahead.Own + e.Uncached(ahead.Cached)
	return e.Base + time.Duration(tokens)*e.PerToken + time.Duration(ahead.Queued)*e.PerQueuedToken + time.Duration(ahead.Running)*e.PerCall
}

// Prefill returns the time in which an endpoint processes the prompts ahead of a
// call's first event if all that is believed of caches and queues is true.
func (e Estimate) Prefill(ahead Ahead) time.Duration {
	return time.Duration(ahead.Own+ahead.Queued)*e.PerToken + time.Duration(ahead.Running)*e.IntervalPerCall
}

// Uncached returns how many of the tokens that are expected in an endpoint's cache it
// has to process nevertheless.
func (e Estimate) Uncached(cached unit.Tokens) unit.Tokens {
	return unit.Tokens(e.MissRatio * float64(cached))
}

// EngineTime returns the time of an engine that a call takes: for the uncached tokens
// of its prompt, and by what its events delay those of other calls.
func (e Estimate) EngineTime(uncached, output unit.Tokens) time.Duration {
	return time.Duration(uncached)*e.PerToken + time.Duration(e.events(output)*float64(e.IntervalPerCall))
}

// Duration returns the expected time from the first to the last event of a call.
func (e Estimate) Duration(output unit.Tokens, running int) time.Duration {
	return time.Duration(e.events(output) * float64(e.Interval+time.Duration(running)*e.IntervalPerCall))
}

func (e Estimate) events(output unit.Tokens) float64 { return e.EventsPerToken * float64(output) }

// valid reports whether no part of an estimate is negative, as it may be in the
// report of a faulty host.
func (e Estimate) valid() bool {
	return e.Base >= 0 && e.PerToken >= 0 && e.PerQueuedToken >= 0 && e.PerCall >= 0 && e.Interval >= 0 && e.IntervalPerCall >= 0 &&
		e.EventsPerToken >= 0 && e.MissRatio >= 0 && e.MissRatio <= 1 && e.Answer >= 0 && e.Samples > 0
}

// Combine returns the mean of estimates, weighted by their samples.
func Combine(estimates ...Estimate) Estimate {
	total := 0
	for _, e := range estimates {
		if e.valid() {
			total += e.Samples
		}
	}
	var mean Estimate
	for _, e := range estimates {
		if !e.valid() {
			continue
		}
		share := float64(e.Samples) / float64(total)
		add := func(sum *time.Duration, d time.Duration) { *sum += time.Duration(share * float64(d)) }
		add(&mean.Base, e.Base)
		add(&mean.PerToken, e.PerToken)
		add(&mean.PerQueuedToken, e.PerQueuedToken)
		add(&mean.PerCall, e.PerCall)
		add(&mean.Interval, e.Interval)
		add(&mean.IntervalPerCall, e.IntervalPerCall)
		add(&mean.Answer, e.Answer)
		mean.EventsPerToken += share * e.EventsPerToken
		mean.MissRatio += share * e.MissRatio
	}
	mean.Samples = total
	return mean
}

const (
	// priorSamples is the number of samples that the prior counts as.
	priorSamples = 4
	// An engine is assumed to process the prompt of an average call in priorPromptShare
	// of the latency target, to spend priorBaseShare of it otherwise, and to send
	// events at priorIntervalShare of the longest interval allowed. A non-model call
	// is assumed to take priorAnswerShare of its latency target.
	priorPromptShare   = 0.2
	priorBaseShare     = 0.02
	priorIntervalShare = 0.1
	priorAnswerShare   = 0.12
	// priorEventsPerToken assumes events of a few tokens and answers that are half
	// as long as they may be.
	priorEventsPerToken = 0.1
	defaultTarget       = time.Second
)

// Prior returns what the configuration suggests about a service: that its endpoints
// are fast enough for the latency target of its routes.
func Prior(s *catalogue.Service) Estimate {
	target, interval := s.LatencyTarget, s.EventIntervalTarget
	if target <= 0 {
		target = defaultTarget
	}
	if interval <= 0 {
		interval = target
	}
	share := func(d time.Duration, ratio float64) time.Duration { return time.Duration(ratio * float64(d)) }
	e := Estimate{Answer: share(target, priorAnswerShare), Samples: priorSamples}
	if s.Engine == nil {
		return e
	}
	slots := max(1, s.Engine.Slots)
	prompt := max(1, float64(s.Engine.KVCapacity)/float64(slots))
	e.Base = share(target, priorBaseShare)
	e.PerToken = share(target, priorPromptShare/prompt)
	e.PerQueuedToken = e.PerToken
	e.Interval = share(interval, priorIntervalShare)
	e.IntervalPerCall = e.Interval / time.Duration(slots)
	e.EventsPerToken = priorEventsPerToken
	return e
}

// Learner estimates the speed of all services. Create one with New.
type Learner struct {
	mu       sync.Mutex
	services map[identity.Service]*history
	// peers holds the combined estimates of the other hosts.
	peers map[identity.Service]Estimate
}

// New returns a Learner without samples.
func New() *Learner {
	return &Learner{services: make(map[identity.Service]*history)}
}

// Stream describes a finished event stream.
type Stream struct {
	// Output is the maximum number of output tokens that the caller stated.
	Output unit.Tokens
	// Events is the number of events, Took the time from the first to the last.
	Events int
	Took   time.Duration
	// Running is the number of calls that ran at the endpoint at the start.
	Running int
}

// Ahead is what an endpoint has to do before the first event of a call.
type Ahead struct {
	// Own is the number of the call's prompt tokens without the Cached ones, which are
	// expected in the endpoint's cache.
	Own, Cached unit.Tokens
	// Queued is the number of prompt tokens of other calls that the endpoint has not
	// processed yet, as far as it is known.
	Queued unit.Tokens
	// Running is the number of calls that run there.
	Running int
}

// RecordFirstEvent records the time to the first event of a call. A time of zero tells
// nothing and is ignored.
func (l *Learner) RecordFirstEvent(service identity.Service, ahead Ahead, took time.Duration) {
	if took <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history(service).firstEvents.add(sample{
		own: float64(ahead.Own), cached: float64(ahead.Cached), queued: float64(ahead.Queued), running: float64(ahead.Running), took: float64(took),
	})
}

// RecordStream records a finished stream.
func (l *Learner) RecordStream(service identity.Service, s Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.history(service)
	if s.Output > 0 {
		h.lengths.add(sample{took: float64(s.Events) / float64(s.Output)})
	}
	if s.Events > 1 && s.Took > 0 {
		h.intervals.add(sample{running: float64(s.Running), took: float64(s.Took) / float64(s.Events-1)})
	}
}

// RecordAnswer records the time of a non-model call at an endpoint with the given
// slots, with the number of calls running there at its start.
func (l *Learner) RecordAnswer(service identity.Service, running, slots int, took time.Duration) {
	if took <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history(service).answers.add(sample{took: float64(took) / AnswerRounds(running, slots)})
}

// AnswerRounds returns the time of a non-model call at an endpoint with some calls
// already running, as a multiple of the time at an endpoint with a free slot.
func AnswerRounds(running, slots int) float64 {
	excess := max(0, running+1-slots)
	return 1 + float64(excess)/float64(max(1, slots))
}

func (l *Learner) history(service identity.Service) *history {
	h := l.services[service]
	if h == nil {
		h = new(history)
		l.services[service] = h
	}
	return h
}

// Local returns what this host has learned, for its report to other hosts.
func (l *Learner) Local() map[identity.Service]Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	local := make(map[identity.Service]Estimate, len(l.services))
	for id, h := range l.services {
		if e := h.estimate(); e.Samples > 0 {
			local[id] = e
		}
	}
	return local
}

// SetPeers replaces what the other hosts have learned.
func (l *Learner) SetPeers(reported []map[identity.Service]Estimate) {
	byService := make(map[identity.Service][]Estimate)
	for _, r := range reported {
		for id, e := range r {
			byService[id] = append(byService[id], e)
		}
	}
	peers := make(map[identity.Service]Estimate, len(byService))
	for id, list := range byService {
		peers[id] = Combine(list...)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers = peers
}

// Estimate returns the estimate of a service from all hosts' samples and the prior.
// Its Samples don't count the prior.
func (l *Learner) Estimate(s *catalogue.Service) Estimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	var own Estimate
	if h := l.services[s.ID]; h != nil {
		own = h.estimate()
	}
	e := Combine(own, l.peers[s.ID], Prior(s))
	e.Samples -= priorSamples
	return e
}
