// Package loss counts and logs callers' connections that ended before the request on them
// was answered.
package loss

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/server"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
)

// maxLines is how many lost connections of callers are logged per second: callers
// that leave can be many at once. All of them are counted.
const maxLines = 10

// Log counts and logs losses. Create one with New.
type Log struct {
	meter *meter.Meter
	log   *slog.Logger

	mu sync.Mutex
	// lines is how many lines the second that began at second got; skipped is how many
	// losses were not logged since the last line.
	second         time.Time
	lines, skipped int
}

// New returns a Log whose counters exist.
func New(m *meter.Meter, log *slog.Logger) *Log {
	l := &Log{meter: m, log: log}
	for _, reason := range server.LossReasons {
		l.count(reason, 0)
	}
	return l
}

func (l *Log) count(reason server.LossReason, n int) {
	l.meter.Counter(fmt.Sprintf("caller_connections_lost_total{reason=%q}", reason)).Add(n)
}

// Record counts a loss, and logs it unless there were many.
func (l *Log) Record(loss server.Loss) {
	l.count(loss.Reason, 1)
	skipped, ok := l.takeLine(time.Now())
	if !ok {
		return
	}
	l.log.Info("caller_connection_lost", "caller", loss.Caller, "reason", loss.Reason, "read", loss.Read,
		"written", loss.Written, "after", loss.After, "stopping", loss.Stopping, "not_logged", skipped)
}

// takeLine reports whether a line may be logged, and how many losses were not logged
// before it.
func (l *Log) takeLine(now time.Time) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	if l.lines >= maxLines {
		l.skipped++
		return 0, false
	}
	l.lines++
	skipped, l.skipped = l.skipped, 0
	return skipped, true
}
