package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/peer"
	"github.com/dandelionlift/dandelionlift/internal/process/claimer"
	"github.com/dandelionlift/dandelionlift/internal/process/entry"
	"github.com/dandelionlift/dandelionlift/internal/process/member"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	standinengine "github.com/dandelionlift/dandelionlift/internal/standin/engine"
	standinkv "github.com/dandelionlift/dandelionlift/internal/standin/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/standin/ledger"
	"github.com/dandelionlift/dandelionlift/internal/standin/network"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	callerKey = "key"
	// callerTimeout bounds a call whose connection goes silent.
	callerTimeout = 2 * time.Minute
)

var platformAddress = netip.MustParseAddrPort("10.9.0.1:7001")

// deployment holds entry hosts, endpoints and the key-value service on one
// simulated network.
type deployment struct {
	ctx           context.Context
	cancel        context.CancelFunc
	network       *network.Network
	keyValue      *standinkv.Service
	engines       []*standinengine.Engine
	engineRecords *standinengine.Records
	// cancels counts cancel requests to engines.
	cancels atomic.Int64
	// filings records the filings: POSTs to a ledger, which may not be repeated.
	// Lookups are GETs, which may.
	filings  *ledger.Records
	snapshot atomic.Pointer[fleet.Snapshot]
	// ranRequests holds the ids of the requests that ledgers ran.
	ranRequests sync.Map
	// engineWriter, if set, replaces the writer of an engine's answer.
	engineWriter func(w http.ResponseWriter, r *http.Request) http.ResponseWriter
	// ledgerHook, if set, is called before a ledger handles a call. It returns
	// true if it has answered the call itself.
	ledgerHook  func(w http.ResponseWriter, r *http.Request) bool
	hosts       []*host
	servers     []*http.Server
	transports  []*http.Transport
	peers       []member.Peer
	peerClients []*http.Client
	claimers    []*claimer.Claimer
	group       errgroup.Group
}

// host is one entry host.
type host struct {
	server  *entry.Server
	address netip.AddrPort
}

// hostMutation introduces a fault into an entry host, which tests must detect.
type hostMutation func(s *entry.Server, c entry.Claims) entry.Claims

func newDeployment(hostCount, engineCount, ledgerCount int, mutate hostMutation) *deployment {
	d := &deployment{
		network: network.New(), keyValue: standinkv.New(),
		engineRecords: standinengine.NewRecords(), filings: ledger.NewRecords(),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.serve(platformAddress, d.keyValue.Handler())
	var endpoints []fleet.Endpoint
	for i := range engineCount {
		e := standinengine.New("model", identity.Incarnation(fmt.Sprint("engine-", i)), standinengine.DefaultSpeed, d.engineRecords)
		d.engines = append(d.engines, e)
		endpoints = append(endpoints, d.endpoint(i, "model", e.Incarnation, d.countCancels(e.Handler())))
	}
	for i := range ledgerCount {
		l := &ledger.Ledger{Incarnation: identity.Incarnation(fmt.Sprint("ledger-", i)), Records: d.filings, CallTime: 50 * time.Millisecond}
		endpoints = append(endpoints, d.endpoint(100+i, "ledger", l.Incarnation, d.hookLedger(l.Handler())))
	}
	d.publish(endpoints)
	for i := range hostCount {
		d.addHost(i, mutate)
	}
	return d
}

func (d *deployment) hookLedger(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.ledgerHook == nil || !d.ledgerHook(w, r) {
			d.ranRequests.Store(r.Header.Get(engine.RequestHeader), true)
			next.ServeHTTP(w, r)
		}
	})
}

func (d *deployment) countCancels(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.CancelPath {
			d.cancels.Add(1)
		}
		if d.engineWriter != nil {
			w = d.engineWriter(w, r)
		}
		next.ServeHTTP(w, r)
	})
}

func (d *deployment) serve(address netip.AddrPort, handler http.Handler) {
	server := &http.Server{Handler: handler}
	d.servers = append(d.servers, server)
	listener := d.network.Listen(address)
	d.group.Go(func() error { return server.Serve(listener) })
}

func (d *deployment) endpoint(i int, service identity.Service, incarnation identity.Incarnation, handler http.Handler) fleet.Endpoint {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 80)
	d.serve(address, handler)
	return fleet.Endpoint{
		Host: identity.Host(fmt.Sprintf("%s-%03d", service, i)), Incarnation: incarnation, Address: address,
		Service: service, Zone: "zone", Class: "small", Reclaimable: true,
	}
}

func (d *deployment) publish(endpoints []fleet.Endpoint) {
	keyHash := sha256.Sum256([]byte(callerKey))
	d.snapshot.Store(fleet.New("entry", "zone", configuration.Configuration{
		Version: 1,
		Zones:   []configuration.Zone{{ID: "zone", Region: "region"}},
		Services: []configuration.Service{
			{ID: "ledger", Kind: configuration.Plain, RetryShare: 0.1, CallRules: []configuration.CallRule{
				{Method: http.MethodGet, PathPrefix: "/", Idempotent: true},
			}},
			{ID: "model", Kind: configuration.Model, RetryShare: 0.1},
		},
		Organisations: []configuration.Organisation{
			{ID: "fitters", KeySHA256: []string{hex.EncodeToString(keyHash[:])}, Weight: 1},
		},
	}, endpoints))
}

