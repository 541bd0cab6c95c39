// Package event splits a stream of server-sent events.
//
// Events are returned as the bytes received, and only when complete with their
// terminating blank line. A stream that breaks off within an event can thus be
// resumed at that event on another endpoint.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxBytes is the maximum size of one event.
const MaxBytes = 1 << 20

// ErrTooLong is returned for an event larger than MaxBytes.
var ErrTooLong = errors.New("event: larger than 1 MiB")

// ErrAnswerHead is returned for an event with the status line of an HTTP answer, which an
// endpoint in trouble may write within a stream.
var ErrAnswerHead = errors.New("event: status line within a stream")

// Event is one complete event.
type Event struct {
	// ID is the event's numeric id, or -1 if it has none.
	ID int64
	// Comment is set if the event consists of comment lines only.
	Comment bool
	// Bytes holds the event as received, including the blank line.
	Bytes []byte
}

// Reader reads events. Create it with NewReader.
type Reader struct {
	source *bufio.Reader
	event  []byte
	id     int64
	// fields is set once the event has a line that is no comment.
	fields bool
}

const bufferBytes = 4 << 10

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(r, bufferBytes), id: -1}
}

// Next returns the next complete event. At the end of the stream it returns io.EOF,
// or io.ErrUnexpectedEOF if the stream ends within an event. Blank lines before an
// event are skipped. The event's bytes are valid until the next call.
func (r *Reader) Next() (Event, error) {
	r.event, r.id, r.fields = r.event[:0], -1, false
	for {
		start := len(r.event)
		if err := r.readLine(); err != nil {
			return Event{}, r.endError(err)
		}
		line := bytes.TrimRight(r.event[start:], "\r\n")
		if len(line) > 0 {
			if name, _, _ := bytes.Cut(line, colon); bytes.Contains(name, httpVersion) {
				return Event{}, ErrAnswerHead
			}
			r.fields = r.fields || line[0] != ':'
			r.parseID(line)
			continue
		}
		if start == 0 {
			r.event = r.event[:0]
			continue
		}
		return Event{ID: r.id, Comment: !r.fields, Bytes: r.event}, nil
	}
}

var (
	colon = []byte(":")
	// httpVersion begins a status line, and is in no name of an event's field.
	httpVersion = []byte("HTTP/1.")
)

// readLine appends one line to event.
func (r *Reader) readLine() error {
	for {
		chunk, err := r.source.ReadSlice('\n')
		r.event = append(r.event, chunk...)
		if len(r.event) > MaxBytes {
			return ErrTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.event) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseID sets the event's id if line is an id field.
func (r *Reader) parseID(line []byte) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil && id >= 0 {
		r.id = id
	}
}
