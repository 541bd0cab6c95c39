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
	oldIncarnation = identity.Incarnation("old")
	newIncarnation = identity.Incarnation("new")
)

var (
	start    = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	deadline = start.Add(30 * time.Second)
)

func hostList(offset time.Duration, state cloud.State, incarnations ...identity.Incarnation) controller.HostListUpdate {
	event := controller.HostListUpdate{ReceivedAt: start.Add(offset)}
	for i, incarnation := range incarnations {
		event.Hosts = append(event.Hosts, cloud.Host{
			ID: "h", Incarnation: incarnation, Service: "s", State: state,
			Address: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.%d:1", i+1)),
		})
	}
	return event
}

// apply sends events to a controller and returns its endpoint for host h.
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

// Each source of information alone marks an incarnation as leaving, and the order
// in which the sources arrive makes no difference.
func TestLeavingInAnyOrder(t *testing.T) {
	c := qt.New(t)
	sources := []controller.Event{
		hostList(time.Second, cloud.Leaving, oldIncarnation),
		controller.LeavingUpdate{Host: "h", Incarnation: oldIncarnation, Deadline: deadline},
		controller.LeavingUpdate{Host: "h", Deadline: deadline.Add(time.Second)},
		controller.LoadUpdate{ReceivedAt: start, Host: "h", Report: engine.LoadReport{Incarnation: oldIncarnation, Leaving: true}},
	}
	for _, source := range sources {
		events := []controller.Event{source, source, hostList(0, cloud.Live, oldIncarnation)}
		permutations(events, func(order []controller.Event) {
			e, ok := apply(t, append(order, hostList(2*time.Second, cloud.Live, oldIncarnation))...)
			c.Check(ok && e.Leaving, qt.IsTrue, qt.Commentf("%#v", order))
		})
	}
	permutations(append(sources, hostList(0, cloud.Live, oldIncarnation)), func(order []controller.Event) {
		e, ok := apply(t, append(order, hostList(2*time.Second, cloud.Live, oldIncarnation))...)
		c.Check(ok && e.Leaving, qt.IsTrue, qt.Commentf("%#v", order))
		c.Check(e.Deadline, qt.Equals, deadline, qt.Commentf("%#v", order))
	})
}

// A new incarnation of the same host is not marked as leaving by information about
// its predecessor.
func TestLeavingDoesNotAffectSuccessor(t *testing.T) {
	c := qt.New(t)
	notice := controller.LeavingUpdate{Host: "h", Incarnation: oldIncarnation, Deadline: deadline}
	withoutIncarnation := controller.LeavingUpdate{Host: "h", Deadline: deadline}
	report := controller.LoadUpdate{ReceivedAt: start, Host: "h", Report: engine.LoadReport{Incarnation: oldIncarnation, Leaving: true}}
	cases := map[string][]controller.Event{
		"host already gone":           {hostList(0, cloud.Live, oldIncarnation), hostList(time.Second, cloud.Live), notice},
		"two notices":                 {hostList(0, cloud.Live, oldIncarnation), notice, notice},
		"late report of predecessor":  {hostList(0, cloud.Live, oldIncarnation), hostList(time.Second, cloud.Live, newIncarnation), report},
		"late notice":                 {hostList(time.Second, cloud.Live, newIncarnation), notice},
		"no incarnation, expired":     {withoutIncarnation},
		"list out of order":           {hostList(time.Minute, cloud.Live, newIncarnation), hostList(time.Second, cloud.Leaving, oldIncarnation)},
		"no incarnation, earlier one": {hostList(0, cloud.Live, oldIncarnation), withoutIncarnation},
	}
	for name, events := range cases {
		e, ok := apply(t, append(events, hostList(2*time.Minute, cloud.Live, newIncarnation))...)
		c.Check(ok, qt.IsTrue, qt.Commentf(name))
		c.Check(e.Incarnation, qt.Equals, newIncarnation, qt.Commentf(name))
		c.Check(e.Leaving, qt.IsFalse, qt.Commentf(name))
	}
}

// A host that repeatedly disappears from the host list remains leaving.
func TestLeavingPersistsAcrossListGaps(t *testing.T) {
	events := []controller.Event{hostList(0, cloud.Live, oldIncarnation), controller.LeavingUpdate{Host: "h", Incarnation: oldIncarnation}}
	for gap := range 100 {
		events = append(events, hostList(time.Duration(2*gap+1)*time.Minute, cloud.Live))
		events = append(events, hostList(time.Duration(2*gap+2)*time.Minute, cloud.Live, oldIncarnation))
	}
	e, ok := apply(t, events...)
	qt.Check(t, ok && e.Leaving, qt.IsTrue)
}

