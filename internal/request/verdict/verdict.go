// Package verdict says of a failed request whether it may have run.
//
// # The three verdicts
//
// NotRun is a promise: the request, or this attempt at it, had no effect, and
// the caller may safely send it again. It is given only on proof: no byte was
// handed to a write call, or the endpoint itself refused before running.
// MayHaveRun is everything else. Ran means that an outcome is recorded.
//
// # Reasons
//
// A Reason is one of a fixed list, so that each has a counter of its own and
// operators can look it up.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Class groups the errors of refused or failed requests.
var Class = errs.Class("request")

// Verdict tells whether a request may have had an effect.
type Verdict uint8

// The zero Verdict is the cautious one.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String gives the form used on the wire and in logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Parse reads what String gives. An unknown text is MayHaveRun.
func Parse(text string) Verdict {
	switch text {
	case "not_run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Reason names why a request was refused, or an attempt repeated.
type Reason string

// The reasons, each with a counter.
const (
	BadRequest          Reason = "bad_request"
	Unauthorised        Reason = "unauthorised"
	UnknownService      Reason = "unknown_service"
	UnknownRequest      Reason = "unknown_request"
	OrganisationLimit   Reason = "organisation_limit"
	TargetOutOfReach    Reason = "target_out_of_reach"
	QueueTimeout        Reason = "queue_timeout"
	NoEndpoint          Reason = "no_endpoint"
	ZoneCutOff          Reason = "zone_cut_off"
	ClaimUnavailable    Reason = "claim_unavailable"
	KeyReused           Reason = "key_reused"
	KeyExpired          Reason = "key_expired"
	DuplicateRunning    Reason = "duplicate_running"
	DeadlineExceeded    Reason = "deadline_exceeded"
	RetryBudget         Reason = "retry_budget"
	EndpointRefused     Reason = "endpoint_refused"
	EndpointUnreachable Reason = "endpoint_unreachable"
	EndpointLost        Reason = "endpoint_lost"
	EndpointSilent      Reason = "endpoint_silent"
	EndpointLeaving     Reason = "endpoint_leaving"
	AnswerGap           Reason = "answer_gap"
	AnswerMismatch      Reason = "answer_mismatch"
	HostStopping        Reason = "host_stopping"
	HostFull            Reason = "host_full"
	NoConfiguration     Reason = "no_configuration"
	CallerGone          Reason = "caller_gone"
	AlreadyRan          Reason = "already_ran"
)

// Reasons lists every Reason, in the order of the documentation.
var Reasons = []Reason{
	BadRequest, Unauthorised, UnknownService, UnknownRequest,
	OrganisationLimit, TargetOutOfReach, QueueTimeout, NoEndpoint, ZoneCutOff,
	ClaimUnavailable, KeyReused, KeyExpired, DuplicateRunning,
	DeadlineExceeded, RetryBudget,
	EndpointRefused, EndpointUnreachable, EndpointLost, EndpointSilent, EndpointLeaving,
	AnswerGap, AnswerMismatch, HostStopping, HostFull, NoConfiguration, CallerGone, AlreadyRan,
}

// Error is a refusal or failure with its verdict.
type Error struct {
	// Verdict is NotRun only where that is proved.
	Verdict Verdict
	// Reason is one of Reasons.
	Reason Reason
	// RetryAfter is how long the caller should wait; zero says nothing.
	RetryAfter time.Duration
	// Detail is for people and may be empty.
	Detail string
	// Cause is the error underneath, or nil.
	Cause error
}

// New makes an Error without a cause.
func New(v Verdict, reason Reason, detail string) *Error {
	return &Error{Verdict: v, Reason: reason, Detail: detail}
}

// Wrap makes an Error with a cause.
func Wrap(v Verdict, reason Reason, cause error) *Error {
	return &Error{Verdict: v, Reason: reason, Cause: Class.Wrap(cause)}
}

// Error renders verdict, reason, detail and cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Reason, e.Verdict)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Why is the cause's message for a log line, without the stack that the cause
// carries, or nothing.
func (e *Error) Why() string {
	if e.Cause == nil {
		return ""
	}
	return e.Cause.Error()
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Cause }

// After gives e as the outcome of a request whose earlier attempts ended with
// before: what may have run once is not NotRun because a later attempt was.
func (e *Error) After(before Verdict) *Error {
	if e.Verdict != NotRun || before == NotRun {
		return e
	}
	joined := *e
	joined.Verdict = before
	return &joined
}

// Of finds the Error in err's chain; any other error is MayHaveRun and
// EndpointLost, the cautious reading. A nil err gives nil.
func Of(err error) *Error {
	if err == nil {
		return nil
	}
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return Wrap(MayHaveRun, EndpointLost, err)
}
