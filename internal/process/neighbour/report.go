package neighbour

import (
	"maps"
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/departure"
	"github.com/dandelionlift/dandelionlift/internal/process/limit"
	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/process/speed"
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Load is one host's outstanding work at one endpoint.
type Load struct {
	// Running counts the calls in flight, PendingPrefill their prompt tokens that the
	// endpoint has not processed yet.
	Running        int         `json:"r,omitempty"`
	PendingPrefill unit.Tokens `json:"u,omitempty"`
	// ReservedCache is the cache memory, in tokens, that the running calls will need by
	// their end.
	ReservedCache unit.Tokens `json:"h,omitempty"`
	// Ejected is set if the host has ejected the endpoint, that is, avoids it for a
	// time after failed calls.
	Ejected bool `json:"f,omitempty"`
}

// Leader is the report of the leader, the host that holds the duty lease and does
// what only one host of the fleet may do.
type Leader struct {
	Fence identity.Fence `json:"fence"`
}

// Report is the complete state that one host sends to the others. It also
// represents a whole zone, as an aggregate.
type Report struct {
	Host        identity.Host        `json:"host"`
	Incarnation identity.Incarnation `json:"inc"`
	Address     netip.AddrPort       `json:"addr"`
	Zone        identity.Zone        `json:"zone"`
	// Sequence increases with each report of an incarnation.
	Sequence uint64 `json:"seq"`
	// WallNanos is the sender's wall clock in Unix nanoseconds.
	WallNanos int64 `json:"wall"`
	// Revisions holds the revision of the newest change known to the sender, by
	// key prefix.
	Revisions map[string]keyvalue.Revision `json:"rev,omitempty"`
	// TokenDemand is the requested tokens per second by organisation.
	TokenDemand map[identity.Organisation]float64 `json:"dem,omitempty"`
	// TokensAdmitted is the number of tokens that passed the limits since the sender
	// started, by organisation. Aggregates for other zones don't have them.
	TokensAdmitted map[identity.Organisation]float64 `json:"adm,omitempty"`
	// ServiceDemand is the endpoint time, in seconds, that the calls requested in one
	// second take, by service.
	ServiceDemand map[identity.Service]float64 `json:"work,omitempty"`
	// ServiceDemandSquares is the sum of the squares of those calls' times.
	ServiceDemandSquares map[identity.Service]float64 `json:"worksq,omitempty"`
	// Speeds holds what the sender has learned about the speed of endpoints, by
	// service.
	Speeds map[identity.Service]speed.Estimate `json:"spd,omitempty"`
	// Usage holds the call counts of the most recent windows.
	Usage map[usage.Window]usage.Counts `json:"use,omitempty"`
	// UsageBegun holds the windows that a leader has begun to report to the platform, as
	// far as the sender knows, and the era of the store in which it began.
	UsageBegun map[usage.Window]keyvalue.Era `json:"useb,omitempty"`
	// Loads is the sender's outstanding work by endpoint.
	Loads map[identity.Incarnation]Load `json:"load,omitempty"`
	// Departures holds the endpoints that the sender knows to be leaving.
	Departures departure.Departures `json:"dep,omitempty"`
	// Limits holds the limits that endpoints have named, those that have ended included.
	Limits map[identity.Incarnation]limit.Named `json:"lim,omitempty"`
	// ZoneHosts lists the live hosts of a relay's zone in the order of addresses, while
	// there are Limits: the hosts of the zone share them.
	ZoneHosts []netip.AddrPort `json:"zh,omitempty"`
	// Quarantine holds what the sender knows of prompts that crash endpoints.
	Quarantine quarantine.Evidence `json:"quar,omitzero"`
	// Leader is set while the sender is the leader.
	Leader *Leader `json:"duty,omitempty"`
	// KnownHosts is a random sample of the hosts that the sender knows.
	KnownHosts []KnownHost `json:"known,omitempty"`
	// Hosts is how many hosts an aggregate covers. It is zero in the report of a
	// single host.
	Hosts int `json:"hosts,omitempty"`
	// ZoneAggregates holds the aggregates that a relay passes on within its zone: those
	// of other zones, and its own zone's.
	ZoneAggregates []Report `json:"zones,omitempty"`
	// Relayed is set if the sender knows that the fleet is too large for a full mesh.
	Relayed bool `json:"rlyd,omitempty"`
	// Relay is set if the sender is a relay of its zone.
	Relay bool `json:"rl,omitempty"`
	// WatchesStore is set if the sender watches the store and can serve copies of it.
	WatchesStore bool `json:"relay,omitempty"`
	// StoreFailing is set while the store does not answer the sender.
	StoreFailing bool `json:"lost,omitempty"`
	// EvidenceOnly is set in a message to another zone that holds nothing but Quarantine.
	EvidenceOnly bool `json:"evid,omitempty"`
	// Stopping is set in the last report of a host that is stopping.
	Stopping bool `json:"bye,omitempty"`
}

// KnownHost is an address at which there may be a host.
type KnownHost struct {
	Address netip.AddrPort `json:"a"`
	// Zone is empty if unknown.
	Zone identity.Zone `json:"z,omitempty"`
}

// HostCount returns how many hosts the report covers.
func (r *Report) HostCount() int { return max(1, r.Hosts) }

// ReceivedReport is a received report with its time of arrival.
type ReceivedReport struct {
	Report
	ReceivedAt time.Time
}

// aggregate combines the reports of one zone: own and those of the other hosts.
// Usage is not summed here; the caller replaces it.
func aggregate(own Report, others []ReceivedReport) Report {
	total := Report{
		Host: own.Host, Incarnation: own.Incarnation, Address: own.Address, Zone: own.Zone, Sequence: own.Sequence,
		Hosts: 1, Revisions: own.Revisions, StoreFailing: own.StoreFailing, UsageBegun: own.UsageBegun, Leader: own.Leader, Departures: own.Departures, Quarantine: own.Quarantine, Limits: own.Limits,
		TokenDemand: cloneMap(own.TokenDemand), ServiceDemand: cloneMap(own.ServiceDemand), Loads: cloneMap(own.Loads), Usage: cloneUsage(own.Usage),
		ServiceDemandSquares: cloneMap(own.ServiceDemandSquares), Speeds: cloneMap(own.Speeds),
	}
	for i := range others {
		r := &others[i].Report
		total.Hosts++
		addTo(total.TokenDemand, r.TokenDemand)
		addTo(total.ServiceDemand, r.ServiceDemand)
		addTo(total.ServiceDemandSquares, r.ServiceDemandSquares)
		for id, load := range r.Loads {
			total.Loads[id] = total.Loads[id].plus(load)
		}
		for id, e := range r.Speeds {
			total.Speeds[id] = speed.Combine(total.Speeds[id], e)
		}
		if r.Leader != nil {
			total.Leader = r.Leader
		}
	}
	return total
}

func addTo[K comparable](total, more map[K]float64) {
	for k, v := range more {
		total[k] += v
	}
}

// cloneMap returns a copy of m that is not nil.
func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	copied := make(map[K]V, len(m))
	maps.Copy(copied, m)
	return copied
}

