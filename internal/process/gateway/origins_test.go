package gateway_test

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/process/gateway"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/catalogue"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// startVersions runs a gateway over a store in which an endpoint's entry is its software
// version, and waits until the gateway has as many endpoints as the store.
func startVersions(c *qt.C, s *fakeStore) *gateway.Gateway {
	g, _ := startVersionsOver(c, s, s.client())
	return g
}

// startVersionsOver is startVersions with a client of the store and neighbours.
func startVersionsOver(c *qt.C, s *fakeStore, client keyvalue.Store, neighbours ...netip.AddrPort) (*gateway.Gateway, netip.AddrPort) {
	s.mu.Lock()
	s.getErr, s.listsOwn = nil, true
	count := len(s.values) - 1
	s.mu.Unlock()
	g, address := startPlatform(c, gateway.Platform{
		Store: client, ConfigurationKey: "configuration", EndpointPrefix: "endpoints/",
		DecodeCatalogue: func([]byte) (*catalogue.Catalogue, error) {
			return catalogue.New(catalogue.Catalogue{
				Version: 1, Services: []catalogue.Service{{ID: "s"}, {ID: "other"}},
				Routes: []catalogue.Route{{Kind: catalogue.Stream, Resumable: true, Targets: []catalogue.Target{{Service: "s", Weight: 1}}}},
			}), nil
		},
		DecodeEndpoint: func(key string, data []byte) (fleet.Endpoint, error) {
			return fleet.Endpoint{Host: identity.Host(key), Incarnation: identity.Incarnation(key), Service: "s", Zone: "z", Slots: 1, Software: identity.Software(data)}, nil
		},
	}, neighbours...)
	waitUntil(c, "the endpoints are known", func() bool { return len(g.Endpoints()) == count && g.Catalogue() != nil })
	return g, address
}

// waitUntil waits until a condition holds.
func waitUntil(c *qt.C, what string, condition func() bool) {
	c.Helper()
	for range 600 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("not met: %s", what)
}

// held returns the software versions whose endpoints should not begin streams yet.
func held(g *gateway.Gateway) []identity.Software {
	var list []identity.Software
	for _, e := range g.Endpoints() {
		if e.Held {
			list = append(list, e.Software)
		}
	}
	return list
}

// recorded reports whether the store's record of versions contains one.
func (s *fakeStore) recorded(software string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(string(s.own["dandelionlift/versions"].Data), strconv.Quote(software))
}

func storeWithVersions(versions ...string) *fakeStore {
	s := newStore()
	s.set("configuration", "1")
	for i, version := range versions {
		s.set("endpoints/"+string('a'+rune(i)), version)
	}
	return s
}

// resume returns the software version at which a stream may go on that began under an id.
func resume(g *gateway.Gateway, began identity.Request) (identity.Software, *verdict.Error) {
	service := &catalogue.Service{ID: "s"}
	_, software, failure := g.Forwarder().Origin(context.Background(), &forward.Call{
		ID: "resuming", Service: service, Resumes: began, LastEvent: 3,
		Route: &catalogue.Route{Kind: catalogue.Stream, Resumable: true, Targets: []catalogue.Target{{Service: "s", Weight: 1}}},
	})
	return software, failure
}

