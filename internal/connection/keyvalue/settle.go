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
	writerBytes = 8

	settleFirst = 50 * time.Millisecond
	settleMost  = 2 * time.Second
)

// NewWriter mints the token of one write.
func NewWriter() string {
	raw := make([]byte, writerBytes)
	rand.Read(raw)
	return hex.EncodeToString(raw)
}

// Settle makes a write and does not return before its outcome is definite or
// ctx ends, which is reported as ErrAmbiguous.
//
// After an ambiguous answer the same write is offered again under the same
// IfRevision, so that at most one of the offers takes effect, also one that is
// still on its way. A conflict with our own writer token is then the success
// of an earlier offer. A conflict with another one leaves open whether our
// write was overwritten: ErrOverwritten tells so, beside ErrConflict, when an
// offer had been ambiguous.
func (c Client) Settle(ctx context.Context, key string, put Put) (Value, error) {
	if put.Writer == "" {
		put.Writer = NewWriter()
	}
	pause := newPause(settleFirst, settleMost)
	ambiguous := false
	for {
		value, err := c.Put(ctx, key, put)
		switch {
		case err == nil:
			return value, nil
		case errors.Is(err, ErrConflict):
			return settled(value, put, ambiguous)
		case errors.Is(err, ErrAmbiguous):
			ambiguous = true
		case !ambiguous:
			return value, err
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-ctx.Done():
			return Value{}, errors.Join(ErrAmbiguous, ctx.Err())
		}
	}
}

// settled reads a conflict that came after offers of the same write.
func settled(present Value, put Put, ambiguous bool) (Value, error) {
	switch {
	case !ambiguous:
		return present, ErrConflict
	case put.Delete && present.Revision == 0:
		return present, nil
	case !put.Delete && present.Writer == put.Writer:
		return present, nil
	default:
		return present, errors.Join(ErrConflict, ErrOverwritten)
	}
}

// newPause gives growing pauses, each drawn from half to one and a half of its
// size.
func newPause(first, most time.Duration) *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = first
	pause.MaxInterval = most
	pause.Multiplier = 2
	pause.RandomizationFactor = 0.5
	return pause
}
