package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/advice"
	"github.com/dandelionlift/dandelionlift/internal/process/gateway"
	"github.com/dandelionlift/dandelionlift/internal/process/meter"
	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/process/retry"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// fakeStore is a key-value store whose watches poll every millisecond.
type fakeStore struct {
	mu       sync.Mutex
	revision keyvalue.Revision
	values   map[string]keyvalue.Value
	down     bool
	// own holds the keys that the system itself has written. getErr is the error of
	// reading one of them: nobody can become the leader unless it is nil.
	own    map[string]keyvalue.Value
	getErr error
	// written counts the writes of each of the system's own keys in each era.
	written map[string]map[keyvalue.Era]int
	// listsOwn makes ranges contain the system's own keys, too.
	listsOwn bool
	// readOnly is the key whose writes fail, if any.
	readOnly string
}

// commit executes a transaction of the system itself.
func (s *fakeStore) commit(_ context.Context, t keyvalue.Transaction) (keyvalue.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || slices.ContainsFunc(t.Writes, func(w keyvalue.Entry) bool { return w.Key == s.readOnly }) {
		return 0, keyvalue.ErrUnavailable
	}
	for _, c := range t.Conditions {
		if s.own[c.Key].Revision != c.Revision {
			return 0, keyvalue.ErrConflict
		}
	}
	s.revision++
	for _, w := range t.Writes {
		s.own[w.Key] = keyvalue.Value{Key: w.Key, Data: w.Data, Revision: s.revision}
		if s.written[w.Key] == nil {
			s.written[w.Key] = make(map[keyvalue.Era]int)
		}
		s.written[w.Key][s.revision.Era()]++
	}
	return s.revision, nil
}

func (s *fakeStore) get(_ context.Context, key string) (keyvalue.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, found := s.own[key]
	switch {
	case s.down:
		return keyvalue.Value{}, keyvalue.ErrUnavailable
	case s.getErr != nil:
		return keyvalue.Value{}, s.getErr
	case !found:
		return keyvalue.Value{}, keyvalue.ErrAbsent
	}
	return value, nil
}

// waitForWrite waits until a key whose name begins so was written in an era.
func (s *fakeStore) waitForWrite(c *qt.C, prefix string, era keyvalue.Era) {
	c.Helper()
	for range 600 {
		s.mu.Lock()
		for key, byEra := range s.written {
			if strings.HasPrefix(key, prefix) && byEra[era] > 0 {
				s.mu.Unlock()
				return
			}
		}
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("%s was not written in era %d", prefix, era)
}

func newStore() *fakeStore {
	return &fakeStore{
		revision: 1, values: make(map[string]keyvalue.Value), getErr: keyvalue.ErrUnavailable,
		own: make(map[string]keyvalue.Value), written: make(map[string]map[keyvalue.Era]int),
	}
}

func (s *fakeStore) set(key, data string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.values[key] = keyvalue.Value{Key: key, Data: []byte(data), Revision: s.revision}
}

func (s *fakeStore) remove(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, key := range keys {
		delete(s.values, key)
	}
}

// restore replaces the contents by older values: the store continues in the next era
// from revision 1.
func (s *fakeStore) restore(older map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = keyvalue.NewRevision(s.revision.Era()+1, 1)
	s.values, s.own = make(map[string]keyvalue.Value), make(map[string]keyvalue.Value)
	for key, data := range older {
		s.values[key] = keyvalue.Value{Key: key, Data: []byte(data), Revision: s.revision}
	}
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) list(_ context.Context, prefix string) (keyvalue.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return keyvalue.Listing{}, keyvalue.ErrUnavailable
	}
	listing := keyvalue.Listing{AsOf: s.revision}
	for key, v := range s.values {
		if strings.HasPrefix(key, prefix) {
			listing.Values = append(listing.Values, v)
		}
	}
	for key, v := range s.own {
		if s.listsOwn && strings.HasPrefix(key, prefix) {
			listing.Values = append(listing.Values, v)
		}
	}
	return listing, nil
}

