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
	claimKeys = "reclaim/"
	// claimKept is how long a claim outlives the carry's end.
	claimKept = 10 * time.Minute
	askWithin = 2 * time.Second
	// checkEvery is how often a carrier looks whether its claim still stands.
	checkEvery = 2 * time.Second
)

// stage is how far a claimed carry has come.
type stage string

const (
	carrying stage = "carrying"
	finished stage = "finished"
)

// claim is the value under a leaving incarnation's key. The key's revision is
// the holder's fencing number: a later holder has a higher one.
type claim struct {
	Holder identity.Host `json:"holder"`
	Stage  stage         `json:"stage"`
	// Tokens and Bytes are what this holder carried.
	Tokens int64 `json:"tokens"`
	Bytes  int64 `json:"bytes"`
}

var (
	// errFinished tells that another host carried all there was.
	errFinished = errors.New("carried already")
	// errSuperseded tells that another host has taken over.
	errSuperseded = errors.New("claim taken over")
)

// held is a claim as its holder knows it. A zero revision is a carry without a
// claim, while the service could not be reached.
type held struct {
	key      string
	revision keyvalue.Revision
}

// claim takes the endpoint over from whoever held it.
func (r *Reclaim) claim(ctx context.Context, e fleet.Endpoint) (held, error) {
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	h := held{key: claimKeys + string(e.Incarnation)}
	present, err := r.KeyValue.Get(ctx, h.key)
	if err != nil && !errors.Is(err, keyvalue.ErrAbsent) {
		return h, r.unclaimed(err)
	}
	var before claim
	if err == nil && json.Unmarshal(present.Data, &before) == nil && before.Stage == finished {
		return h, errFinished
	}
	h.revision = present.Revision
	return r.write(ctx, h, claim{Holder: r.Host, Stage: carrying})
}

// write replaces the claim that h holds.
func (r *Reclaim) write(ctx context.Context, h held, c claim) (held, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return h, err
	}
	put := keyvalue.Put{Data: data, IfRevision: h.revision, TTLMillis: claimKept.Milliseconds()}
	value, err := r.KeyValue.Settle(ctx, h.key, put)
	if errors.Is(err, keyvalue.ErrConflict) {
		return h, errSuperseded
	}
	if err != nil {
		return held{key: h.key}, r.unclaimed(err)
	}
	h.revision = value.Revision
	return h, nil
}

// unclaimed lets a carry go on without the service.
func (r *Reclaim) unclaimed(err error) error {
	r.Log.Warn("reclaim_unclaimed", "error", err)
	return nil
}

// watch ends a carry by cancel once another host holds the claim.
func (r *Reclaim) watch(ctx context.Context, h held, cancel context.CancelCauseFunc) error {
	ticker := time.NewTicker(checkEvery)
	defer ticker.Stop()
	for h.revision != 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		limited, done := context.WithTimeout(ctx, askWithin)
		present, err := r.KeyValue.Get(limited, h.key)
		done()
		if err == nil && present.Revision > h.revision {
			cancel(errSuperseded)
			return nil
		}
	}
	return nil
}
