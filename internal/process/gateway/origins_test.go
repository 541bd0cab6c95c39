package gateway_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

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
	s.mu.Lock()
	s.getErr, s.listsOwn = nil, true
	count := len(s.values) - 1
	s.mu.Unlock()
	g, _ := startPlatform(c, gateway.Platform{
		Store: s.client(), ConfigurationKey: "configuration", EndpointPrefix: "endpoints/",
		DecodeCatalogue: func([]byte) (*catalogue.Catalogue, error) {
			return catalogue.New(catalogue.Catalogue{Version: 1, Services: []catalogue.Service{{ID: "s"}, {ID: "other"}}}), nil
		},
		DecodeEndpoint: func(key string, data []byte) (fleet.Endpoint, error) {
			return fleet.Endpoint{Host: identity.Host(key), Incarnation: identity.Incarnation(key), Service: "s", Zone: "z", Slots: 1, Software: identity.Software(data)}, nil
		},
	})
	for range 400 {
		if len(g.Endpoints()) == count && g.Catalogue() != nil {
			return g
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fatal("the endpoints are not known")
	return nil
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
