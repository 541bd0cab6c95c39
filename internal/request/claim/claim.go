// Package claim defines the records that prevent a call which may run at most once
// from being dispatched twice.
//
// # Claims
//
// Such a call is claimed before its only dispatch, under the hash of its
// organisation and its idempotency key, or its request id if it has no key. A host
// that finds a claim of another request that is not released must not dispatch the
// call.
//
// # Shards
//
// A claim is stored in the shard given by its id. A shard consists of a Head in the
// key-value service, which is always replaced as a whole, and of sealed Segments,
// which are immutable.
//
// # Outcomes
//
// A claim ends as released, if the call is proved not to have run, or with the
// outcome of the call. Until then, the call may have run.
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
	// ShardCount is the number of shards.
	ShardCount = 16
	// MaxBodyBytes is the maximum total length of an answer's body and content
	// type. Of a longer answer only the status is stored.
	MaxBodyBytes = 1024

	hashBytes = 16
)

// ID identifies a claim. It is the hash of the organisation and the key.
type ID [hashBytes]byte

// Shard returns the number of the claim's shard, below ShardCount.
func (id ID) Shard() int {
	return int(binary.BigEndian.Uint32(id[:4]) % ShardCount)
}

// NewEntry returns the entry that claims a call.
func NewEntry(c call.Call) *Entry {
	id := IDForCall(c)
	return &Entry{Id: id[:], Content: contentHash(c), Request: string(c.Request)}
}

// IDForCall returns the id of a call's claim.
func IDForCall(c call.Call) ID {
	key := "key:" + c.IdempotencyKey
	if c.IdempotencyKey == "" {
		key = "request:" + string(c.Request)
	}
	return hashParts(string(c.Organisation), key)
}

// contentHash hashes the parts of a call that must be equal in a repeat under the
// same key.
func contentHash(c call.Call) []byte {
	sum := hashParts(string(c.Service), c.Method, c.Path, c.Query, c.ContentType, string(c.Body))
	return sum[:]
}

// hashParts hashes each part with its length, so that different lists of parts
// never have the same input.
func hashParts(parts ...string) ID {
	h := sha256.New()
	for _, part := range parts {
		fmt.Fprintf(h, "%d:%s", len(part), part)
	}
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}

// KeyExpired reports whether key is a UUIDv7 older than retention, so that its claim
// may have been deleted. It returns false for other keys, which contain no time.
func KeyExpired(key string, now time.Time, retention time.Duration) bool {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return false
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return now.Sub(time.Unix(seconds, nanoseconds)) > retention
}
