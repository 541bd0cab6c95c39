// Package event splits a stream of server-sent events.
//
// Events are passed on as the bytes they came in. Only an event that ended with
// its blank line is given, so that a stream which broke off in the middle of one
// can be continued with the next whole event elsewhere.
package event

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MostBytes bounds one event.
const MostBytes = 1 << 20

// ErrTooLong tells of an event over MostBytes.
var ErrTooLong = errors.New("event: too long")

// Event is one whole event.
type Event struct {
	// ID is the event's number, or -1 if it has none.
	ID int64
	// Bytes are as received, the blank line included.
	Bytes []byte
}

// Reader reads events. Make one with New.
type Reader struct {
	buffered *bufio.Reader
	pending  []byte
	id       int64
}

const bufferBytes = 4 << 10

// New makes a Reader of r.
func New(r io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(r, bufferBytes), id: -1}
}

// Next gives the next whole event. At the end of the stream it gives io.EOF, or
// io.ErrUnexpectedEOF if the stream ended in the middle of an event. The bytes
// are valid until the next call.
func (r *Reader) Next() (Event, error) {
	r.pending, r.id = r.pending[:0], -1
	for {
		start := len(r.pending)
		if err := r.line(); err != nil {
			return Event{}, r.ended(err)
		}
		line := bytes.TrimRight(r.pending[start:], "\r\n")
		if len(line) > 0 {
			r.field(line)
			continue
		}
		if start == 0 {
			r.pending = r.pending[:0]
			continue
		}
		return Event{ID: r.id, Bytes: r.pending}, nil
	}
}

// line appends one line to pending.
func (r *Reader) line() error {
	for {
		part, err := r.buffered.ReadSlice('\n')
		r.pending = append(r.pending, part...)
		if len(r.pending) > MostBytes {
			return ErrTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

func (r *Reader) ended(err error) error {
	if errors.Is(err, io.EOF) && len(r.pending) > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// field notes the id of the event.
func (r *Reader) field(line []byte) {
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil && id >= 0 {
		r.id = id
	}
}
