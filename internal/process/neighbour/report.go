package neighbour

import (
	"maps"
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// Load is what one host has under way at one endpoint.
type Load struct {
	// Running counts its calls there, Unread their prompt tokens not yet read.
	Running int         `json:"r,omitempty"`
	Unread  unit.Tokens `json:"u,omitempty"`
	// Held is the memory that the running calls need in the end.
	Held unit.Tokens `json:"h,omitempty"`
	// Failing tells that the host has ejected the endpoint.
	Failing bool `json:"f,omitempty"`
}

// Duty is what the holder of the duty lease says of it.
type Duty struct {
	Fence identity.Fence `json:"fence"`
}

// Report is what one host tells the others, whole each time.
type Report struct {
	Host        identity.Host        `json:"host"`
	Incarnation identity.Incarnation `json:"inc"`
	Address     netip.AddrPort       `json:"addr"`
	Zone        identity.Zone        `json:"zone"`
	// Sequence grows with each report of one incarnation.
	Sequence uint64 `json:"seq"`
	// Wall is the sender's wall clock, in nanoseconds since 1970.
	Wall int64 `json:"wall"`
	// Revisions are the newest change that the sender knows of each prefix.
	Revisions map[string]keyvalue.Revision `json:"rev,omitempty"`
	// Demand is the tokens a second that callers ask for by organisation.
	Demand map[identity.Organisation]float64 `json:"dem,omitempty"`
	// Work is the endpoint seconds a second that callers ask for, by service.
	Work map[identity.Service]float64 `json:"work,omitempty"`
	// Usage are the counts of the last windows.
	Usage map[usage.Window]usage.Counts `json:"use,omitempty"`
	// Loads is what the sender has under way.
	Loads map[identity.Incarnation]Load `json:"load,omitempty"`
	// Leaving are endpoints that the sender knows to leave.
	Leaving []identity.Incarnation `json:"leave,omitempty"`
	// Duty is set while the sender holds the duty lease.
	Duty *Duty `json:"duty,omitempty"`
	// Known are other hosts, in turn.
	Known []Known `json:"known,omitempty"`
	// Hosts is how many hosts the report stands for; zero means one. Above that
	// it is the sum of a zone, made by one of its relays.
	Hosts int `json:"hosts,omitempty"`
	// Zones are the sums of other zones that a relay passes on.
	Zones []Report `json:"zones,omitempty"`
	// Relay tells that the sender follows the store, for others to copy from.
	Relay bool `json:"relay,omitempty"`
	// Goodbye tells that the sender stops.
	Goodbye bool `json:"bye,omitempty"`
}

// Known is where a host may be.
type Known struct {
	Address netip.AddrPort `json:"a"`
	// Zone is empty if it is not known.
	Zone identity.Zone `json:"z,omitempty"`
}

// Count is how many hosts a report stands for.
func (r *Report) Count() int { return max(1, r.Hosts) }

// Heard is the last report of a host and when it came.
type Heard struct {
	Report
	At time.Time
}

// sum adds up the reports of one zone.
func sum(own Report, zone []Heard) Report {
	total := Report{
		Host: own.Host, Incarnation: own.Incarnation, Address: own.Address, Zone: own.Zone, Sequence: own.Sequence,
		Hosts: 1, Revisions: own.Revisions, Duty: own.Duty, Leaving: own.Leaving,
		Demand: maps.Clone(own.Demand), Work: maps.Clone(own.Work), Loads: maps.Clone(own.Loads), Usage: clone(own.Usage),
	}
	for i := range zone {
		r := &zone[i].Report
		total.Hosts++
		add(total.Demand, r.Demand)
		add(total.Work, r.Work)
		for id, load := range r.Loads {
			total.Loads[id] = total.Loads[id].plus(load)
		}
		if r.Duty != nil {
			total.Duty = r.Duty
		}
	}
	return total
}

func add[K comparable](total, more map[K]float64) {
	for k, v := range more {
		total[k] += v
	}
}

func clone(windows map[usage.Window]usage.Counts) map[usage.Window]usage.Counts {
	copied := make(map[usage.Window]usage.Counts, len(windows))
	for w, counts := range windows {
		copied[w] = maps.Clone(counts)
	}
	return copied
}

// plus adds what another host has under way at the same endpoint.
func (l Load) plus(m Load) Load {
	return Load{Running: l.Running + m.Running, Unread: l.Unread + m.Unread, Held: l.Held + m.Held, Failing: l.Failing || m.Failing}
}
