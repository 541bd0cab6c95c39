package replacement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// State is the progress of a need.
type State string

// The states of a need.
const (
	// Wanted means that a host is to be ordered when Due is reached.
	Wanted State = "wanted"
	// Ordered means that an order is recorded. It may not have been sent to the
	// cloud yet, and its answer is not known.
	Ordered State = "asked"
	// Started means that the need has a host.
	Started State = "started"
)

// Need is the demand for one host in place of another that leaves.
type Need struct {
	// LeavingIncarnation is the incarnation to be replaced; each has one need.
	LeavingIncarnation identity.Incarnation `json:"for"`
	Service            identity.Service     `json:"service"`
	State              State                `json:"state"`
	// Attempt counts the orders sent to the cloud. It is part of the tag.
	Attempt int `json:"attempt"`
	// Refusals counts the refused attempts. It selects the next option and the
	// back-off.
	Refusals  int       `json:"refusals"`
	Due       time.Time `json:"due"`
	OrderedAt time.Time `json:"asked_at"`
	Option    Option    `json:"option"`
	// Host is set once Started.
	Host identity.Host `json:"host,omitempty"`
	// ReplacedHost is the host to end once the new one is ready: an on-demand host
	// or one that a move takes away.
	ReplacedHost identity.Host `json:"gives_back,omitempty"`
	// LeftAt is when ReplacedHost was first ordered to leave. ReplacedHostEnded is set
	// once that host has been ended.
	LeftAt            time.Time `json:"left_at"`
	ReplacedHostEnded bool      `json:"ended,omitempty"`
	// Move is the number of the move that caused the need, To the move's target
	// zone.
	Move identity.Version `json:"move,omitempty"`
	To   identity.Zone    `json:"to,omitempty"`
}

// Option is one kind of host that can be ordered.
type Option struct {
	Zone        identity.Zone  `json:"zone"`
	Class       identity.Class `json:"class"`
	Reclaimable bool           `json:"reclaimable"`
	// Price is the price per hour.
	Price unit.Money `json:"price"`
}

const systemTagPrefix = "dandelionlift/"

// tag returns the cloud tag of the need's current attempt.
func (n Need) tag() string {
	return fmt.Sprintf("%s%d", n.needTagPrefix(), n.Attempt)
}

// needTagPrefix returns the common prefix of the tags of all attempts.
func (n Need) needTagPrefix() string { return systemTagPrefix + string(n.LeavingIncarnation) + "/" }

// incarnationOf returns the incarnation that a host was started to replace,
// according to its tag.
func incarnationOf(h cloud.Host) identity.Incarnation {
	rest := strings.TrimPrefix(h.Tag, systemTagPrefix)
	return identity.Incarnation(rest[:max(0, strings.LastIndexByte(rest, '/'))])
}

// IsManaged reports whether a host was started by this system.
func IsManaged(h cloud.Host) bool { return strings.HasPrefix(h.Tag, systemTagPrefix) }

// hosts returns the listed hosts that any attempt started for the need, ordered by
// attempt.
func (n Need) hosts(listed []cloud.Host) []cloud.Host {
	var found []cloud.Host
	for _, h := range listed {
		if strings.HasPrefix(h.Tag, n.needTagPrefix()) {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, func(a, b cloud.Host) int {
		return cmp.Or(cmp.Compare(len(a.Tag), len(b.Tag)), cmp.Compare(a.Tag, b.Tag), cmp.Compare(a.ID, b.ID))
	})
	return found
}

// Options returns the kinds of host to order in place of one in zone, most
// preferred first: reclaimable hosts before on-demand ones, then those of the zone
// itself before those of its region before others, then by price.
func Options(c configuration.Configuration, zone identity.Zone) []Option {
	var options []Option
	for _, p := range c.Prices {
		options = append(options,
			Option{Zone: p.Zone, Class: p.Class, Reclaimable: true, Price: p.Reclaimable},
			Option{Zone: p.Zone, Class: p.Class, Price: p.OnDemand},
		)
	}
	distance := func(o Option) int {
		switch {
		case o.Zone == zone:
			return 0
		case c.Region(o.Zone) == c.Region(zone):
			return 1
		default:
			return 2
		}
	}
	onDemand := func(o Option) int {
		if o.Reclaimable {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(options, func(a, b Option) int {
		return cmp.Or(
			cmp.Compare(onDemand(a), onDemand(b)),
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(a.Price, b.Price),
		)
	})
	return options
}