func cloneUsage(windows map[usage.Window]usage.Counts) map[usage.Window]usage.Counts {
	copied := make(map[usage.Window]usage.Counts, len(windows))
	for w, counts := range windows {
		copied[w] = maps.Clone(counts)
	}
	return copied
}

// without returns an aggregate without what one of its hosts contributed.
func (r Report) without(host Report) Report {
	rest := r
	rest.Hosts = max(0, r.Hosts-1)
	rest.TokenDemand = subtracted(r.TokenDemand, host.TokenDemand)
	rest.TokensAdmitted = subtracted(r.TokensAdmitted, host.TokensAdmitted)
	rest.ServiceDemand = subtracted(r.ServiceDemand, host.ServiceDemand)
	rest.ServiceDemandSquares = subtracted(r.ServiceDemandSquares, host.ServiceDemandSquares)
	rest.Loads = maps.Clone(r.Loads)
	for id, load := range host.Loads {
		if total, found := rest.Loads[id]; found {
			rest.Loads[id] = total.minus(load)
		}
	}
	if r.Leader != nil && host.Leader != nil {
		rest.Leader = nil
	}
	return rest
}

// subtracted returns total without part. Values don't fall below zero, as the two may
// be from different moments.
func subtracted[K comparable](total, part map[K]float64) map[K]float64 {
	rest := maps.Clone(total)
	for k, v := range part {
		if _, found := rest[k]; found {
			rest[k] = max(0, rest[k]-v)
		}
	}
	return rest
}

// minus returns the load without a part of it, at least zero.
func (l Load) minus(part Load) Load {
	return Load{
		Running: max(0, l.Running-part.Running), PendingPrefill: max(0, l.PendingPrefill-part.PendingPrefill),
		ReservedCache: max(0, l.ReservedCache-part.ReservedCache), Ejected: l.Ejected,
	}
}

// plus returns the combined load of two hosts at the same endpoint.
func (l Load) plus(other Load) Load {
	return Load{Running: l.Running + other.Running, PendingPrefill: l.PendingPrefill + other.PendingPrefill, ReservedCache: l.ReservedCache + other.ReservedCache, Ejected: l.Ejected || other.Ejected}
}
