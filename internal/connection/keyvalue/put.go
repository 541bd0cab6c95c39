package keyvalue

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	writerTokenBytes = 8

	putInitialBackoff = 50 * time.Millisecond
	putMaxBackoff     = 2 * time.Second
)

// NewWriterToken returns a random token that identifies one write.
func NewWriterToken() string {
	raw := make([]byte, writerTokenBytes)
	rand.Read(raw)
	return hex.EncodeToString(raw)
}

// PutWithRetry makes a write. If its outcome is ambiguous, it retries until the
// outcome is known, or returns ErrAmbiguous when ctx ends.
//
// After an ambiguous attempt the same write is sent again with the same
// IfRevision, so that at most one of the attempts takes effect, including one
// that is still in flight. A conflict with a value that has this write's token,
// or for a deletion with an absent key, then means that an earlier attempt
// succeeded. A conflict with another value leaves open whether this write took
// effect and was overwritten: if an attempt was ambiguous, the error is
// ErrOverwritten as well as ErrConflict.
func (c Client) PutWithRetry(ctx context.Context, key string, put Put) (Value, error) {
	if put.WriterToken == "" {
		put.WriterToken = NewWriterToken()
	}
	delays := newBackoff(putInitialBackoff, putMaxBackoff)
	ambiguous := false
	for {
		value, err := c.Put(ctx, key, put)
		switch {
		case err == nil:
			return value, nil
		case errors.Is(err, ErrConflict):
			return resolveConflict(value, put, ambiguous)
		case errors.Is(err, ErrAmbiguous):
			ambiguous = true
		case !ambiguous:
			return value, err
		}
		select {
		case <-time.After(delays.NextBackOff()):
		case <-ctx.Done():
			return Value{}, errors.Join(ErrAmbiguous, ctx.Err())
		}
	}
}

// resolveConflict interprets a conflict; ambiguous says that an earlier attempt of
// the same write had an ambiguous outcome.
func resolveConflict(present Value, put Put, ambiguous bool) (Value, error) {
	switch {
	case !ambiguous:
		return present, ErrConflict
	case put.Delete && present.Revision == 0:
		return present, nil
	case !put.Delete && present.WriterToken == put.WriterToken:
		return present, nil
	default:
		return present, errors.Join(ErrConflict, ErrOverwritten)
	}
}

// newBackoff returns exponentially growing delays with a jitter of ±50 %.
func newBackoff(initial, maximum time.Duration) *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initial
	delays.MaxInterval = maximum
	delays.Multiplier = 2
	delays.RandomizationFactor = 0.5
	return delays
}
