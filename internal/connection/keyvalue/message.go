// Package keyvalue is a client of the platform's key-value service.
//
// # Ambiguous answers
//
// A write whose response was lost may have taken effect, or may still do so. Put
// reports that as ErrAmbiguous. PutWithRetry sends the same write again and compares
// the writer token that is stored with each value.
//
// # Dead connections
//
// A connection can stop delivering data without being closed. Each watch has a
// timeout and a connection of its own. A call that times out also closes all
// idle connections, so that the next call opens a new one.
//
// # Protocol
//
// GET KeysPath/{key} returns a Value, or 404 if the key is absent. PUT takes a
// Put, which takes effect only if the key's revision is IfRevision, where 0 means
// absent; on a conflict the response is 409 with the current Value. A key written
// with a TTL expires unless it is written again. GET with after and wait_ms waits
// until the revision is above after, and returns 304 if the wait ends without a
// change. GET KeysPath with prefix lists Values without their data. Revisions
// increase across the whole service, so that each can serve as a fencing token.
package keyvalue

import "errors"

// KeysPath is the path prefix of the keys.
const KeysPath = "/v1/keys"

// Revision orders all writes of the service; zero means absent. It also holds the Era
// of a store that can be restored from an older copy.
type Revision uint64

// Value is one stored key.
type Value struct {
	Key      string   `json:"key"`
	Data     []byte   `json:"data,omitempty"`
	Revision Revision `json:"revision"`
	// WriterToken is the token that identifies the write that stored this value.
	WriterToken string `json:"writer,omitempty"`
}

// Put is a compare-and-swap write.
type Put struct {
	Data        []byte   `json:"data"`
	IfRevision  Revision `json:"if_revision"`
	WriterToken string   `json:"writer"`
	// TTLMillis is the time after which the key expires; zero means never.
	TTLMillis int64 `json:"ttl_ms,omitempty"`
	// Delete deletes the key instead of writing it.
	Delete bool `json:"delete,omitempty"`
}

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1_000_000

// Errors that calls return.
var (
	// ErrAbsent says that the key does not exist.
	ErrAbsent = errors.New("keyvalue: key is absent")
	// ErrConflict says that the key's revision did not match; nothing was written.
	ErrConflict = errors.New("keyvalue: revision does not match")
	// ErrAmbiguous says that the write may or may not have taken effect.
	ErrAmbiguous = errors.New("keyvalue: outcome of the write is unknown")
	// ErrOverwritten says that the key holds the value of another write, and
	// that this write may have taken effect before it.
	ErrOverwritten = errors.New("keyvalue: write may have been overwritten")
	// ErrUnavailable says that the service was not reached or refused the call;
	// nothing was written.
	ErrUnavailable = errors.New("keyvalue: service unavailable")
	// ErrOverBudget says that this host has used up its share of calls.
	ErrOverBudget = errors.New("keyvalue: call budget exhausted")
)
