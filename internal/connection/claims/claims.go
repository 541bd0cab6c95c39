// Package claims lets entry hosts write claims on behalf of one another. Package
// claim defines claims and their shards.
//
// # One writer per shard
//
// Claims are correct whichever host writes them, but the number of writes is
// lowest if one host writes a shard on behalf of all. ShardWriter selects it by
// rendezvous hashing over the live hosts. If hosts disagree about which hosts are
// live, that only costs additional writes.
package claims

import (
	"fmt"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// ShardWriter returns the host that writes a shard, or "" if hosts is empty.
func ShardWriter(shard int, hosts []identity.Host) identity.Host {
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
