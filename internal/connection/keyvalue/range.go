package keyvalue

import (
	"context"
	"errors"
	"time"
)

// The outcomes that only ranges, transactions and leases have.
var (
	// ErrCompacted tells that the changes after a revision are not kept any
	// more, so that the range must be read anew.
	ErrCompacted = errors.New("keyvalue: history compacted")
	// ErrNoLease tells that a lease has ended.
	ErrNoLease = errors.New("keyvalue: no such lease")
)

// LeaseID names a lease of the service; zero is none.
type LeaseID uint64

// Listing is a range of keys. Its pages are not one snapshot: a value may be
// newer than AsOf, which is the service's revision before the first page.
type Listing struct {
	Values []Value
	AsOf   Revision
}

// Change is one write or removal of a key.
type Change struct {
	Value
	// Deleted tells that the key was removed at Revision; Data is empty then.
	Deleted bool
}

// Changes are what happened up to AsOf, in order.
type Changes struct {
	Changes []Change
	AsOf    Revision
}

// Condition asks that a key stands at a revision; zero means that it is absent.
type Condition struct {
	Key      string
	Revision Revision
}

// Entry sets a key, which is removed when its lease ends.
type Entry struct {
	Key   string
	Data  []byte
	Lease LeaseID
}

// Transaction is done whole if all its conditions hold, or else not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Entry
	Deletes    []string
}

// Store is a key-value service with ranges, a history, transactions and leases.
// A Client has conditional writes of single keys; a platform may offer either.
type Store struct {
	// Get reads a key, or gives ErrAbsent.
	Get func(ctx context.Context, key string) (Value, error)
	// Range reads all keys under a prefix.
	Range func(ctx context.Context, prefix string) (Listing, error)
	// Changes waits until something under a prefix changes after a revision. When
	// the wait ends first it gives no changes and no error; ErrCompacted tells
	// that the history is gone.
	Changes func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit does a transaction. ErrConflict and ErrNoLease say that nothing was
	// done, ErrAmbiguous leaves it open: the write may even happen later.
	Commit func(ctx context.Context, t Transaction) (Revision, error)
	// Grant starts a lease, which runs from the arrival of the call.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Keep renews a lease, or gives ErrNoLease.
	Keep func(ctx context.Context, lease LeaseID) error
	// End ends a lease and removes its keys.
	End func(ctx context.Context, lease LeaseID) error
}
