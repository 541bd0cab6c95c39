package claimer

import (
	"context"
	"errors"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/claim"
)

// releaseRetryInterval is the interval at which pending releases are retried.
const releaseRetryInterval = time.Second

// errOverloaded is returned when a shard's queue is full or a batch still
// conflicts after maxCommitAttempts.
var errOverloaded = errors.New("claimer: too many claims for the shard")

// operation is a request to read or write one entry of a shard.
type operation struct {
	entry *claim.Entry
	// resolves marks an operation that records the final state of a claim, lookup
	// one that only reads. If neither is set, the operation claims.
	resolves bool
	lookup   bool
	// remote marks an operation of another host; only that host may release the
	// claim.
	remote bool
	// callerCtx is done when the caller no longer waits for the reply.
	callerCtx context.Context
	reply     chan Result
}

// shard commits the operations on one shard. Only its run goroutine uses the
// fields, except for the operations channel.
type shard struct {
	claimer    *Claimer
	operations chan operation
	store      *store
	lastWrite  time.Time
	// pendingReleases release claims whose write failed but may still take effect.
	pendingReleases []operation
}

func newShard(c *Claimer, number int) *shard {
	return &shard{claimer: c, operations: make(chan operation, maxQueuedOperations), store: newStore(c, number)}
}

// shouldResolve reports whether the final state of a claim has to be written. If
// there is no claim to resolve, a release is still written while the store is in
// doubt: this changes the head's revision, so the earlier write can no longer take
// effect.
func (s *shard) shouldResolve(found, final *claim.Entry) bool {
	if found == nil || found.State == claim.State_RELEASED {
		return s.store.inDoubt && final.State == claim.State_RELEASED
	}
	return found.Request == final.Request && found.State == claim.State_CLAIMED
}

// abandon queues the release of a claim that its caller no longer waits for. The
// release is queued behind the claim, so the claim is either never written or
// released. If the queue is full, the release is dropped, and a claim that was
// already being written stays held.
func (s *shard) abandon(held *claim.Entry) {
	select {
	case s.operations <- newRelease(held):
	default:
	}
}

// submit queues an operation and waits for its result.
func (s *shard) submit(ctx context.Context, op operation) Result {
	op.callerCtx = ctx
	op.reply = make(chan Result, 1)
	select {
	case s.operations <- op:
	default:
		return Result{Err: errOverloaded}
	}
	select {
	case result := <-op.reply:
		return result
	case <-ctx.Done():
		return Result{Err: ctx.Err()}
	}
}

func (s *shard) run(ctx context.Context) error {
	for {
		var releaseRetry <-chan time.Time
		if len(s.pendingReleases) > 0 {
			releaseRetry = time.After(releaseRetryInterval)
		}
		select {
		case <-releaseRetry:
			s.commit(ctx, nil)
		case first := <-s.operations:
			s.commit(ctx, s.collect(ctx, first))
		case <-ctx.Done():
			return nil
		}
	}
}

// collect waits until Claimer.MinWriteInterval has passed since the last write, and
// returns the operation first and those queued by then, at most maxQueuedOperations
// in all.
func (s *shard) collect(ctx context.Context, first operation) []operation {
	if remaining := time.Until(s.lastWrite.Add(s.claimer.MinWriteInterval)); remaining > 0 {
		timer := time.NewTimer(remaining)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	batch := []operation{first}
	for len(batch) < maxQueuedOperations {
		select {
		case next := <-s.operations:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commit retries the batch and the pending releases until every operation has a
// definite result, or fails them all.
func (s *shard) commit(ctx context.Context, batch []operation) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	batch = append(s.pendingReleases, batch...)
	s.pendingReleases = nil
	err := s.store.refreshIfStale(ctx, batch)
	var results []Result
	for attempt := 0; err == nil && attempt < maxCommitAttempts; attempt++ {
		var toWrite *change
		toWrite, results = s.decide(batch)
		if toWrite == nil {
			for i, op := range batch {
				op.reply <- results[i]
			}
			return
		}
		s.lastWrite = time.Now()
		err = s.store.compareAndSwap(ctx, toWrite)
	}
	if err == nil {
		err = errOverloaded
	}
	s.claimer.Log.Warn("claims_unavailable", "asks", len(batch), "error", err)
	for _, op := range batch {
		op.reply <- Result{Err: err}
		s.queueRelease(op)
	}
}

// queueRelease schedules a release if the failed operation may have claimed.
func (s *shard) queueRelease(op operation) {
	recordsOutcome := op.resolves && op.entry.State != claim.State_RELEASED
	if op.lookup || op.remote || recordsOutcome || len(s.pendingReleases) >= maxQueuedOperations {
		return
	}
	s.pendingReleases = append(s.pendingReleases, newRelease(op.entry))
}

func newRelease(held *claim.Entry) operation {
	return operation{entry: claim.ReleasedEntry(held), resolves: true, callerCtx: context.Background(), reply: make(chan Result, 1)}
}

// decide compares the batch with the shard's entries. It returns the entries to
// write, or nil if the confirmed entries already decide every operation.
func (s *shard) decide(batch []operation) (*change, []Result) {
	toWrite := new(change)
	results := make([]Result, len(batch))
	staged := make(map[claim.ID]*claim.Entry)
	for i, op := range batch {
		id := claim.ID(op.entry.Id)
		found := s.store.find(id)
		if e, ok := staged[id]; ok {
			found = e
		}
		results[i] = Result{Entry: found}
		switch {
		case op.lookup:
		case op.resolves:
			if s.shouldResolve(found, op.entry) {
				toWrite.add(op.entry)
				staged[id] = op.entry
			}
		default:
			results[i].Decision = claim.Decide(found, op.entry)
			if results[i].Decision == claim.Free && op.callerCtx.Err() == nil {
				toWrite.add(op.entry)
				staged[id] = op.entry
			}
		}
	}
	if len(toWrite.entries) == 0 {
		return nil, results
	}
	return toWrite, results
}
