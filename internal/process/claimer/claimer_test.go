package claimer_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/claimer"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/claim"
	standin "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

var serviceAddress = netip.MustParseAddrPort("10.9.0.1:7001")

// fixture runs a key-value service and the claimers of several hosts on an
// in-memory network.
type fixture struct {
	service    *standin.Service
	server     *http.Server
	network    *network.Network
	group      errgroup.Group
	cancel     context.CancelFunc
	ctx        context.Context
	claimers   []*claimer.Claimer
	transports []*http.Transport
}

func newFixture(hosts int) *fixture {
	f := &fixture{service: standin.New(), network: network.New()}
	f.server = &http.Server{Handler: f.service.Handler()}
	listener := f.network.Listen(serviceAddress)
	f.group.Go(func() error { return f.server.Serve(listener) })
	f.ctx, f.cancel = context.WithCancel(context.Background())
	for i := range hosts {
		f.add(i)
	}
	return f
}

func (f *fixture) add(i int) *claimer.Claimer {
	transport := &http.Transport{DialContext: f.network.Dial(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}))}
	f.transports = append(f.transports, transport)
	c := claimer.New(keyvalue.HTTP(serviceAddress, transport))
	f.claimers = append(f.claimers, c)
	f.group.Go(func() error { return c.Run(f.ctx) })
	return c
}

func (f *fixture) stop() {
	f.cancel()
	for _, transport := range f.transports {
		transport.CloseIdleConnections()
	}
	f.server.Close()
	_ = f.group.Wait()
	time.Sleep(time.Minute) // Lets delayed responses finish.
}

func newClaim(key, body string) *claim.Entry {
	return claim.NewEntry(call.Call{
		Request: identity.NewRequest(), Organisation: "fitters", Service: "tickets", IdempotencyKey: key, Method: "POST", Body: []byte(body),
	})
}

func ranEntry(held *claim.Entry, body string) *claim.Entry {
	return claim.RanEntry(held, claim.NewOutcome(http.StatusOK, "text/plain", []byte(body)))
}

func TestClaimIsFoundFromAnyHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(3)
		defer f.stop()
		first := newClaim("key", "issue")
		c.Assert(f.claimers[0].Claim(f.ctx, first).Decision, qt.Equals, claim.HeldByRequest)
		c.Assert(f.claimers[1].Claim(f.ctx, newClaim("key", "issue")).Decision, qt.Equals, claim.HeldByOther)
		c.Assert(f.claimers[1].Claim(f.ctx, newClaim("key", "other")).Decision, qt.Equals, claim.KeyReused)
		c.Assert(f.claimers[0].Resolve(f.ctx, ranEntry(first, "done")), qt.IsNil)
		repeat := f.claimers[1].Claim(f.ctx, newClaim("key", "issue"))
		c.Assert(repeat.Decision, qt.Equals, claim.HeldByOther)
		c.Assert(string(repeat.Entry.GetOutcome().GetBody()), qt.Equals, "done")
		found, err := f.claimers[2].Find(f.ctx, claim.ID(first.Id))
		c.Assert(err, qt.IsNil)
		c.Assert(found.Request, qt.Equals, first.Request)
	})
}

func TestClaimReleasedCanBeTakenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(2)
		defer f.stop()
		first, second := newClaim("key", "issue"), newClaim("key", "issue")
		c.Assert(f.claimers[0].Claim(f.ctx, first).Decision, qt.Equals, claim.HeldByRequest)
		c.Assert(f.claimers[0].Resolve(f.ctx, claim.ReleasedEntry(first)), qt.IsNil)
		c.Assert(f.claimers[1].Claim(f.ctx, second).Decision, qt.Equals, claim.HeldByRequest)
		c.Assert(f.claimers[0].Resolve(f.ctx, claim.ReleasedEntry(first)), qt.IsNil)
		c.Assert(f.claimers[0].Claim(f.ctx, newClaim("key", "issue")).Decision, qt.Equals, claim.HeldByOther)
	})
}

// TestClaimWithLostAnswers drops the response to every second write. Every claim
// must still be confirmed, for exactly one host.
func TestClaimWithLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(3)
		defer f.stop()
		f.service.SetFaults(standin.Faults{LoseAnswerEvery: 2})
		for i := range 30 {
			var group errgroup.Group
			results := make([]claimer.Result, len(f.claimers))
			for host, from := range f.claimers {
				group.Go(func() error {
					results[host] = from.Claim(f.ctx, newClaim(fmt.Sprint("key-", i), "issue"))
					return nil
				})
			}
			c.Assert(group.Wait(), qt.IsNil)
			held := 0
			for _, r := range results {
				c.Assert(r.Err, qt.IsNil)
				if r.Decision == claim.HeldByRequest {
					held++
				}
			}
			c.Assert(held, qt.Equals, 1)
		}
	})
}

