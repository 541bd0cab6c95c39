package keyvalue_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
)

const (
	// halfReadsPerSecond and halfWritesPerSecond are half of the service's limits.
	halfReadsPerSecond  = 1000
	halfWritesPerSecond = 200
)

// countingService only counts its calls.
type countingService struct {
	reads, writes atomic.Int64
	down          atomic.Bool
}

func (c *countingService) client() keyvalue.Client {
	return keyvalue.Client{
		Watch: func(context.Context, string, keyvalue.Revision, time.Duration) (keyvalue.Value, error) {
			c.reads.Add(1)
			if c.down.Load() {
				return keyvalue.Value{}, keyvalue.ErrUnavailable
			}
			return keyvalue.Value{}, nil
		},
		Put: func(context.Context, string, keyvalue.Put) (keyvalue.Value, error) {
			c.writes.Add(1)
			return keyvalue.Value{}, nil
		},
	}
}

func roleOf(i, hosts int) keyvalue.HostRole {
	const zones = 16
	return keyvalue.HostRole{HostCount: hosts, ZoneCount: zones, Relay: i < 2*zones, LeaseHolder: i < zones}
}

// Each host makes calls as fast as it can; together they must stay within half of
// the service's limits.
func TestOutageBudgetHoldsForAllHosts(t *testing.T) {
	for _, hosts := range []int{8, 24, 100, 380} {
		synctest.Test(t, func(t *testing.T) {
			const seconds = 60
			service := new(countingService)
			ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
			defer cancel()
			var group errgroup.Group
			for i := range hosts {
				kv := keyvalue.NewBudget(func() keyvalue.Rates { return keyvalue.HostRates(roleOf(i, hosts)) }).Limit(service.client())
				group.Go(func() error {
					for ctx.Err() == nil {
						_, err := kv.Watch(ctx, "k", 1, time.Second)
						_, err2 := kv.Put(ctx, "k", keyvalue.Put{})
						if err != nil || err2 != nil {
							time.Sleep(100 * time.Millisecond)
						}
					}
					return nil
				})
			}
			qt.Assert(t, group.Wait(), qt.IsNil)
			reads, writes := service.reads.Load(), service.writes.Load()
			// Each host may start with a burst of two seconds' worth or of two calls.
			qt.Check(t, reads <= halfReadsPerSecond*(seconds+2)+2*int64(hosts), qt.IsTrue, qt.Commentf("%d hosts: %d reads", hosts, reads))
			qt.Check(t, writes <= halfWritesPerSecond*(seconds+2)+2*int64(hosts), qt.IsTrue, qt.Commentf("%d hosts: %d writes", hosts, writes))
		})
	}
}

// After a long outage the hosts together make, in each 100 ms, at most half of
// the reads that the service allows, and every host recovers within 9 s, the time
// in which a configuration must come into force.
func TestOutageEndBringsNoHerd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, recoveryTime = 380, 9 * time.Second
		service := new(countingService)
		service.down.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		var recovered atomic.Int64
		for i := range hosts {
			kv := keyvalue.NewBudget(func() keyvalue.Rates { return keyvalue.HostRates(roleOf(i, hosts)) }).Limit(service.client())
			group.Go(func() error {
				for ctx.Err() == nil {
					_, err := kv.Watch(ctx, "k", 1, time.Second)
					if err == nil {
						recovered.Add(1)
						return nil
					}
					time.Sleep(250 * time.Millisecond)
				}
				return nil
			})
		}
		time.Sleep(5 * time.Minute)
		before := service.reads.Load()
		qt.Check(t, before < hosts*5*60, qt.IsTrue, qt.Commentf("%d reads while down", before))
		service.down.Store(false)
		for began := time.Now(); time.Since(began) < recoveryTime; {
			previous := service.reads.Load()
			time.Sleep(time.Second / 10)
			qt.Check(t, service.reads.Load()-previous <= halfReadsPerSecond/10, qt.IsTrue)
		}
		qt.Check(t, recovered.Load(), qt.Equals, int64(hosts))
		cancel()
		qt.Assert(t, group.Wait(), qt.IsNil)
	})
}

func TestOutageOverBudgetIsItsOwnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := keyvalue.NewBudget(func() keyvalue.Rates { return keyvalue.Rates{Reads: 0.1} }).Limit(new(countingService).client())
		var err error
		for range 3 {
			_, err = kv.Watch(t.Context(), "k", 1, time.Second)
		}
		qt.Assert(t, errors.Is(err, keyvalue.ErrOverBudget), qt.IsTrue)
	})
}
