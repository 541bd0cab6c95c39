// Package answer keeps the answer of one request while it is assembled.
//
// # Offsets
//
// Every token has an offset from the start of the answer. Add takes the frames
// of one attempt after another: what is already there is trimmed, a gap is
// refused. Readers follow the answer from any offset, so a caller that lost its
// connection loses no token, and a slow one holds up nobody.
//
// # Size
//
// An answer holds its text once and four bytes for each token, and refuses more
// text than its limit.
package answer

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// MaxBytes bounds the text of an answer that New made.
const MaxBytes = 4 << 20

// Answer is the answer to one request. Make one with New.
type Answer struct {
	mu sync.Mutex
	// limit bounds the length of text.
	limit int
	text  []byte
	// ends holds the end of each token in text.
	ends []uint32
	// usage and failure are set once, by Finish or Fail; done is then true.
	usage   engine.Usage
	failure *verdict.Error
	done    bool
	// changed is closed at the next change; nil while nobody waits.
	changed chan struct{}
}

// New makes an empty answer.
func New() *Answer {
	return Sized(MaxBytes)
}

// Sized makes an empty answer with a limit in bytes.
func Sized(limit int) *Answer {
	return &Answer{limit: limit}
}

// Add appends the tokens that start at offset, less those already there, wakes
// the readers, and tells how many it took. A gap is an error and adds nothing.
func (a *Answer) Add(offset unit.Tokens, tokens []string) (unit.Tokens, error) {
	defer a.Wake()
	return a.Append(offset, tokens)
}

// Wake lets waiting readers look again.
func (a *Answer) Wake() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wake()
}

// Append is Add without waking the readers, so that one Wake serves several.
func (a *Answer) Append(offset unit.Tokens, tokens []string) (unit.Tokens, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	have := unit.Tokens(len(a.ends))
	if offset < 0 || offset > have {
		return 0, verdict.New(verdict.MayHaveRun, verdict.AnswerGap, "")
	}
	overlap := have - offset
	if a.done || overlap >= unit.Tokens(len(tokens)) {
		return 0, nil
	}
	added := tokens[overlap:]
	if len(a.text)+size(added) > a.limit {
		return 0, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "answer too large")
	}
	for _, token := range added {
		a.text = append(a.text, token...)
		a.ends = append(a.ends, uint32(len(a.text)))
	}
	return unit.Tokens(len(added)), nil
}

func size(tokens []string) int {
	sum := 0
	for _, token := range tokens {
		sum += len(token)
	}
	return sum
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
	if a.changed == nil {
		return
	}
	close(a.changed)
	a.changed = nil
}

// Offset is how many tokens there are.
func (a *Answer) Offset() unit.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	return unit.Tokens(len(a.ends))
}

// Text joins all tokens so far.
func (a *Answer) Text() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return string(a.text)
}

// Ended tells whether the answer is whole or has failed.
func (a *Answer) Ended() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.done
}

// Failure tells why the answer failed, or gives nil.
func (a *Answer) Failure() *verdict.Error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failure
}

// Tokens gives the tokens from offset on, one by one.
func (a *Answer) Tokens(offset unit.Tokens) []string {
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

// Piece is what a reader gets at a time.
type Piece struct {
	// Offset is that of the first of Count tokens, which Text joins.
	Offset unit.Tokens
	Count  unit.Tokens
	Text   string
	// Done is set on the last piece; Failure then tells how the answer ended.
	Done    bool
	Usage   engine.Usage
	Failure *verdict.Error
}

// Read waits for tokens from offset on, or for the answer's end.
func (a *Answer) Read(ctx context.Context, offset unit.Tokens) (Piece, error) {
	return a.ReadUntil(ctx, offset, nil)
}

// ReadUntil is Read, but gives an empty piece when tick fires first.
func (a *Answer) ReadUntil(ctx context.Context, offset unit.Tokens, tick <-chan time.Time) (Piece, error) {
	for {
		piece, changed := a.look(offset)
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

// Wait waits for the answer's end, whose piece has no tokens.
func (a *Answer) Wait(ctx context.Context) (Piece, error) {
	for {
		piece, changed := a.look(a.Offset())
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

// look gives what there is from offset on, or a channel that is closed when
// there is more.
func (a *Answer) look(offset unit.Tokens) (Piece, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	piece := Piece{Offset: offset, Done: a.done, Usage: a.usage, Failure: a.failure}
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
