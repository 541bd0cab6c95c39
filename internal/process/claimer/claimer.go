// Package claimer claims calls in the key-value service, many with one write.
//
// # Group commit
//
// One goroutine for each shard collects what callers want while the write
// before is on its way or its pace does not yet allow another, and then swaps
// the shard's head once for all of them.
//
// # Safety
//
// A claim is confirmed only by a compare-and-swap of the head that it was
// decided on, so that any number of hosts may write to one shard. No leader, no
// lease and no clock is needed for it. Writers that meet cost another write.
//
// # Lost answers
//
// A write whose answer was lost is settled by reading the head back: the claim
// is ours if it names our request, whoever has written since.
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
	defaultPace = 200 * time.Millisecond
	defaultKept = time.Hour
	waitMost    = 2 * time.Second
	// forwardMost leaves time to write without the shard's writer.
	forwardMost = time.Second
	queuedAsks  = 256
	// settleTries bounds how often a batch is offered.
	settleTries = 16
)

// Result tells what became of an ask.
type Result struct {
	// Decision is claim.Held once the claim is confirmed.
	Decision claim.Decision
	// Entry is what another request left, when the claim is taken.
	Entry *claim.Entry
	// Err is set when the service did not confirm anything.
	Err error
}

// Claimer claims for one host. Make one with New and call Run.
type Claimer struct {
	KeyValue keyvalue.Client
	// Kept is how long a claim is sure to be found.
	Kept time.Duration
	// Pace is the least time between two writes to one shard.
	Pace time.Duration
	Log  *slog.Logger
	// Forward, if set, offers an entry to the host that writes the shard for
	// all. After an error this host writes itself.
	Forward func(ctx context.Context, shard int, entry *claim.Entry, settles bool) (Result, error)

	shards [claim.Shards]*shard
}

// New makes a Claimer that writes through kv.
func New(kv keyvalue.Client) *Claimer {
	c := &Claimer{KeyValue: kv, Kept: defaultKept, Pace: defaultPace, Log: slog.Default()}
	for i := range c.shards {
		c.shards[i] = newShard(c, i)
	}
	return c
}

// Run writes until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range c.shards {
		group.Go(func() error { return s.run(ctx) })
	}
	return group.Wait()
}

// Claim waits until the claim is confirmed, refused, or ctx ends. With an error
// the call must not be sent; should its claim be written later, it is released.
func (c *Claimer) Claim(ctx context.Context, wanted *claim.Entry) Result {
	ctx, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	if result, ok := c.forward(ctx, wanted, false); ok {
		return result
	}
	s := c.shards[claim.ID(wanted.Id).Shard()]
	result := s.offer(ctx, ask{entry: wanted})
	if result.Err != nil {
		s.abandon(wanted)
	}
	return result
}

// Settle records what became of a claim that the entry's request holds.
func (c *Claimer) Settle(ctx context.Context, end *claim.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	if _, ok := c.forward(ctx, end, true); ok {
		return nil
	}
	return c.shards[claim.ID(end.Id).Shard()].offer(ctx, ask{entry: end, settles: true}).Err
}

// forward lets the writer of the shard do it, and tells whether it did.
func (c *Claimer) forward(ctx context.Context, entry *claim.Entry, settles bool) (Result, bool) {
	if c.Forward == nil {
		return Result{}, false
	}
	limited, cancel := context.WithTimeout(ctx, forwardMost)
	defer cancel()
	result, err := c.Forward(limited, claim.ID(entry.Id).Shard(), entry, settles)
	return result, err == nil && result.Err == nil
}

// Offer writes for another host. Whether the claim is used or given up is for
// that host alone to say, so nothing is released here.
func (c *Claimer) Offer(ctx context.Context, entry *claim.Entry, settles bool) Result {
	ctx, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	return c.shards[claim.ID(entry.Id).Shard()].offer(ctx, ask{entry: entry, settles: settles, foreign: true})
}

// Find reads what the service holds under an id, or gives nil.
func (c *Claimer) Find(ctx context.Context, id claim.ID) (*claim.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	result := c.shards[id.Shard()].offer(ctx, ask{entry: &claim.Entry{Id: id[:]}, looks: true})
	return result.Entry, result.Err
}
