package journal_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"

	standin "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

var (
	serviceAddress = netip.MustParseAddrPort("10.9.0.1:7001")
	hostAddress    = netip.MustParseAddr("10.0.0.1")
)

// start runs the key-value stand-in and gives a client for it.
func start(n *network.Network, service *standin.Service) (keyvalue.Client, func()) {
	server := &http.Server{Handler: service.Handler()}
	group := new(errgroup.Group)
	l := n.Listen(serviceAddress)
	group.Go(func() error { return server.Serve(l) })
	transport := &http.Transport{DialContext: n.Dial(hostAddress)}
	return keyvalue.HTTP(serviceAddress, transport), func() {
		transport.CloseIdleConnections()
		server.Close()
		_ = group.Wait()
	}
}

func addZone(id identity.Zone) func(configuration.Configuration) (configuration.Configuration, error) {
	return func(c configuration.Configuration) (configuration.Configuration, error) {
		c.Zones = append(c.Zones, configuration.Zone{ID: id, Region: "r"})
		return c, nil
	}
}

func proposal(i int) journal.Proposal {
	return journal.Proposal{
		Command: identity.Command(fmt.Sprint("command-", i)), Operator: "amal", Line: fmt.Sprint("add zone ", i),
		Change: addZone(identity.Zone(fmt.Sprint("z", i))),
	}
}

func quiet(kv keyvalue.Client) journal.Journal {
	return journal.Journal{
		KeyValue: kv, Log: slog.New(slog.DiscardHandler),
		Adopt: func(context.Context, configuration.Configuration) {},
	}
}

func TestCommandRunsOnceThoughItsAnswerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := standin.New()
		kv, stop := start(network.New(), service)
		defer stop()
		j := quiet(kv)
		qt.Assert(t, j.Bootstrap(t.Context(), configuration.Configuration{}), qt.IsNil)
		service.SetFaults(standin.Faults{LoseAnswerEvery: 1})
		first, err := j.Propose(t.Context(), proposal(1))
		qt.Assert(t, err, qt.IsNil)
		again, err := j.Propose(t.Context(), proposal(1))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again.Version, qt.Equals, first.Version)
		qt.Assert(t, again.Zones, qt.HasLen, 1)
	})
}

func TestCommandLearnsWhoCameFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv, stop := start(network.New(), standin.New())
		defer stop()
		j := quiet(kv)
		qt.Assert(t, j.Bootstrap(t.Context(), configuration.Configuration{}), qt.IsNil)
		first, second := proposal(1), proposal(2)
		first.IfVersion, second.IfVersion, second.Operator = 1, 1, "bert"
		_, err := j.Propose(t.Context(), first)
		qt.Assert(t, err, qt.IsNil)
		_, err = j.Propose(t.Context(), second)
		var conflict *journal.Conflict
		qt.Assert(t, errors.As(err, &conflict), qt.IsTrue)
		qt.Assert(t, conflict.Operator, qt.Equals, "amal")
		qt.Assert(t, conflict.Line, qt.Equals, "add zone 1")
	})
}
