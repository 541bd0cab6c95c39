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

// maxEventBytes is the maximum size of a server-sent event.
const maxEventBytes = 1 << 20

// Stream reads an answer. It must be closed.
type Stream struct {
	body   io.ReadCloser
	lines  *bufio.Scanner
	reader *throttledReader
}

// BeforeRead sets a callback that runs before each read of the connection, when
// Next has returned all received frames.
func (s *Stream) BeforeRead(callback func()) {
	s.reader.beforeRead = callback
}

// newStream returns a Stream that leaves at least minInterval between two reads of
// body; if it is nil there is no minimum.
func newStream(body io.ReadCloser, minInterval func() time.Duration) *Stream {
	reader := &throttledReader{source: body, minInterval: minInterval}
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, maxEventBytes)
	return &Stream{body: body, lines: lines, reader: reader}
}

// Next returns the next frame. If the body ends, the error is io.ErrUnexpectedEOF:
// callers stop at the frame whose Done is set.
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

// Close closes the stream, and its connection if the answer is incomplete.
func (s *Stream) Close() error {
	return s.body.Close()
}

// throttledReader delays reads so that one wake-up handles several frames. The
// first two reads, which return the first token, are not delayed.
type throttledReader struct {
	source      io.Reader
	minInterval func() time.Duration
	// beforeRead is called at the start of each read; it may be nil.
	beforeRead func()
	// reads counts the reads so far; lastRead is when the last one ended.
	reads    int
	lastRead time.Time
}

const unthrottledReads = 2

// Read returns the buffered data, or waits for more.
func (r *throttledReader) Read(p []byte) (int, error) {
	if r.beforeRead != nil {
		r.beforeRead()
	}
	if r.minInterval != nil && r.reads >= unthrottledReads {
		time.Sleep(r.minInterval() - time.Since(r.lastRead))
	}
	n, err := r.source.Read(p)
	r.reads++
	r.lastRead = time.Now()
	return n, err
}
