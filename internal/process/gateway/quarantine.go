package gateway

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/process/duty"
	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// meshSettled and relayedSettled are the times in which all hosts hear of a crash and
	// this one hears what they have answered since: two report intervals, or two ways
	// over the relays of two zones.
	meshSettled    = 700 * time.Millisecond
	relayedSettled = 2 * time.Second
	// quarantineInterval is the period of checking for quarantines to store.
	quarantineInterval = 500 * time.Millisecond
)

// decideQuarantine quarantines prompt parts and calls that crash endpoints.
func (g *Gateway) decideQuarantine() {
	endpoints, present := make(map[identity.Service]int), make(map[identity.Incarnation]bool)
	for _, e := range *g.endpoints.Load() {
		endpoints[e.Service]++
		present[e.Incarnation] = true
	}
	if g.mirror.Loaded(g.platform.EndpointPrefix) {
		g.quarantine.RecordPresent(present)
	}
	g.checkCrashed(*g.endpoints.Load())
	settled := meshSettled
	if g.neighbours.Relayed() {
		settled = relayedSettled
	}
	decision := g.quarantine.Decide(endpoints, settled)
	for _, order := range decision.Quarantined {
		if order.Call != 0 {
			g.log.Warn("call_quarantined", "fingerprint", order.Call, "repeats", order.Repeats, "until", order.End())
			continue
		}
		g.log.Warn("part_quarantined", "service", order.Service, "parts", hexParts(order.Parts), "repeats", order.Repeats, "until", order.End())
	}
	for _, order := range decision.Released {
		if order.Call != 0 {
			g.log.Info("call_released", "fingerprint", order.Call)
			continue
		}
		g.log.Info("part_released", "service", order.Service, "parts", hexParts(order.Parts))
	}
}

// dialTimeout limits a connection by which a host checks whether an endpoint has crashed:
// many times the longest way there and back.
const dialTimeout = 500 * time.Millisecond

// checkCrashed connects to the endpoints that seem to have crashed under a call: calls avoid
// them, and their entries stay in the store for seconds.
func (g *Gateway) checkCrashed(endpoints []fleet.Endpoint) {
	for _, id := range g.quarantine.Unconfirmed() {
		i := slices.IndexFunc(endpoints, func(e fleet.Endpoint) bool { return e.Incarnation == id })
		if i < 0 || g.control.dialled[id].After(time.Now().Add(-dialTimeout)) {
			continue
		}
		g.control.dialled[id] = time.Now()
		address := endpoints[i].Address.String()
		g.group.Go(func() error {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err != nil {
				g.log.Info("endpoint_down", "endpoint", id, "error", err)
				g.quarantine.RecordDown(id)
				g.confirmations.recordDown(id)
				return nil
			}
			return conn.Close()
		})
	}
}

// hexParts returns the ids of parts as in the callers' headers.
func hexParts(parts []quarantine.PartID) []string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = strconv.FormatUint(uint64(part), 16)
	}
	return ids
}

// runQuarantine stores the quarantines while this host is the leader, so that they
// outlast a restart of all hosts. In a restored store they are stored again.
func (g *Gateway) runQuarantine(ctx context.Context) error {
	stored, era, led := "null", keyvalue.Era(0), false
	for pause.For(ctx, quarantineInterval) {
		if _, ok := g.elector.Fence(); !ok {
			continue
		}
		latest := g.storeEra()
		if led && latest != era {
			stored = ""
		}
		era, led = latest, true
		data, err := json.Marshal(g.quarantine.Orders())
		if err != nil || string(data) == stored {
			continue
		}
		if err := g.storeQuarantine(ctx, data); err != nil {
			g.log.Info("quarantine_not_stored", "error", err)
			continue
		}
		stored = string(data)
	}
	return nil
}

func (g *Gateway) storeQuarantine(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, duty.CallTimeout)
	defer cancel()
	_, err := g.platform.Store.Commit(ctx, keyvalue.Transaction{Writes: []keyvalue.Entry{{Key: quarantineKey, Data: data}}})
	return err
}

// readQuarantine reads the stored quarantines.
func (g *Gateway) readQuarantine(ctx context.Context) error {
	listing, err := g.platform.Store.Range(ctx, quarantineKey)
	if err != nil {
		return err
	}
	for _, v := range listing.Values {
		var orders []quarantine.Order
		if err := json.Unmarshal(v.Data, &orders); err != nil {
			g.log.Warn("quarantine_unreadable", "revision", v.Revision, "error", err)
			continue
		}
		g.quarantine.Merge(quarantine.Evidence{Orders: orders})
	}
	return nil
}
