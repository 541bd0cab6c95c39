package endpoint

import (
	"strconv"
	"strings"
	"time"
)

// maxRetryAfterSeconds keeps a huge value from overflowing a Duration.
const maxRetryAfterSeconds = 1e6

// RetryAfter returns the longest of the times, in seconds and fractions of them, that
// Retry-After headers name. Endpoints name no dates.
func RetryAfter(values []string) time.Duration {
	longest := 0.0
	for _, value := range values {
		if named, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil && named > longest {
			longest = named
		}
	}
	return time.Duration(min(longest, maxRetryAfterSeconds) * float64(time.Second))
}
