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
	// callerPatience bounds a call whose connection goes silent.
	callerPatience = 2 * time.Minute
)

var platformAddress = netip.MustParseAddrPort("10.9.0.1:7001")

// deployment is entry hosts, endpoints and the key-value service on one network.
type deployment struct {
	ctx      context.Context
	cancel   context.CancelFunc
	network  *network.Network
	service  *standinkv.Service
	engines  []*standinengine.Engine
	computed *standinengine.Records
	// cancels counts orders to end a request.
	cancels  atomic.Int64
	filed    *ledger.Records
	snapshot atomic.Pointer[fleet.Snapshot]
	// reached holds the ids of requests that ledgers ran.
	reached sync.Map
	// front, if set, sees calls to ledgers first; true means it answered.
	front    func(w http.ResponseWriter, r *http.Request) bool
	hosts    []*host
	servers  []*http.Server
	pools    []*http.Transport
	peers    []member.Peer
	clients  []*http.Client
	claimers []*claimer.Claimer
	group    errgroup.Group
}

// host is one entry host.
type host struct {
	server  *entry.Server
	address netip.AddrPort
}

// variant changes an entry host, for the tests that must catch a broken one.
type variant func(s *entry.Server, c entry.Claims) entry.Claims

func newDeployment(hosts, engines, ledgers int, change variant) *deployment {
	d := &deployment{
		network: network.New(), service: standinkv.New(),
		computed: standinengine.NewRecords(), filed: ledger.NewRecords(),
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.serve(platformAddress, d.service.Handler())
	var endpoints []fleet.Endpoint
	for i := range engines {
		e := standinengine.New("model", identity.Incarnation(fmt.Sprint("engine-", i)), standinengine.DefaultSpeed, d.computed)
		d.engines = append(d.engines, e)
		endpoints = append(endpoints, d.endpoint(i, "model", e.Incarnation, d.counting(e.Handler())))
	}
	for i := range ledgers {
		l := &ledger.Ledger{Incarnation: identity.Incarnation(fmt.Sprint("ledger-", i)), Records: d.filed, Work: 50 * time.Millisecond}
		endpoints = append(endpoints, d.endpoint(100+i, "ledger", l.Incarnation, d.fronted(l.Handler())))
	}
	d.publish(endpoints)
	for i := range hosts {
		d.addHost(i, change)
	}
	return d
}

func (d *deployment) fronted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.front == nil || !d.front(w, r) {
			d.reached.Store(r.Header.Get(engine.RequestHeader), true)
			next.ServeHTTP(w, r)
		}
	})
}

func (d *deployment) counting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == engine.CancelPath {
			d.cancels.Add(1)
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
	sum := sha256.Sum256([]byte(callerKey))
	d.snapshot.Store(fleet.New("entry", "zone", configuration.Configuration{
		Version: 1,
		Zones:   []configuration.Zone{{ID: "zone", Region: "region"}},
		Services: []configuration.Service{
			{ID: "ledger", Kind: configuration.Plain, RetryShare: 0.1, Calls: []configuration.CallRule{
				{Method: http.MethodGet, PathPrefix: "/", Repeatable: true},
			}},
			{ID: "model", Kind: configuration.Model, RetryShare: 0.1},
		},
		Organisations: []configuration.Organisation{
			{ID: "fitters", KeySHA256: []string{hex.EncodeToString(sum[:])}, Weight: 1},
		},
	}, endpoints))
}

// leave takes endpoints back at the same moment.
func (d *deployment) leave(which ...int) {
	s := d.snapshot.Load()
	endpoints := append([]fleet.Endpoint(nil), s.Endpoints...)
	for _, i := range which {
		endpoints[i].Leaving = true
	}
	d.publish(endpoints)
}

func (d *deployment) pool(from netip.Addr) *http.Transport {
	t := &http.Transport{DialContext: d.network.Dial(from)}
	d.pools = append(d.pools, t)
	return t
}

