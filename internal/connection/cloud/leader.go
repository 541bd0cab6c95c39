package cloud

import (
	"context"
	"errors"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Errors of the calls in LeaderCalls.
var (
	// ErrRejected says that the call was rejected: the platform has seen the fence
	// of a later lease holder, or the ordered endpoints are not available now.
	ErrRejected = errors.New("cloud: call was rejected")
	// ErrOutcomeUnknown says that the call may have taken effect, or may do so later.
	ErrOutcomeUnknown = errors.New("cloud: outcome of the call is unknown")
	// ErrNotExecuted says that the call had no effect: it was not sent, for instance
	// because of a rate limit, or the platform was overloaded.
	ErrNotExecuted = errors.New("cloud: call was not executed, retry later")
)

// DesiredCount is the desired number of a service's endpoints in a zone, either
// reclaimable or on demand.
type DesiredCount struct {
	Service     identity.Service
	Zone        identity.Zone
	Reclaimable bool
	Desired     int
}

// LeaderCalls are the calls that only the leader makes, the host that holds the
// lease. Each carries the fence of the lease, which the platform checks when the
// call takes effect.
type LeaderCalls struct {
	// ReportUsage reports the number of calls of each organisation in one window,
	// which is numbered as in package usage. Repeating an identical report has no
	// effect.
	ReportUsage func(ctx context.Context, fence identity.Fence, window int64, counts map[identity.Organisation]int) error
	// SetDesiredCount sets the desired number of endpoints.
	SetDesiredCount func(ctx context.Context, fence identity.Fence, count DesiredCount) error
}
