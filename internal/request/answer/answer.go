// Package answer assembles the answer to one request from the frames of its
// attempts.
//
// # Offsets
//
// Every token has an offset from the start of the answer. Append accepts the frames
// of successive attempts: it skips tokens that the answer already has and rejects
// gaps. Any number of readers can read from any offset, so that a caller which
// reconnects misses no token and a slow caller blocks neither the engine nor other
// readers.
//
// # Size
//
// An answer stores its text once plus four bytes for each token. It rejects text
// beyond its limit.
package answer

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// MaxBytes is the text limit of an answer created by New.
const MaxBytes = 4 << 20

// Answer is the answer to one request. Create it with New or NewWithLimit.
type Answer struct {
	mu sync.Mutex
	// limit is the maximum length of text in bytes.
	limit int
	text  []byte
	// ends holds the position in text, in bytes, at which each token ends.
	ends []uint32
	// usage and failure are set once, by Finish or Fail; ended is then true.
	usage   engine.Usage
	failure *verdict.Error
	ended   bool
	// changed is closed to wake the waiting readers; nil while none waits.
	changed chan struct{}
}

// New returns an empty answer with a limit of MaxBytes.
func New() *Answer {
	return NewWithLimit(MaxBytes)
}

// NewWithLimit returns an empty answer with a text limit in bytes.
func NewWithLimit(limit int) *Answer {
	return &Answer{limit: limit}
}

// AppendAndWake appends the tokens that start at offset, except those the answer
// already has, wakes the readers, and returns how many tokens it added. A gap is an
// error and adds nothing.
func (a *Answer) AppendAndWake(offset unit.Tokens, tokens []string) (unit.Tokens, error) {
	defer a.Wake()
	return a.Append(offset, tokens)
}

// Wake wakes the waiting readers.
func (a *Answer) Wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wake()
}

// Append is AppendAndWake without waking the readers, so that one Wake can follow
// several calls.
func (a *Answer) Append(offset unit.Tokens, tokens []string) (unit.Tokens, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := unit.Tokens(len(a.ends))
	if offset < 0 || offset > count {
		return 0, verdict.New(verdict.MayHaveRun, verdict.AnswerGap, "")
	}
	overlap := count - offset
	if a.ended || overlap >= unit.Tokens(len(tokens)) {
		return 0, nil
	}
	added := tokens[overlap:]
	if len(a.text)+totalBytes(added) > a.limit {
		return 0, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "answer exceeds its size limit")
	}
	for _, token := range added {
		a.text = append(a.text, token...)
		a.ends = append(a.ends, uint32(len(a.text)))
	}
	return unit.Tokens(len(added)), nil
}

func totalBytes(tokens []string) int {
	sum := 0
	for _, token := range tokens {
		sum += len(token)
	}
	return sum
}

// Finish marks the answer as complete.
func (a *Answer) Finish(usage engine.Usage) {
	a.end(usage, nil)
}

// Fail ends the answer with an error.
func (a *Answer) Fail(failure *verdict.Error) {
	a.end(engine.Usage{}, failure)
}

func (a *Answer) end(usage engine.Usage, failure *verdict.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.usage = usage
	a.failure = failure
	a.wake()
}

// wake wakes the waiting readers. The caller holds mu.
func (a *Answer) wake() {
	if a.changed == nil {
		return
	}
	close(a.changed)
	a.changed = nil
}

// TokenCount returns the number of tokens so far, which is the offset of the next one.
func (a *Answer) TokenCount() unit.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	return unit.Tokens(len(a.ends))
}

// Text returns the text of all tokens so far.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.text)
}

// Ended reports whether the answer is complete or has failed.
func (a *Answer) Ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended
}

// Failure returns the error with which the answer ended, or nil.
func (a *Answer) Failure() *verdict.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failure
}

// TokensFrom returns the tokens from offset on.
func (a *Answer) TokensFrom(offset unit.Tokens) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var tokens []string
	for i := offset; i < unit.Tokens(len(a.ends)); i++ {
		start := uint32(0)
		if i > 0 {
			start = a.ends[i-1]
		}
		tokens = append(tokens, string(a.text[start:a.ends[i]]))
	}
	return tokens
}

// Piece is the result of one read.
type Piece struct {
	// Offset is the offset of the first of Count tokens, whose text is Text.
	Offset unit.Tokens
	Count  unit.Tokens
	Text   string
	// Done is set once the answer has ended, with Usage if it is complete or
	// Failure if it failed.
	Done    bool
	Usage   engine.Usage
	Failure *verdict.Error
}

// Read waits for tokens from offset on or for the end of the answer.
func (a *Answer) Read(ctx context.Context, offset unit.Tokens) (Piece, error) {
	return a.ReadUntil(ctx, offset, nil)
}

// ReadUntil is Read, but returns an empty piece if tick fires first.
func (a *Answer) ReadUntil(ctx context.Context, offset unit.Tokens, tick <-chan time.Time) (Piece, error) {
	for {
		piece, changed := a.poll(offset)
		if changed == nil {
			return piece, nil
		}
		select {
		case <-changed:
		case <-tick:
			return piece, nil
		case <-ctx.Done():
			return Piece{}, ctx.Err()
		}
	}
}

// Wait waits for the end of the answer and returns its final piece, which has no
// tokens.
func (a *Answer) Wait(ctx context.Context) (Piece, error) {
	for {
		piece, changed := a.poll(a.TokenCount())
		if changed == nil && piece.Done {
			return piece, nil
		}
		if changed == nil {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Piece{}, ctx.Err()
		}
	}
}

// poll returns the tokens from offset on. If there are none and the answer has not
// ended, it also returns a channel that is closed on the next change.
func (a *Answer) poll(offset unit.Tokens) (Piece, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	piece := Piece{Offset: offset, Done: a.ended, Usage: a.usage, Failure: a.failure}
	if offset < unit.Tokens(len(a.ends)) {
		start := uint32(0)
		if offset > 0 {
			start = a.ends[offset-1]
		}
		piece.Count = unit.Tokens(len(a.ends)) - offset
		piece.Text = string(a.text[start:])
	}
	if piece.Done || piece.Count > 0 {
		return piece, nil
	}
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return piece, a.changed
}
