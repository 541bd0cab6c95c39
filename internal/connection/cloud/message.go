// Package cloud speaks to the cloud API and the host list.
//
// # Starting hosts
//
// A Start carries a tag of the caller's choice. The API does not refuse a
// repeated tag, and its answer can be lost after a host was started, so callers
// look for their tag in the host list before they ask again.
//
// # Notices
//
// A Notice announces that a host will be taken back. Notices are numbered; the
// same one may be seen twice, and a host may go without one.
package cloud

import (
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// The paths of the cloud API and the host list.
const (
	// HostsPath: GET is the host list, POST a Start; DELETE HostsPath/{host} ends one.
	HostsPath = "/v1/hosts"
	// NoticesPath with after=N lists the Notices numbered above N.
	NoticesPath = "/v1/notices"
)

// State is a host's state in the host list, which lags.
type State string

// The states.
const (
	Starting State = "starting"
	Live     State = "live"
	Leaving  State = "leaving"
)

// Host is one line of the host list. Entry hosts are listed without a service.
type Host struct {
	ID          identity.Host        `json:"id"`
	Incarnation identity.Incarnation `json:"incarnation"`
	Zone        identity.Zone        `json:"zone"`
	Class       identity.Class       `json:"class"`
	Reclaimable bool                 `json:"reclaimable"`
	Service     identity.Service     `json:"service,omitempty"`
	// Address is where the endpoint, or a peer of an entry host, is reached.
	Address netip.AddrPort `json:"address"`
	State   State          `json:"state"`
	Tag     string         `json:"tag,omitempty"`
	// ChecksFence tells whether the endpoint refuses orders with an old fence.
	ChecksFence bool `json:"checks_fence"`
}

// Hosts is the host list.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// Start asks for a host.
type Start struct {
	Tag         string           `json:"tag"`
	Zone        identity.Zone    `json:"zone"`
	Class       identity.Class   `json:"class"`
	Reclaimable bool             `json:"reclaimable"`
	Service     identity.Service `json:"service"`
}

// Notice announces a reclaim, or withdraws it.
type Notice struct {
	Sequence uint64        `json:"sequence"`
	Host     identity.Host `json:"host"`
	// Incarnation is empty when the cloud does not know it.
	Incarnation identity.Incarnation `json:"incarnation,omitempty"`
	Deadline    time.Time            `json:"deadline"`
	Withdrawn   bool                 `json:"withdrawn,omitempty"`
}

// Notices lists notices in order.
type Notices struct {
	Notices []Notice `json:"notices"`
}
