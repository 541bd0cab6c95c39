package configuration

import (
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Move is an operator's order to move a service from one zone to another. It
// stays in the configuration until it is done or cancelled, so that any lease
// holder can continue it.
type Move struct {
	// Number is the version under which the move was accepted.
	Number  identity.Version `json:"number"`
	Service identity.Service `json:"service"`
	From    identity.Zone    `json:"from"`
	To      identity.Zone    `json:"to"`
}

// Stop is an operator's order that one incarnation of an endpoint must leave.
type Stop struct {
	Host        identity.Host        `json:"host"`
	Incarnation identity.Incarnation `json:"incarnation"`
}

// The maximum number of orders in a configuration. A further move is rejected. A
// further stop replaces the oldest one, whose host is assumed to have left.
const (
	MaxMoves = 64
	MaxStops = 256
)

// Move returns the pending move with the given number.
func (c Configuration) Move(number identity.Version) (Move, bool) {
	i := slices.IndexFunc(c.Moves, func(m Move) bool { return m.Number == number })
	if i < 0 {
		return Move{}, false
	}
	return c.Moves[i], true
}

// WithoutMove returns a copy without the given move.
func (c Configuration) WithoutMove(number identity.Version) Configuration {
	c = c.Clone()
	c.Moves = slices.DeleteFunc(c.Moves, func(m Move) bool { return m.Number == number })
	if len(c.Moves) == 0 {
		c.Moves = nil
	}
	return c
}

// WithStop returns a copy with s added.
func (c Configuration) WithStop(s Stop) Configuration {
	c = c.Clone()
	c.Stops = append(c.Stops, s)
	c.Stops = c.Stops[max(0, len(c.Stops)-MaxStops):]
	return c
}
