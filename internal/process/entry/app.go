package entry

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/connection/server"
	"github.com/dandelionlift/dandelionlift/internal/process/claimer"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/process/loss"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/operator"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	hostPollInterval   = 2 * time.Second
	noticePollInterval = 500 * time.Millisecond
	loadPollInterval   = time.Second
	// stopTimeout must exceed the duration of any request: fx's default of 15 s
	// would cut requests off.
	stopTimeout  = 30 * time.Minute
	startTimeout = 30 * time.Second
)

// Options configures an entry host.
type Options struct {
	Settings  settings.Entry
	Bootstrap configuration.Configuration
	Log       *slog.Logger
	// StopNow, when closed, ends the drain of a planned stop early: unfinished
	// requests are handed over to peers or cut off. Cancelling the context of
	// the stop does not work for this, since fx then abandons its stop hooks.
	StopNow <-chan struct{}
}

// App builds an entry host. Start and stop it like any fx.App.
func App(options Options) *fx.App {
	return fx.New(
		fx.Supply(options, options.Settings, options.Log),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.StartTimeout(startTimeout),
		fx.Provide(
			newLifetime, newClients, meter.New, newController, newPlatformPoller, newJournal, newServer, newOperator, newRouter,
			peer.NewRouter, newMembers, newBudget, newCommandBudget, newLease, newClaimer,
			newReclaim, newPrefixPoller, newAdmissionControl, newReplacement, newLoader,
		),
		fx.Invoke(runControlPlane, runClaims, runPeers, runLease, runReclaim, runReplacement, runRouting, runPublicServer),
	)
}

// lifetime holds the group of all background goroutines and the context that
// ends them.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  *errgroup.Group
}

func newLifetime() lifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return lifetime{ctx: ctx, cancel: cancel, group: new(errgroup.Group)}
}

// clients provides the clients of the platform's services and of endpoints.
type clients struct {
	fx.Out

	Cloud    cloud.Client
	KeyValue keyvalue.Client
	Commands commandClient
	Engine   engine.Client
}

func newClients(s settings.Entry, budget *keyvalue.Budget, commands commandBudget, m *meter.Meter) clients {
	keyValue := keyvalue.HTTP(s.Platform.KeyValue, platformTransport(m, "key_value"))
	cloudClient := &http.Client{Transport: platformTransport(m, "cloud")}
	return clients{
		Cloud:    cloud.HTTP(s.Platform.Cloud, cloudClient),
		KeyValue: budget.Limit(keyValue),
		Commands: commandClient{commands.Limit(keyValue)},
		Engine:   engine.New(nil),
	}
}

func newController(s settings.Entry) *controller.Controller {
	return controller.New(s.Host, s.Zone)
}

func newPlatformPoller(c *controller.Controller, api cloud.Client, m *meter.Meter, log *slog.Logger, server *Server) controller.Poller {
	return controller.Poller{
		OnNotice:   server.onNotice,
		Controller: c, Cloud: api, Engine: engine.New(m.Dial("loads")), Log: log,
		HostsInterval: hostPollInterval, NoticesInterval: noticePollInterval, LoadsInterval: loadPollInterval,
	}
}

func newServer(l lifetime, s settings.Entry, c *controller.Controller, e engine.Client, m *meter.Meter, log *slog.Logger, claims *claimer.Claimer, members *member.Members) *Server {
	entryServer := New(l.ctx, l.group, s, WithSnapshot(c.Snapshot), WithLog(log), WithMeter(m), WithClaims(ClaimsOf(claims)))
	entryServer.Engine = e
	entryServer.Engine.MinReadInterval = entryServer.readInterval
	entryServer.OnLeaving = func(id identity.Incarnation) { entryServer.postLeaving(c, id) }
	WithPeers(Peers{Self: s.Host, Zone: s.Zone, Live: members.Live, Client: peer.NewClient(s.Peer.Keys, m.Dial("handover"))})(entryServer)
	return entryServer
}

func newRouter(s *Server, in operator.Interpreter) *mux.Router {
	router := mux.NewRouter()
	s.Routes(router)
	in.RegisterRoutes(router)
	return router
}

// runControlPlane starts the goroutines that track the state of the deployment. Its
// stop hook runs last and ends all background goroutines.
func runControlPlane(lc fx.Lifecycle, l lifetime, options Options, c *controller.Controller, p controller.Poller, j *journal.Journal) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l.group.Go(func() error { return c.Run(l.ctx) })
			l.group.Go(func() error { return p.Run(l.ctx) })
			l.group.Go(func() error { return bootstrap(l.ctx, options, j) })
			l.group.Go(func() error { return j.Run(l.ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			l.cancel()
			return l.group.Wait()
		},
	})
}

// runPublicServer serves callers. A stop drains the server before closing it.
func runPublicServer(lc fx.Lifecycle, l lifetime, options Options, s *Server, router *mux.Router, m *meter.Meter) {
	var public *server.Server
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(options.Settings.Listen))
			if err != nil {
				return fmt.Errorf("listen on %s: %w", options.Settings.Listen, err)
			}
			losses := loss.New(m, options.Log)
			public = server.New(&http.Server{Handler: s.Handler(router), ReadHeaderTimeout: readHeaderTimeout}, listener, server.WithOnLost(losses.Record))
			l.group.Go(public.Serve)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			l.group.Go(func() error {
				select {
				case <-options.StopNow:
				case <-ctx.Done():
				}
				cancel()
				return nil
			})
			if err := s.Drain(ctx); err != nil {
				return errors.Join(err, stopWithGrace(public))
			}
			return public.Stop(ctx)
		},
	})
}

const (
	readHeaderTimeout = 10 * time.Second
	// closeGracePeriod is the time callers have to read what was written.
	closeGracePeriod = time.Second
)

// stopWithGrace closes all connections after a short grace period, in which callers can
// read that their answer continues on another host.
func stopWithGrace(public *server.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeGracePeriod)
	defer cancel()
	if err := public.Stop(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}

// listen opens a listener on address and serves it in group until server is closed.
func listen(group *errgroup.Group, server *http.Server, address netip.AddrPort) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}
