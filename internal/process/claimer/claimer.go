// Package claimer records claims on calls in the key-value service and batches them
// into few writes. A claim gives one request the sole right to run a call; repeats
// of the call on any host find it and, later, its outcome. Claims are divided into
// shards by id. The head of a shard is one value with its latest entries; sealed
// segments hold older ones.
//
// # Group commit
//
// Operations on a shard are queued while a write is in flight or the last one is
// less than Claimer.MinWriteInterval ago. One goroutine per shard then commits the
// whole batch with one compare-and-swap of the shard's head.
//
// # Safety
//
// A claim is confirmed only by a compare-and-swap of the head that the decision was
// based on, so any number of hosts may write to one shard. This needs no leader and
// no lease; clocks only decide when sealed segments are dropped. A conflict between
// writers costs one more write.
//
// # Lost responses
//
// After a write whose response was lost, the head is read back: the claim is
// held if the head names this host's request, whoever has written since.
package claimer

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/request/claim"
)

const (
	defaultMinWriteInterval = 200 * time.Millisecond
	defaultRetention        = time.Hour
	callTimeout             = 2 * time.Second
	// forwardTimeout is shorter than callTimeout, which leaves time for this host
	// to write the shard itself.
	forwardTimeout      = time.Second
	maxQueuedOperations = 256
	// maxCommitAttempts limits the compare-and-swap attempts for one batch.
	maxCommitAttempts = 16
)

// Result is the outcome of one operation.
type Result struct {
	// Decision is claim.HeldByRequest once the claim is confirmed.
	Decision claim.Decision
	// Entry is the entry found under the claim's id, if any. When the claim is
	// taken, it belongs to another request.
	Entry *claim.Entry
	// Err is set if the key-value service did not confirm the operation.
	Err error
}

// Claimer claims calls on behalf of one host. Create one with New and call Run.
type Claimer struct {
	KeyValue keyvalue.Client
	// Retention is the minimum time for which a claim can be found.
	Retention time.Duration
	// MinWriteInterval is the minimum interval between two writes to one shard.
	MinWriteInterval time.Duration
	Log              *slog.Logger
	// Forward, if set, sends an entry to the host that writes this shard for all
	// hosts. If it fails, this host writes the entry itself. resolves means
	// that the entry is the final state of a claim, not a new claim.
	Forward func(ctx context.Context, shard int, entry *claim.Entry, resolves bool) (Result, error)

	shards [claim.ShardCount]*shard
}

// New returns a Claimer that writes through kv.
func New(kv keyvalue.Client) *Claimer {
	c := &Claimer{KeyValue: kv, Retention: defaultRetention, MinWriteInterval: defaultMinWriteInterval, Log: slog.Default()}
	for i := range c.shards {
		c.shards[i] = newShard(c, i)
	}
	return c
}

// Run commits queued operations until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range c.shards {
		group.Go(func() error { return s.run(ctx) })
	}
	return group.Wait()
}

// Claim waits until the claim is confirmed or refused, or until ctx ends. If the
// result has an error, the call must not be sent; if its claim is written later
// after all, it is released.
func (c *Claimer) Claim(ctx context.Context, wanted *claim.Entry) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if result, ok := c.forward(ctx, wanted, false); ok {
		return result
	}
	s := c.shards[claim.ID(wanted.Id).Shard()]
	result := s.submit(ctx, operation{entry: wanted})
	if result.Err != nil {
		s.abandon(wanted)
	}
	return result
}

// Resolve records the final state of a claim that the entry's request holds.
func (c *Claimer) Resolve(ctx context.Context, final *claim.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, ok := c.forward(ctx, final, true); ok {
		return nil
	}
	return c.shards[claim.ID(final.Id).Shard()].submit(ctx, operation{entry: final, resolves: true}).Err
}

// forward sends the entry to the shard's writer and reports whether the writer
// handled it.
func (c *Claimer) forward(ctx context.Context, entry *claim.Entry, resolves bool) (Result, bool) {
	if c.Forward == nil {
		return Result{}, false
	}
	forwardCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	result, err := c.Forward(forwardCtx, claim.ID(entry.Id).Shard(), entry, resolves)
	return result, err == nil && result.Err == nil
}

// SubmitForPeer writes an entry for another host. Only that host may decide whether to
// use or release the claim, so a failed write is not followed by a release here.
func (c *Claimer) SubmitForPeer(ctx context.Context, entry *claim.Entry, resolves bool) Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.shards[claim.ID(entry.Id).Shard()].submit(ctx, operation{entry: entry, resolves: resolves, remote: true})
}

// Find returns the entry that the service holds under an id, or nil.
func (c *Claimer) Find(ctx context.Context, id claim.ID) (*claim.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result := c.shards[id.Shard()].submit(ctx, operation{entry: &claim.Entry{Id: id[:]}, lookup: true})
	return result.Entry, result.Err
}
