package keyvalue

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors that only the calls of Store return.
var (
	// ErrCompacted says that the service no longer has the changes after a
	// revision, so that the range must be read again.
	ErrCompacted = errors.New("keyvalue: history compacted")
	// ErrNoLease says that the lease has ended.
	ErrNoLease = errors.New("keyvalue: no such lease")
	// ErrRestored says that the store was restored from an older copy after it gave out
	// a lease or revision that the call names. A transaction had no effect; a renewal or
	// the end of a lease that met the restoration on its way may have had one on the
	// lease that has the number now. It is an ErrNoLease.
	ErrRestored = fmt.Errorf("%w: store restored from an older copy", ErrNoLease)
)

// LeaseID identifies a lease of the service; the zero value means no lease.
type LeaseID struct {
	// Number is the service's own number of the lease, Era that in which it was granted.
	Number uint64
	Era    Era
}

// Listing is the result of reading a range of keys. Its pages are not one
// snapshot: a value may be newer than AsOf, which is the service's revision
// before the first page was read.
type Listing struct {
	Values []Value
	AsOf   Revision
}

// Change is one write or deletion of a key.
type Change struct {
	Value
	// Deleted says that the key was deleted at Revision; Data is then empty.
	Deleted bool
}

// Changes lists the changes up to AsOf in order.
type Changes struct {
	Changes []Change
	AsOf    Revision
}

// Condition requires that a key has a revision; zero means that it is absent.
type Condition struct {
	Key      string
	Revision Revision
}

// Entry is the write of a key. If Lease is set, the key is deleted when that
// lease ends.
type Entry struct {
	Key   string
	Data  []byte
	Lease LeaseID
}

// Transaction takes effect atomically if all its conditions hold, else not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Entry
	Deletes    []string
}

// Store is a key-value service with ranges, a history, transactions and leases.
// A Client offers only conditional writes of single keys. A platform may provide
// either.
type Store struct {
	// Get reads a key, or returns ErrAbsent.
	Get func(ctx context.Context, key string) (Value, error)
	// Range reads all keys under a prefix.
	Range func(ctx context.Context, prefix string) (Listing, error)
	// Changes waits for changes under a prefix after a revision. If wait ends
	// first it returns no changes and no error. ErrCompacted says that the
	// service no longer has the history after that revision, or was restored since.
	Changes func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit executes a transaction. ErrConflict, ErrNoLease and ErrRestored say that
	// it had no effect. ErrAmbiguous leaves that open: it may even take effect later.
	// A transaction that met the restoration on its way may have compared lost revisions
	// and leases by number alone: the revision is then of a later era than they are.
	Commit func(ctx context.Context, t Transaction) (Revision, error)
	// Grant creates a lease, whose time to live starts when the call arrives.
	Grant func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease, or returns ErrNoLease or ErrRestored.
	KeepAlive func(ctx context.Context, lease LeaseID) error
	// Revoke revokes a lease and deletes its keys.
	Revoke func(ctx context.Context, lease LeaseID) error
}
