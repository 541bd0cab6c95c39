package event_test

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/request/event"
)

func TestNextReturnsBytesUnchanged(t *testing.T) {
	c := qt.New(t)
	r := event.NewReader(strings.NewReader("id: 0\ndata: a\n\nx-version: 2\r\nid:1\r\ndata: b\r\n\r\ndata: c\n\n"))
	for _, want := range []event.Event{
		{ID: 0, Bytes: []byte("id: 0\ndata: a\n\n")},
		{ID: 1, Bytes: []byte("x-version: 2\r\nid:1\r\ndata: b\r\n\r\n")},
		{ID: -1, Bytes: []byte("data: c\n\n")},
	} {
		got, err := r.Next()
		c.Assert(err, qt.IsNil)
		c.Assert(got.ID, qt.Equals, want.ID)
		c.Assert(string(got.Bytes), qt.Equals, string(want.Bytes))
	}
	_, err := r.Next()
	c.Assert(err, qt.Equals, io.EOF)
}

func TestNextRefusesIncompleteEvent(t *testing.T) {
	c := qt.New(t)
	r := event.NewReader(strings.NewReader("id: 0\ndata: a\n\nid: 1\nda"))
	_, err := r.Next()
	c.Assert(err, qt.IsNil)
	_, err = r.Next()
	c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
}

func TestNextLimitsEventSize(t *testing.T) {
	c := qt.New(t)
	_, err := event.NewReader(strings.NewReader(strings.Repeat("x", event.MaxBytes+1))).Next()
	c.Assert(err, qt.Equals, event.ErrTooLong)
}

// Guards against MIXED: the head of another answer within a stream is taken for an event, or
// for a part of one. In an event's data the same text is sound.
func TestNextRefusesHeadOfAnAnswer(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nA: b\r\n\r\n", "id: 1\nHTTP/1.0 200 OK\r\n\r\n", "id: 1\ndaHTTP/1.1 400 Bad Request\r\n\r\n",
	} {
		_, err := event.NewReader(strings.NewReader(text)).Next()
		c.Check(err, qt.Equals, event.ErrAnswerHead, qt.Commentf("%q", text))
	}
	e, err := event.NewReader(strings.NewReader("id: 1\ndata: HTTP/1.1 200 OK\n: HTTP/1.1\n\n")).Next()
	c.Assert(err, qt.IsNil)
	c.Check(e.ID, qt.Equals, int64(1))
}

func TestNextReportsComments(t *testing.T) {
	c := qt.New(t)
	r := event.NewReader(strings.NewReader(": ping\n:\n\n: ping\nid: 1\n\n"))
	for _, want := range []bool{true, false} {
		e, err := r.Next()
		c.Assert(err, qt.IsNil)
		c.Check(e.Comment, qt.Equals, want)
	}
}

// FuzzNext checks that no byte of a complete event is lost, whatever the input.
func FuzzNext(f *testing.F) {
	f.Add("id: 0\ndata: a\n\nid: 1\n")
	f.Add("\n\r\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		r := event.NewReader(strings.NewReader(text))
		rest := text
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			start := strings.Index(rest, string(e.Bytes))
			if start < 0 || strings.Trim(rest[:start], "\r\n") != "" {
				t.Fatalf("event %q is not next in the remaining input %q", e.Bytes, rest)
			}
			rest = rest[start+len(e.Bytes):]
		}
	})
}
