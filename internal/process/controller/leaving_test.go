package controller_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	oldLife = identity.Incarnation("old")
	newLife = identity.Incarnation("new")
)

var (
	start    = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	deadline = start.Add(30 * time.Second)
)

func listed(after time.Duration, state cloud.State, lives ...identity.Incarnation) controller.HostsSeen {
	seen := controller.HostsSeen{At: start.Add(after)}
	for i, life := range lives {
		seen.Hosts = append(seen.Hosts, cloud.Host{
			ID: "h", Incarnation: life, Service: "s", State: state,
			Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:1", i+1)),
		})
	}
	return seen
}

// apply runs events through a controller and gives what it knows of host h.
func apply(t *testing.T, events ...controller.Event) (fleet.Endpoint, bool) {
	var found fleet.Endpoint
	var ok bool
	synctest.Test(t, func(t *testing.T) {
		c := controller.New("entry", "zone")
		ctx, cancel := context.WithCancel(t.Context())
		group := new(errgroup.Group)
		group.Go(func() error { return c.Run(ctx) })
		for _, e := range events {
			c.Post(ctx, e)
			synctest.Wait()
		}
		found, ok = c.Snapshot().Find("h")
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
	return found, ok
}

func permutations[T any](items []T, visit func([]T)) {
	var walk func(int)
	walk = func(k int) {
		if k == len(items) {
			visit(items)
			return
		}
		for i := k; i < len(items); i++ {
			items[k], items[i] = items[i], items[k]
			walk(k + 1)
			items[k], items[i] = items[i], items[k]
		}
	}
	walk(0)
}

// Every order of what tells that an incarnation leaves gives the same state,
// and each source alone is enough.
func TestLeavingInAnyOrder(t *testing.T) {
	c := qt.New(t)
	sources := []controller.Event{
		listed(time.Second, cloud.Leaving, oldLife),
		controller.LeavingSeen{Host: "h", Incarnation: oldLife, Deadline: deadline},
		controller.LeavingSeen{Host: "h", Deadline: deadline.Add(time.Second)},
		controller.LoadSeen{At: start, Host: "h", Report: engine.LoadReport{Incarnation: oldLife, Leaving: true}},
	}
	for _, source := range sources {
		events := []controller.Event{source, source, listed(0, cloud.Live, oldLife)}
		permutations(events, func(order []controller.Event) {
			e, ok := apply(t, append(order, listed(2*time.Second, cloud.Live, oldLife))...)
			c.Check(ok && e.Leaving, qt.IsTrue, qt.Commentf("%#v", order))
		})
	}
	permutations(append(sources, listed(0, cloud.Live, oldLife)), func(order []controller.Event) {
		e, ok := apply(t, append(order, listed(2*time.Second, cloud.Live, oldLife))...)
		c.Check(ok && e.Leaving, qt.IsTrue, qt.Commentf("%#v", order))
		c.Check(e.Deadline, qt.Equals, deadline, qt.Commentf("%#v", order))
	})
}

// A successor under the same name is not taken for the one that left.
func TestLeavingSparesSuccessor(t *testing.T) {
	c := qt.New(t)
	notice := controller.LeavingSeen{Host: "h", Incarnation: oldLife, Deadline: deadline}
	unnamed := controller.LeavingSeen{Host: "h", Deadline: deadline}
	report := controller.LoadSeen{At: start, Host: "h", Report: engine.LoadReport{Incarnation: oldLife, Leaving: true}}
	cases := map[string][]controller.Event{
		"host already gone":         {listed(0, cloud.Live, oldLife), listed(time.Second, cloud.Live), notice},
		"two notices":               {listed(0, cloud.Live, oldLife), notice, notice},
		"late word of predecessor":  {listed(0, cloud.Live, oldLife), listed(time.Second, cloud.Live, newLife), report},
		"late notice":               {listed(time.Second, cloud.Live, newLife), notice},
		"unnamed after its end":     {unnamed},
		"list out of order":         {listed(time.Minute, cloud.Live, newLife), listed(time.Second, cloud.Leaving, oldLife)},
		"unnamed meant predecessor": {listed(0, cloud.Live, oldLife), unnamed},
	}
	for name, events := range cases {
		e, ok := apply(t, append(events, listed(2*time.Minute, cloud.Live, newLife))...)
		c.Check(ok, qt.IsTrue, qt.Commentf(name))
		c.Check(e.Incarnation, qt.Equals, newLife, qt.Commentf(name))
		c.Check(e.Leaving, qt.IsFalse, qt.Commentf(name))
	}
}

// A host that the list loses and shows again stays leaving for its whole life.
func TestLeavingOutlivesListGaps(t *testing.T) {
	events := []controller.Event{listed(0, cloud.Live, oldLife), controller.LeavingSeen{Host: "h", Incarnation: oldLife}}
	for gap := range 100 {
		events = append(events, listed(time.Duration(2*gap+1)*time.Minute, cloud.Live))
		events = append(events, listed(time.Duration(2*gap+2)*time.Minute, cloud.Live, oldLife))
	}
	e, ok := apply(t, events...)
	qt.Check(t, ok && e.Leaving, qt.IsTrue)
}

type unreachable struct{}

func (unreachable) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("unreachable")
}

// The watcher posts a notice within its interval, survives a repeat, and takes
// a withdrawal neither as a notice nor as a return.
func TestLeavingNoticeWithdrawn(t *testing.T) {
	for name, notices := range map[string][]cloud.Notice{
		"withdrawn":      {{Sequence: 1, Host: "h", Incarnation: oldLife, Deadline: deadline}, {Sequence: 2, Host: "h", Incarnation: oldLife, Withdrawn: true}},
		"only withdrawn": {{Sequence: 1, Host: "h", Incarnation: oldLife, Withdrawn: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := controller.New("entry", "zone")
				ctx, cancel := context.WithCancel(t.Context())
				group := new(errgroup.Group)
				group.Go(func() error { return c.Run(ctx) })
				w := controller.Watcher{
					Controller: c, Log: slog.New(slog.DiscardHandler),
					HostsEvery: time.Second, NoticesEvery: 500 * time.Millisecond, LoadsEvery: time.Hour,
					Cloud: cloud.Client{
						List: func(context.Context) ([]cloud.Host, error) { return listed(0, cloud.Live, oldLife).Hosts, nil },
						Notices: func(_ context.Context, after uint64) ([]cloud.Notice, error) {
							return notices[min(after, uint64(len(notices))):], nil
						},
					},
					Engine: engine.Client{HTTP: &http.Client{Transport: unreachable{}}},
				}
				group.Go(func() error { return w.Run(ctx) })
				time.Sleep(3 * time.Second)
				synctest.Wait()
				e, ok := c.Snapshot().Find("h")
				qt.Check(t, ok, qt.IsTrue)
				qt.Check(t, e.Leaving, qt.Equals, name == "withdrawn")
				cancel()
				qt.Check(t, group.Wait(), qt.IsNil)
			})
		})
	}
}

