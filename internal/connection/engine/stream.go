package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// Stream is an answer being read. Close it in any case.
type Stream struct {
	body  io.ReadCloser
	lines *bufio.Scanner
	paced *pacedReader
}

// BeforeRead sets what is called whenever all frames that came were given by
// Next, and more have to be waited for.
func (s *Stream) BeforeRead(call func()) {
	s.paced.before = call
}

// newStream reads body no more often than pace allows; a nil pace has no bound.
func newStream(body io.ReadCloser, pace func() time.Duration) *Stream {
	paced := &pacedReader{from: body, pace: pace}
	lines := bufio.NewScanner(paced)
	lines.Buffer(nil, maxEventBytes)
	return &Stream{body: body, lines: lines, paced: paced}
}

// Next reads one frame. At the end of the body without a frame whose Done is
// set the error is io.ErrUnexpectedEOF.
func (s *Stream) Next() (Frame, error) {
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var frame Frame
		if err := json.Unmarshal(data, &frame); err != nil {
			return Frame{}, fmt.Errorf("frame: %w", err)
		}
		if frame.Error != "" {
			return Frame{}, errors.New(frame.Error)
		}
		return frame, nil
	}
	if err := s.lines.Err(); err != nil {
		return Frame{}, err
	}
	return Frame{}, io.ErrUnexpectedEOF
}

// Close ends the stream and its connection if the answer is not complete.
func (s *Stream) Close() error {
	return s.body.Close()
}

// pacedReader lets frames gather between two reads, so that many cost one
// wake-up. The first two reads, which bring the first token, do not wait.
type pacedReader struct {
	from io.Reader
	pace func() time.Duration
	// before is called first in each read; it may be nil.
	before func()
	// reads counts the reads so far, last is when the newest one ended.
	reads int
	last  time.Time
}

const unpacedReads = 2

// Read reads what has gathered, or waits for more.
func (r *pacedReader) Read(p []byte) (int, error) {
	if r.before != nil {
		r.before()
	}
	if r.pace != nil && r.reads >= unpacedReads {
		time.Sleep(r.pace() - time.Since(r.last))
	}
	n, err := r.from.Read(p)
	r.reads++
	r.last = time.Now()
	return n, err
}
