package gateway

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/forward"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// stillThreshold is the shortest time without any activity that counts as standing
	// still. A host that is short of processor time stops for tenths of a second.
	stillThreshold = time.Second
	// stillMemory is for how long a host without a watch of its own may know less than the
	// others after it was still, or after an endpoint was down: longer than copies take that
	// are passed on by relays.
	stillMemory = 5 * time.Second
)

// confirmations is what a host needs to know whether its copy of the endpoints is current.
type confirmations struct {
	mu sync.Mutex
	// active is when the host was last seen to be active, awake when it last had been still
	// before that.
	active, awake time.Time
	// down is when a connection to an endpoint last failed to open.
	down map[identity.Incarnation]time.Time
	// checked is when an endpoint was last dialled to find out whether it is down.
	checked map[identity.Incarnation]time.Time
	// failed is when the store last failed, in Unix nanoseconds.
	failed atomic.Int64
}

func newConfirmations() *confirmations {
	return &confirmations{active: time.Now(), down: make(map[identity.Incarnation]time.Time), checked: make(map[identity.Incarnation]time.Time)}
}

// observe records that the host is active, and returns when it last had been still.
func (c *confirmations) observe(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.active) > stillThreshold {
		c.awake = now
	}
	if now.After(c.active) {
		c.active = now
	}
	return c.awake
}

func (c *confirmations) recordDown(id identity.Incarnation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[id] = time.Now()
}

func (c *confirmations) downAt(id identity.Incarnation) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down[id]
}

// retain drops what is known of other endpoints.
func (c *confirmations) retain(endpoints map[identity.Incarnation]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.down, func(id identity.Incarnation, _ time.Time) bool { return !endpoints[id] })
	maps.DeleteFunc(c.checked, func(id identity.Incarnation, _ time.Time) bool { return !endpoints[id] })
}

// mustCheck reports whether an endpoint should be dialled now, and records that it is.
func (c *confirmations) mustCheck(now time.Time, id identity.Incarnation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.checked[id]) < dialTimeout {
		return false
	}
	c.checked[id] = now
	return true
}

// checkDown finds out whether an endpoint that broke off a connection has crashed. The
// store tells, unless it does not answer.
func (g *Gateway) checkDown(e fleet.Endpoint) {
	if !g.storeFailing() || !g.confirmations.mustCheck(time.Now(), e.Incarnation) {
		return
	}
	g.group.Go(func() error {
		conn, err := net.DialTimeout("tcp", e.Address.String(), dialTimeout)
		if err != nil {
			g.log.Info("endpoint_down", "endpoint", e.Incarnation, "error", err)
			g.confirmations.recordDown(e.Incarnation)
			return nil
		}
		return conn.Close()
	})
}

// confirm reports whether an endpoint is still the start that this host knows, so that a
// stream of its software version may go on there over a connection that was opened some
// time ago. Starts of one endpoint share its id, so the endpoint does not tell. The copy of
// the store does, unless the host was still since it was read, the store does not answer, or
// the endpoint was down. An endpoint that has started again has none of the connections of
// before.
func (g *Gateway) confirm(ctx context.Context, c *forward.Call, e fleet.Endpoint, opened time.Time) bool {
	now := time.Now()
	read := g.mirror.ReadAt(g.platform.EndpointPrefix)
	awake, down := g.confirmations.observe(now), g.confirmations.downAt(e.Incarnation)
	still, wasDown := awake.After(read), down.After(read)
	if !g.watchesStore() {
		// Copies that relays pass on are no reads of its own.
		still, wasDown = now.Sub(awake) < stillMemory, now.Sub(down) < stillMemory
	}
	_, failing := g.mirror.FailingSince(g.platform.EndpointPrefix)
	if !still && !failing && !wasDown || opened.Before(read) && !down.After(opened) {
		return true
	}
	confirmed, source := false, "store"
	// A host that was still takes its watch for one that the store does not answer.
	current, err := g.readStart(ctx, e, failing && !still)
	switch failed := time.Unix(0, g.confirmations.failed.Load()); {
	case err != nil:
		// With one version alone nothing else can be joined, unless an endpoint that was
		// down is back with a version of which nobody could hear.
		source = "only version"
		versions, complete := g.origins.versions.Recent(c.Service.ID)
		confirmed = complete && len(versions) == 1 && !wasDown && (!still || g.agreesWithOthers(now))
	case now.Sub(failed) < g.bounds.ReappearTimeout:
		// It may have started again without having registered since.
		confirmed = current && (down.IsZero() || down.Before(failed.Add(-outageGrace)))
	default:
		confirmed = current
	}
	g.log.Info("endpoint_confirmed", "request", c.ID, "endpoint", e.Incarnation, "software", e.Software, "confirmed", confirmed, "source", source,
		"still", still, "store_failing", failing, "down", wasDown, "error", err)
	return confirmed
}

// readStart reports whether the store lists an endpoint with the start that this host knows.
func (g *Gateway) readStart(ctx context.Context, e fleet.Endpoint, failing bool) (bool, error) {
	if failing {
		return false, errStoreFailing
	}
	key := g.platform.EndpointPrefix + string(e.Host)
	current, err, _ := g.origins.lookups.Do(key, func() (any, error) {
		// The read is not that of one caller only, who may leave.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), originTimeout)
		defer cancel()
		value, err := g.platform.Store.Get(ctx, key)
		if errors.Is(err, keyvalue.ErrAbsent) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		listed, err := g.platform.DecodeEndpoint(key, value.Data)
		return err == nil && listed.Incarnation == e.Incarnation, nil
	})
	if err != nil {
		return false, err
	}
	return current.(bool), nil
}

// errStoreFailing is the error of a read that is not made since the store does not answer.
var errStoreFailing = errors.New("gateway: the store does not answer")
