// Package claim holds the record that a call which may not be repeated was sent.
//
// # Claims
//
// A call that may run at most once is claimed before its single dispatch, under
// the hash of its organisation and idempotency key, or of its request id when it
// has none. Whoever finds the claim of another request must not send the call.
//
// # Shards
//
// The id of a claim gives its shard. A shard is a Head in the key-value service
// that is only ever swapped whole, and sealed Segments that never change.
//
// # Outcomes
//
// A claim ends released, when the call is proved not to have run, or ran, with
// the answer. A claim that says neither means that the call may have run.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/dandelionlift/dandelionlift/internal/request/call"
)

const (
	// Shards is how many parts the claims are kept in.
	Shards = 16
	// MaxBodyBytes is the largest answer that is recorded with its body.
	MaxBodyBytes = 1024

	hashBytes = 16
)

// ID names a claim: the hash of organisation and key.
type ID [hashBytes]byte

// Shard gives the part that holds the claim, below Shards.
func (id ID) Shard() int {
	return int(binary.BigEndian.Uint32(id[:4]) % Shards)
}

// Of makes the claim of a call.
func Of(c call.Call) *Entry {
	id := IDOf(c)
	return &Entry{Id: id[:], Content: content(c), Request: string(c.Request)}
}

// IDOf gives the id of a call's claim.
func IDOf(c call.Call) ID {
	key := "key:" + c.Key
	if c.Key == "" {
		key = "request:" + string(c.Request)
	}
	return hash(string(c.Organisation), key)
}

// content hashes what a repeat under the same key must have in common.
func content(c call.Call) []byte {
	sum := hash(string(c.Service), c.Method, c.Path, c.Query, c.ContentType, string(c.Body))
	return sum[:]
}

// hash covers the length of each part, so that no two lists of parts collide.
func hash(parts ...string) ID {
	h := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}

// Expired tells whether a key that carries its time (UUIDv7) is too old for its
// claim to be sure to be still there. Opaque keys never are.
func Expired(key string, now time.Time, kept time.Duration) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return now.Sub(time.Unix(seconds, nanoseconds)) > kept
}
