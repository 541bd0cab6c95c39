package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Percentiles holds the percentiles of a latency in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Report summarises outcomes.
type Report struct {
	Sent     int `json:"sent"`
	Accepted int `json:"accepted"`
	Complete int `json:"whole"`
	// Lost counts accepted calls without their own complete answer.
	Lost         int `json:"lost"`
	Truncated    int `json:"cut"`
	Misdelivered int `json:"swapped"`
	// Duplicated counts filings that ran more than once according to their answer.
	Duplicated int `json:"doubled"`
	Reconnects int `json:"reattached"`
	// Refused counts the calls with the verdict NotRun, by reason.
	Refused       map[verdict.Reason]int `json:"refused"`
	FirstToken    Percentiles            `json:"first_token"`
	BetweenTokens Percentiles            `json:"between_tokens"`
	Plain         Percentiles            `json:"plain"`

	first, between, plain *hdrhistogram.Histogram
}

// NewReport returns the Report of outcomes.
func NewReport(outcomes []Outcome) Report {
	r := Report{
		Refused: make(map[verdict.Reason]int),
		first:   hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		between: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		plain:   hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
	for _, o := range outcomes {
		r.add(o)
	}
	r.FirstToken = percentiles(r.first)
	r.BetweenTokens = percentiles(r.between)
	r.Plain = percentiles(r.plain)
	return r
}

func (r *Report) add(o Outcome) {
	r.Sent++
	r.Reconnects += o.Result.Reconnects
	if !o.Accepted() {
		r.Refused[o.Result.Failure.Reason]++
		return
	}
	r.Accepted++
	if o.Complete() {
		r.Complete++
	} else {
		r.Lost++
	}
	if o.Truncated {
		r.Truncated++
	}
	if o.Misdelivered {
		r.Misdelivered++
	}
	if o.Kind == Filing && executions(o) > 1 {
		r.Duplicated++
	}
	r.recordLatencies(o)
}

func (r *Report) recordLatencies(o Outcome) {
	if o.Kind != Draft {
		// FirstToken of a plain call is the time until its response begins.
		recordDuration(r.plain, o.Result.FirstToken)
		return
	}
	if o.Result.FirstToken > 0 {
		recordDuration(r.first, o.Result.FirstToken)
	}
	for _, interval := range o.Result.TokenIntervals {
		recordDuration(r.between, interval)
	}
}

func executions(o Outcome) int {
	var filing struct {
		Runs int `json:"runs"`
	}
	if json.Unmarshal([]byte(o.Result.Text), &filing) != nil {
		return 0
	}
	return filing.Runs
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	value := min(max(d.Microseconds(), 1), maxLatencyMicros)
	if err := h.RecordValue(value); err != nil {
		panic(err)
	}
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// WriteText writes the report as aligned text.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "sent\t%d\naccepted\t%d\nwhole\t%d\nlost\t%d\ncut\t%d\nswapped\t%d\ndoubled\t%d\nreattached\t%d\n",
		r.Sent, r.Accepted, r.Complete, r.Lost, r.Truncated, r.Misdelivered, r.Duplicated, r.Reconnects)
	for _, reason := range slices.Sorted(maps.Keys(r.Refused)) {
		fmt.Fprintf(t, "refused %s\t%d\n", reason, r.Refused[reason])
	}
	fmt.Fprintln(t, "latency\tp50 ms\tp95 ms\tp99 ms\tmax ms")
	for _, line := range r.latencyLines() {
		p := line.percentiles
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n", line.name, p.P50, p.P95, p.P99, p.Max)
	}
	return t.Flush()
}

// latencyLine is one kind of latency in the report.
type latencyLine struct {
	name        string
	percentiles Percentiles
	histogram   *hdrhistogram.Histogram
}

func (r Report) latencyLines() []latencyLine {
	return []latencyLine{
		{"first_token", r.FirstToken, r.first},
		{"between_tokens", r.BetweenTokens, r.between},
		{"plain", r.Plain, r.plain},
	}
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	return json.NewEncoder(w).Encode(r)
}

// WriteCSV writes the latency distributions with the columns latency, percentile
// and ms.
func (r Report) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	rows := [][]string{{"latency", "percentile", "ms"}}
	for _, l := range r.latencyLines() {
		for _, b := range l.histogram.CumulativeDistribution() {
			rows = append(rows, []string{
				l.name,
				strconv.FormatFloat(b.Quantile, 'f', 4, 64),
				strconv.FormatFloat(float64(b.ValueAt)/1000, 'f', 3, 64),
			})
		}
	}
	return c.WriteAll(rows)
}

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlot draws the latency distributions to a file, whose extension, .png or
// .svg, selects the format.
func (r Report) WritePlot(path string) error {
	if !strings.HasSuffix(path, ".png") && !strings.HasSuffix(path, ".svg") {
		return fmt.Errorf("plot %q: the name must end in .png or .svg", path)
	}
	p := plot.New()
	p.Title.Text = "latency"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	for i, l := range r.latencyLines() {
		if l.histogram.TotalCount() == 0 {
			continue
		}
		var points plotter.XYs
		for _, b := range l.histogram.CumulativeDistribution() {
			points = append(points, plotter.XY{X: b.Quantile, Y: float64(b.ValueAt) / 1000})
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		drawn.Color = plotutil.Color(i)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.Legend.Top = true
	p.Legend.Left = true
	return p.Save(plotWidth, plotHeight, path)
}