func (d *deployment) addHost(i int, change variant) {
	at := netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})
	c := claimer.New(keyvalue.HTTP(platformAddress, d.pool(at)))
	c.Log = slog.New(slog.DiscardHandler)
	d.group.Go(func() error { return c.Run(d.ctx) })
	given := settings.DefaultEntry()
	given.Host = identity.Host(fmt.Sprint("host-", i))
	s := entry.New(d.ctx, &d.group, given,
		entry.WithSnapshot(d.snapshot.Load), entry.WithLog(slog.New(slog.DiscardHandler)))
	s.Engine = engine.New(d.network.Dial(at))
	d.pools = append(d.pools, s.Engine.HTTP.Transport.(*http.Transport))
	claims := entry.ClaimsOf(c)
	if change != nil {
		claims = change(s, claims)
	}
	entry.WithClaims(claims)(s)
	d.join(i, s, c, at)
	router := mux.NewRouter()
	s.Routes(router)
	h := &host{server: s, address: netip.AddrPortFrom(at, 8080)}
	d.hosts = append(d.hosts, h)
	d.serve(h.address, router)
}

// join makes an entry host reachable to the others, which are all of one zone.
func (d *deployment) join(i int, s *entry.Server, claims *claimer.Claimer, at netip.Addr) {
	keys := peer.Keys{"peer"}
	self := member.Peer{Host: identity.Host(fmt.Sprint("host-", i)), Zone: "zone", Address: netip.AddrPortFrom(at, 8081)}
	d.peers = append(d.peers, self)
	client := peer.Connect(keys, d.network.Dial(at))
	d.clients = append(d.clients, client)
	peers := entry.Peers{
		Self: self.Host, Zone: self.Zone, Client: client, Live: func() []member.Peer { return d.peers },
	}
	entry.WithPeers(peers)(s)
	claims.Forward = entry.ForwardClaims(peers)
	d.claimers = append(d.claimers, claims)
	router := peer.NewRouter()
	s.MountPeers(router)
	entry.MountClaims(router, claims)
	server := peer.Server(router, keys)
	d.servers = append(d.servers, server)
	listener := d.network.Listen(self.Address)
	d.group.Go(func() error { return server.Serve(listener) })
}

// stop ends everything; late answers included.
func (d *deployment) stop() {
	d.cancel()
	for _, p := range d.pools {
		p.CloseIdleConnections()
	}
	for _, c := range d.clients {
		c.CloseIdleConnections()
	}
	for _, s := range d.servers {
		s.Close()
	}
	_ = d.group.Wait()
	time.Sleep(5 * time.Minute)
}

// reply is what a caller got.
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

// call makes one call from a caller's own address.
func (d *deployment) call(caller int, h *host, method, path, key, body string) reply {
	return d.callWith(caller, h, method, path, http.Header{"Idempotency-Key": {key}}, body)
}

func (d *deployment) callWith(caller int, h *host, method, path string, header http.Header, body string) reply {
	transport := &http.Transport{DialContext: d.network.Dial(netip.AddrFrom4([4]byte{10, 5, 0, byte(caller)})), DisableKeepAlives: true}
	ctx, cancel := context.WithTimeout(d.ctx, callerPatience)
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
	got := reply{status: response.StatusCode, body: string(text), err: err}
	got.retryAfter = response.Header.Get("Retry-After")
	got.request = response.Header.Get(engine.RequestHeader)
	var problem struct{ Verdict, Reason string }
	if response.Header.Get("Content-Type") == "application/problem+json" && json.Unmarshal(text, &problem) == nil {
		got.verdict, got.reason = problem.Verdict, problem.Reason
	}
	return got
}

// complete makes a model call and gives the answer's text.
func (d *deployment) complete(caller int, h *host, prompt string, tokens int) (string, reply) {
	body := fmt.Sprintf(`{"model":"model","prompt":%q,"max_tokens":%d}`, prompt, tokens)
	got := d.call(caller, h, http.MethodPost, "/v1/completions", "", body)
	return completionText(got.body), got
}

func completionText(body string) string {
	var answer struct{ Choices []struct{ Text string } }
	if err := json.Unmarshal([]byte(body), &answer); err != nil || len(answer.Choices) == 0 {
		return ""
	}
	return answer.Choices[0].Text
}
