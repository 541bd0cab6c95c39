package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/balance"
)

const (
	// minEventTimeout, targetTimeouts and intervalTimeouts say how long a stream may take
	// to its first event, or between two events, before it is given up for another
	// endpoint: half of the time after which callers leave, who wait for 2 s, four times
	// the latency target or eight times the target interval. A sound endpoint may be
	// silent for a second or so, and a path that was cut for as long takes up to twice
	// that, until its next retransmission.
	minEventTimeout  = 2 * time.Second
	targetTimeouts   = 2
	intervalTimeouts = 4
	// answerTimeoutShare is the share of the remaining time that a retryable call
	// waits for one endpoint while another attempt is left.
	answerTimeoutShare = 0.4
	minAnswerTimeout   = 120 * time.Millisecond
	// silenceInterval is how often a call whose endpoint stays silent tries to go on at
	// another one: budgets refill and endpoints return in a fraction of a second.
	silenceInterval = 250 * time.Millisecond
)

var errNoProgress = errors.New("no progress")

// silenceLimit returns how long an attempt may take until the complete answer or the
// next event of a stream.
func (k *forwarding) silenceLimit() time.Duration {
	if k.isStream() {
		return max(minEventTimeout, targetTimeouts*k.Route.LatencyTarget, intervalTimeouts*k.Route.EventIntervalTarget)
	}
	return max(minAnswerTimeout, time.Duration(answerTimeoutShare*float64(time.Until(k.Deadline))))
}

// retriesLeft reports whether the call may be sent again after the current attempt, which
// is the one with this number of runs.
func (k *forwarding) retriesLeft(runs int) bool {
	return k.Route.Retryable() && (!k.started || k.resumable) && runs < k.Route.Attempts && k.sends < maxSends
}

// silenceWatch gives up an attempt whose endpoint is silent for too long. A sound endpoint
// may be silent for a while and go on, so the attempt is given up only if the call is
// certain to be sent to another endpoint: its retry is charged to the budget before. Else
// it goes on until its deadline.
type silenceWatch struct {
	k           *forwarding
	giveUp      context.CancelCauseFunc
	outstanding *balance.OutstandingCall

	mu    sync.Mutex
	timer *time.Timer
	// due is when the current silence has lasted too long. An expiry of an earlier one may
	// come late on a busy host.
	due time.Time
	// charged is set once the attempt is given up and its retry charged to the budget.
	charged bool
	// stopped is set while a silence is not watched: the timer may have expired just
	// before it was stopped.
	stopped bool
}

// watchSilence watches the current attempt. Give up ends it.
func (k *forwarding) watchSilence(giveUp context.CancelCauseFunc, outstanding *balance.OutstandingCall) *silenceWatch {
	w := &silenceWatch{k: k, giveUp: giveUp, outstanding: outstanding}
	if k.retriesLeft(k.runs + 1) {
		w.restart(k.silenceLimit())
	}
	return w
}

// restart begins a new silence, which may last for limit.
func (w *silenceWatch) restart(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped, w.due = false, time.Now().Add(limit)
	if w.timer == nil {
		w.timer = time.AfterFunc(limit, w.expire)
		return
	}
	w.timer.Reset(limit)
}

// expire gives the attempt up if the call can go on elsewhere.
func (w *silenceWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.stopped || w.charged || now.Before(w.due) {
		return
	}
	w.outstanding.RecordSilence(now)
	if !w.k.chargeRetry(now) {
		w.timer.Reset(silenceInterval)
		return
	}
	w.charged = true
	w.giveUp(errNoProgress)
}

// stop lets the attempt be silent for as long as it has time, until restart. It returns
// false if the attempt has been given up, after which no part of its answer may be passed
// on that keeps the call from being retried.
func (w *silenceWatch) stop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.stopped = true
	return !w.charged
}

// end ends the watch and reports whether a retry has been charged.
func (w *silenceWatch) end() bool {
	return !w.stop()
}

// chargeRetry charges a retry of the current attempt to the budget if the call can be
// sent to another endpoint now. It reads only what an attempt does not change.
func (k *forwarding) chargeRetry(now time.Time) bool {
	return k.Deadline.Sub(now) > minAnswerTimeout && k.f.balancer.HasOther(now, k.call, k.endpoint) &&
		k.f.checkQuarantine(k.Service.ID, k.shared, k.fingerprint) == nil && k.f.budget.Take(now, k.Service.ID)
}

// returnCharge returns the charge for a retry that is not made.
func (k *forwarding) returnCharge() {
	if k.charged {
		k.f.budget.Return(time.Now(), k.Service.ID)
		k.charged = false
	}
}
