// Package identity names the things a deployment consists of.
//
// # Names and incarnations
//
// A Host, Zone, Region, Service or Organisation is named by its operators and
// keeps its name for as long as they say. An Incarnation is minted by a process
// each time it starts, so that a restarted host, or a new host on an old
// address, is never taken for its predecessor.
//
// # Fencing numbers
//
// A Fence grows with every change of a lease's holder. An order that carries a
// lower Fence than one already obeyed is stale.
package identity

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"
)

// Host names one machine, entry host or endpoint, as the host list does.
type Host string

// Zone names an availability zone.
type Zone string

// Region names a group of zones with fast links between them.
type Region string

// Service names a model or plain service that calls are made to.
type Service string

// Organisation names a party whose callers share limits and cached prefixes.
type Organisation string

// Class names a machine class in the cloud's price list.
type Class string

// Incarnation names one life of a process on a host.
type Incarnation string

// Request names one accepted request for as long as its answer is kept.
type Request string

// Command names one operator command; a repeat carries the same Command.
type Command string

// Fence orders the holders of one lease: a later holder has a higher Fence.
type Fence uint64

// Version orders accepted configurations; zero means none yet.
type Version uint64

const incarnationBytes = 8

// NewIncarnation mints an Incarnation that no other process has.
func NewIncarnation() Incarnation {
	raw := make([]byte, incarnationBytes)
	rand.Read(raw)
	return Incarnation(hex.EncodeToString(raw))
}

// NewRequest mints a Request id that sorts by the time of its making.
func NewRequest() Request {
	return Request(uuid.Must(uuid.NewV7()).String())
}

// NewRequestAt mints a Request id that AcceptedAt recognises as of host.
func NewRequestAt(host Host) Request {
	id := uuid.Must(uuid.NewV7())
	binary.BigEndian.PutUint32(id[hostAt:], hostMark(host))
	return Request(id.String())
}

// AcceptedAt tells whether host may have minted r; a few other hosts may match.
func (r Request) AcceptedAt(host Host) bool {
	id, err := uuid.Parse(string(r))
	return err == nil && binary.BigEndian.Uint32(id[hostAt:]) == hostMark(host)
}

// hostAt is where a request id carries the mark of its host.
const hostAt = 12

func hostMark(host Host) uint32 {
	return uint32(xxh3.HashString(string(host)))
}

// NewCommand mints a Command id.
func NewCommand() Command {
	return Command(uuid.Must(uuid.NewV7()).String())
}