// watch reports a compacted history after any change, so that its caller reads the
// whole range again.
func (s *fakeStore) watch(ctx context.Context, _ string, after keyvalue.Revision, _ time.Duration) (keyvalue.Changes, error) {
	for ctx.Err() == nil {
		s.mu.Lock()
		down, revision := s.down, s.revision
		s.mu.Unlock()
		if down {
			return keyvalue.Changes{}, keyvalue.ErrUnavailable
		}
		if revision > after {
			return keyvalue.Changes{}, keyvalue.ErrCompacted
		}
		time.Sleep(time.Millisecond)
	}
	return keyvalue.Changes{}, ctx.Err()
}

func (s *fakeStore) client() keyvalue.Store {
	return keyvalue.Store{
		Range: s.list, Changes: s.watch, Commit: s.commit,
		Get: s.get,
		Grant: func(context.Context, time.Duration) (keyvalue.LeaseID, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return keyvalue.LeaseID{Number: 1, Era: s.revision.Era()}, nil
		},
		KeepAlive: func(_ context.Context, lease keyvalue.LeaseID) error {
			s.mu.Lock()
			defer s.mu.Unlock()
			if lease.Era != s.revision.Era() {
				return keyvalue.ErrRestored
			}
			return nil
		},
		Revoke: func(context.Context, keyvalue.LeaseID) error { return nil },
	}
}

const (
	reappear = 400 * time.Millisecond
	// heartbeat is how often the store expects endpoints to renew their entries.
	heartbeat = time.Second
	// leaseDuration is short, so that a host acts as the leader soon after its start.
	leaseDuration = 1500 * time.Millisecond
)

// startWithEndpoints runs a gateway over a store with a configuration and three
// endpoints. An endpoint's entry consists of its state and, after an @, of when it started
// and, after a #, of its sequence.
func startWithEndpoints(t *testing.T) (*qt.C, *fakeStore, *gateway.Gateway) {
	c, s, g, _ := startWithNeighbourAddress(t)
	return c, s, g
}

// startWithNeighbourAddress is startWithEndpoints, and returns the gateway's address for
// neighbours, too.
func startWithNeighbourAddress(t *testing.T) (*qt.C, *fakeStore, *gateway.Gateway, netip.AddrPort) {
	c := qt.New(t)
	s := newStore()
	s.set("configuration", "3")
	for i := range 3 {
		s.set(fmt.Sprint("endpoints/", i), "ready")
	}
	g, address := startGateway(c, s.client())
	waitForStates(c, g, "ready ready ready")
	return c, s, g, address
}

// startGateway runs a gateway over a store, with the given neighbours as seeds, and
// serves requests from neighbours.
func startGateway(c *qt.C, s keyvalue.Store, neighbours ...netip.AddrPort) (*gateway.Gateway, netip.AddrPort) {
	return startPlatform(c, gateway.Platform{
		Store: s, ConfigurationKey: "configuration", EndpointPrefix: "endpoints/",
		DecodeCatalogue: func(data []byte) (*catalogue.Catalogue, error) {
			version, err := strconv.ParseUint(string(data), 10, 64)
			return catalogue.New(catalogue.Catalogue{Version: identity.Version(version)}), err
		},
		DecodeEndpoint: func(key string, data []byte) (fleet.Endpoint, error) {
			if string(data) == "unreadable" {
				return fleet.Endpoint{}, errors.New("unreadable")
			}
			text, sequenceText, _ := strings.Cut(string(data), "#")
			sequence, _ := strconv.ParseUint(sequenceText, 10, 64)
			state, started, _ := strings.Cut(text, "@")
			seconds, _ := strconv.Atoi(started)
			return fleet.Endpoint{
				Host: identity.Host(key), Incarnation: identity.Incarnation(key + started), Service: "s", Zone: "z", Slots: 1,
				Started: time.Unix(int64(seconds), 0), Sequence: sequence, Leaving: state == "draining",
			}, nil
		},
	}, neighbours...)
}

