// Package clock agrees with other hosts on the time of day.
//
// The wall clock of a host may jump by seconds and back. Each host tells its
// wall clock to the others; the agreed time is the steady clock plus the median
// of the offsets that were heard, so that a minority of wrong clocks has no
// effect.
package clock

import (
	"slices"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// heardFor is how long an offset counts after it was heard.
const heardFor = 5 * time.Second

// Clock is the agreed time. Make one with New.
type Clock struct {
	mu      sync.Mutex
	start   time.Time
	offsets map[identity.Host]offset
	last    time.Duration
}

// offset is wall time less steady time.
type offset struct {
	value time.Duration
	at    time.Time
}

// New makes a Clock that begins with the host's own wall clock.
func New() *Clock {
	return &Clock{start: time.Now(), offsets: make(map[identity.Host]offset)}
}

// steady is the time since start by the monotonic clock.
func (c *Clock) steady() time.Duration { return time.Since(c.start) }

// Hear takes the wall clock of another host, or of this one.
func (c *Clock) Hear(host identity.Host, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets[host] = offset{value: wall.Round(0).Sub(c.start.Round(0)) - c.steady(), at: time.Now()}
}

// Now is the agreed time.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var values []time.Duration
	for host, o := range c.offsets {
		if time.Since(o.at) > heardFor {
			delete(c.offsets, host)
			continue
		}
		values = append(values, o.value)
	}
	if len(values) > 0 {
		slices.Sort(values)
		c.last = values[(len(values)-1)/2]
	}
	return c.start.Round(0).Add(c.steady() + c.last)
}
