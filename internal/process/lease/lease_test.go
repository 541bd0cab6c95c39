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

// pausableClient blocks writes while paused is set, regardless of their deadline,
// like a process that is not scheduled.
func pausableClient(kv keyvalue.Client, paused *atomic.Bool) keyvalue.Client {
	put := kv.Put
	kv.Put = func(ctx context.Context, key string, p keyvalue.Put) (keyvalue.Value, error) {
		waitWhilePaused(paused)
		value, err := put(ctx, key, p)
		waitWhilePaused(paused)
		return value, err
	}
	return kv
}

func waitWhilePaused(paused *atomic.Bool) {
	for paused.Load() {
		time.Sleep(100 * time.Millisecond)
	}
}

// If writes are delayed, responses are lost or the holder is paused, Held must not
// report a lease whose key has expired at the service.
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
			holderAddr, observerAddr := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
			holderTransport, observerTransport := &http.Transport{DialContext: n.Dial(holderAddr)}, &http.Transport{DialContext: n.Dial(observerAddr)}
			holder := lease.New(pausableClient(keyvalue.HTTP(serviceAddress, holderTransport), &paused), "k", "h", "i")
			holder.Log = slog.New(slog.DiscardHandler)
			ctx, cancel := context.WithCancel(context.Background())
			group.Go(func() error { return holder.Run(ctx) })
			observer := keyvalue.HTTP(serviceAddress, observerTransport)
			n.SetRule(func(_, to netip.Addr) network.Path {
				if to == holderAddr {
					return network.Path{Delay: 1500 * time.Millisecond}
				}
				return network.Path{}
			})
			time.Sleep(10 * time.Second)
			_, held := holder.Held()
			qt.Check(t, held, qt.IsTrue)
			faultsChanged := time.Now()
			pauseAt := time.Duration(r.IntN(15_000)) * time.Millisecond
			for start := time.Now(); time.Since(start) < 40*time.Second; time.Sleep(50 * time.Millisecond) {
				if time.Since(faultsChanged) > 2500*time.Millisecond {
					faultsChanged = time.Now()
					service.SetFaults(standin.Faults{LateMillis: int64(r.IntN(2) * (2000 + r.IntN(2000))), LoseAnswerEvery: r.IntN(3)})
				}
				paused.Store(time.Since(start) > pauseAt)
				if _, held := holder.Held(); held {
					_, err := observer.Get(ctx, "k")
					qt.Assert(t, err, qt.IsNil, qt.Commentf("seed %d: held %s after the pause began", seed, time.Since(start)-pauseAt))
				}
			}
			paused.Store(false)
			cancel()
			time.Sleep(time.Minute)
			holderTransport.CloseIdleConnections()
			observerTransport.CloseIdleConnections()
			server.Close()
			_ = group.Wait()
		})
	}
}

// A planned stop releases the lease, so that another host can acquire it before
// the key would expire.
func TestLeaseIsReleasedOnStop(t *testing.T) {
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
		time.Sleep(lease.MaxOrderDuration + time.Second)
		fence, held := first.Held()
		qt.Check(t, held, qt.IsTrue)
		cancel()
		ctx, cancel = context.WithCancel(context.Background())
		group.Go(func() error { return second.Run(ctx) })
		time.Sleep(lease.MaxOrderDuration + 3*time.Second)
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
