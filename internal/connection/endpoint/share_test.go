package endpoint_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/endpoint"
)

const (
	// mostIdle is what a host keeps at most to an endpoint, whatever the limit.
	mostIdle = 16
	// closeTimeout is how long an endpoint may take to see that connections were closed.
	closeTimeout = 20 * time.Second
)

// limitedEndpoint is an endpoint that resets connections beyond a limit.
type limitedEndpoint struct {
	address netip.AddrPort
	open    atomic.Int64
	resets  atomic.Int64
}

// startLimitedEndpoint returns an endpoint; a limit of zero means that it resets none.
func startLimitedEndpoint(c *qt.C, limit int64) *limitedEndpoint {
	e := new(limitedEndpoint)
	e.address = startServer(c, func(_ int, conn net.Conn, requests *bufio.Reader) {
		defer e.open.Add(-1)
		if e.open.Add(1) > limit && limit > 0 {
			e.resets.Add(1)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		for {
			r, err := readRequest(requests)
			if err != nil {
				return
			}
			// A write error means that the host has closed the connection.
			_, _ = io.WriteString(conn, formatAnswer(r.Header.Get("Id"), "x"))
		}
	})
	return e
}

// testFleet is a number of hosts that make calls to one endpoint.
type testFleet struct {
	c     *qt.C
	to    *limitedEndpoint
	limit int
	// count is how many hosts each host counts.
	count atomic.Int64
	pools []*endpoint.Pool
	calls int
}

// resize starts or stops hosts, and makes each close what it has beyond its share.
func (f *testFleet) resize(hosts int) {
	f.count.Store(int64(hosts))
	for i, pool := range f.pools {
		pool.CloseIdle(time.Now(), func(netip.AddrPort) bool { return i < hosts })
	}
	f.pools = f.pools[:min(hosts, len(f.pools))]
	for i := len(f.pools); i < hosts; i++ {
		self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(1 + i%200)}), 7000)
		f.pools = append(f.pools, endpoint.New(new(errgroup.Group), endpoint.WithMaxIdle(func(to netip.AddrPort) int {
			return endpoint.IdleShare(f.limit, int(f.count.Load()), self, to)
		})))
	}
}

// burst makes calls at the same time, from one host after the other, and returns how many
// of them failed.
func (f *testFleet) burst(callsPerHost int) (failed int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, pool := range f.pools {
		var answers []*endpoint.Answer
		for range callsPerHost {
			f.calls++
			answer, err := pool.Send(ctx, f.to.address, newRequest(fmt.Sprint(f.calls)))
			if err != nil {
				failed++
				continue
			}
			answers = append(answers, answer)
		}
		for _, answer := range answers {
			_, err := io.ReadAll(answer.Body)
			f.c.Assert(err, qt.IsNil)
			f.c.Assert(answer.Body.Close(), qt.IsNil)
		}
		f.settle()
	}
	return failed
}

// settle waits until the endpoint has seen which connections are closed, and returns how
// many are open.
func (f *testFleet) settle() int {
	f.c.Helper()
	idle := 0
	for _, pool := range f.pools {
		idle += pool.IdleCount()
	}
	for started := time.Now(); f.to.open.Load() != int64(idle); time.Sleep(100 * time.Microsecond) {
		if time.Since(started) > closeTimeout {
			f.c.Fatalf("the endpoint has %d connections, the hosts %d", f.to.open.Load(), idle)
		}
	}
	return idle
}

// Guards against resets: 63 hosts that keep 16 connections each after a burst keep 1,008
// where the endpoint accepts 570, of which its calls need a part.
func TestIdleConnectionsOfAllHostsStayWithinTheLimit(t *testing.T) {
	c := qt.New(t)
	fleet := testFleet{c: c, to: startLimitedEndpoint(c, 0), limit: 570}
	fleet.resize(63)
	c.Assert(fleet.burst(mostIdle), qt.Equals, 0)
	open := fleet.settle()
	c.Check(open <= 570-(32+67), qt.IsTrue, qt.Commentf("%d connections", open))
	c.Check(open >= 63, qt.IsTrue, qt.Commentf("%d connections: none to use again at some hosts", open))
}

// Guards against failed calls: what other hosts keep idle must leave each host its burst.
func TestIdleConnectionsOfOtherHostsResetNoCall(t *testing.T) {
	c := qt.New(t)
	fleet := testFleet{c: c, to: startLimitedEndpoint(c, 570), limit: 570}
	fleet.resize(63)
	failed := fleet.burst(mostIdle) + fleet.burst(mostIdle)
	c.Check(failed, qt.Equals, 0)
	c.Check(fleet.to.resets.Load(), qt.Equals, int64(0))
}

