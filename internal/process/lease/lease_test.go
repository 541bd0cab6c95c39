package lease_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/lease"
	standin "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
)

// pausing makes writes stand still while paused, whatever their deadline, as in
// a process that is not run.
func pausing(kv keyvalue.Client, paused *atomic.Bool) keyvalue.Client {
	put := kv.Put
	kv.Put = func(ctx context.Context, key string, p keyvalue.Put) (keyvalue.Value, error) {
		stand(paused)
		value, err := put(ctx, key, p)
		stand(paused)
		return value, err
	}
	return kv
}

func stand(paused *atomic.Bool) {
	for paused.Load() {
		time.Sleep(100 * time.Millisecond)
	}
}

// Whatever becomes of writes and answers, a lease that is held is also held at
// the service, also while its holder stands still.
func TestLeaseIsNeverHeldLongerThanAtTheService(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			n, service := network.New(), standin.New()
			server := &http.Server{Handler: service.Handler()}
			var group errgroup.Group
			l := n.Listen(serviceAddress)
			group.Go(func() error { return server.Serve(l) })
			var paused atomic.Bool
			near, other := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
			transport, watching := &http.Transport{DialContext: n.Dial(near)}, &http.Transport{DialContext: n.Dial(other)}
			own := lease.New(pausing(keyvalue.HTTP(serviceAddress, transport), &paused), "k", "h", "i")
			own.Log = slog.New(slog.DiscardHandler)
			ctx, cancel := context.WithCancel(context.Background())
			group.Go(func() error { return own.Run(ctx) })
			kv := keyvalue.HTTP(serviceAddress, watching)
			n.SetRule(func(_, to netip.Addr) network.Path {
				if to == near {
					return network.Path{Delay: 1500 * time.Millisecond}
				}
				return network.Path{}
			})
			time.Sleep(10 * time.Second)
			_, held := own.Held()
			qt.Check(t, held, qt.IsTrue)
			faulty := time.Now()
			pauseAt := time.Duration(r.IntN(15_000)) * time.Millisecond
			for began := time.Now(); time.Since(began) < 40*time.Second; time.Sleep(50 * time.Millisecond) {
				if time.Since(faulty) > 2500*time.Millisecond {
					faulty = time.Now()
					service.SetFaults(standin.Faults{LateMillis: int64(r.IntN(2) * (2000 + r.IntN(2000))), LoseAnswerEvery: r.IntN(3)})
				}
				paused.Store(time.Since(began) > pauseAt)
				if _, held := own.Held(); held {
					_, err := kv.Get(ctx, "k")
					qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d: held %s after the pause", seed, time.Since(began)-pauseAt))
				}
			}
			paused.Store(false)
			cancel()
			time.Sleep(time.Minute)
			transport.CloseIdleConnections()
			watching.CloseIdleConnections()
			server.Close()
			_ = group.Wait()
		})
	}
}

// A planned stop gives the lease back, so that another host has it sooner.
func TestLeaseIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, service := network.New(), standin.New()
		server := &http.Server{Handler: service.Handler()}
		var group errgroup.Group
		l := n.Listen(serviceAddress)
		group.Go(func() error { return server.Serve(l) })
		transport := &http.Transport{DialContext: n.Dial(netip.MustParseAddr("10.0.0.1"))}
		kv := keyvalue.HTTP(serviceAddress, transport)
		first, second := lease.New(kv, "k", "a", "i"), lease.New(kv, "k", "b", "i")
		ctx, cancel := context.WithCancel(context.Background())
		group.Go(func() error { return first.Run(ctx) })
		time.Sleep(lease.LongestDelivery + time.Second)
		fence, held := first.Held()
		qt.Check(t, held, qt.IsTrue)
		cancel()
		ctx, cancel = context.WithCancel(context.Background())
		group.Go(func() error { return second.Run(ctx) })
		time.Sleep(lease.LongestDelivery + 3*time.Second)
		_, held = first.Held()
		qt.Check(t, held, qt.IsFalse)
		next, held := second.Held()
		qt.Check(t, held && next > fence, qt.IsTrue)
		cancel()
		time.Sleep(time.Minute)
		transport.CloseIdleConnections()
		server.Close()
		_ = group.Wait()
	})
}
