package balance

import (
	"math/bits"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/speed"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// OutstandingCall is an outstanding call at an endpoint.
type OutstandingCall struct {
	b              *Balancer
	s              *endpointState
	call           Call
	pendingPrefill unit.Tokens
	ended          bool
	// silent is set once the call's silence counts as a failure of the endpoint.
	silent    bool
	startedAt time.Time
	// ahead is what the endpoint had to do when the call was sent.
	ahead speed.Ahead
	// firstEvent and lastEvent are the times of the first and the latest event.
	firstEvent, lastEvent time.Time
	events                int
}

// Start records that a call is being sent to the chosen endpoint.
func (b *Balancer) Start(now time.Time, choice Choice, call Call) *OutstandingCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.endpoints[choice.Endpoint.Incarnation]
	if s == nil {
		s = &endpointState{endpoint: choice.Endpoint, prefixSentAt: make(map[uint64]time.Time)}
	}
	o := &OutstandingCall{b: b, s: s, call: call, pendingPrefill: choice.Uncached, startedAt: now, ahead: choice.ahead}
	s.own.Running++
	s.own.PendingPrefill += o.pendingPrefill
	s.own.ReservedCache += call.Prompt + call.Output
	for _, c := range prefixHashes(call.Parts) {
		s.prefixSentAt[c] = now
	}
	return o
}

// RecordEvent records that an event of a stream arrived. With the first one the
// endpoint has processed the prompt, and RecordEvent returns the time that it took
// relative to the time expected; otherwise it returns 0.
func (o *OutstandingCall) RecordEvent(now time.Time) float64 {
	o.b.mu.Lock()
	defer o.b.mu.Unlock()
	o.lastEvent = now
	o.events++
	if o.events > 1 {
		return 0
	}
	o.firstEvent = now
	o.promptProcessed()
	took, expected := now.Sub(o.startedAt), o.b.speed.Estimate(o.call.Service).FirstEvent(o.ahead)
	if o.ahead.Running < o.s.endpoint.Slots {
		o.s.slowness.record(now, took, expected)
		o.b.speed.RecordFirstEvent(o.call.Service.ID, o.ahead, took)
	}
	return float64(took) / float64(max(1, expected))
}

// RecordAnswer records that the endpoint has answered a call without a stream.
func (o *OutstandingCall) RecordAnswer(now time.Time) {
	o.b.mu.Lock()
	defer o.b.mu.Unlock()
	o.promptProcessed()
	if o.call.Service.Engine != nil {
		return
	}
	took, slots := now.Sub(o.startedAt), o.s.endpoint.Slots
	expected := scale(o.b.speed.Estimate(o.call.Service).Answer, speed.AnswerRounds(o.ahead.Running, slots))
	o.s.slowness.record(now, took, expected)
	o.b.speed.RecordAnswer(o.call.Service.ID, o.ahead.Running, slots, took)
}

// RecordSilence records that the endpoint is silent for so long that the call would be
// sent to another one if it could. It counts as one failure, however the call ends.
func (o *OutstandingCall) RecordSilence(now time.Time) {
	o.b.mu.Lock()
	defer o.b.mu.Unlock()
	if o.ended || o.silent {
		return
	}
	o.silent = true
	o.s.recordFailures(now, 1)
}

// promptProcessed subtracts the call's prompt from the tokens that the endpoint has
// yet to process.
func (o *OutstandingCall) promptProcessed() {
	o.s.own.PendingPrefill -= o.pendingPrefill
	o.pendingPrefill = 0
}

// Result is the outcome of a call at an endpoint, by which its health is judged.
type Result uint8

// The results of a call.
const (
	// Succeeded means that the endpoint answered, whatever the answer says.
	Succeeded Result = iota
	// Failed means that the answer was missing or broken, or reported an error of
	// the endpoint itself.
	Failed
	// Unreachable means that no connection could be established.
	Unreachable
	// Full means that the endpoint refused the call for lack of capacity.
	Full
	// Abandoned means that the call ended for a reason unrelated to the endpoint.
	Abandoned
)

