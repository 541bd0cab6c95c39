// Package logline writes log lines without ever making the caller wait.
//
// Lines go through a bounded queue that one goroutine empties. What doesn't fit,
// or comes faster than the rate, is dropped and counted; the count is written
// with the next line that is.
package logline

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queued is how many lines wait at most: a second's worth.
	queued = 512
	// perSecond and burst bound the volume; a host answers some tens of calls a
	// second.
	perSecond = 400
	burst     = 800
)

// Writer queues lines. Make one with New and call Run.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
}

// New makes a Writer to out.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queued), limit: rate.NewLimiter(perSecond, burst)}
}

// Write queues one line, or drops it. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.AllowN(time.Now(), 1) {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that were dropped since the last one was written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then what is left.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			return w.flush()
		}
	}
}

func (w *Writer) flush() error {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return nil
		}
	}
}

// write ignores errors: there is nowhere to tell of them.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "level=WARN msg=lines_dropped count=%d\n", n)
	}
	_, _ = w.out.Write(line)
}
