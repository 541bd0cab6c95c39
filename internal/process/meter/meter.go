// Package meter counts what one process does, for /metrics.
//
// Every reason has a counter from the start, so that a rate can be taken of one
// that has not happened yet.
package meter

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

// Meter is the metrics of one process. Make one with New.
type Meter struct {
	set *metrics.Set
}

// New makes a Meter with a zero counter for every reason.
func New() *Meter {
	m := &Meter{set: metrics.NewSet()}
	for _, reason := range verdict.Reasons {
		m.refused(reason)
		m.retried(reason)
	}
	return m
}

// Refused counts a request that was answered with an error.
func (m *Meter) Refused(reason verdict.Reason) { m.refused(reason).Inc() }

// Retried counts an attempt that was repeated elsewhere.
func (m *Meter) Retried(reason verdict.Reason) { m.retried(reason).Inc() }

func (m *Meter) refused(reason verdict.Reason) *metrics.Counter {
	return m.Counter(fmt.Sprintf("requests_refused_total{reason=%q}", reason))
}

func (m *Meter) retried(reason verdict.Reason) *metrics.Counter {
	return m.Counter(fmt.Sprintf("attempts_retried_total{reason=%q}", reason))
}

// Counter finds or makes a counter by its full name.
func (m *Meter) Counter(name string) *metrics.Counter {
	return m.set.GetOrCreateCounter(name)
}

// Histogram finds or makes a histogram by its full name.
func (m *Meter) Histogram(name string) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(name)
}

// Gauge finds or makes a gauge that calls read.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Write renders all metrics in the Prometheus text format.
func (m *Meter) Write(w io.Writer) { m.set.WritePrometheus(w) }
