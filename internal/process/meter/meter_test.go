package meter_test

import (
	"bytes"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

func TestEveryReasonHasItsCountersAndItsLineInTheDocs(t *testing.T) {
	c := qt.New(t)
	docs, err := os.ReadFile("../../../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	var metrics bytes.Buffer
	meter.New().Write(&metrics)
	for _, reason := range verdict.Reasons {
		c.Check(string(docs), qt.Contains, "| `"+string(reason)+"` |")
		c.Check(metrics.String(), qt.Contains, `requests_refused_total{reason="`+string(reason)+`"} 0`)
		c.Check(metrics.String(), qt.Contains, `attempts_retried_total{reason="`+string(reason)+`"} 0`)
	}
}