type unreachable struct{}

func (unreachable) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("unreachable")
}

// A notice marks its host as leaving. A withdrawal neither does so nor undoes it.
func TestLeavingNoticeWithdrawn(t *testing.T) {
	for name, notices := range map[string][]cloud.Notice{
		"withdrawn":      {{Sequence: 1, Host: "h", Incarnation: oldIncarnation, Deadline: deadline}, {Sequence: 2, Host: "h", Incarnation: oldIncarnation, Withdrawn: true}},
		"only withdrawn": {{Sequence: 1, Host: "h", Incarnation: oldIncarnation, Withdrawn: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := controller.New("entry", "zone")
				ctx, cancel := context.WithCancel(t.Context())
				group := new(errgroup.Group)
				group.Go(func() error { return c.Run(ctx) })
				p := controller.Poller{
					Controller: c, Log: slog.New(slog.DiscardHandler),
					HostsInterval: time.Second, NoticesInterval: 500 * time.Millisecond, LoadsInterval: time.Hour,
					Cloud: cloud.Client{
						List: func(context.Context) ([]cloud.Host, error) { return hostList(0, cloud.Live, oldIncarnation).Hosts, nil },
						Notices: func(_ context.Context, after uint64) ([]cloud.Notice, error) {
							return notices[min(after, uint64(len(notices))):], nil
						},
					},
					Engine: engine.Client{HTTP: &http.Client{Transport: unreachable{}}},
				}
				group.Go(func() error { return p.Run(ctx) })
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

// A notice marks its host as leaving within 3 s, at any offset to the polling
// interval, while the host list and one request for notices time out.
func TestLeavingWithinSecondsOfNotice(t *testing.T) {
	for offset := range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := controller.New("entry", "zone")
			ctx, cancel := context.WithCancel(t.Context())
			group := new(errgroup.Group)
			group.Go(func() error { return c.Run(ctx) })
			c.Post(ctx, controller.HostListUpdate{ReceivedAt: time.Now(), Hosts: hostList(0, cloud.Live, oldIncarnation).Hosts})
			published := time.Now().Add(time.Second + time.Duration(offset)*50*time.Millisecond)
			hung := false
			p := controller.Poller{
				Controller: c, Log: slog.New(slog.DiscardHandler),
				HostsInterval: time.Second, NoticesInterval: 500 * time.Millisecond, LoadsInterval: time.Hour,
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
						return []cloud.Notice{{Sequence: 1, Host: "h", Incarnation: oldIncarnation}}, nil
					},
				},
				Engine: engine.Client{HTTP: &http.Client{Transport: unreachable{}}},
			}
			group.Go(func() error { return p.Run(ctx) })
			time.Sleep(time.Until(published.Add(3 * time.Second)))
			synctest.Wait()
			e, _ := c.Snapshot().Find("h")
			qt.Check(t, e.Leaving, qt.IsTrue, qt.Commentf("offset %d", offset))
			cancel()
			qt.Check(t, group.Wait(), qt.IsNil)
		})
	}
}

// A new host that reuses the address of a leaving host is not marked as leaving.
func TestLeavingIgnoresReusedAddress(t *testing.T) {
	c := qt.New(t)
	address := netip.MustParseAddrPort("127.0.0.1:1")
	both := controller.HostListUpdate{ReceivedAt: start, Hosts: []cloud.Host{
		{ID: "gone", Incarnation: oldIncarnation, Service: "s", Address: address, State: cloud.Leaving},
		{ID: "h", Incarnation: newIncarnation, Service: "s", Address: address, State: cloud.Live},
	}}
	// A load request to the leaving host's address is answered by the new host.
	answer := controller.LoadUpdate{ReceivedAt: start, Host: "gone", Report: engine.LoadReport{Incarnation: newIncarnation, Running: 3}}
	events := []controller.Event{both, answer, controller.LeavingUpdate{Host: "gone", Incarnation: oldIncarnation}}
	permutations(events, func(order []controller.Event) {
		e, ok := apply(t, order...)
		c.Check(ok, qt.IsTrue)
		c.Check(e.Leaving, qt.IsFalse)
		c.Check(e.Incarnation, qt.Equals, newIncarnation)
	})
}
