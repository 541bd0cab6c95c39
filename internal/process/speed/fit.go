package speed

import (
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/mat"
)

// history holds the latest samples of one service.
type history struct {
	firstEvents, intervals, lengths, answers window
}

// estimate returns the estimate from this host's samples alone.
func (h *history) estimate() Estimate {
	first := h.firstEvents.fit(true)
	between := h.intervals.fit(false)
	return Estimate{
		Base: time.Duration(first.base), PerToken: time.Duration(first.perToken), PerQueuedToken: time.Duration(first.perQueued), MissRatio: first.missRatio(), PerCall: time.Duration(first.perCall),
		Interval: time.Duration(between.base), IntervalPerCall: time.Duration(between.perCall),
		EventsPerToken: h.lengths.fit(false).mean, Answer: time.Duration(h.answers.fit(false).median),
		Samples: max(h.firstEvents.usable(), h.answers.usable()),
	}
}

const (
	// windowSize is the number of latest samples that are used: enough to average
	// out prompts of very different lengths, and less than a minute's calls.
	windowSize = 256
	// minSamples is the number of samples below which there is no estimate.
	minSamples = 24
	// refitShare is the share of new samples in the window after which it is fitted
	// again.
	refitShare = 0.25
)

// sample is one observation: how long something took, in nanoseconds, with what was
// ahead of it.
type sample struct{ own, cached, queued, running, took float64 }

// line is the fit of a window.
type line struct{ base, perToken, perCached, perQueued, perCall, median, mean float64 }

// missRatio returns the share of cached tokens that took as long as others.
func (l line) missRatio() float64 {
	if l.perToken <= 0 {
		return 0
	}
	return min(1, l.perCached/l.perToken)
}

// window is a ring of the latest samples with the fit to them.
type window struct {
	samples []sample
	next    int
	// unfitted counts the samples since the latest fit.
	unfitted int
	fitted   line
}

func (w *window) add(s sample) {
	w.unfitted++
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, s)
		return
	}
	w.samples[w.next] = s
	w.next = (w.next + 1) % windowSize
}

// usable returns the number of samples, or zero if they are too few.
func (w *window) usable() int {
	if len(w.samples) < minSamples {
		return 0
	}
	return len(w.samples)
}

// fit returns the fit to the samples, computed again if enough of them are new.
func (w *window) fit(byTokens bool) line {
	if w.usable() == 0 || float64(w.unfitted) <= refitShare*float64(len(w.samples)) && w.fitted != (line{}) {
		return w.fitted
	}
	w.unfitted = 0
	columns := []column{columnBase, columnRunning}
	if byTokens {
		columns = append(columns, columnOwn, columnCached, columnQueued)
	}
	w.fitted = fitLine(w.samples, columns)
	return w.fitted
}

// column is one term of the fitted line.
type column int

const (
	columnBase column = iota
	columnOwn
	columnCached
	columnQueued
	columnRunning
	columnCount
)

func (s sample) value(c column) float64 {
	switch c {
	case columnOwn:
		return s.own
	case columnCached:
		return s.cached
	case columnQueued:
		return s.queued
	case columnRunning:
		return s.running
	default:
		return 1
	}
}

const (
	// iterations of the reweighted fit; it changes by under a hundredth after these.
	iterations = 8
	// residualFloor is the smallest residual by which a sample is weighted, as a share
	// of the median: an exact fit to a few samples must not fix the line.
	residualFloor = 0.05
	// fastestShare is the share of samples that may be faster than the base.
	fastestShare = 0.1
	// ridge is the weight, in samples, with which coefficients are drawn to zero, so
	// that they are determined even if all samples are alike.
	ridge = 0.5
)

// fitLine fits a line with coefficients of at least zero that minimises the sum of
// absolute residuals, by iteratively reweighted least squares. At most fastestShare of
// the calls are faster than the base: under overload, when most of the wait is behind calls that this host does
// not know of, the base would otherwise take the place of the time per token.
func fitLine(samples []sample, columns []column) line {
	took := sortedTimes(samples)
	median, fastest := took[len(took)/2], took[int(fastestShare*float64(len(took)))]
	coefficients := fitCoefficients(samples, columns, median)
	if slices.Contains(columns, columnOwn) && coefficients[columnBase] > fastest {
		rest := slices.Clone(samples)
		for i := range rest {
			rest[i].took -= fastest
		}
		coefficients = fitCoefficients(rest, columns[1:], median)
		coefficients[columnBase] = fastest
	}
	return line{
		base: coefficients[columnBase], perToken: coefficients[columnOwn], perCached: coefficients[columnCached], perQueued: coefficients[columnQueued], perCall: coefficients[columnRunning],
		median: median, mean: meanOf(samples),
	}
}

// fitCoefficients returns the coefficients of the columns.
func fitCoefficients(samples []sample, columns []column, median float64) [columnCount]float64 {
	floor := max(1, residualFloor*median)
	weights := make([]float64, len(samples))
	for i := range weights {
		weights[i] = 1 / max(floor, median)
	}
	var coefficients [columnCount]float64
	for range iterations {
		coefficients = solveNonNegative(samples, weights, columns)
		for i, s := range samples {
			predicted := 0.0
			for _, c := range columns {
				predicted += coefficients[c] * s.value(c)
			}
			weights[i] = 1 / max(floor, math.Abs(s.took-predicted))
		}
	}
	return coefficients
}

// solveNonNegative solves the weighted least squares, and again without the columns
// whose coefficients are negative.
func solveNonNegative(samples []sample, weights []float64, columns []column) [columnCount]float64 {
	for {
		coefficients, ok := solve(samples, weights, columns)
		if !ok {
			return [columnCount]float64{}
		}
		remaining := slices.DeleteFunc(slices.Clone(columns), func(c column) bool { return coefficients[c] < 0 })
		if len(remaining) == len(columns) || len(remaining) == 0 {
			return coefficients
		}
		columns = remaining
	}
}

// solve solves the normal equations of the weighted least squares.
func solve(samples []sample, weights []float64, columns []column) ([columnCount]float64, bool) {
	n := len(columns)
	normal, right := mat.NewSymDense(n, nil), mat.NewVecDense(n, nil)
	for i, a := range columns {
		for j := i; j < n; j++ {
			sum := 0.0
			for k, s := range samples {
				sum += weights[k] * s.value(a) * s.value(columns[j])
			}
			normal.SetSym(i, j, sum)
		}
		sum := 0.0
		for k, s := range samples {
			sum += weights[k] * s.value(a) * s.took
		}
		right.SetVec(i, sum)
		switch diagonal := normal.At(i, i); {
		case diagonal == 0:
			normal.SetSym(i, i, 1)
		case a != columnBase:
			normal.SetSym(i, i, diagonal*(1+ridge/float64(len(samples))))
		}
	}
	var factored mat.Cholesky
	var solution mat.VecDense
	var coefficients [columnCount]float64
	//nolint:misspell // The name of the library.
	if !factored.Factorize(normal) || factored.SolveVecTo(&solution, right) != nil {
		return coefficients, false
	}
	for i, c := range columns {
		coefficients[c] = solution.AtVec(i)
	}
	return coefficients, true
}

func sortedTimes(samples []sample) []float64 {
	values := make([]float64, len(samples))
	for i, s := range samples {
		values[i] = s.took
	}
	slices.Sort(values)
	return values
}

// meanOf returns the mean of the samples.
func meanOf(samples []sample) float64 {
	sum := 0.0
	for _, s := range samples {
		sum += s.took
	}
	return sum / float64(len(samples))
}
