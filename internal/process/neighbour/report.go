package neighbour

import (
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
	// Known are addresses of other hosts, in turn.
	Known []netip.AddrPort `json:"known,omitempty"`
	// Goodbye tells that the sender stops.
	Goodbye bool `json:"bye,omitempty"`
}

// Heard is the last report of a host and when it came.
type Heard struct {
	Report
	At time.Time
}
