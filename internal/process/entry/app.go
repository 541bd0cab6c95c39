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
	"github.com/dandelionlift/dandelionlift/internal/process/claimer"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/operator"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

const (
	hostsEvery   = 2 * time.Second
	noticesEvery = 500 * time.Millisecond
	loadsEvery   = time.Second
	// stopTimeout must outlast any answer; fx's own default would cut requests.
	stopTimeout  = 30 * time.Minute
	startTimeout = 30 * time.Second
)

// Options is what an entry host starts from.
type Options struct {
	Settings  settings.Entry
	Bootstrap configuration.Configuration
	Log       *slog.Logger
	// StopNow, when closed, ends the wait of a stop: what is left is handed over
	// or cut. The context of a stop won't do, as fx abandons its hooks with it.
	StopNow <-chan struct{}
}

// App builds an entry host; start and stop it as any fx.App.
func App(options Options) *fx.App {
	return fx.New(
		fx.Supply(options, options.Settings, options.Log),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(stopTimeout),
		fx.StartTimeout(startTimeout),
		fx.Provide(
			newLifetime, newClients, meter.New, newController, newWatcher, newJournal, newServer, newOperator, newRouter,
			peer.NewRouter, newMembers, newBudget, newCommandBudget, newLease, newClaimer,
			newReclaim, newPoller, newGate, newReplacement, newLoader,
		),
		fx.Invoke(runControl, runClaims, runPeers, runLease, runReclaim, runReplacement, runRouting, runFront),
	)
}

// lifetime is the group of everything that runs, and the context that ends it.
type lifetime struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  *errgroup.Group
}

func newLifetime() lifetime {
	ctx, cancel := context.WithCancel(context.Background())
	return lifetime{ctx: ctx, cancel: cancel, group: new(errgroup.Group)}
}

// clients are the connections to the platform and endpoints.
type clients struct {
	fx.Out

	Cloud    cloud.Client
	KeyValue keyvalue.Client
	Commands commandClient
	Engine   engine.Client
}

func newClients(s settings.Entry, budget *keyvalue.Budget, commands commandBudget, m *meter.Meter) clients {
	service := keyvalue.HTTP(s.Platform.KeyValue, platformTransport(m, "key_value"))
	platform := &http.Client{Transport: platformTransport(m, "cloud")}
	return clients{
		Cloud:    cloud.HTTP(s.Platform.Cloud, platform),
		KeyValue: budget.Limit(service),
		Commands: commandClient{commands.Limit(service)},
		Engine:   engine.New(nil),
	}
}

func newController(s settings.Entry) *controller.Controller {
	return controller.New(s.Host, s.Zone)
}

func newWatcher(c *controller.Controller, api cloud.Client, m *meter.Meter, log *slog.Logger, server *Server) controller.Watcher {
	return controller.Watcher{
		Notice:     server.noticed,
		Controller: c, Cloud: api, Engine: engine.New(m.Dial("loads")), Log: log,
		HostsEvery: hostsEvery, NoticesEvery: noticesEvery, LoadsEvery: loadsEvery,
	}
}

func newServer(l lifetime, s settings.Entry, c *controller.Controller, e engine.Client, m *meter.Meter, log *slog.Logger, claims *claimer.Claimer, members *member.Members) *Server {
	server := New(l.ctx, l.group, s, WithSnapshot(c.Snapshot), WithLog(log), WithMeter(m), WithClaims(ClaimsOf(claims)))
	server.Engine = e
	server.Engine.Pace = server.pace
	WithPeers(Peers{Self: s.Host, Zone: s.Zone, Live: members.Live, Client: peer.Connect(s.Peer.Keys, m.Dial("handover"))})(server)
	return server
}

func newRouter(s *Server, o operator.Operator) *mux.Router {
	router := mux.NewRouter()
	s.Routes(router)
	o.Routes(router)
	return router
}

// runControl starts what learns about the deployment, and ends it last.
func runControl(lc fx.Lifecycle, l lifetime, options Options, c *controller.Controller, w controller.Watcher, j *journal.Journal) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l.group.Go(func() error { return c.Run(l.ctx) })
			l.group.Go(func() error { return w.Run(l.ctx) })
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

// runFront serves callers, and on stop drains before it closes.
func runFront(lc fx.Lifecycle, l lifetime, options Options, s *Server, router *mux.Router) {
	front := &http.Server{Handler: router, ReadHeaderTimeout: readHeaderTimeout}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			return listen(l.group, front, options.Settings.Listen)
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
				return errors.Join(err, closeSoon(front))
			}
			return front.Shutdown(ctx)
		},
	})
}

const (
	readHeaderTimeout = 10 * time.Second
	// lastWords is how long callers are given to take what is written.
	lastWords = time.Second
)

// closeSoon lets callers read where their answer goes on, and then cuts.
func closeSoon(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), lastWords)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		return server.Close()
	}
	return nil
}

// listen serves on an address until the server is closed.
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