// Guards against what hosts kept while they were few: with each host that starts, shares
// shrink, and connections that are idle already have to be closed.
func TestShareShrinksAndGrowsWithHosts(t *testing.T) {
	c := qt.New(t)
	fleet := testFleet{c: c, to: startLimitedEndpoint(c, 570), limit: 570}
	for _, hosts := range []int{7, 20, 63, 5, 120, 63, 7} {
		before := len(fleet.pools)
		fleet.resize(hosts)
		for i, pool := range fleet.pools {
			c.Check(pool.IdleCount() <= 1+570/2/hosts, qt.IsTrue, qt.Commentf("host %d of %d after %d keeps %d", i, hosts, before, pool.IdleCount()))
		}
		c.Check(fleet.settle() <= 570/2+hosts/2, qt.IsTrue, qt.Commentf("%d hosts after %d: %d connections", hosts, before, fleet.settle()))
		c.Check(fleet.burst(mostIdle), qt.Equals, 0, qt.Commentf("%d hosts after %d", hosts, before))
		c.Check(fleet.settle() <= 570/2+hosts/2, qt.IsTrue, qt.Commentf("%d hosts after %d: %d connections", hosts, before, fleet.settle()))
	}
	c.Check(fleet.settle(), qt.Equals, 7*mostIdle)
	c.Check(fleet.to.resets.Load(), qt.Equals, int64(0))
}

// Guards against hosts that may not call, and against a share that all round to none or
// to one, where there are more hosts than connections.
func TestMoreHostsThanConnections(t *testing.T) {
	c := qt.New(t)
	fleet := testFleet{c: c, to: startLimitedEndpoint(c, 370), limit: 370}
	fleet.resize(380)
	c.Check(fleet.burst(3), qt.Equals, 0)
	for _, pool := range fleet.pools {
		c.Assert(pool.IdleCount() <= 1, qt.IsTrue)
	}
	open := fleet.settle()
	// Half of 370, and five times the standard deviation of 380 draws.
	c.Check(open > 185-49 && open < 185+49, qt.IsTrue, qt.Commentf("%d connections", open))
}

// Guards against connections that are opened for each call where no limit is named.
func TestNoLimitKeepsTheMost(t *testing.T) {
	c := qt.New(t)
	fleet := testFleet{c: c, to: startLimitedEndpoint(c, 0)}
	fleet.resize(63)
	c.Check(fleet.burst(mostIdle+4), qt.Equals, 0)
	c.Check(fleet.settle(), qt.Equals, 63*mostIdle)
}

// Guards against dearer calls in small fleets, which never come near the limit: each new
// connection takes time of the endpoint.
func TestSmallFleetKeepsTheMost(t *testing.T) {
	for _, site := range []struct{ hosts, limit int }{{7, 360}, {8, 370}, {6, 610}, {1, 100}} {
		c := qt.New(t)
		fleet := testFleet{c: c, to: startLimitedEndpoint(c, int64(site.limit)), limit: site.limit}
		fleet.resize(site.hosts)
		c.Check(fleet.burst(mostIdle), qt.Equals, 0)
		c.Check(fleet.settle(), qt.Equals, site.hosts*mostIdle, qt.Commentf("%+v", site))
	}
}

// Guards against a share that leaves too little: the calls that endpoints of known fleets
// run and queue have room beside all idle connections, and each host keeps some.
func TestIdleSharesLeaveRoomForCalls(t *testing.T) {
	for _, site := range []struct {
		name                       string
		hosts, limit, slots, queue int
	}{
		{"ht-boilerdesk models", 7, 360, 64, 134},
		{"ht-boilerdesk ledger", 7, 100, 6, 24},
		{"tally-amman models", 8, 370, 64, 134},
		{"tally-amman ledger", 8, 110, 6, 24},
		{"ambon-mist models", 6, 610, 128, 268},
		{"ambon-mist control", 6, 96, 6, 24},
		{"ht-boilerdesk-grown models", 63, 570, 32, 67},
		{"ht-boilerdesk-grown ledger", 63, 440, 6, 24},
		{"tally-amman-grown models", 91, 740, 32, 67},
		{"tally-amman-grown ledger", 91, 610, 6, 24},
		{"ambon-mist-grown models", 86, 1100, 128, 268},
		{"ambon-mist-grown control", 86, 580, 6, 24},
		{"tally-amman-large models", 295, 2000, 48, 100},
		{"tally-amman-large ledger", 295, 1800, 6, 24},
	} {
		t.Run(site.name, func(t *testing.T) {
			c := qt.New(t)
			for port := range uint16(200) {
				to := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, 1}), 8000+port)
				sum, lowest, highest := 0, site.limit, 0
				for i := range site.hosts {
					self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(1 + i%200)}), 7000)
					share := endpoint.IdleShare(site.limit, site.hosts, self, to)
					sum, lowest, highest = sum+share, min(lowest, share), max(highest, share)
				}
				if port == 0 {
					t.Logf("%d hosts, %d: %d to %d each, %d of all, %d run or queued", site.hosts, site.limit, lowest, highest, sum, site.slots+site.queue)
				}
				c.Assert(sum+site.slots+site.queue <= site.limit, qt.IsTrue, qt.Commentf("%d idle", sum))
				c.Assert(lowest >= 1, qt.IsTrue)
				c.Assert(highest <= mostIdle, qt.IsTrue)
			}
		})
	}
}
