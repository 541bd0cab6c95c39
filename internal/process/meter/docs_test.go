package meter_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	eventPattern  = regexp.MustCompile(`[lL]og\.(?:Debug|Info|Warn|Error)\("([a-z_]+)"`)
	metricPattern = regexp.MustCompile("(?:Counter|Gauge|Histogram)\\((?:fmt\\.Sprintf\\()?[\"`]([a-z_]+)")
)

// namesInSource returns the names that a pattern finds in the non-test source, each
// with a file that contains it.
func namesInSource(t *testing.T, pattern *regexp.Regexp) map[string]string {
	found := make(map[string]string)
	err := filepath.WalkDir("../..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, match := range pattern.FindAllStringSubmatch(string(text), -1) {
			found[match[1]] = path
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	return found
}

func TestEveryLogEventIsInTheDocs(t *testing.T) {
	c := qt.New(t)
	docs, err := os.ReadFile("../../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	events := namesInSource(t, eventPattern)
	c.Assert(len(events) > 0, qt.IsTrue)
	for event, path := range events {
		c.Check(strings.Contains(string(docs), "`"+event+"`"), qt.IsTrue, qt.Commentf("%s of %s", event, path))
	}
}

func TestEveryMetricIsInTheDocs(t *testing.T) {
	c := qt.New(t)
	docs, err := os.ReadFile("../../../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	metrics := namesInSource(t, metricPattern)
	c.Assert(len(metrics) > 0, qt.IsTrue)
	for metric, path := range metrics {
		c.Check(strings.Contains(string(docs), "`"+metric), qt.IsTrue, qt.Commentf("%s of %s", metric, path))
	}
}
