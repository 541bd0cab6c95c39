package keyvalue_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	standin "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
)

var (
	serviceAddress = netip.MustParseAddrPort("10.9.0.1:7001")
	hostAddress    = netip.MustParseAddr("10.0.0.1")
)

// testService runs the service on an in-memory network.
type testService struct {
	network *network.Network
	service *standin.Service
	server  *http.Server
	group   errgroup.Group
	clients []*http.Transport
	dials   atomic.Int64
}

func newTestService() *testService {
	p := &testService{network: network.New(), service: standin.New()}
	p.server = &http.Server{Handler: p.service.Handler()}
	l := p.network.Listen(serviceAddress)
	p.group.Go(func() error { return p.server.Serve(l) })
	return p
}

func (p *testService) client() keyvalue.Client {
	dial := p.network.Dial(hostAddress)
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		p.dials.Add(1)
		return dial(ctx, network, address)
	}}
	p.clients = append(p.clients, transport)
	return keyvalue.HTTP(serviceAddress, transport)
}

func (p *testService) stop() {
	for _, c := range p.clients {
		c.CloseIdleConnections()
	}
	p.server.Close()
	_ = p.group.Wait()
	time.Sleep(time.Minute) // Let delayed writes finish.
}

func TestOutageLostAnswerIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestService()
		defer p.stop()
		kv := p.client()
		p.service.SetFaults(standin.Faults{LoseAnswerEvery: 1})
		_, err := kv.Put(t.Context(), "k", keyvalue.Put{Data: []byte("a"), WriterToken: "plain"})
		qt.Assert(t, errors.Is(err, keyvalue.ErrAmbiguous), qt.IsTrue)
		first, err := kv.Get(t.Context(), "k")
		qt.Assert(t, err, qt.IsNil)
		second, err := kv.PutWithRetry(t.Context(), "k", keyvalue.Put{Data: []byte("b"), IfRevision: first.Revision})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, second.Revision, qt.Equals, first.Revision+1)
		_, err = kv.PutWithRetry(t.Context(), "k", keyvalue.Put{Delete: true, IfRevision: second.Revision})
		qt.Assert(t, err, qt.IsNil)
		_, err = kv.Get(t.Context(), "k")
		qt.Assert(t, errors.Is(err, keyvalue.ErrAbsent), qt.IsTrue)
	})
}

// A write that is still in flight when its caller times out must not take effect
// after PutWithRetry has returned.
func TestOutageLateWriteIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestService()
		defer p.stop()
		kv := p.client()
		p.service.SetFaults(standin.Faults{LateMillis: 5000})
		time.AfterFunc(3*time.Second, func() { p.service.SetFaults(standin.Faults{}) })
		settled, err := kv.PutWithRetry(t.Context(), "k", keyvalue.Put{Data: []byte("mine")})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Minute)
		present, err := kv.Get(t.Context(), "k")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, present.Revision, qt.Equals, settled.Revision)
	})
}

func TestOutageOverwrittenWriteIsNotCalledFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestService()
		defer p.stop()
		kv := p.client()
		p.service.SetFaults(standin.Faults{LoseAnswerEvery: 1})
		other := p.client()
		var group errgroup.Group
		group.Go(func() error {
			time.Sleep(time.Millisecond)
			mine, err := other.Get(t.Context(), "k")
			if err != nil {
				return err
			}
			_, err = other.PutWithRetry(t.Context(), "k", keyvalue.Put{Data: []byte("other"), IfRevision: mine.Revision})
			return err
		})
		present, err := kv.PutWithRetry(t.Context(), "k", keyvalue.Put{Data: []byte("mine")})
		qt.Assert(t, group.Wait(), qt.IsNil)
		qt.Assert(t, errors.Is(err, keyvalue.ErrOverwritten), qt.IsTrue)
		qt.Assert(t, string(present.Data), qt.Equals, "other")
	})
}

func TestOutageDownServiceWritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestService()
		defer p.stop()
		kv := p.client()
		p.service.SetFaults(standin.Faults{Down: true})
		_, err := kv.PutWithRetry(t.Context(), "k", keyvalue.Put{})
		qt.Assert(t, errors.Is(err, keyvalue.ErrUnavailable), qt.IsTrue)
		qt.Assert(t, errors.Is(err, keyvalue.ErrAmbiguous), qt.IsFalse)
	})
}

// Connections that no longer deliver data never recover, so the next call must use
// a new one.
func TestOutageSilentConnectionsAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestService()
		defer p.stop()
		kv := p.client()
		p.service.SetFaults(standin.Faults{DelayMillis: 10})
		callTwice(func() error { return read(kv) })
		p.network.SetRule(func(from, _ netip.Addr) network.Path { return network.Path{Lost: from == serviceAddress.Addr()} })
		began := time.Now()
		callTwice(func() error { return read(kv) })
		qt.Assert(t, time.Since(began) < 9*time.Second, qt.IsTrue)
		callTwice(func() error { return read(kv) })
		p.network.SetRule(nil)
		qt.Assert(t, read(kv), qt.IsNil)
	})
}

// When a call times out, idle connections that it did not use may be dead too and
// must be closed.
func TestOutageIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestService()
		defer p.stop()
		kv := p.client()
		p.service.SetFaults(standin.Faults{DelayMillis: 10})
		callTwice(func() error { return read(kv) })
		dialled := p.dials.Load()
		p.network.SetRule(func(from, _ netip.Addr) network.Path { return network.Path{Lost: from == serviceAddress.Addr()} })
		qt.Assert(t, read(kv), qt.IsNotNil)
		p.network.SetRule(nil)
		qt.Assert(t, read(kv), qt.IsNil)
		qt.Assert(t, p.dials.Load(), qt.Not(qt.Equals), dialled)
	})
}

func TestOutageEachWatchOpensAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestService()
		defer p.stop()
		kv := p.client()
		for range 3 {
			_, err := kv.Watch(t.Context(), "k", 0, time.Second)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, p.dials.Load(), qt.Equals, int64(3))
		p.network.SetRule(func(from, _ netip.Addr) network.Path { return network.Path{Lost: from == serviceAddress.Addr()} })
		began := time.Now()
		_, err := kv.Watch(t.Context(), "k", 0, 3*time.Second)
		qt.Assert(t, errors.Is(err, keyvalue.ErrUnavailable), qt.IsTrue)
		qt.Assert(t, time.Since(began) < 9*time.Second, qt.IsTrue)
	})
}

func read(kv keyvalue.Client) error {
	_, err := kv.Get(context.Background(), "k")
	if errors.Is(err, keyvalue.ErrAbsent) {
		return nil
	}
	return err
}

// callTwice makes two concurrent calls, which leaves two idle connections.
func callTwice(call func() error) {
	var group errgroup.Group
	group.Go(call)
	group.Go(call)
	_ = group.Wait()
}
