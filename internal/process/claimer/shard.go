package claimer

import (
	"context"
	"errors"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/request/claim"
)

// owedPause is the time between tries to release what is owed.
const owedPause = time.Second

// errBusy tells that more is asked of a shard than its pace lets through.
var errBusy = errors.New("claimer: too many claims are waiting")

// ask is one thing wanted of a shard.
type ask struct {
	entry *claim.Entry
	// settles records an outcome, looks only reads; neither set claims.
	settles bool
	looks   bool
	// foreign asks come from another host, which alone may give the claim up.
	foreign bool
	// gone is done when nobody waits for the reply any more.
	gone  context.Context
	reply chan Result
}

// shard is touched by its run goroutine alone, but for asks.
type shard struct {
	claimer *Claimer
	asks    chan ask
	store   *store
	wrote   time.Time
	// owed are releases of claims whose write failed, and may yet take effect.
	owed []ask
}

func newShard(c *Claimer, number int) *shard {
	return &shard{claimer: c, asks: make(chan ask, queuedAsks), store: newStore(c, number)}
}

// settles tells whether an entry's end is to be written. A release is also
// written while an earlier write may still take effect, which it then can't.
func (s *shard) settles(found, end *claim.Entry) bool {
	if found == nil || found.State == claim.State_RELEASED {
		return s.store.unsettled && end.State == claim.State_RELEASED
	}
	return found.Request == end.Request && found.State == claim.State_CLAIMED
}

// abandon frees a claim whose outcome was not awaited. The ask comes after that
// of the claim, so the claim is either not written or released.
func (s *shard) abandon(held *claim.Entry) {
	select {
	case s.asks <- releases(held):
	default:
	}
}

// offer queues an ask and waits for its result.
func (s *shard) offer(ctx context.Context, a ask) Result {
	a.gone = ctx
	a.reply = make(chan Result, 1)
	select {
	case s.asks <- a:
	default:
		return Result{Err: errBusy}
	}
	select {
	case result := <-a.reply:
		return result
	case <-ctx.Done():
		return Result{Err: ctx.Err()}
	}
}

func (s *shard) run(ctx context.Context) error {
	for {
		var owing <-chan time.Time
		if len(s.owed) > 0 {
			owing = time.After(owedPause)
		}
		select {
		case <-owing:
			s.commit(ctx, nil)
		case first := <-s.asks:
			s.commit(ctx, s.collect(ctx, first))
		case <-ctx.Done():
			return nil
		}
	}
}

// collect waits for the pace and takes all that is queued by then.
func (s *shard) collect(ctx context.Context, first ask) []ask {
	if left := time.Until(s.wrote.Add(s.claimer.Pace)); left > 0 {
		pause := time.NewTimer(left)
		defer pause.Stop()
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
	batch := []ask{first}
	for len(batch) < queuedAsks {
		select {
		case next := <-s.asks:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// commit offers the batch until each of its asks has a definite result.
func (s *shard) commit(ctx context.Context, batch []ask) {
	ctx, cancel := context.WithTimeout(ctx, waitMost)
	defer cancel()
	batch = append(s.owed, batch...)
	s.owed = nil
	err := s.store.refreshFor(ctx, batch)
	var results []Result
	for try := 0; err == nil && try < settleTries; try++ {
		var write *change
		write, results = s.decide(batch)
		if write == nil {
			for i, a := range batch {
				a.reply <- results[i]
			}
			return
		}
		s.wrote = time.Now()
		err = s.store.swap(ctx, write)
	}
	if err == nil {
		err = errBusy
	}
	s.claimer.Log.Warn("claims_unavailable", "asks", len(batch), "error", err)
	for _, a := range batch {
		a.reply <- Result{Err: err}
		s.owe(a)
	}
}

// owe remembers to release what a failed write may have claimed.
func (s *shard) owe(a ask) {
	outcome := a.settles && a.entry.State != claim.State_RELEASED
	if a.looks || a.foreign || outcome || len(s.owed) >= queuedAsks {
		return
	}
	s.owed = append(s.owed, releases(a.entry))
}

func releases(held *claim.Entry) ask {
	return ask{entry: claim.Release(held), settles: true, gone: context.Background(), reply: make(chan Result, 1)}
}

// decide compares the batch with what the shard holds. It gives the entries to
// write, or nil when all asks are settled by what was confirmed.
func (s *shard) decide(batch []ask) (*change, []Result) {
	write := new(change)
	results := make([]Result, len(batch))
	taken := make(map[claim.ID]*claim.Entry)
	for i, a := range batch {
		id := claim.ID(a.entry.Id)
		found := s.store.find(id)
		if pending, ok := taken[id]; ok {
			found = pending
		}
		results[i] = Result{Entry: found}
		switch {
		case a.looks:
		case a.settles:
			if s.settles(found, a.entry) {
				write.add(a.entry)
				taken[id] = a.entry
			}
		default:
			results[i].Decision = claim.Decide(found, a.entry)
			if results[i].Decision == claim.Free && a.gone.Err() == nil {
				write.add(a.entry)
				taken[id] = a.entry
			}
		}
	}
	if len(write.entries) == 0 {
		return nil, results
	}
	return write, results
}
