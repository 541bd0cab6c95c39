package reclaim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	claimKeyPrefix = "reclaim/"
	// claimTTL is how long a claim is kept after its last write.
	claimTTL        = 10 * time.Minute
	keyValueTimeout = 2 * time.Second
	// claimCheckInterval is how often a holder checks that its claim has not
	// been taken over.
	claimCheckInterval = 2 * time.Second
)

// stage says whether a claimed transfer has finished.
type stage string

const (
	transferring stage = "carrying"
	finished     stage = "finished"
)

// claim is the value stored under a leaving incarnation's key. The key's
// revision is the holder's fencing token: a later holder has a higher one.
type claim struct {
	Holder identity.Host `json:"holder"`
	Stage  stage         `json:"stage"`
	// Tokens and Bytes are how much this holder transferred.
	Tokens int64 `json:"tokens"`
	Bytes  int64 `json:"bytes"`
}

var (
	// errFinished means that the transfer is already complete.
	errFinished = errors.New("cache transfer already finished")
	// errSuperseded means that another host holds the claim now.
	errSuperseded = errors.New("claim taken over")
)

// heldClaim is a claim as last written by this host. A zero revision means that
// the transfer goes on without a claim because the key-value service could not
// be reached.
type heldClaim struct {
	key      string
	revision keyvalue.Revision
}

// acquireClaim claims the endpoint for this host, replacing any earlier holder.
// It returns errFinished if the transfer is already complete.
func (r *Reclaim) acquireClaim(ctx context.Context, e fleet.Endpoint) (heldClaim, error) {
	ctx, cancel := context.WithTimeout(ctx, keyValueTimeout)
	defer cancel()
	h := heldClaim{key: claimKeyPrefix + string(e.Incarnation)}
	present, err := r.KeyValue.Get(ctx, h.key)
	if err != nil && !errors.Is(err, keyvalue.ErrAbsent) {
		return h, r.continueUnclaimed(err)
	}
	var previous claim
	if err == nil && json.Unmarshal(present.Data, &previous) == nil && previous.Stage == finished {
		return h, errFinished
	}
	h.revision = present.Revision
	return r.writeClaim(ctx, h, claim{Holder: r.Host, Stage: transferring})
}

// writeClaim writes c if the stored claim is still at h's revision.
func (r *Reclaim) writeClaim(ctx context.Context, h heldClaim, c claim) (heldClaim, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return h, err
	}
	put := keyvalue.Put{Data: data, IfRevision: h.revision, TTLMillis: claimTTL.Milliseconds()}
	value, err := r.KeyValue.PutWithRetry(ctx, h.key, put)
	if errors.Is(err, keyvalue.ErrConflict) {
		return h, errSuperseded
	}
	if err != nil {
		return heldClaim{key: h.key}, r.continueUnclaimed(err)
	}
	h.revision = value.Revision
	return h, nil
}

// continueUnclaimed logs err and returns nil, so that the transfer goes on
// without a claim.
func (r *Reclaim) continueUnclaimed(err error) error {
	r.Log.Warn("reclaim_unclaimed", "error", err)
	return nil
}

// watchClaim cancels the transfer once another host holds the claim.
func (r *Reclaim) watchClaim(ctx context.Context, h heldClaim, cancel context.CancelCauseFunc) error {
	ticker := time.NewTicker(claimCheckInterval)
	defer ticker.Stop()
	for h.revision != 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		limited, done := context.WithTimeout(ctx, keyValueTimeout)
		present, err := r.KeyValue.Get(limited, h.key)
		done()
		if err == nil && present.Revision > h.revision {
			cancel(errSuperseded)
			return nil
		}
	}
	return nil
}