// End records the end of the call. Only the first invocation has an effect.
func (o *OutstandingCall) End(now time.Time, result Result) {
	o.b.mu.Lock()
	defer o.b.mu.Unlock()
	if o.ended {
		return
	}
	o.ended = true
	o.s.own.Running--
	o.s.own.PendingPrefill -= o.pendingPrefill
	o.s.own.ReservedCache -= o.call.Prompt + o.call.Output
	switch result {
	case Succeeded:
		o.s.recordSuccess()
		o.recordStream()
	case Failed:
		if !o.silent {
			o.s.recordFailures(now, 1)
		}
	case Unreachable:
		o.s.recordFailures(now, unreachableFailures)
		o.s.clearCache()
	case Full:
		o.s.fullUntil = now.Add(fullDuration)
	case Abandoned:
	}
}

// recordStream records the speed and length of a complete stream.
func (o *OutstandingCall) recordStream() {
	if o.events == 0 {
		return
	}
	o.b.speed.RecordStream(o.call.Service.ID, speed.Stream{
		Output: o.call.Output, Events: o.events, Took: o.lastEvent.Sub(o.firstEvent), Running: o.ahead.Running,
	})
}

// EvictExpired deletes prefixes that are no longer expected to be cached.
func (b *Balancer) EvictExpired(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.endpoints {
		for id, at := range s.prefixSentAt {
			if now.Sub(at) > prefixCacheTTL {
				delete(s.prefixSentAt, id)
			}
		}
	}
}

// clearCache discards the cached prefixes of an endpoint that may have restarted.
func (s *endpointState) clearCache() { clear(s.prefixSentAt) }

// health tracks the outcomes of calls to an endpoint.
type health struct {
	// failureRate is the moving average of failures, 0 to 1, over about
	// failureWindow calls.
	failureRate         float64
	consecutiveFailures int
	// lastFailure is the time of the latest failed call.
	lastFailure time.Time
	// ejectedByPeers is the number of other hosts that have ejected the endpoint.
	ejectedByPeers int
}

const (
	// failureWindow is the number of calls over which failures are averaged.
	failureWindow = 6.0
	// ejectFailureRate is the failure rate above which an endpoint is ejected. It
	// is above the rate of healthy endpoints and below that of an endpoint that
	// fails some of its calls.
	ejectFailureRate         = 0.4
	ejectConsecutiveFailures = 2
	// ejectDuration is how long an endpoint stays ejected after its latest
	// failure.
	ejectDuration = 2 * time.Second
	// unreachableFailures is the number of failures that a failed connection
	// counts as.
	unreachableFailures = 3
	// ejectedMillis is the penalty of an ejected endpoint. It exceeds any wait with
	// which a call meets its latency target. ejectedByPeerMillis is added for each
	// of up to two other hosts that have ejected the endpoint.
	ejectedMillis       = 3000.0
	ejectedByPeerMillis = 400.0
	// fullDuration is how long an endpoint that refused a call counts as full.
	fullDuration = 150 * time.Millisecond
	fullMillis   = 1000.0
)

func (h *health) recordSuccess() {
	h.failureRate -= h.failureRate / failureWindow
	h.consecutiveFailures = 0
}

func (h *health) recordFailures(now time.Time, count int) {
	for range count {
		h.failureRate += (1 - h.failureRate) / failureWindow
		h.consecutiveFailures++
	}
	h.lastFailure = now
}

func (h *health) ejected(now time.Time) bool {
	return now.Sub(h.lastFailure) < ejectDuration && (h.failureRate > ejectFailureRate || h.consecutiveFailures >= ejectConsecutiveFailures)
}

// penalty returns the cost in milliseconds that ranks ejected and full endpoints
// last.
func (s *endpointState) penalty(now time.Time) float64 {
	p := ejectedByPeerMillis * float64(min(s.ejectedByPeers, 2))
	if s.ejected(now) {
		p += ejectedMillis
	}
	if now.Before(s.fullUntil) {
		p += fullMillis
	}
	return p
}

// prefixHashes returns the hash of the first part, of the first two parts, and so
// on.
func prefixHashes(parts []Part) []uint64 {
	hashes := make([]uint64, len(parts))
	for i := range parts {
		hashes[i] = prefixHash(parts[:i+1])
	}
	return hashes
}

// prefixHash returns the hash of a prompt prefix.
func prefixHash(parts []Part) uint64 {
	h := uint64(len(parts))
	for _, p := range parts {
		h = mix(h ^ p.ID)
	}
	return h
}

// mix returns a hash of x, computed by a folded multiplication.
func mix(x uint64) uint64 {
	high, low := bits.Mul64(x+0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	return high ^ low
}
