package answer_test

import (
	"context"
	"flag"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/answer"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// machine is a state machine that adds the frames of several attempts to an answer
// and reads from it. The frames overlap, repeat, arrive late or leave gaps.
type machine struct {
	answer *answer.Answer
	// tokens is the full answer, received how many of its tokens were added.
	tokens   []string
	received int
	ended    bool
	// readText and readOffset are the text and the number of tokens that a reader
	// has received.
	readText   strings.Builder
	readOffset unit.Tokens
}

func (m *machine) addFrame(t *rapid.T) {
	from := rapid.IntRange(max(0, m.received-4), min(len(m.tokens), m.received+2)).Draw(t, "from")
	to := rapid.IntRange(from, len(m.tokens)).Draw(t, "to")
	added, err := m.answer.AppendAndWake(unit.Tokens(from), m.tokens[from:to])
	if from > m.received {
		if err == nil {
			t.Fatalf("AppendAndWake accepted a gap from %d to %d", m.received, from)
		}
		return
	}
	if err != nil {
		t.Fatalf("adding tokens %d to %d after %d: %v", from, to, m.received, err)
	}
	if m.ended || to <= m.received {
		if added != 0 {
			t.Fatalf("added %d tokens that were known or came after the end", added)
		}
		return
	}
	if int(added) != to-m.received {
		t.Fatalf("added %d of %d new tokens", added, to-m.received)
	}
	m.received = to
}

func (m *machine) finish(*rapid.T) {
	m.answer.Finish(engine.Usage{})
	m.ended = true
}

func (m *machine) readNext(t *rapid.T) {
	if int(m.readOffset) == m.received && !m.ended {
		return
	}
	piece, err := m.answer.Read(context.Background(), m.readOffset)
	if err != nil {
		t.Fatal(err)
	}
	m.readOffset += piece.Count
	m.readText.WriteString(piece.Text)
}

func (m *machine) check(t *rapid.T) {
	want := strings.Join(m.tokens[:m.received], "")
	if got := m.answer.Text(); got != want {
		t.Fatalf("answer is %q, want %q", got, want)
	}
	if got := m.readText.String(); got != strings.Join(m.tokens[:m.readOffset], "") {
		t.Fatalf("reader at offset %d has text %q", m.readOffset, got)
	}
}

// TestResumeAssemblesEachTokenOnce checks random sequences of frames and reads.
func TestResumeAssemblesEachTokenOnce(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.SliceOfN(rapid.StringN(0, 4, -1), 0, 24).Draw(t, "whole")
		m := &machine{answer: answer.New(), tokens: tokens}
		t.Repeat(map[string]func(*rapid.T){
			"frame": m.addFrame, "finish": m.finish, "follow": m.readNext, "": m.check,
		})
	})
}

func TestAppendRefusesTooMuchText(t *testing.T) {
	c := qt.New(t)
	a := answer.New()
	_, err := a.AppendAndWake(0, []string{strings.Repeat("x", answer.MaxBytes)})
	c.Assert(err, qt.IsNil)
	_, err = a.AppendAndWake(1, []string{"x"})
	c.Assert(err, qt.IsNotNil)
	c.Assert(a.TokenCount(), qt.Equals, unit.Tokens(1))
}