// TestClaimWhileServiceIsDown checks that a claim fails while the service is down
// or slow, and that the call can be claimed afterwards, even if the write of the
// failed claim arrives only then.
func TestClaimWhileServiceIsDown(t *testing.T) {
	for name, faults := range map[string]standin.Faults{"down": {Down: true}, "slow": {DelayMillis: 5000}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFixture(2)
				defer f.stop()
				first, second := newClaim("key", "issue"), newClaim("key", "issue")
				initial := f.claimers[0].Claim(f.ctx, newClaim("key", "issue"))
				c.Assert(initial.Decision, qt.Equals, claim.HeldByRequest)
				c.Assert(f.claimers[0].Resolve(f.ctx, claim.ReleasedEntry(initial.Entry)), qt.IsNil)
				f.service.SetFaults(faults)
				c.Assert(f.claimers[0].Claim(f.ctx, first).Err, qt.IsNotNil)
				f.service.SetFaults(standin.Faults{})
				c.Assert(f.claimers[0].Claim(f.ctx, second).Decision, qt.Equals, claim.HeldByRequest)
				time.Sleep(10 * time.Second)
				repeat := f.claimers[1].Claim(f.ctx, newClaim("key", "issue"))
				c.Assert(repeat.Decision, qt.Equals, claim.HeldByOther)
				c.Assert(repeat.Entry.Request, qt.Equals, second.Request)
			})
		})
	}
}

// TestClaimFailedIsNotFoundLater checks that a claim that failed because the
// service was slow can be made by another host after its delayed write has arrived.
func TestClaimFailedIsNotFoundLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(2)
		defer f.stop()
		initial := f.claimers[0].Claim(f.ctx, newClaim("key", "issue"))
		c.Assert(f.claimers[0].Resolve(f.ctx, claim.ReleasedEntry(initial.Entry)), qt.IsNil)
		f.service.SetFaults(standin.Faults{DelayMillis: 5000})
		c.Assert(f.claimers[0].Claim(f.ctx, newClaim("key", "issue")).Err, qt.IsNotNil)
		f.service.SetFaults(standin.Faults{})
		time.Sleep(10 * time.Second)
		c.Assert(f.claimers[1].Claim(f.ctx, newClaim("key", "issue")).Decision, qt.Equals, claim.HeldByRequest)
	})
}

// TestClaimIsFoundAfterSealing fills shards until segments are sealed, and claims
// the same calls again from a host that has cached none of them. Expired segments
// must be gone after the retention time.
func TestClaimIsFoundAfterSealing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(1)
		defer f.stop()
		var entries []*claim.Entry
		for i := range 12_000 {
			entries = append(entries, newClaim(fmt.Sprint("key-", i), "issue"))
		}
		claimAll(c, f, f.claimers[0], entries, claim.HeldByRequest)
		values, err := keyvalue.HTTP(serviceAddress, f.transports[0]).List(f.ctx, "claims/")
		c.Assert(err, qt.IsNil)
		c.Assert(len(values) > claim.ShardCount, qt.IsTrue)
		newHost := f.add(9)
		for i := range entries {
			entries[i] = newClaim(fmt.Sprint("key-", i), "issue")
		}
		claimAll(c, f, newHost, entries, claim.HeldByOther)
		value, err := keyvalue.HTTP(serviceAddress, f.transports[0]).Get(f.ctx, "claims/00")
		c.Assert(err, qt.IsNil)
		c.Assert(len(value.Data) < keyvalue.MaxValueBytes/10, qt.IsTrue)
		time.Sleep(f.claimers[0].Retention + time.Hour)
		c.Assert(f.claimers[0].Claim(f.ctx, newClaim("key-0", "issue")).Err, qt.IsNil)
		values, err = keyvalue.HTTP(serviceAddress, f.transports[0]).List(f.ctx, "claims/")
		c.Assert(err, qt.IsNil)
		c.Assert(len(values) <= claim.ShardCount+1, qt.IsTrue, qt.Commentf("%d keys left", len(values)))
	})
}

func claimAll(c *qt.C, f *fixture, from *claimer.Claimer, entries []*claim.Entry, want claim.Decision) {
	var group errgroup.Group
	group.SetLimit(1000)
	for _, e := range entries {
		group.Go(func() error {
			result := from.Claim(f.ctx, e)
			if result.Err != nil || result.Decision != want {
				return fmt.Errorf("decision %d: %w", result.Decision, result.Err)
			}
			return nil
		})
	}
	c.Assert(group.Wait(), qt.IsNil)
}

// TestClaimRateAtTarget makes claims at the target rate of 900 a second, records
// the outcome of each, and bounds the number of writes.
func TestClaimRateAtTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFixture(1)
		defer f.stop()
		const seconds = 5
		var group errgroup.Group
		for i := range 900 * seconds {
			time.Sleep(time.Second / 900)
			group.Go(func() error {
				held := newClaim(fmt.Sprint("key-", i), "issue")
				if result := f.claimers[0].Claim(f.ctx, held); result.Err != nil || result.Decision != claim.HeldByRequest {
					return fmt.Errorf("decision %d: %w", result.Decision, result.Err)
				}
				return f.claimers[0].Resolve(f.ctx, ranEntry(held, "done"))
			})
		}
		c.Assert(group.Wait(), qt.IsNil)
		writes := f.service.Counts().Writes
		t.Logf("%d claims and as many outcomes took %d writes: %d a second", 900*seconds, writes, writes/seconds)
		c.Assert(writes < 200*seconds, qt.IsTrue)
	})
}