// markLeaving marks several endpoints as leaving at the same moment.
func (d *deployment) markLeaving(indexes ...int) {
	current := d.snapshot.Load()
	endpoints := append([]fleet.Endpoint(nil), current.Endpoints...)
	for _, i := range indexes {
		endpoints[i].Leaving = true
	}
	d.publish(endpoints)
}

func (d *deployment) newTransport(from netip.Addr) *http.Transport {
	transport := &http.Transport{DialContext: d.network.Dial(from)}
	d.transports = append(d.transports, transport)
	return transport
}

func (d *deployment) addHost(i int, mutate hostMutation) {
	ip := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
	c := claimer.New(keyvalue.HTTP(platformAddress, d.newTransport(ip)))
	c.Log = slog.New(slog.DiscardHandler)
	d.group.Go(func() error { return c.Run(d.ctx) })
	entrySettings := settings.DefaultEntry()
	entrySettings.Host = identity.Host(fmt.Sprint("host-", i))
	entryServer := entry.New(d.ctx, &d.group, entrySettings,
		entry.WithSnapshot(d.snapshot.Load), entry.WithLog(slog.New(slog.DiscardHandler)))
	entryServer.Engine = engine.New(d.network.Dial(ip))
	d.transports = append(d.transports, entryServer.Engine.HTTP.Transport.(*http.Transport))
	claims := entry.ClaimsOf(c)
	if mutate != nil {
		claims = mutate(entryServer, claims)
	}
	entry.WithClaims(claims)(entryServer)
	d.connectPeers(i, entryServer, c, ip)
	router := mux.NewRouter()
	entryServer.Routes(router)
	h := &host{server: entryServer, address: netip.AddrPortFrom(ip, 8080)}
	d.hosts = append(d.hosts, h)
	d.serve(h.address, router)
}

// connectPeers connects an entry host with the others. All are in one zone.
func (d *deployment) connectPeers(i int, entryServer *entry.Server, c *claimer.Claimer, ip netip.Addr) {
	keys := peer.Keys{"peer"}
	self := member.Peer{Host: identity.Host(fmt.Sprint("host-", i)), Zone: "zone", Address: netip.AddrPortFrom(ip, 8081)}
	d.peers = append(d.peers, self)
	client := peer.NewClient(keys, d.network.Dial(ip))
	d.peerClients = append(d.peerClients, client)
	peers := entry.Peers{
		Self: self.Host, Zone: self.Zone, Client: client, Live: func() []member.Peer { return d.peers },
	}
	entry.WithPeers(peers)(entryServer)
	c.Forward = entry.ForwardClaims(peers)
	d.claimers = append(d.claimers, c)
	router := peer.NewRouter()
	entryServer.MountHandover(router)
	entry.MountClaims(router, c)
	peerServer := peer.NewServer(router, keys)
	d.servers = append(d.servers, peerServer)
	listener := d.network.Listen(self.Address)
	d.group.Go(func() error { return peerServer.Serve(listener) })
}

// stop ends everything, and waits for late answers.
func (d *deployment) stop() {
	d.cancel()
	for _, p := range d.transports {
		p.CloseIdleConnections()
	}
	for _, c := range d.peerClients {
		c.CloseIdleConnections()
	}
	for _, s := range d.servers {
		s.Close()
	}
	_ = d.group.Wait()
	time.Sleep(5 * time.Minute)
}

// reply is the response that a caller received.
type reply struct {
	status  int
	body    string
	request string
	verdict string
	reason  string
	// retryAfter is in seconds, or empty.
	retryAfter string
	err        error
}

// call makes one call from the address of the given caller.
func (d *deployment) call(caller int, h *host, method, path, key, body string) reply {
	return d.callWith(caller, h, method, path, http.Header{"Idempotency-Key": {key}}, body)
}

func (d *deployment) callWith(caller int, h *host, method, path string, header http.Header, body string) reply {
	transport := &http.Transport{DialContext: d.network.Dial(netip.AddrFrom4([4]byte{10, 5, 0, byte(caller)})), DisableKeepAlives: true}
	ctx, cancel := context.WithTimeout(d.ctx, callerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+h.address.String()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.GetBody = nil
	request.Header = header
	request.Header.Set("Authorization", "Bearer "+callerKey)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	result := reply{status: response.StatusCode, body: string(text), err: err}
	result.retryAfter = response.Header.Get("Retry-After")
	result.request = response.Header.Get(engine.RequestHeader)
	var problem struct{ Verdict, Reason string }
	if response.Header.Get("Content-Type") == "application/problem+json" && json.Unmarshal(text, &problem) == nil {
		result.verdict, result.reason = problem.Verdict, problem.Reason
	}
	return result
}

// complete makes a model call and returns the text of its answer.
func (d *deployment) complete(caller int, h *host, prompt string, tokens int) (string, reply) {
	body := fmt.Sprintf(`{"model":"model","prompt":%q,"max_tokens":%d}`, prompt, tokens)
	result := d.call(caller, h, http.MethodPost, "/v1/completions", "", body)
	return completionText(result.body), result
}

func completionText(body string) string {
	var answer struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal([]byte(body), &answer); err != nil || len(answer.Choices) == 0 {
		return ""
	}
	return answer.Choices[0].Text
}
