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

const defaultLoadsPerSecond = 2

// Deployment is the running stand-ins.
type Deployment struct {
	KeyValue *keyvalue.Service
	Cloud    *cloud.Cloud
	// Models and Filings are what the endpoints really did.
	Models  *engine.Records
	Filings *ledger.Records

	settings Settings
	log      *slog.Logger
	group    *errgroup.Group
	ctx      context.Context

	mu      sync.Mutex
	servers map[identity.Host]*http.Server
	engines map[identity.Host]*engine.Engine
	kinds   map[identity.Service]configuration.Kind
	spares  int
	// lives holds one entry for each endpoint that was ever started.
	lives map[identity.Host]life
}

// Start listens on every address of the settings and serves until ctx ends.
func Start(ctx context.Context, settings Settings, log *slog.Logger) (*Deployment, error) {
	group, ctx := errgroup.WithContext(ctx)
	d := &Deployment{
		KeyValue: keyvalue.New(),
		Cloud:    cloud.New(),
		Models:   engine.NewRecords(),
		Filings:  ledger.NewRecords(),
		settings: settings,
		log:      log,
		group:    group,
		ctx:      ctx,
		servers:  make(map[identity.Host]*http.Server),
		engines:  make(map[identity.Host]*engine.Engine),
		kinds:    make(map[identity.Service]configuration.Kind),
		lives:    make(map[identity.Host]life),
	}
	d.Cloud.ListLag = time.Duration(settings.ListLag)
	d.Cloud.Launch = d.launch
	d.Cloud.End = d.end
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

// Wait returns when the context has ended and all servers are closed.
func (d *Deployment) Wait() error {
	return d.group.Wait()
}

// Engine finds a running model engine.
func (d *Deployment) Engine(host identity.Host) (*engine.Engine, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.engines[host]
	return e, ok
}

func (d *Deployment) startPlatform() error {
	perSecond := d.settings.LoadsPerSecond
	if perSecond == 0 {
		perSecond = defaultLoadsPerSecond
	}
	store := weights.Store{Limit: rate.NewLimiter(rate.Limit(perSecond), 1)}
	front := mux.NewRouter()
	front.HandleFunc("/standin/records", d.records).Methods(http.MethodGet)
	front.PathPrefix("/").Handler(d.Cloud.Handler())
	if _, _, err := d.serve(d.settings.KeyValue, d.KeyValue.Handler()); err != nil {
		return err
	}
	if _, _, err := d.serve(d.settings.Cloud, front); err != nil {
		return err
	}
	_, _, err := d.serve(d.settings.Weights, store.Handler())
	return err
}

// Records is what the endpoints really did.
type Records struct {
	Models engine.Totals `json:"models"`
	// Filings gives how often each filing ran.
	Filings map[string]int `json:"filings"`
}

// records answers with what the endpoints really did.
func (d *Deployment) records(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(Records{Models: d.Models.Totals(), Filings: d.Filings.All()})
}

// serve runs a server until the context ends or the server is closed.
func (d *Deployment) serve(address netip.AddrPort, handler http.Handler) (*http.Server, netip.AddrPort, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, netip.AddrPort{}, fmt.Errorf("stand-in on %s: %w", address, err)
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

func (d *Deployment) startEndpoint(e Endpoint) (wire.Host, error) {
	incarnation := identity.NewIncarnation()
	var handler http.Handler
	var model *engine.Engine
	if e.Kind == configuration.Plain {
		l := &ledger.Ledger{Incarnation: incarnation, Records: d.Filings, Work: ledgerWork}
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
	d.lives[e.Host] = life{zone: e.Zone, class: e.Class, reclaimable: e.Reclaimable, started: time.Now()}
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

const ledgerWork = 5 * time.Millisecond

// launch starts a host that the cloud was asked for.
func (d *Deployment) launch(start wire.Start) (wire.Host, error) {
	d.mu.Lock()
	d.spares++
	name := identity.Host(fmt.Sprintf("%s-spare-%d", start.Zone, d.spares))
	kind := d.kinds[start.Service]
	d.mu.Unlock()
	time.Sleep(time.Duration(d.settings.StartTime))
	host, err := d.startEndpoint(Endpoint{
		Host: name, Zone: start.Zone, Class: start.Class, Reclaimable: start.Reclaimable,
		Service: start.Service, Kind: kind, Listen: netip.AddrPortFrom(d.settings.SpareAddress, 0),
	})
	host.Tag = start.Tag
	return host, err
}

// end closes a host's listener and every connection to it.
func (d *Deployment) end(host identity.Host) {
	d.mu.Lock()
	server := d.servers[host]
	delete(d.servers, host)
	delete(d.engines, host)
	d.endLife(host)
	d.mu.Unlock()
	if server != nil {
		server.Close()
		d.log.Info("host_ended", "host", host)
	}
}