// startPlatform is startGateway on a given platform.
func startPlatform(c *qt.C, platform gateway.Platform, neighbours ...netip.AddrPort) (*gateway.Gateway, netip.AddrPort) {
	listener, conn, err := gateway.Listen(freeAddress(c))
	c.Assert(err, qt.IsNil)
	self := gateway.HostInfo{
		Host: "h", Zone: "z", Regions: map[identity.Zone]identity.Region{"z": "r"},
		Address: netip.MustParseAddrPort(conn.LocalAddr().String()), Seeds: neighbours,
	}
	bounds := gateway.Bounds{
		LeaseDuration: leaseDuration, UsageWindow: time.Second, UsageReportDue: time.Second, ReappearTimeout: reappear, HeartbeatInterval: heartbeat,
		Retries: retry.Limits{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
	}
	g := gateway.New(self, bounds, platform, conn, meter.New(), slog.New(slog.DiscardHandler))
	router := mux.NewRouter()
	g.RegisterRoutes(router)
	server := &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	group := new(errgroup.Group)
	group.Go(func() error { return g.Run(ctx) })
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	c.Cleanup(func() {
		cancel()
		server.Close()
		c.Check(group.Wait(), qt.IsNil)
	})
	return g, self.Address
}

// freeAddress returns an address that was free for TCP; Listen opens it for UDP, too.
func freeAddress(c *qt.C) netip.AddrPort {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// states returns the states of the gateway's endpoints.
func states(g *gateway.Gateway) string {
	var list []string
	for _, e := range g.Endpoints() {
		if e.Leaving {
			list = append(list, "leaving")
			continue
		}
		list = append(list, "ready")
	}
	return strings.Join(list, " ")
}

// waitForStates waits until the gateway's endpoints are in the wanted states.
func waitForStates(c *qt.C, g *gateway.Gateway, want string) {
	c.Helper()
	for range 400 {
		if states(g) == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("endpoint states are %q, want %q", states(g), want)
}

func TestLeavingIsPermanent(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	s.set("endpoints/1", "draining")
	waitForStates(c, g, "ready leaving ready")
	s.set("endpoints/1", "ready")
	s.set("endpoints/3", "ready")
	waitForStates(c, g, "ready leaving ready ready")
}

func TestRemovedEndpointIsNotUsed(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	s.remove("endpoints/1")
	waitForStates(c, g, "ready ready")
}

func TestUndecodableEntryIsIgnored(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	s.set("endpoints/1", "unreadable")
	waitForStates(c, g, "ready ready")
}

// Entries that expire during a store outage are retained until their endpoints have
// had time to register again, and no longer.
func TestEntriesExpiredInAnOutageAreRetainedTemporarily(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	s.setDown(true)
	time.Sleep(100 * time.Millisecond)
	s.remove("endpoints/0", "endpoints/1", "endpoints/2")
	s.setDown(false)
	s.set("endpoints/3", "ready")
	waitForStates(c, g, "ready ready ready ready")
	s.set("endpoints/0", "ready")
	waitForStates(c, g, "ready ready")
}

// An endpoint that was leaving before the outage is not retained.
func TestLeavingEntryExpiredInAnOutageIsNotRetained(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	s.set("endpoints/1", "draining")
	waitForStates(c, g, "ready leaving ready")
	s.setDown(true)
	time.Sleep(100 * time.Millisecond)
	s.remove("endpoints/1")
	s.setDown(false)
	waitForStates(c, g, "ready ready")
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	c.Assert(g.Catalogue().Version, qt.Equals, identity.Version(3))
	s.set("configuration", "2")
	s.set("endpoints/3", "ready")
	waitForStates(c, g, "ready ready ready ready")
	c.Assert(g.Catalogue().Version, qt.Equals, identity.Version(3))
	s.set("configuration", "5")
	for range 400 {
		if g.Catalogue().Version == 5 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("version %d in force", g.Catalogue().Version)
}

// The store does not answer one host's watch, while its neighbour's works. The host
// must take the neighbour's copy and not keep restarting its own watch, as each
// restart delays the detection that the watch is silent.
func TestNeighboursCopyReplacesSilentWatch(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	s.set("configuration", "3")
	silent := s.client()
	silent.Changes = func(ctx context.Context, _ string, _ keyvalue.Revision, wait time.Duration) (keyvalue.Changes, error) {
		select {
		case <-ctx.Done():
		case <-time.After(wait + time.Second):
		}
		return keyvalue.Changes{}, keyvalue.ErrUnavailable
	}
	connected, address := startGateway(c, s.client())
	unanswered, _ := startGateway(c, silent, address)
	reaches := func(g *gateway.Gateway, version identity.Version) bool {
		// A configuration must be in force within 2.5 s.
		for range 25 {
			if current := g.Catalogue(); current != nil && current.Version == version {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
		return false
	}
	c.Assert(reaches(connected, 3) && reaches(unanswered, 3), qt.IsTrue)
	time.Sleep(time.Second)
	s.set("configuration", "4")
	c.Assert(reaches(connected, 4), qt.IsTrue)
	c.Assert(reaches(unanswered, 4), qt.IsTrue)
}

// After a restart of all hosts no host knows what crashes endpoints, and the store must
// tell. The value of another writer must not keep a host from starting.
func TestStoredQuarantineIsInForceAfterARestart(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	s.set("dandelionlift/quarantine", fmt.Sprintf(`[{"s":"s","p":[666],"t":%d}]`, time.Now().Add(-time.Second).UnixMilli()))
	s.set("dandelionlift/quarantine2", `{"s":7}`)
	g, _ := startGateway(c, s.client())
	for range 400 {
		if _, quarantined := g.Forwarder().Quarantine.Check("s", []quarantine.PartID{1, 666}); quarantined {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("the stored quarantine is not in force")
}

// A host becomes ready after its start, and is not ready while it is stopping.
func TestReadiness(t *testing.T) {
	c, _, g := startWithEndpoints(t)
	for range 400 {
		if g.Ready() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(g.Ready(), qt.IsTrue)
	g.Drain()
	c.Assert(g.Ready(), qt.IsFalse)
}

// Endpoints that registered after the copy was made from which the store was restored
// register again within a short time, and must be used meanwhile. One that had said that
// it is leaving must stay so, though its restored entry says that it is ready.
func TestEndpointsAreKeptAfterARestoration(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	s.set("endpoints/1", "draining")
	waitForStates(c, g, "ready leaving ready")
	s.restore(map[string]string{"configuration": "2", "endpoints/0": "ready", "endpoints/1": "ready"})
	s.set("endpoints/3", "ready")
	waitForStates(c, g, "ready leaving ready ready")
	s.set("endpoints/2", "ready")
	time.Sleep(2 * reappear)
	waitForStates(c, g, "ready leaving ready ready")
	c.Assert(g.Catalogue().Version, qt.Equals, identity.Version(3))
}

// A host that gets no answers since before the store was restored must learn of later
// configurations from its neighbours, whose revisions are below its own.
func TestRestoredConfigurationComesFromANeighbour(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	for version := 1; version <= 30; version++ {
		s.set("configuration", strconv.Itoa(version))
	}
	cutOff := newStore()
	cutOff.revision, cutOff.values = s.revision, maps.Clone(s.values)
	connected, address := startGateway(c, s.client())
	unanswered, _ := startGateway(c, cutOff.client(), address)
	reaches := func(g *gateway.Gateway, version identity.Version) bool {
		// A configuration must be in force within 2.5 s.
		for range 25 {
			if current := g.Catalogue(); current != nil && current.Version == version {
				return true
			}
			time.Sleep(100 * time.Millisecond)
		}
		return false
	}
	c.Assert(reaches(connected, 30) && reaches(unanswered, 30), qt.IsTrue)
	cutOff.setDown(true)
	s.restore(map[string]string{"configuration": "7"})
	time.Sleep(time.Second)
	s.set("configuration", "31")
	c.Assert(reaches(connected, 31), qt.IsTrue)
	c.Assert(reaches(unanswered, 31), qt.IsTrue)
}

// A host's registration and the leader's quarantines are lost with the store's latest
// writes. They must be written again at once: hosts that start find the others by the
// registrations, and the quarantines must outlast a restart of all hosts.
func TestOwnKeysAreWrittenAgainAfterARestoration(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	s.getErr = nil
	s.set("configuration", "3")
	s.set("dandelionlift/quarantine", fmt.Sprintf(`[{"s":"s","p":[666],"t":%d}]`, time.Now().Add(-time.Second).UnixMilli()))
	startGateway(c, s.client())
	s.waitForWrite(c, "dandelionlift/hosts/", 0)
	s.waitForWrite(c, "dandelionlift/quarantine", 0)
	s.restore(map[string]string{"configuration": "2"})
	s.waitForWrite(c, "dandelionlift/hosts/", 1)
	s.waitForWrite(c, "dandelionlift/quarantine", 1)
}

// An endpoint had started again under its key when the store was restored from a copy that
// holds the entry of its earlier start. The calls must not go to what has ended.
func TestEntryOfAnEarlierStartIsNotUsedAfterARestoration(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	incarnation := func(host identity.Host) identity.Incarnation {
		for _, e := range g.Endpoints() {
			if e.Host == host && !e.Leaving {
				return e.Incarnation
			}
		}
		return ""
	}
	await := func(host identity.Host, want identity.Incarnation) {
		c.Helper()
		for range 400 {
			if incarnation(host) == want {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.Fatalf("%s is %q, want %q", host, incarnation(host), want)
	}
	s.set("endpoints/1", "ready@2")
	await("endpoints/1", "endpoints/12")
	s.restore(map[string]string{"configuration": "2", "endpoints/1": "ready@1", "endpoints/seen": "ready"})
	await("endpoints/seen", "endpoints/seen")
	c.Assert(incarnation("endpoints/1"), qt.Equals, identity.Incarnation("endpoints/12"))
	s.set("endpoints/1", "ready@2")
	time.Sleep(2 * reappear)
	c.Assert(incarnation("endpoints/1"), qt.Equals, identity.Incarnation("endpoints/12"))
}

// An endpoint says in an answer that it is leaving, and the store lists it as ready. What
// is decided by the endpoints, such as how many are ordered, must count it as leaving.
func TestEndpointThatSaysThatItLeavesCountsAsLeaving(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	f := g.Forwarder()
	f.Advice.Record(time.Now(), "endpoints/1", advice.Advice{Leaving: true}, true, 0)
	f.OnLeaving("endpoints/1")
	waitForStates(c, g, "ready leaving ready")
	s.set("endpoints/1", "ready")
	s.set("endpoints/3", "ready")
	waitForStates(c, g, "ready leaving ready ready")
	s.set("endpoints/1", "ready@2")
	waitForStates(c, g, "ready ready ready ready")
}

// An endpoint that has said that it is leaving counted as ready again after a minute. It
// must do so once it reports later that it stays, and not for a report that may be older
// than its answer, repeats its sequence or comes around an outage of the store.
func TestEndpointThatSaysThatItLeavesIsReadyOnceItReportsSo(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	f := g.Forwarder()
	say := func(ago time.Duration) {
		f.Advice.Record(time.Now().Add(-ago), "endpoints/1", advice.Advice{Leaving: true}, true, 0)
		f.OnLeaving("endpoints/1")
	}
	const before, after = 55 * time.Second, time.Minute
	last := 2
	// unchanged sets an entry and checks that the endpoint still counts as leaving.
	unchanged := func(entry string) {
		c.Helper()
		s.set("endpoints/1", entry)
		last++
		s.set(fmt.Sprint("endpoints/", last), "ready")
		waitForStates(c, g, "ready leaving"+strings.Repeat(" ready", last-1))
	}
	say(before)
	waitForStates(c, g, "ready leaving ready")
	unchanged("ready#5")
	say(after)
	unchanged("ready#5")
	s.set("endpoints/1", "ready#6")
	waitForStates(c, g, "ready ready"+strings.Repeat(" ready", last-1))
	say(after)
	waitForStates(c, g, "ready leaving"+strings.Repeat(" ready", last-1))
	s.setDown(true)
	time.Sleep(2 * reappear)
	s.setDown(false)
	unchanged("ready#7")
	unchanged("draining#8")
	unchanged("ready#9")
}

// Operators must be able to see why an endpoint gets nothing from a host.
func TestOperatorsSeeWhyAnEndpointGetsNoCalls(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	s.set("endpoints/3", "draining")
	s.set("endpoints/4", "ready")
	waitForStates(c, g, "ready ready ready leaving ready")
	f := g.Forwarder()
	record := func(id identity.Incarnation, a advice.Advice) { f.Advice.Record(time.Now(), id, a, false, 0) }
	record("endpoints/0", advice.Advice{Leaving: true})
	record("endpoints/1", advice.Advice{Quiet: 50 * time.Second})
	record("endpoints/2", advice.Advice{Limited: true, PerSecond: 0.5})
	router := mux.NewRouter()
	g.RegisterOperatorRoutes(router)
	answer := httptest.NewRecorder()
	router.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/endpoints", nil))
	c.Assert(answer.Code, qt.Equals, http.StatusOK)
	lines := strings.Split(strings.TrimSpace(answer.Body.String()), "\n")
	c.Assert(lines, qt.HasLen, 6)
	for i, want := range []string{
		"none: leaving, by its own answer", `none: quiet for (50|49)\.?\d*s`, `few: limit of 0\.5 a second for all hosts`,
		"none: leaving, or its address answers for another", "yes",
	} {
		c.Check(lines[i+1], qt.Matches, fmt.Sprint("endpoints/", i, ` +s +z .* `, want))
	}
}

// Two endpoints start again. One had said before that it is leaving, one says so
// afterwards, before the store tells of its start: that must not be forgotten. The clock
// of a third tells a start long before, which proves nothing.
func TestWhatAnEndpointSaidIsThatOfItsIncarnation(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	f := g.Forwarder()
	say := func(id identity.Incarnation) {
		f.Advice.Record(time.Now(), id, advice.Advice{Leaving: true}, true, 0)
		f.OnLeaving(id)
	}
	say("endpoints/0")
	say("endpoints/2")
	time.Sleep(time.Second)
	started := time.Now().Truncate(time.Second).Add(time.Second)
	time.Sleep(time.Until(started) + 100*time.Millisecond)
	say("endpoints/1")
	waitForStates(c, g, "leaving leaving leaving")
	s.set("endpoints/0", fmt.Sprint("ready@", started.Unix()))
	s.set("endpoints/1", fmt.Sprint("ready@", started.Unix()))
	s.set("endpoints/2", "ready@2")
	waitForStates(c, g, "ready leaving ready")
}

// The store is restored a second time, or away again, before an endpoint could register
// after the first time. It must not count as gone for good.
func TestEndpointsAreKeptOverTwoRestorations(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	older := map[string]string{"configuration": "2", "endpoints/0": "ready", "endpoints/1": "ready", "endpoints/seen": "ready"}
	s.restore(older)
	waitForStates(c, g, "ready ready ready ready")
	s.setDown(true)
	time.Sleep(2 * reappear)
	s.restore(older)
	s.setDown(false)
	time.Sleep(reappear / 2)
	s.set("endpoints/2", "ready")
	time.Sleep(3 * reappear)
	waitForStates(c, g, "ready ready ready ready")
}

// An endpoint that had started again was leaving when the store was restored from a copy
// with the entry of its earlier start, which has ended.
func TestEntryOfAnEarlierStartOfALeavingEndpointIsNotUsed(t *testing.T) {
	c, s, g := startWithEndpoints(t)
	s.set("endpoints/1", "ready@1")
	waitForStates(c, g, "ready ready ready")
	time.Sleep(reappear)
	s.set("endpoints/1", "draining@2")
	waitForStates(c, g, "ready leaving ready")
	older := map[string]string{"configuration": "2", "endpoints/0": "ready", "endpoints/1": "ready@1", "endpoints/2": "ready"}
	s.restore(older)
	for range 4 {
		time.Sleep(reappear)
		s.set("endpoints/0", "ready")
		for _, e := range g.Endpoints() {
			c.Check(e.Host != "endpoints/1" || e.Leaving, qt.IsTrue, qt.Commentf("%s", e.Incarnation))
		}
	}
}

// A leader that waited for its next renewal to learn of the restoration made calls for
// which the restored store had no key.
func TestLeaderTakesTheKeyAgainOnceItsCopyIsRestored(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	s.getErr = nil
	s.set("configuration", "3")
	client := s.client()
	client.KeepAlive = func(context.Context, keyvalue.LeaseID) error { return nil }
	startGateway(c, client)
	s.waitForWrite(c, "dandelionlift/duty", 0)
	s.restore(map[string]string{"configuration": "2"})
	s.waitForWrite(c, "dandelionlift/duty", 1)
}
