// Package claims lets entry hosts write claims for one another.
//
// # One writer a shard
//
// Claims are right whoever writes them, but fewest writes are needed when one
// host writes a shard for all. Writer picks it by rendezvous over the hosts that
// live; hosts that disagree on who lives only cost more writes.
package claims

import (
	"fmt"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Writer picks the host that writes a shard, or "" when there are none.
func Writer(shard int, hosts []identity.Host) identity.Host {
	var best identity.Host
	highest := uint64(0)
	for _, h := range hosts {
		weight := xxh3.HashString(fmt.Sprintf("%d/%s", shard, h))
		if best == "" || weight > highest {
			best, highest = h, weight
		}
	}
	return best
}
