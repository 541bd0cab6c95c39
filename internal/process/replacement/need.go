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

// State is how far a need has come.
type State string

// The states of a need.
const (
	// Wanted waits for Due; nothing is under way.
	Wanted State = "wanted"
	// Asked was written down before the cloud was asked; its answer is not
	// known, or was lost.
	Asked State = "asked"
	// Started has a host.
	Started State = "started"
)

// Need is one host that is to take the place of one that leaves.
type Need struct {
	// For is the incarnation that leaves; there is one need for each.
	For     identity.Incarnation `json:"for"`
	Service identity.Service     `json:"service"`
	State   State                `json:"state"`
	// Attempt grows with each time the cloud is asked; it is part of the tag.
	Attempt int `json:"attempt"`
	// Refusals counts refused attempts since the need arose; it picks the
	// next option.
	Refusals int       `json:"refusals"`
	Due      time.Time `json:"due"`
	AskedAt  time.Time `json:"asked_at"`
	Option   Option    `json:"option"`
	// Host is set once Started.
	Host identity.Host `json:"host,omitempty"`
	// GivesBack is the host on demand that this one allows to end.
	GivesBack identity.Host `json:"gives_back,omitempty"`
	// LeftAt is when that host was told to leave; Ended tells that it was ended.
	LeftAt time.Time `json:"left_at"`
	Ended  bool      `json:"ended,omitempty"`
	// Move is the number of the move that asks for it, To where it goes.
	Move identity.Version `json:"move,omitempty"`
	To   identity.Zone    `json:"to,omitempty"`
}

// Option is one way to get a host.
type Option struct {
	Zone        identity.Zone  `json:"zone"`
	Class       identity.Class `json:"class"`
	Reclaimable bool           `json:"reclaimable"`
	// Price is for an hour.
	Price unit.Money `json:"price"`
}

const tagPrefix = "dandelionlift/"

// tag names one attempt of a need.
func (n Need) tag() string {
	return fmt.Sprintf("%s%d", n.tags(), n.Attempt)
}

// tags is what all tags of a need begin with.
func (n Need) tags() string { return tagPrefix + string(n.For) + "/" }

// needOf gives the incarnation that a host of ours was started for.
func needOf(h cloud.Host) identity.Incarnation {
	rest := strings.TrimPrefix(h.Tag, tagPrefix)
	return identity.Incarnation(rest[:max(0, strings.LastIndexByte(rest, '/'))])
}

// Ours tells whether a host was started by this system.
func Ours(h cloud.Host) bool { return strings.HasPrefix(h.Tag, tagPrefix) }

// hosts lists the hosts that were started for the need, by whichever attempt.
func (n Need) hosts(listed []cloud.Host) []cloud.Host {
	var found []cloud.Host
	for _, h := range listed {
		if strings.HasPrefix(h.Tag, n.tags()) {
			found = append(found, h)
		}
	}
	slices.SortFunc(found, func(a, b cloud.Host) int {
		return cmp.Or(cmp.Compare(len(a.Tag), len(b.Tag)), cmp.Compare(a.Tag, b.Tag), cmp.Compare(a.ID, b.ID))
	})
	return found
}

// Options lists the ways to get a host for a service that left zone: what can be
// reclaimed first, in the zone itself, in its region, then elsewhere, by price;
// on demand only after all of these.
func Options(c configuration.Configuration, zone identity.Zone) []Option {
	var options []Option
	for _, p := range c.Prices {
		options = append(options,
			Option{Zone: p.Zone, Class: p.Class, Reclaimable: true, Price: p.Reclaimable},
			Option{Zone: p.Zone, Class: p.Class, Price: p.OnDemand},
		)
	}
	far := func(o Option) int {
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
			cmp.Compare(far(a), far(b)),
			cmp.Compare(a.Price, b.Price),
		)
	})
	return options
}