// waitForOrigin waits until a gateway knows where a stream began.
func waitForOrigin(c *qt.C, g *gateway.Gateway, began identity.Request, want identity.Software) {
	c.Helper()
	var software identity.Software
	var failure *verdict.Error
	for range 100 {
		if software, failure = resume(g, began); failure == nil {
			c.Assert(software, qt.Equals, want)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatalf("the stream %s is refused: %v", began, failure)
}

func begin(g *gateway.Gateway, id identity.Request, software identity.Software) {
	g.Forwarder().OnStreamBegun(&forward.Call{ID: id}, fleet.Endpoint{Service: "s", Software: software})
}

// With one software version all streams go on, whoever began them.
func TestStreamGoesOnAtTheOnlyVersion(t *testing.T) {
	c := qt.New(t)
	g := startVersions(c, storeWithVersions("v1", "v1"))
	waitForOrigin(c, g, "unknown", "v1")
	waitForOrigin(c, g, "", "v1")
}

// Two versions serve side by side. A client takes its stream up at another host than the
// one that began it, which may have been killed, or was started only since.
func TestStreamGoesOnAtItsVersionAtAnotherHost(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v2", "v1")
	first := startVersions(c, s)
	begin(first, "one", "v1")
	begin(first, "two", "v2")
	waitForOrigin(c, first, "two", "v2")
	second := startVersions(c, s)
	waitForOrigin(c, second, "one", "v1")
	waitForOrigin(c, second, "two", "v2")
	_, failure := resume(second, "unknown")
	c.Assert(failure, qt.IsNotNil)
	c.Check(failure.Reason, qt.Equals, verdict.StreamOriginUnknown)
	c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
}

// All hosts are killed during a release. When they are back, the endpoints of the old
// version are gone, and the one that is left must not go on with its streams.
func TestStreamDoesNotGoOnAtANewVersionAfterARestart(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v2")
	first := startVersions(c, s)
	begin(first, "one", "v1")
	s.waitForWrite(c, "dandelionlift/streams/", 0)
	s.waitForWrite(c, "dandelionlift/versions", 0)
	s.remove("endpoints/a")
	second := startVersions(c, s)
	waitForOrigin(c, second, "one", "v1")
	_, failure := resume(second, "unknown")
	c.Assert(failure, qt.IsNotNil)
	c.Check(failure.Reason, qt.Equals, verdict.StreamOriginUnknown)
}

// While the store does not answer, a host that does not know a stream refuses it soon, and
// goes on with those that it began.
func TestUnknownStreamIsRefusedWhileTheStoreIsDown(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v2")
	g := startVersions(c, s)
	begin(g, "one", "v1")
	s.setDown(true)
	waitForOrigin(c, g, "one", "v1")
	began := time.Now()
	_, failure := resume(g, "unknown")
	c.Assert(failure, qt.IsNotNil)
	c.Check(failure.RetryAfter > 0, qt.IsTrue)
	c.Check(time.Since(began) < time.Second, qt.IsTrue)
}

// The streams that a restored store has lost are written to it again.
func TestStreamsAreWrittenAgainAfterARestoration(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v2")
	g := startVersions(c, s)
	begin(g, "one", "v1")
	s.waitForWrite(c, "dandelionlift/streams/", 0)
	s.restore(map[string]string{"configuration": "1", "endpoints/a": "v1", "endpoints/b": "v2"})
	s.waitForWrite(c, "dandelionlift/streams/", 1)
	waitForOrigin(c, startVersions(c, s), "one", "v1")
}

// behindOver returns a client whose watches hang, so that its host misses changes.
func behindOver(s *fakeStore) keyvalue.Store {
	client := s.client()
	client.Changes = func(ctx context.Context, _ string, _ keyvalue.Revision, _ time.Duration) (keyvalue.Changes, error) {
		<-ctx.Done()
		return keyvalue.Changes{}, ctx.Err()
	}
	list := client.Range
	client.Range = func(ctx context.Context, prefix string) (keyvalue.Listing, error) {
		if prefix == "dandelionlift/hosts/" {
			return keyvalue.Listing{}, nil
		}
		return list(ctx, prefix)
	}
	return client
}

// A host stood still, or its watch of the store hangs and no other host tells it, while
// endpoints of a new version joined. A stream that began there through another host must not go on at the only version
// that this host has heard of.
func TestStreamDoesNotGoOnAtAHostThatMissedItsVersion(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v1")
	first := startVersions(c, s)
	behind, _ := startVersionsOver(c, s, behindOver(s))
	waitForOrigin(c, behind, "unknown", "v1")
	s.set("endpoints/c", "v2")
	waitUntil(c, "v2 begins streams", func() bool { return len(first.Endpoints()) == 3 && len(held(first)) == 0 })
	begin(first, "one", "v1")
	begin(first, "two", "v2")
	c.Assert(behind.Endpoints(), qt.HasLen, 2)
	waitForOrigin(c, behind, "two", "v2")
	waitForOrigin(c, behind, "one", "v1")
}

// A host is cut off from the store and from the others. Its connections hang, so that it
// has no failure to go by when callers take streams up.
func TestStreamDoesNotGoOnAtAHostThatIsCutOff(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v1")
	var cut atomic.Bool
	client := s.client()
	list, watch, get := client.Range, client.Changes, client.Get
	hang := func(ctx context.Context) error {
		if !cut.Load() {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}
	client.Range = func(ctx context.Context, prefix string) (keyvalue.Listing, error) {
		if err := hang(ctx); err != nil {
			return keyvalue.Listing{}, err
		}
		return list(ctx, prefix)
	}
	client.Changes = func(ctx context.Context, prefix string, after keyvalue.Revision, wait time.Duration) (keyvalue.Changes, error) {
		if err := hang(ctx); err != nil {
			return keyvalue.Changes{}, err
		}
		return watch(ctx, prefix, after, wait)
	}
	client.Get = func(ctx context.Context, key string) (keyvalue.Value, error) {
		if err := hang(ctx); err != nil {
			return keyvalue.Value{}, err
		}
		return get(ctx, key)
	}
	silent := freeAddress(c)
	g, _ := startVersionsOver(c, s, client, silent)
	waitForOrigin(c, g, "unknown", "v1")
	cut.Store(true)
	began := time.Now()
	_, failure := resume(g, "unknown")
	c.Assert(failure != nil, qt.IsTrue)
	c.Check(failure.Reason, qt.Equals, verdict.StreamOriginUnknown)
	c.Check(failure.Verdict, qt.Equals, verdict.NotRun)
	c.Check(time.Since(began) < time.Second, qt.IsTrue)
}

// The store is down for all hosts, so that none can have heard of a new version: streams of
// the only one go on.
func TestStreamGoesOnWhileTheStoreIsDownForAllHosts(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v1")
	first, address := startVersionsOver(c, s, s.client())
	second, _ := startVersionsOver(c, s, s.client(), address)
	waitForOrigin(c, first, "unknown", "v1")
	s.setDown(true)
	time.Sleep(time.Second)
	waitForOrigin(c, first, "unknown", "v1")
	waitForOrigin(c, second, "unknown", "v1")
}

// Hosts learn of a new version one after the other. Its endpoints begin no stream until all
// can know it, but not for ever while the store takes no writes.
func TestNewVersionBeginsNoStreamBeforeItIsRecorded(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1")
	g := startVersions(c, s)
	waitUntil(c, "v1 is recorded", func() bool { return s.recorded("v1") })
	s.mu.Lock()
	s.readOnly = "dandelionlift/versions"
	s.mu.Unlock()
	s.set("endpoints/b", "v2")
	waitUntil(c, "v2 is known", func() bool { return len(g.Endpoints()) == 2 })
	c.Assert(held(g), qt.DeepEquals, []identity.Software{"v2"})
	time.Sleep(2 * time.Second)
	c.Assert(held(g), qt.DeepEquals, []identity.Software{"v2"})
	waitUntil(c, "v2 is used all the same", func() bool { return len(held(g)) == 0 })
	s.mu.Lock()
	s.readOnly = ""
	s.mu.Unlock()
	waitUntil(c, "v2 is recorded", func() bool { return s.recorded("v2") })
	s.set("endpoints/c", "v3")
	waitUntil(c, "v3 is used once it is recorded", func() bool {
		endpoints := g.Endpoints()
		used := len(endpoints) == 3 && !slices.ContainsFunc(endpoints, func(e fleet.Endpoint) bool { return e.Held })
		c.Assert(!used || s.recorded("v3"), qt.IsTrue)
		return used
	})
}

// Without a leader another host records a new version.
func TestNewVersionIsRecordedWithoutALeader(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v2")
	s.readOnly = "dandelionlift/duty"
	startVersions(c, s)
	waitUntil(c, "both versions are recorded", func() bool { return s.recorded("v1") && s.recorded("v2") })
}

// A host starts in a release: it learns of both versions at once, and then reads from the
// record which is the new one.
func TestHostThatStartsInAReleaseHoldsTheNewVersion(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v2")
	s.mu.Lock()
	s.revision++
	s.own["dandelionlift/versions"] = keyvalue.Value{Key: "dandelionlift/versions", Data: []byte(`{"s":{"v1":0}}`), Revision: s.revision}
	s.readOnly = "dandelionlift/versions"
	s.mu.Unlock()
	read := make(chan struct{}, 100)
	client := s.client()
	get := client.Get
	client.Get = func(ctx context.Context, key string) (keyvalue.Value, error) {
		if key == "dandelionlift/versions" {
			time.Sleep(300 * time.Millisecond)
			defer func() { read <- struct{}{} }()
		}
		return get(ctx, key)
	}
	g, _ := startVersionsOver(c, s, client)
	<-read
	time.Sleep(500 * time.Millisecond)
	c.Check(held(g), qt.HasLen, 1)
}

// What is in the record can't be read: it confirms nothing.
func TestUnreadableRecordConfirmsNothing(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v1")
	g, _ := startVersionsOver(c, s, s.client(), freeAddress(c))
	waitForOrigin(c, g, "unknown", "v1")
	s.mu.Lock()
	s.revision++
	s.own["dandelionlift/versions"] = keyvalue.Value{Key: "dandelionlift/versions", Data: []byte(`{"s":`), Revision: s.revision}
	s.readOnly = "dandelionlift/versions"
	s.mu.Unlock()
	_, failure := resume(g, "unknown")
	c.Check(failure == nil, qt.IsFalse)
}

// A host is cut off from the store and from the others for longer than it counts the others.
// It must not take itself for the only host.
func TestHostThatIsCutOffForLongIsNotTheMajority(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s := storeWithVersions("v1", "v1")
	g, _ := startVersionsOver(c, s, s.client(), freeAddress(c))
	waitForOrigin(c, g, "unknown", "v1")
	s.setDown(true)
	_, failure := resume(g, "unknown")
	c.Assert(failure == nil, qt.IsFalse)
	time.Sleep(46 * time.Second)
	software, failure := resume(g, "unknown")
	c.Check(failure == nil, qt.IsFalse, qt.Commentf("goes on at %q", software))
}

// The store refuses one host alone. That others report no later change does not show that
// the store answers nobody.
func TestAgreementOfHostsThatTheStoreAnswers(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v1")
	first, address := startVersionsOver(c, s, s.client())
	client := behindOver(s)
	get := client.Get
	refusing := make(chan struct{})
	client.Get = func(ctx context.Context, key string) (keyvalue.Value, error) {
		select {
		case <-refusing:
			return keyvalue.Value{}, keyvalue.ErrUnavailable
		default:
			return get(ctx, key)
		}
	}
	behind, _ := startVersionsOver(c, s, client, address)
	waitForOrigin(c, behind, "unknown", "v1")
	time.Sleep(time.Second)
	close(refusing)
	s.set("endpoints/c", "v2")
	waitUntil(c, "v2 begins streams", func() bool { return len(first.Endpoints()) == 3 && len(held(first)) == 0 })
	begin(first, "two", "v2")
	software, failure := resume(behind, "two")
	c.Check(failure != nil || software == "v2", qt.IsTrue, qt.Commentf("goes on at %q", software))
}

// Another host has recorded a version of which this one has not heard. Writing the record
// must not drop it.
func TestRecordKeepsVersionsThatOthersWrote(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1")
	startVersions(c, s)
	waitUntil(c, "v1 is recorded", func() bool { return s.recorded("v1") })
	s.mu.Lock()
	s.revision++
	s.own["dandelionlift/versions"] = keyvalue.Value{Key: "dandelionlift/versions", Data: []byte(`{"s":{"v1":0,"v2":0}}`), Revision: s.revision}
	s.mu.Unlock()
	s.set("endpoints/b", "v3")
	waitUntil(c, "v3 is recorded", func() bool { return s.recorded("v3") })
	c.Assert(s.recorded("v2"), qt.IsTrue)
}

// Two callers take up streams at the same time. The second must not go by a record that was
// read before it came.
func TestCallerDoesNotGoByAnEarlierReadOfTheRecord(t *testing.T) {
	c := qt.New(t)
	s := storeWithVersions("v1", "v1")
	first := startVersions(c, s)
	client := behindOver(s)
	get := client.Get
	var slow atomic.Bool
	read, proceed := make(chan struct{}, 10), make(chan struct{})
	client.Get = func(ctx context.Context, key string) (keyvalue.Value, error) {
		value, err := get(ctx, key)
		if slow.Load() && key == "dandelionlift/versions" {
			read <- struct{}{}
			<-proceed
		}
		return value, err
	}
	behind, _ := startVersionsOver(c, s, client)
	waitForOrigin(c, behind, "unknown", "v1")
	slow.Store(true)
	var group sync.WaitGroup
	group.Go(func() { _, _ = resume(behind, "unknown") })
	<-read
	s.set("endpoints/c", "v2")
	waitUntil(c, "v2 begins streams", func() bool { return len(first.Endpoints()) == 3 && len(held(first)) == 0 })
	begin(first, "two", "v2")
	s.waitForWrite(c, "dandelionlift/streams/", 0)
	var software identity.Software
	var failure *verdict.Error
	group.Go(func() { software, failure = resume(behind, "two") })
	time.Sleep(50 * time.Millisecond)
	close(proceed)
	group.Wait()
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(software, qt.Equals, identity.Software("v2"))
}
