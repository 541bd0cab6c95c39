// Package keyvalue speaks to the platform's key-value service.
//
// # Ambiguous answers
//
// A write whose answer was lost may have taken effect, now or later. Put reports
// that as ErrAmbiguous and never guesses; Settle offers the same write again and
// compares the writer token that every written value carries.
//
// # Silent connections
//
// A watch is bounded, and each opens a connection of its own. Another call that
// misses its deadline closes the connections that lie idle, so that the next
// one opens a new one.
//
// # The protocol
//
// GET KeysPath/{key} gives a Value, 404 when absent. PUT takes a Put: the write
// happens only if the key's revision is IfRevision, where 0 means absent; on a
// conflict the answer is 409 with the current Value. A key written with a TTL
// lapses unless written again. GET with after and wait_ms waits until the
// revision is above after, and answers 304 when the wait ends without a change.
// GET KeysPath with prefix lists Values without their data. Revisions grow over
// the whole service, so that each also serves as a fencing number.
package keyvalue

import "errors"

// KeysPath is where keys live.
const KeysPath = "/v1/keys"

// Revision orders all writes of the service; zero means absent.
type Revision uint64

// Value is one stored key.
type Value struct {
	Key      string   `json:"key"`
	Data     []byte   `json:"data,omitempty"`
	Revision Revision `json:"revision"`
	// Writer is the token that the writer chose for this one write.
	Writer string `json:"writer,omitempty"`
}

// Put is a compare-and-swap.
type Put struct {
	Data       []byte   `json:"data"`
	IfRevision Revision `json:"if_revision"`
	Writer     string   `json:"writer"`
	// TTLMillis is how long the key lives without another write; zero is for ever.
	TTLMillis int64 `json:"ttl_ms,omitempty"`
	// Delete removes the key in place of writing it.
	Delete bool `json:"delete,omitempty"`
}

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1_000_000

// The outcomes of a call that is not plain success.
var (
	// ErrAbsent tells that the key has no value.
	ErrAbsent = errors.New("keyvalue: absent")
	// ErrConflict tells that another write came first; nothing was written.
	ErrConflict = errors.New("keyvalue: conflict")
	// ErrAmbiguous tells that the write may or may not have happened.
	ErrAmbiguous = errors.New("keyvalue: ambiguous")
	// ErrOverwritten tells that another write is in force, and that ours may
	// have been before it.
	ErrOverwritten = errors.New("keyvalue: overwritten")
	// ErrUnavailable tells that the service was not reached; nothing was written.
	ErrUnavailable = errors.New("keyvalue: unavailable")
	// ErrBudget tells that this host has used up its share of calls.
	ErrBudget = errors.New("keyvalue: call budget used up")
)
