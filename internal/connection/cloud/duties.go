package cloud

import (
	"context"
	"errors"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// The outcomes of a duty's call that is not done.
var (
	// ErrNotDone tells that the call was answered and not done: a later holder's
	// fence was seen, or what is ordered is not to be had now.
	ErrNotDone = errors.New("cloud: refused")
	// ErrUnanswered tells that the call may have been done, or may be done later.
	ErrUnanswered = errors.New("cloud: unanswered")
	// ErrBusy tells that the call was not done for want of rate.
	ErrBusy = errors.New("cloud: over the rate")
)

// Count is how many endpoints of one kind a service shall have in a zone.
type Count struct {
	Service     identity.Service
	Zone        identity.Zone
	Reclaimable bool
	Desired     int
}

// Duties are the calls that one host at a time makes for all. Each carries the
// fence of the lease under which it is made, which the platform checks when the
// call takes effect.
type Duties struct {
	// ReportUsage tells what organisations called for in one window. An exact
	// repeat has no effect.
	ReportUsage func(ctx context.Context, fence identity.Fence, window int64, counts map[identity.Organisation]int) error
	// Order sets a Count.
	Order func(ctx context.Context, fence identity.Fence, c Count) error
}
