// Package meter provides the metrics of one process, for /metrics.
//
// The counters of all reasons for errors and retries exist from the start, so that
// rates can be computed for reasons that have not occurred yet.
package meter

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

// Meter holds the metrics of one process. Create one with New.
type Meter struct {
	set *metrics.Set
}

// New returns a Meter with zero counters for every reason.
func New() *Meter {
	m := &Meter{set: metrics.NewSet()}
	for _, reason := range verdict.Reasons {
		m.refusedCounter(reason)
		m.retriedCounter(reason)
	}
	return m
}

// Refused counts a request answered with an error.
func (m *Meter) Refused(reason verdict.Reason) { m.refusedCounter(reason).Inc() }

// Retried counts a failed attempt after which a retry was made or considered.
func (m *Meter) Retried(reason verdict.Reason) { m.retriedCounter(reason).Inc() }

func (m *Meter) refusedCounter(reason verdict.Reason) *metrics.Counter {
	return m.Counter(fmt.Sprintf("requests_refused_total{reason=%q}", reason))
}

func (m *Meter) retriedCounter(reason verdict.Reason) *metrics.Counter {
	return m.Counter(fmt.Sprintf("attempts_retried_total{reason=%q}", reason))
}

// Counter returns the counter with a name, which includes its labels, and creates it
// if necessary.
func (m *Meter) Counter(name string) *metrics.Counter {
	return m.set.GetOrCreateCounter(name)
}

// Histogram returns the histogram with a name, which includes its labels, and creates
// it if necessary.
func (m *Meter) Histogram(name string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(name)
}

// Gauge creates a gauge whose value is read by calling read, unless it exists.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Write writes all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) { m.set.WritePrometheus(w) }
