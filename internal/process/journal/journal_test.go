package journal_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	standin "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// withDeployment runs body with a deployment in which the first version is written.
func withDeployment(t *testing.T, body func(t *testing.T, d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(nil)
		defer d.stop()
		d.hosts[0].bootstrap(t.Context())
		time.Sleep(5 * time.Second)
		body(t, d)
	})
}

func propose(t *testing.T, h *host, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		_, err := h.journal.Propose(t.Context(), proposal(i))
		qt.Assert(t, err, qt.IsNil, qt.Commentf("proposal %d", i))
	}
}

func TestCommandRunsOnceThoughItsAnswerIsLost(t *testing.T) {
	withDeployment(t, func(t *testing.T, d *deployment) {
		d.service.SetFaults(standin.Faults{LoseAnswerEvery: 1})
		first, err := d.hosts[0].journal.Propose(t.Context(), proposal(1))
		qt.Assert(t, err, qt.IsNil)
		again, err := d.hosts[4].journal.Propose(t.Context(), proposal(1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Version, qt.Equals, first.Version)
		qt.Assert(t, again.Zones, qt.HasLen, 1)
	})
}

func TestCommandLearnsWhoCameFirst(t *testing.T) {
	withDeployment(t, func(t *testing.T, d *deployment) {
		first, second := proposal(1), proposal(2)
		first.IfVersion, second.IfVersion, second.Operator = 1, 1, "bert"
		_, err := d.hosts[0].journal.Propose(t.Context(), first)
		qt.Assert(t, err, qt.IsNil)
		_, err = d.hosts[3].journal.Propose(t.Context(), second)
		var conflict *journal.Conflict
		qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
		qt.Assert(t, conflict.Operator, qt.Equals, "amal")
		qt.Assert(t, conflict.Line, qt.Equals, "add zone 1")
	})
}

func TestConfigIsInForceEverywhereWithinSeconds(t *testing.T) {
	withDeployment(t, func(t *testing.T, d *deployment) {
		propose(t, d.hosts[5], 0, 1)
		time.Sleep(9 * time.Second)
		for _, h := range d.hosts {
			qt.Check(t, h.version(), qt.Equals, identity.Version(2))
		}
	})
}

// A burst of commands is committed in few writes, and each operator gets the
// version of its own change.
func TestConfigBurstIsCommittedTogether(t *testing.T) {
	withDeployment(t, func(t *testing.T, d *deployment) {
		before := d.service.Counts().Writes
		var group errgroup.Group
		versions := make([]identity.Version, 30)
		for i := range versions {
			group.Go(func() error {
				c, err := d.hosts[1].journal.Propose(t.Context(), proposal(i))
				versions[i] = c.Version
				return err
			})
		}
		qt.Assert(t, group.Wait(), qt.IsNil)
		seen := make(map[identity.Version]bool)
		for _, v := range versions {
			seen[v] = true
		}
		qt.Assert(t, seen, qt.HasLen, len(versions))
		qt.Assert(t, d.service.Counts().Writes-before <= 4, qt.IsTrue)
	})
}

// The log is compacted while it grows, and both a host that was disconnected and a
// new host end with the same state.
func TestConfigLogIsCompacted(t *testing.T) {
	withDeployment(t, func(t *testing.T, d *deployment) {
		isolated := d.hosts[3].address.Addr()
		d.network.SetRule(func(from, to netip.Addr) network.Path { return network.Path{Lost: from == isolated || to == isolated} })
		propose(t, d.hosts[0], 0, 700)
		values, err := d.hosts[0].kv.List(t.Context(), "configuration/")
		qt.Assert(t, err, qt.IsNil)
		segments, snapshots := 0, 0
		for _, v := range values {
			segments += strings.Count(v.Key, "/segment/")
			snapshots += strings.Count(v.Key, "/snapshot/")
		}
		qt.Check(t, segments <= 2*256/16+1, qt.IsTrue, qt.Commentf("%d segments", segments))
		qt.Check(t, snapshots, qt.Equals, 2)
		head, err := d.hosts[0].kv.Get(t.Context(), journal.HeadKey)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, len(head.Data) < 20_000, qt.IsTrue, qt.Commentf("head of %d bytes", len(head.Data)))
		d.network.SetRule(nil)
		time.Sleep(20 * time.Second)
		newHost := d.start(0, 9)
		defer newHost.stop()
		time.Sleep(20 * time.Second)
		want, digest := d.hosts[0].journal.Version()
		qt.Assert(t, want, qt.Equals, identity.Version(701))
		for _, h := range append(d.hosts, newHost) {
			version, other := h.journal.Version()
			qt.Check(t, version, qt.Equals, want)
			qt.Check(t, other, qt.Equals, digest)
		}
	})
}

