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

// machine assembles one answer from the frames of several attempts, which
// overlap, repeat, come late or leave gaps.
type machine struct {
	answer *answer.Answer
	// whole is what every attempt serves; have is how much of it is in.
	whole []string
	have  int
	ended bool
	// read is what a reader that follows has seen.
	read   strings.Builder
	offset unit.Tokens
}

func (m *machine) frame(t *rapid.T) {
	from := rapid.IntRange(max(0, m.have-4), min(len(m.whole), m.have+2)).Draw(t, "from")
	to := rapid.IntRange(from, len(m.whole)).Draw(t, "to")
	took, err := m.answer.Add(unit.Tokens(from), m.whole[from:to])
	if from > m.have {
		if err == nil {
			t.Fatalf("a gap from %d to %d was taken", m.have, from)
		}
		return
	}
	if err != nil {
		t.Fatalf("tokens %d to %d after %d: %v", from, to, m.have, err)
	}
	if m.ended || to <= m.have {
		if took != 0 {
			t.Fatalf("took %d tokens that it had, or after its end", took)
		}
		return
	}
	if int(took) != to-m.have {
		t.Fatalf("took %d tokens of %d new ones", took, to-m.have)
	}
	m.have = to
}

func (m *machine) finish(*rapid.T) {
	m.answer.Finish(engine.Usage{})
	m.ended = true
}

func (m *machine) follow(t *rapid.T) {
	if int(m.offset) == m.have && !m.ended {
		return
	}
	piece, err := m.answer.Read(context.Background(), m.offset)
	if err != nil {
		t.Fatal(err)
	}
	m.offset += piece.Count
	m.read.WriteString(piece.Text)
}

func (m *machine) check(t *rapid.T) {
	want := strings.Join(m.whole[:m.have], "")
	if got := m.answer.Text(); got != want {
		t.Fatalf("answer is %q, want %q", got, want)
	}
	if got := m.read.String(); got != strings.Join(m.whole[:m.offset], "") {
		t.Fatalf("reader at %d has %q", m.offset, got)
	}
}

// TestResumeAssemblesEachTokenOnce checks any order of frames against a model.
func TestResumeAssemblesEachTokenOnce(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "1"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.SliceOfN(rapid.StringN(0, 4, -1), 0, 24).Draw(t, "whole")
		m := &machine{answer: answer.New(), whole: whole}
		t.Repeat(map[string]func(*rapid.T){
			"frame": m.frame, "finish": m.finish, "follow": m.follow, "": m.check,
		})
	})
}

func TestResumeRefusesTooMuchText(t *testing.T) {
	c := qt.New(t)
	a := answer.New()
	_, err := a.Add(0, []string{strings.Repeat("x", answer.MaxBytes)})
	c.Assert(err, qt.IsNil)
	_, err = a.Add(1, []string{"x"})
	c.Assert(err, qt.IsNotNil)
	c.Assert(a.Offset(), qt.Equals, unit.Tokens(1))
}
