// Package verdict classifies failed requests by whether they may have run.
//
// # Verdicts
//
// NotRun guarantees that the request, or this attempt at it, had no effect, so that
// the caller may safely send it again. It requires proof: no byte was passed to a
// write call, or the endpoint refused the request before running it. Ran means that
// an outcome is recorded. All other cases are MayHaveRun.
//
// # Reasons
//
// A Reason is one of a fixed list, so that each has its own counter and operators
// can look it up.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
)

// Class groups the errors of refused or failed requests.
var Class = errs.Class("request")

// Verdict states whether a request may have had an effect.
type Verdict uint8

// The verdicts. With the zero value, callers must assume that the request may have
// run.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the form used on the wire and in logs.
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

// Parse is the inverse of String. It returns MayHaveRun for an unknown text.
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

// Reason states why a request was refused or failed, or an attempt was retried.
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
	PromptQuarantined   Reason = "prompt_quarantined"
	CallQuarantined     Reason = "call_quarantined"
	EndpointRefused     Reason = "endpoint_refused"
	EndpointLimit       Reason = "endpoint_limit"
	EndpointQuiet       Reason = "endpoint_quiet"
	EndpointUnreachable Reason = "endpoint_unreachable"
	EndpointLost        Reason = "endpoint_lost"
	EndpointSilent      Reason = "endpoint_silent"
	EndpointLeaving     Reason = "endpoint_leaving"
	StreamOriginUnknown Reason = "stream_origin_unknown"
	StreamVersionGone   Reason = "stream_version_gone"
	AnswerGap           Reason = "answer_gap"
	AnswerMismatch      Reason = "answer_mismatch"
	HostStopping        Reason = "host_stopping"
	HostFull            Reason = "host_full"
	NoConfiguration     Reason = "no_configuration"
	CallerGone          Reason = "caller_gone"
	AlreadyRan          Reason = "already_ran"
	InternalError       Reason = "internal_error"
)

// Reasons lists every Reason, in the order of the documentation.
var Reasons = []Reason{
	BadRequest, Unauthorised, UnknownService, UnknownRequest,
	OrganisationLimit, TargetOutOfReach, QueueTimeout, NoEndpoint, ZoneCutOff,
	ClaimUnavailable, KeyReused, KeyExpired, DuplicateRunning,
	DeadlineExceeded, RetryBudget, PromptQuarantined, CallQuarantined,
	EndpointRefused, EndpointLimit, EndpointQuiet, EndpointUnreachable, EndpointLost, EndpointSilent, EndpointLeaving,
	StreamOriginUnknown, StreamVersionGone, AnswerGap, AnswerMismatch, HostStopping, HostFull, NoConfiguration, CallerGone, AlreadyRan,
	InternalError,
}

// Error is the refusal or failure of a request, with its verdict.
type Error struct {
	// Verdict is NotRun only if that is proved.
	Verdict Verdict
	// Reason is one of Reasons.
	Reason Reason
	// RetryAfter is how long the caller should wait before a retry; zero if
	// unknown.
	RetryAfter time.Duration
	// Detail is a message for people; it may be empty.
	Detail string
	// Cause is the underlying error, or nil.
	Cause error
}

// New returns an Error without a cause.
func New(v Verdict, reason Reason, detail string) *Error {
	return &Error{Verdict: v, Reason: reason, Detail: detail}
}

// Wrap returns an Error with a cause.
func Wrap(v Verdict, reason Reason, cause error) *Error {
	return &Error{Verdict: v, Reason: reason, Cause: Class.Wrap(cause)}
}

// Error returns the reason, verdict, detail and cause as text.
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

// CauseText returns the cause's message for a log line, without the cause's stack
// trace. It is empty if there is no cause.
func (e *Error) CauseText() string {
	if e.Cause == nil {
		return ""
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithEarlier returns e as the outcome of a request whose earlier attempts ended with
// the given verdict: a request that may have run in an earlier attempt is not NotRun
// just because a later attempt did not run.
func (e *Error) WithEarlier(earlier Verdict) *Error {
	if e.Verdict != NotRun || earlier == NotRun {
		return e
	}
	joined := *e
	joined.Verdict = earlier
	return &joined
}

// FromError returns the Error in err's chain, or nil if err is nil. It wraps any
// other error as EndpointLost with MayHaveRun, since the request may have run.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return Wrap(MayHaveRun, EndpointLost, err)
}
