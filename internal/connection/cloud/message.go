// Package cloud is a client of the cloud API and the host list. A Client starts and
// ends single hosts; LeaderCalls are for a platform that takes desired counts and
// usage reports instead.
//
// # Starting hosts
//
// A StartRequest carries a tag chosen by the caller. The API does not deduplicate
// tags, and its response can be lost after a host was started, so callers look
// for their tag in the host list before they retry.
//
// # Notices
//
// A Notice announces that a host will be reclaimed. Notices have sequence numbers.
// A notice may be delivered twice, and a host may be reclaimed without one.
package cloud

import (
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Paths of the cloud API and the host list.
const (
	// HostsPath: GET returns the host list, POST takes a StartRequest, and
	// DELETE HostsPath/{host} terminates a host.
	HostsPath = "/v1/hosts"
	// NoticesPath with after=N lists the Notices with sequence numbers above N.
	NoticesPath = "/v1/notices"
)

// State is a host's state in the host list, which may be out of date.
type State string

// States of a host.
const (
	Starting State = "starting"
	Live     State = "live"
	Leaving  State = "leaving"
)

// Host is one item of the host list. Entry hosts have no service.
type Host struct {
	ID          identity.Host        `json:"id"`
	Incarnation identity.Incarnation `json:"incarnation"`
	Zone        identity.Zone        `json:"zone"`
	Class       identity.Class       `json:"class"`
	Reclaimable bool                 `json:"reclaimable"`
	Service     identity.Service     `json:"service,omitempty"`
	// Address is the address of the endpoint, or of an entry host's peer listener.
	Address netip.AddrPort `json:"address"`
	State   State          `json:"state"`
	Tag     string         `json:"tag,omitempty"`
	// ChecksFence says that the endpoint rejects orders with a stale fence.
	ChecksFence bool `json:"checks_fence"`
}

// Hosts is the host list.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// StartRequest is a request for a host.
type StartRequest struct {
	Tag         string           `json:"tag"`
	Zone        identity.Zone    `json:"zone"`
	Class       identity.Class   `json:"class"`
	Reclaimable bool             `json:"reclaimable"`
	Service     identity.Service `json:"service"`
}

// Notice announces that a host will be reclaimed, or withdraws that announcement.
type Notice struct {
	Sequence uint64        `json:"sequence"`
	Host     identity.Host `json:"host"`
	// Incarnation is empty if the cloud does not know it.
	Incarnation identity.Incarnation `json:"incarnation,omitempty"`
	Deadline    time.Time            `json:"deadline"`
	Withdrawn   bool                 `json:"withdrawn,omitempty"`
}

// Notices lists notices in order.
type Notices struct {
	Notices []Notice `json:"notices"`
}