// A notice makes its host leave within 3 s wherever in the watcher's rhythm it
// comes, while the host list hangs and one question after notices does too.
func TestLeavingWithinSecondsOfNotice(t *testing.T) {
	for offset := range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := controller.New("entry", "zone")
			ctx, cancel := context.WithCancel(t.Context())
			group := new(errgroup.Group)
			group.Go(func() error { return c.Run(ctx) })
			c.Post(ctx, controller.HostsSeen{At: time.Now(), Hosts: listed(0, cloud.Live, oldLife).Hosts})
			published := time.Now().Add(time.Second + time.Duration(offset)*50*time.Millisecond)
			hung := false
			w := controller.Watcher{
				Controller: c, Log: slog.New(slog.DiscardHandler),
				HostsEvery: time.Second, NoticesEvery: 500 * time.Millisecond, LoadsEvery: time.Hour,
				Cloud: cloud.Client{
					List: func(ctx context.Context) ([]cloud.Host, error) {
						<-ctx.Done()
						return nil, ctx.Err()
					},
					Notices: func(ctx context.Context, _ uint64) ([]cloud.Notice, error) {
						if time.Now().Before(published) {
							return nil, nil
						}
						if !hung {
							hung = true
							<-ctx.Done()
							return nil, ctx.Err()
						}
						return []cloud.Notice{{Sequence: 1, Host: "h", Incarnation: oldLife}}, nil
					},
				},
				Engine: engine.Client{HTTP: &http.Client{Transport: unreachable{}}},
			}
			group.Go(func() error { return w.Run(ctx) })
			time.Sleep(time.Until(published.Add(3 * time.Second)))
			synctest.Wait()
			e, _ := c.Snapshot().Find("h")
			qt.Check(t, e.Leaving, qt.IsTrue, qt.Commentf("offset %d", offset))
			cancel()
			qt.Check(t, group.Wait(), qt.IsNil)
		})
	}
}

// A new host on the address of one that leaves is another host.
func TestLeavingAddressIsNoIdentity(t *testing.T) {
	c := qt.New(t)
	address := netip.MustParseAddrPort("127.0.0.1:1")
	both := controller.HostsSeen{At: start, Hosts: []cloud.Host{
		{ID: "gone", Incarnation: oldLife, Service: "s", Address: address, State: cloud.Leaving},
		{ID: "h", Incarnation: newLife, Service: "s", Address: address, State: cloud.Live},
	}}
	// Asked at the shared address for the one that is gone, the new host answers.
	answer := controller.LoadSeen{At: start, Host: "gone", Report: engine.LoadReport{Incarnation: newLife, Running: 3}}
	events := []controller.Event{both, answer, controller.LeavingSeen{Host: "gone", Incarnation: oldLife}}
	permutations(events, func(order []controller.Event) {
		e, ok := apply(t, order...)
		c.Check(ok, qt.IsTrue)
		c.Check(e.Leaving, qt.IsFalse)
		c.Check(e.Incarnation, qt.Equals, newLife)
	})
}
