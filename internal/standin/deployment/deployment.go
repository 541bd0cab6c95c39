package deployment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/standin/cloud"
	"github.com/dandelionlift/dandelionlift/internal/standin/engine"
	"github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/ledger"
	"github.com/dandelionlift/dandelionlift/internal/standin/weights"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// defaultLoadsPerSecond is the weight store's rate limit if none is set.
const defaultLoadsPerSecond = 2

// Deployment is a set of running stand-ins.
type Deployment struct {
	KeyValue *keyvalue.Service
	Cloud    *cloud.Cloud
	// Models and Filings record the work that the endpoints executed.
	Models  *engine.Records
	Filings *ledger.Records

	settings Settings
	log      *slog.Logger
	group    *errgroup.Group
	ctx      context.Context

	mu          sync.Mutex
	servers     map[identity.Host]*http.Server
	engines     map[identity.Host]*engine.Engine
	kinds       map[identity.Service]configuration.Kind
	launchCount int
	// billedPeriods has an entry for each endpoint ever started.
	billedPeriods map[identity.Host]billedPeriod
}

// Start starts all stand-ins of the settings, which serve until ctx ends.
func Start(ctx context.Context, settings Settings, log *slog.Logger) (*Deployment, error) {
	group, ctx := errgroup.WithContext(ctx)
	d := &Deployment{
		KeyValue:      keyvalue.New(),
		Cloud:         cloud.New(),
		Models:        engine.NewRecords(),
		Filings:       ledger.NewRecords(),
		settings:      settings,
		log:           log,
		group:         group,
		ctx:           ctx,
		servers:       make(map[identity.Host]*http.Server),
		engines:       make(map[identity.Host]*engine.Engine),
		kinds:         make(map[identity.Service]configuration.Kind),
		billedPeriods: make(map[identity.Host]billedPeriod),
	}
	d.Cloud.ListLag = time.Duration(settings.ListLag)
	d.Cloud.Launch = d.launch
	d.Cloud.Terminate = d.end
	if err := d.startPlatform(); err != nil {
		return nil, err
	}
	for _, e := range settings.Endpoints {
		d.kinds[e.Service] = e.Kind
		host, err := d.startEndpoint(e)
		if err != nil {
			return nil, err
		}
		d.Cloud.Add(host)
	}
	for _, h := range settings.EntryHosts {
		d.Cloud.Add(wire.Host{ID: h.Host, Zone: h.Zone, Address: h.Address, State: wire.Live})
	}
	return d, nil
}

// Wait waits until the context has ended and all servers are closed.
func (d *Deployment) Wait() error {
	return d.group.Wait()
}

// Engine returns the running model engine of host.
func (d *Deployment) Engine(host identity.Host) (*engine.Engine, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.engines[host]
	return e, ok
}

// startPlatform starts the key-value service, the cloud API and the weight store.
func (d *Deployment) startPlatform() error {
	perSecond := d.settings.LoadsPerSecond
	if perSecond == 0 {
		perSecond = defaultLoadsPerSecond
	}
	store := weights.Store{Limit: rate.NewLimiter(rate.Limit(perSecond), 1)}
	cloudRouter := mux.NewRouter()
	cloudRouter.HandleFunc("/standin/records", d.records).Methods(http.MethodGet)
	cloudRouter.PathPrefix("/").Handler(d.Cloud.Handler())
	if _, _, err := d.serve(d.settings.KeyValue, d.KeyValue.Handler()); err != nil {
		return err
	}
	if _, _, err := d.serve(d.settings.Cloud, cloudRouter); err != nil {
		return err
	}
	_, _, err := d.serve(d.settings.Weights, store.Handler())
	return err
}

// Records is the work that the endpoints executed.
type Records struct {
	Models engine.Totals `json:"models"`
	// Filings maps each filing to the number of its executions.
	Filings map[string]int `json:"filings"`
}

// records serves Records.
func (d *Deployment) records(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(Records{Models: d.Models.Totals(), Filings: d.Filings.All()})
}

// serve starts a server, which runs until the context ends or it is closed, and
// returns it with the address that it listens on.
func (d *Deployment) serve(address netip.AddrPort, handler http.Handler) (*http.Server, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("start stand-in on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler}
	d.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	d.group.Go(func() error {
		<-d.ctx.Done()
		return server.Close()
	})
	return server, listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

// startEndpoint starts a model engine or a ledger and returns its entry for the
// host list.
func (d *Deployment) startEndpoint(e Endpoint) (wire.Host, error) {
	incarnation := identity.NewIncarnation()
	var handler http.Handler
	var model *engine.Engine
	if e.Kind == configuration.Plain {
		l := &ledger.Ledger{Incarnation: incarnation, Records: d.Filings, CallTime: ledgerCallTime}
		handler = l.Handler()
	} else {
		model = engine.New(e.Service, incarnation, d.settings.Speed.engineSpeed(), d.Models)
		model.ChecksFence = !e.IgnoresFence
		handler = model.Handler()
	}
	server, address, err := d.serve(e.Listen, handler)
	if err != nil {
		return wire.Host{}, err
	}
	d.mu.Lock()
	d.servers[e.Host] = server
	d.billedPeriods[e.Host] = billedPeriod{zone: e.Zone, class: e.Class, reclaimable: e.Reclaimable, started: time.Now()}
	if model != nil {
		d.engines[e.Host] = model
	}
	d.mu.Unlock()
	if e.Advertise.IsValid() {
		address = e.Advertise
	}
	return wire.Host{
		ID: e.Host, Incarnation: incarnation, Zone: e.Zone, Class: e.Class, Reclaimable: e.Reclaimable,
		Service: e.Service, Address: address, State: wire.Live, ChecksFence: !e.IgnoresFence,
	}, nil
}

// ledgerCallTime is the duration of a call to a ledger.
const ledgerCallTime = 5 * time.Millisecond

// launch starts a host for the cloud API. That takes the StartTime of the
// settings.
func (d *Deployment) launch(request wire.StartRequest) (wire.Host, error) {
	d.mu.Lock()
	d.launchCount++
	name := identity.Host(fmt.Sprintf("%s-spare-%d", request.Zone, d.launchCount))
	kind := d.kinds[request.Service]
	d.mu.Unlock()
	time.Sleep(time.Duration(d.settings.StartTime))
	host, err := d.startEndpoint(Endpoint{
		Host: name, Zone: request.Zone, Class: request.Class, Reclaimable: request.Reclaimable,
		Service: request.Service, Kind: kind, Listen: netip.AddrPortFrom(d.settings.SpareAddress, 0),
	})
	host.Tag = request.Tag
	return host, err
}

// end closes the listener and all connections of a host's endpoint.
func (d *Deployment) end(host identity.Host) {
	d.mu.Lock()
	server := d.servers[host]
	delete(d.servers, host)
	delete(d.engines, host)
	d.endBilling(host)
	d.mu.Unlock()
	if server != nil {
		server.Close()
		d.log.Info("host_ended", "host", host)
	}
}
