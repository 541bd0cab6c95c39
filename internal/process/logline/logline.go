// Package logline writes log lines without ever blocking the caller.
//
// Lines pass through a bounded queue to one writing goroutine. Lines that exceed the
// queue or the rate limit are dropped and counted, and the count is written before
// the next line.
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
	// queueSize is the capacity of the queue in lines, about a second's worth.
	queueSize = 512
	// linesPerSecond and burst limit the rate; a host answers some tens of calls per
	// second.
	linesPerSecond = 400
	burst          = 800
)

// Writer queues lines for writing. Create one with New and call Run.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
}

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queueSize), limit: rate.NewLimiter(linesPerSecond, burst)}
}

// Write queues a line, or drops it. It never fails.
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

// Dropped returns the number of lines dropped since a line was last written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends, and then the rest of the queue.
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

// write ignores errors, because there is nowhere to report them.
func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "level=WARN msg=lines_dropped count=%d\n", n)
	}
	_, _ = w.out.Write(line)
}
