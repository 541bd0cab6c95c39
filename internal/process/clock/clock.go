// Package clock agrees with other hosts on the time of day.
//
// The wall clock of a host may jump by seconds and back. Hosts report their wall
// clocks to each other; the agreed time is the local monotonic clock plus the
// median of the received offsets, so that a minority of wrong clocks has no
// effect.
package clock

import (
	"slices"
	"sync"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// offsetTTL is how long an offset is used after it was received.
const offsetTTL = 5 * time.Second

// Clock provides the agreed time. Create one with New.
type Clock struct {
	mu           sync.Mutex
	start        time.Time
	offsets      map[identity.Host]offset
	agreedOffset time.Duration
}

// offset is the difference between a host's wall clock and the local monotonic
// clock.
type offset struct {
	ahead      time.Duration
	receivedAt time.Time
}

// New returns a Clock that starts with the host's own wall clock.
func New() *Clock {
	return &Clock{start: time.Now(), offsets: make(map[identity.Host]offset)}
}

// elapsed returns the time since start by the monotonic clock.
func (c *Clock) elapsed() time.Duration { return time.Since(c.start) }

// RecordWallClock records the wall clock of another host or of this one.
func (c *Clock) RecordWallClock(host identity.Host, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offsets[host] = offset{ahead: wall.Round(0).Sub(c.start.Round(0)) - c.elapsed(), receivedAt: time.Now()}
}

// Now returns the agreed time. If no recent offset is available, the previous median
// is used.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var values []time.Duration
	for host, o := range c.offsets {
		if time.Since(o.receivedAt) > offsetTTL {
			delete(c.offsets, host)
			continue
		}
		values = append(values, o.ahead)
	}
	if len(values) > 0 {
		slices.Sort(values)
		c.agreedOffset = values[(len(values)-1)/2]
	}
	return c.start.Round(0).Add(c.elapsed() + c.agreedOffset)
}
