package placement

import "time"

// Sample is an observed demand in tokens per second.
type Sample struct {
	At     time.Time
	Demand float64
}

// Forecast returns the demand expected after lag, the time from ordering an
// endpoint until it has loaded its weights: the maximum over the last period of
// length lag, or the linear trend over the last 3*lag extrapolated by lag,
// whichever is higher. A falling trend thus never lowers the forecast below the
// newest samples.
func Forecast(samples []Sample, lag time.Duration) float64 {
	if len(samples) == 0 {
		return 0
	}
	last := samples[len(samples)-1].At
	var n, sumX, sumY, sumXX, sumXY, newest float64
	for _, s := range samples {
		age := last.Sub(s.At)
		if age > 3*lag {
			continue
		}
		x := -age.Seconds()
		n++
		sumX += x
		sumY += s.Demand
		sumXX += x * x
		sumXY += x * s.Demand
		if age <= lag {
			newest = max(newest, s.Demand)
		}
	}
	spreadX := n*sumXX - sumX*sumX
	if spreadX == 0 {
		return newest
	}
	slope := (n*sumXY - sumX*sumY) / spreadX
	level := (sumY - slope*sumX) / n
	return max(newest, level+slope*lag.Seconds())
}