func TestConfigTooLargeForAValueIsRefused(t *testing.T) {
	withDeployment(t, func(t *testing.T, d *deployment) {
		p := proposal(1)
		p.Change = addZone(identity.Zone(strings.Repeat("z", keyvalue.MaxValueBytes)))
		_, err := d.hosts[0].journal.Propose(t.Context(), p)
		qt.Assert(t, err, qt.ErrorMatches, ".*too large.*")
		propose(t, d.hosts[0], 2, 3)
	})
}

// A state above the service's value limit is stored in several values, and large
// changes are moved out of the head early.
func TestConfigLargerThanAValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(nil)
		defer d.stop()
		var large configuration.Configuration
		for i := range 300 {
			large.Zones = append(large.Zones, configuration.Zone{ID: identity.Zone(fmt.Sprint(i, strings.Repeat("z", 8000)))})
		}
		qt.Assert(t, d.hosts[0].journal.Bootstrap(t.Context(), large), qt.IsNil)
		for i := range 4 {
			p := proposal(i)
			p.Change = addZone(identity.Zone(fmt.Sprint(i, strings.Repeat("y", 400_000))))
			_, err := d.hosts[0].journal.Propose(t.Context(), p)
			qt.Assert(t, err, qt.IsNil)
		}
		d.network.SetRule(func(from, to netip.Addr) network.Path {
			return network.Path{Lost: from != serviceAddress.Addr() && to != serviceAddress.Addr()}
		})
		newHost := d.start(0, 9)
		defer newHost.stop()
		time.Sleep(20 * time.Second)
		qt.Assert(t, newHost.version(), qt.Equals, identity.Version(5))
	})
}

// While the service is down, a new host gets the configuration from its peers.
func TestConfigOutageColdHostLearnsFromPeers(t *testing.T) {
	withDeployment(t, func(t *testing.T, d *deployment) {
		propose(t, d.hosts[0], 0, 3)
		time.Sleep(9 * time.Second)
		d.service.SetFaults(standin.Faults{Down: true})
		newHost := d.start(1, 9)
		defer newHost.stop()
		time.Sleep(9 * time.Second)
		qt.Assert(t, newHost.version(), qt.Equals, identity.Version(4))
	})
}

// A zone that can reach its peers but not the service gets the configuration from
// its peers.
func TestConfigPartitionFromTheServiceOnly(t *testing.T) {
	withDeployment(t, func(t *testing.T, d *deployment) {
		zone1 := func(a netip.Addr) bool { return a.As4()[1] == 0 && a.As4()[2] == 1 }
		d.network.SetRule(func(from, to netip.Addr) network.Path {
			return network.Path{Lost: (zone1(from) && to == serviceAddress.Addr()) || (zone1(to) && from == serviceAddress.Addr())}
		})
		propose(t, d.hosts[0], 0, 3)
		time.Sleep(9 * time.Second)
		for _, h := range d.hosts {
			qt.Check(t, h.version(), qt.Equals, identity.Version(4))
		}
	})
}

// An older head is reported and not adopted, and no command is committed on top of
// it.
func TestConfigOlderHeadIsNotAdopted(t *testing.T) {
	withDeployment(t, func(t *testing.T, d *deployment) {
		ctx := context.Background()
		propose(t, d.hosts[0], 0, 1)
		old, err := d.hosts[0].kv.Get(ctx, journal.HeadKey)
		qt.Assert(t, err, qt.IsNil)
		propose(t, d.hosts[0], 1, 3)
		time.Sleep(9 * time.Second)
		present, err := d.hosts[0].kv.Get(ctx, journal.HeadKey)
		qt.Assert(t, err, qt.IsNil)
		_, err = d.hosts[0].kv.Put(ctx, journal.HeadKey, keyvalue.Put{Data: old.Data, IfRevision: present.Revision})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(9 * time.Second)
		for _, h := range d.hosts {
			qt.Check(t, h.version(), qt.Equals, identity.Version(4))
		}
		qt.Check(t, d.hosts[0].refused.Load() > 0, qt.IsTrue)
		_, err = d.hosts[2].journal.Propose(ctx, proposal(9))
		qt.Check(t, err, qt.ErrorMatches, ".*older_offered.*")
	})
}
