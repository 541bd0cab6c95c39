// Package identity defines the identifiers of the hosts, zones, services,
// processes and requests of a deployment.
//
// # Names and incarnations
//
// Operators name each Host, Zone, Region, Service and Organisation, and decide
// how long a name lasts. A process generates a new Incarnation each time it
// starts, so that a restarted host, or a new host on a reused address, is never
// mistaken for its predecessor.
//
// # Fencing tokens
//
// A Fence increases with every change of a lease's holder. A command is stale if
// its Fence is lower than that of a command already executed.
package identity

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"
)

// Host names one machine, an entry host or an endpoint, as in the host list.
type Host string

// Zone names an availability zone.
type Zone string

// Region names a group of zones with fast links between them.
type Region string

// Service names a model service or a plain service.
type Service string

// Organisation names an organisation, whose callers share limits and cached
// prefixes.
type Organisation string

// Class names a machine class in the cloud provider's price list.
type Class string

// Incarnation identifies one run of a process on a host.
type Incarnation string

// Request identifies an accepted request for as long as its response is kept.
type Request string

// Software names the version of the software that an endpoint runs. Versions have no order.
type Software string

// Command identifies an operator command; a retry carries the same Command.
type Command string

// Fence is a fencing token: a later holder of the same lease has a higher one.
type Fence uint64

// Version orders accepted configurations; zero means none yet.
type Version uint64

const incarnationBytes = 8

// NewIncarnation returns a new random Incarnation.
func NewIncarnation() Incarnation {
	raw := make([]byte, incarnationBytes)
	rand.Read(raw)
	return Incarnation(hex.EncodeToString(raw))
}

// NewRequest returns a Request id that sorts by creation time.
func NewRequest() Request {
	return Request(uuid.Must(uuid.NewV7()).String())
}

// NewRequestFrom returns a Request id that contains a hash of host, for
// MayBeFrom.
func NewRequestFrom(host Host) Request {
	id := uuid.Must(uuid.NewV7())
	binary.BigEndian.PutUint32(id[hostHashOffset:], hostHash(host))
	return Request(id.String())
}

// MayBeFrom reports whether host may have created r. Hosts whose hashes collide
// match as well.
func (r Request) MayBeFrom(host Host) bool {
	id, err := uuid.Parse(string(r))
	return err == nil && binary.BigEndian.Uint32(id[hostHashOffset:]) == hostHash(host)
}

// hostHashOffset is the byte offset of the host's hash in a request id.
const hostHashOffset = 12

func hostHash(host Host) uint32 {
	return uint32(xxh3.HashString(string(host)))
}

// NewCommand returns a new Command id.
func NewCommand() Command {
	return Command(uuid.Must(uuid.NewV7()).String())
}
