package clock_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/clock"
)

// The wall clocks of a minority of hosts, including this one, are wrong by
// seconds.
func TestMinorityOfWrongClocksHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := clock.New()
		for range 40 {
			now := time.Now()
			k.RecordWallClock("self", now.Add(2400*time.Millisecond))
			k.RecordWallClock("b", now.Add(-3*time.Second))
			k.RecordWallClock("c", now)
			k.RecordWallClock("d", now.Add(3*time.Millisecond))
			k.RecordWallClock("e", now.Add(-3*time.Millisecond))
			off := k.Now().Sub(now.Round(0)).Abs()
			c.Assert(off <= 3*time.Millisecond, qt.IsTrue, qt.Commentf("%v", off))
			time.Sleep(250 * time.Millisecond)
		}
	})
}

func TestIsolatedHostKeepsAgreedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := clock.New()
		k.RecordWallClock("b", time.Now().Add(time.Second))
		c.Assert(k.Now(), qt.Equals, time.Now().Round(0).Add(time.Second))
		time.Sleep(time.Minute)
		c.Assert(k.Now(), qt.Equals, time.Now().Round(0).Add(time.Second))
	})
}
