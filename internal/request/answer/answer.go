// Package answer keeps the answer of one request while it is assembled.
//
// # Offsets
//
// Every token has an offset from the start of the answer. Add takes the frames
// of one attempt after another: what is already there is trimmed, a gap is
// refused. Readers follow the answer from any offset, so a caller that lost its
// connection loses no token.
package answer

import (
	"context"
	"strings"
	"sync"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Answer is the answer to one request. Make one with New.
type Answer struct {
	mu     sync.Mutex
	tokens []string
	// usage and failure are set once, by Finish or Fail; done is then true.
	usage   engine.Usage
	failure *verdict.Error
	done    bool
	changed chan struct{}
}

// New makes an empty answer.
func New() *Answer {
	return &Answer{changed: make(chan struct{})}
}

// Add appends the tokens that start at offset, less those already there. A gap
// is an error and adds nothing.
func (a *Answer) Add(offset unit.Tokens, tokens []string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	have := unit.Tokens(len(a.tokens))
	if offset < 0 || offset > have {
		return verdict.New(verdict.MayHaveRun, verdict.AnswerGap, "")
	}
	overlap := have - offset
	if a.done || overlap >= unit.Tokens(len(tokens)) {
		return nil
	}
	a.tokens = append(a.tokens, tokens[overlap:]...)
	a.wake()
	return nil
}

// Finish marks the answer whole.
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
	if a.done {
		return
	}
	a.done = true
	a.usage = usage
	a.failure = failure
	a.wake()
}

// wake lets waiting readers look again; mu is held.
func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Offset is how many tokens there are.
func (a *Answer) Offset() unit.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	return unit.Tokens(len(a.tokens))
}

// Text joins all tokens so far.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return strings.Join(a.tokens, "")
}

// Piece is what a reader gets at a time.
type Piece struct {
	Offset unit.Tokens
	Tokens []string
	// Done is set on the last piece; Failure then tells how the answer ended.
	Done    bool
	Usage   engine.Usage
	Failure *verdict.Error
}

// Read waits for tokens from offset on, or for the answer's end.
func (a *Answer) Read(ctx context.Context, offset unit.Tokens) (Piece, error) {
	for {
		a.mu.Lock()
		piece := Piece{Offset: offset, Done: a.done, Usage: a.usage, Failure: a.failure}
		if offset < unit.Tokens(len(a.tokens)) {
			piece.Tokens = a.tokens[offset:len(a.tokens):len(a.tokens)]
		}
		changed := a.changed
		a.mu.Unlock()
		if piece.Done || len(piece.Tokens) > 0 {
			return piece, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Piece{}, ctx.Err()
		}
	}
}
