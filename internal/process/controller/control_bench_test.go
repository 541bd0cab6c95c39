package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

func manyHosts(n int) []cloud.Host {
	hosts := make([]cloud.Host, n)
	for i := range hosts {
		hosts[i] = cloud.Host{
			ID: identity.Host(fmt.Sprintf("engine-%05d", i)), Incarnation: identity.Incarnation(fmt.Sprint("i", i)),
			Service: identity.Service(fmt.Sprint("s", i%20)), Zone: identity.Zone(fmt.Sprint("z", i%16)), State: cloud.Live,
		}
	}
	return hosts
}

var group errgroup.Group

// awaitVersion waits until the published configuration has at least the given version.
func awaitVersion(c *controller.Controller, version identity.Version) {
	for c.Snapshot().Configuration.Version < version {
		time.Sleep(10 * time.Microsecond)
	}
}

// BenchmarkControlEvents measures the cost of one state change by number of
// endpoints: ns/op is the time until a snapshot that contains it is published or,
// for loads, the mean time to apply one report.
func BenchmarkControlEvents(b *testing.B) {
	for _, n := range []int{750, 3000, 12_000} {
		hosts := manyHosts(n)
		b.Run(fmt.Sprintf("change/endpoints=%d", n), func(b *testing.B) {
			c, post := startController(b, hosts)
			for i := range b.N {
				version := identity.Version(i + 2)
				post(controller.ConfigurationUpdate{Configuration: configuration.Configuration{Version: version}})
				awaitVersion(c, version)
			}
		})
		b.Run(fmt.Sprintf("host_list/endpoints=%d", n), func(b *testing.B) {
			c, post := startController(b, hosts)
			for i := range b.N {
				version := identity.Version(i + 2)
				post(controller.HostListUpdate{ReceivedAt: time.Now(), Hosts: hosts})
				post(controller.ConfigurationUpdate{Configuration: configuration.Configuration{Version: version}})
				awaitVersion(c, version)
			}
		})
		b.Run(fmt.Sprintf("load/endpoints=%d", n), func(b *testing.B) {
			c, post := startController(b, hosts)
			for i := range b.N {
				h := hosts[i%n]
				post(controller.LoadUpdate{ReceivedAt: time.Now(), Host: h.ID, Report: engine.LoadReport{Incarnation: h.Incarnation, Running: i}})
			}
			post(controller.ConfigurationUpdate{Configuration: configuration.Configuration{Version: 2}})
			awaitVersion(c, 2)
		})
	}
}

// startController starts a controller that has received the host list hosts.
func startController(b *testing.B, hosts []cloud.Host) (*controller.Controller, func(controller.Event)) {
	ctx, cancel := context.WithCancel(context.Background())
	c := controller.New("entry", "z0")
	done := make(chan error, 1)
	group.Go(func() error { done <- c.Run(ctx); return nil })
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	})
	post := func(e controller.Event) { c.Post(ctx, e) }
	post(controller.HostListUpdate{ReceivedAt: time.Now(), Hosts: hosts})
	post(controller.ConfigurationUpdate{Configuration: configuration.Configuration{Version: 1}})
	awaitVersion(c, 1)
	b.ResetTimer()
	return c, post
}
