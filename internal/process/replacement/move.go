package replacement

import (
	"context"
	"slices"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	// cacheTransferTime is how long a stopped endpoint is kept, even without work,
	// so that its cache can be transferred.
	cacheTransferTime = 45 * time.Second
	// maxMoves is how many moves are kept with their costs.
	maxMoves = 64
)

// MoveRecord records the actual course and cost of a move.
type MoveRecord struct {
	Number  identity.Version `json:"number"`
	Service identity.Service `json:"service"`
	From    identity.Zone    `json:"from"`
	To      identity.Zone    `json:"to"`
	Began   time.Time        `json:"began"`
	// Ended is zero while the move is in progress.
	Ended     time.Time `json:"ended"`
	Cancelled bool      `json:"cancelled"`
	// Endpoints is the number of endpoints moved so far.
	Endpoints int `json:"endpoints"`
	// PriceAfter is the hourly price of the new endpoints. OverlapCost is what
	// they cost while the old endpoints were still running.
	PriceAfter  unit.Money `json:"price_after"`
	OverlapCost unit.Money `json:"doubled"`
}

// Moves returns the moves out of this zone, in the order they began.
func (r *Replacement) Moves() []MoveRecord {
	if moves := r.moveRecords.Load(); moves != nil {
		return *moves
	}
	return nil
}

// addMoveNeeds adds a need for each endpoint that a configured move takes to
// another zone.
func (r *Replacement) addMoveNeeds(now time.Time, s *fleet.Snapshot) {
	for _, m := range s.Configuration.Moves {
		if m.From != r.Zone {
			continue
		}
		if r.findMove(m.Number) == nil {
			r.plan.Moves = append(r.plan.Moves, MoveRecord{Number: m.Number, Service: m.Service, From: m.From, To: m.To, Began: now})
			r.plan.Moves = r.plan.Moves[max(0, len(r.plan.Moves)-maxMoves):]
		}
		for _, i := range s.Serving(m.Service) {
			e := s.Endpoints[i]
			known := func(n Need) bool { return n.LeavingIncarnation == e.Incarnation }
			if e.Zone != m.From || e.Leaving || slices.ContainsFunc(r.plan.Needs, known) {
				continue
			}
			r.plan.Needs = append(r.plan.Needs, Need{
				LeavingIncarnation: e.Incarnation, Service: e.Service, State: Wanted, Due: now, ReplacedHost: e.Host, Move: m.Number, To: m.To,
			})
		}
	}
}

func (r *Replacement) findMove(number identity.Version) *MoveRecord {
	i := slices.IndexFunc(r.plan.Moves, func(m MoveRecord) bool { return m.Number == number })
	if i < 0 {
		return nil
	}
	return &r.plan.Moves[i]
}

// cancelNeed undoes a need whose move is no longer pending and reports whether the
// need can be dropped. An endpoint that is already leaving goes on leaving.
func (r *Replacement) cancelNeed(ctx context.Context, s *fleet.Snapshot, n *Need, listed []cloud.Host) (bool, error) {
	if n.Move == 0 {
		return false, nil
	}
	if _, pending := s.Configuration.Move(n.Move); pending {
		return false, nil
	}
	old, ok := s.Find(n.ReplacedHost)
	if !ok || old.Leaving {
		return false, nil
	}
	if n.State != Started {
		return n.State == Wanted, nil
	}
	if !slices.ContainsFunc(listed, func(h cloud.Host) bool { return h.ID == n.Host }) {
		return time.Since(n.OrderedAt) > maxListingDelay, nil
	}
	return false, r.endHost(ctx, n.Host)
}

// finishMoves marks moves as ended when none of their old endpoints is left or
// they were cancelled.
func (r *Replacement) finishMoves(ctx context.Context, now time.Time, s *fleet.Snapshot) {
	for i := range r.plan.Moves {
		m := &r.plan.Moves[i]
		unfinished := func(n Need) bool {
			_, listed := s.Find(n.ReplacedHost)
			return n.Move == m.Number && listed
		}
		if !m.Ended.IsZero() || slices.ContainsFunc(r.plan.Needs, unfinished) {
			continue
		}
		_, pending := s.Configuration.Move(m.Number)
		if pending && serves(s, m.Service, m.From) {
			continue
		}
		m.Ended, m.Cancelled = now, !pending && serves(s, m.Service, m.From)
		if pending {
			r.RemoveMove(ctx, m.Number)
		}
	}
}

func serves(s *fleet.Snapshot, service identity.Service, zone identity.Zone) bool {
	return slices.ContainsFunc(s.Serving(service), func(i int) bool { return s.Endpoints[i].Zone == zone })
}

// addCost adds one endpoint to its move's cost when the old endpoint is ended.
func (r *Replacement) addCost(now time.Time, n Need) {
	m := r.findMove(n.Move)
	if m == nil {
		return
	}
	m.Endpoints++
	m.PriceAfter += n.Option.Price
	m.OverlapCost += unit.Money(float64(n.Option.Price) * now.Sub(n.OrderedAt).Hours())
}

// endStopped ends endpoints that operators stopped, once they have no work and
// cacheTransferTime has passed.
func (r *Replacement) endStopped(ctx context.Context, now time.Time, s *fleet.Snapshot) error {
	if r.stopSeenAt == nil {
		r.stopSeenAt = make(map[identity.Incarnation]time.Time)
	}
	for _, stop := range s.Configuration.Stops {
		e, ok := s.Find(stop.Host)
		if !ok || e.Incarnation != stop.Incarnation || e.Zone != r.Zone || !e.Leaving {
			delete(r.stopSeenAt, stop.Incarnation)
			continue
		}
		since, seen := r.stopSeenAt[stop.Incarnation]
		if !seen {
			r.stopSeenAt[stop.Incarnation] = now
			continue
		}
		if !idle(e, since.Add(cacheTransferTime)) {
			continue
		}
		if err := r.endHost(ctx, e.Host); err != nil {
			return err
		}
	}
	return nil
}

// idle reports whether an endpoint has reported after the given time that it has
// no work.
func idle(e fleet.Endpoint, after time.Time) bool {
	return e.Load.ReceivedAt.After(after) && e.Load.Running+e.Load.Waiting == 0
}

// usableOptions returns the options that a need may use: those in the target zone
// of a move, only reclaimable ones to replace an on-demand host, otherwise all.
func usableOptions(n Need, options []Option) []Option {
	return slices.DeleteFunc(slices.Clone(options), func(o Option) bool {
		if n.To != "" {
			return o.Zone != n.To
		}
		return n.ReplacedHost != "" && !o.Reclaimable
	})
}

// stopped reports whether operators stopped an endpoint. A stopped endpoint is not
// replaced.
func stopped(c configuration.Configuration, e fleet.Endpoint) bool {
	return slices.Contains(c.Stops, configuration.Stop{Host: e.Host, Incarnation: e.Incarnation})
}
