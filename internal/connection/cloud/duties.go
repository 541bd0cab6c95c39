package cloud

import (
	"context"
	"errors"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Errors of the calls in Duties.
var (
	// ErrNotDone says that the call was rejected: the platform has seen the fence
	// of a later lease holder, or the ordered endpoints are not available now.
	ErrNotDone = errors.New("cloud: call was rejected")
	// ErrUnanswered says that the call may have taken effect, or may do so later.
	ErrUnanswered = errors.New("cloud: outcome of the call is unknown")
	// ErrBusy says that the call had no effect: it was not sent, for instance
	// because of a rate limit, or the platform was overloaded.
	ErrBusy = errors.New("cloud: call was not executed, retry later")
)

// Count is the desired number of a service's endpoints in a zone, either reclaimable
// or on demand.
type Count struct {
	Service     identity.Service
	Zone        identity.Zone
	Reclaimable bool
	Desired     int
}

// Duties are the calls that only the lease holder makes. Each carries the fence of
// the lease, which the platform checks when the call takes effect.
type Duties struct {
	// ReportUsage reports the number of calls of each organisation in one window.
	// Repeating an identical report has no effect.
	ReportUsage func(ctx context.Context, fence identity.Fence, window int64, counts map[identity.Organisation]int) error
	// Order sets the desired number of endpoints.
	Order func(ctx context.Context, fence identity.Fence, c Count) error
}
