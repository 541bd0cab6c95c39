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
	// stopTakes is how long a stopped endpoint is kept for its cache to be
	// carried, however little work it has.
	stopTakes = 45 * time.Second
	// movesKept bounds the moves whose costs are kept.
	movesKept = 64
)

// Moved is what a move really took, kept beside what it was expected to.
type Moved struct {
	Number  identity.Version `json:"number"`
	Service identity.Service `json:"service"`
	From    identity.Zone    `json:"from"`
	To      identity.Zone    `json:"to"`
	Began   time.Time        `json:"began"`
	// Ended is zero while the move goes on.
	Ended     time.Time `json:"ended"`
	Cancelled bool      `json:"cancelled"`
	// Endpoints counts those that moved.
	Endpoints int `json:"endpoints"`
	// PriceAfter is the hourly price of the new endpoints, Doubled what was
	// paid for them until the old ones ended.
	PriceAfter unit.Money `json:"price_after"`
	Doubled    unit.Money `json:"doubled"`
}

// Moves gives what the moves out of this zone took, in the order they began.
func (r *Replacement) Moves() []Moved {
	if moves := r.moved.Load(); moves != nil {
		return *moves
	}
	return nil
}

// move adds a need for each endpoint that an ordered move takes elsewhere.
func (r *Replacement) move(now time.Time, s *fleet.Snapshot) {
	for _, m := range s.Configuration.Moves {
		if m.From != r.Zone {
			continue
		}
		if r.movedAt(m.Number) == nil {
			r.plan.Moves = append(r.plan.Moves, Moved{Number: m.Number, Service: m.Service, From: m.From, To: m.To, Began: now})
			r.plan.Moves = r.plan.Moves[max(0, len(r.plan.Moves)-movesKept):]
		}
		for _, i := range s.Serving(m.Service) {
			e := s.Endpoints[i]
			known := func(n Need) bool { return n.For == e.Incarnation }
			if e.Zone != m.From || e.Leaving || slices.ContainsFunc(r.plan.Needs, known) {
				continue
			}
			r.plan.Needs = append(r.plan.Needs, Need{
				For: e.Incarnation, Service: e.Service, State: Wanted, Due: now, GivesBack: e.Host, Move: m.Number, To: m.To,
			})
		}
	}
}

func (r *Replacement) movedAt(number identity.Version) *Moved {
	i := slices.IndexFunc(r.plan.Moves, func(m Moved) bool { return m.Number == number })
	if i < 0 {
		return nil
	}
	return &r.plan.Moves[i]
}

// cancelled takes back a need of a move that is no longer pending, and reports
// whether it is settled. An endpoint that already leaves goes on leaving.
func (r *Replacement) cancelled(ctx context.Context, s *fleet.Snapshot, n *Need, listed []cloud.Host) (bool, error) {
	if n.Move == 0 {
		return false, nil
	}
	if _, pending := s.Configuration.Move(n.Move); pending {
		return false, nil
	}
	old, ok := s.Find(n.GivesBack)
	if !ok || old.Leaving {
		return false, nil
	}
	if n.State != Started {
		return n.State == Wanted, nil
	}
	if !slices.ContainsFunc(listed, func(h cloud.Host) bool { return h.ID == n.Host }) {
		return time.Since(n.AskedAt) > settleAfter, nil
	}
	return false, r.end(ctx, n.Host)
}

// conclude ends moves that have nothing left to do.
func (r *Replacement) conclude(ctx context.Context, now time.Time, s *fleet.Snapshot) {
	for i := range r.plan.Moves {
		m := &r.plan.Moves[i]
		waits := func(n Need) bool {
			_, there := s.Find(n.GivesBack)
			return n.Move == m.Number && there
		}
		if !m.Ended.IsZero() || slices.ContainsFunc(r.plan.Needs, waits) {
			continue
		}
		_, pending := s.Configuration.Move(m.Number)
		if pending && serves(s, m.Service, m.From) {
			continue
		}
		m.Ended, m.Cancelled = now, !pending && serves(s, m.Service, m.From)
		if pending {
			r.MoveDone(ctx, m.Number)
		}
	}
}

func serves(s *fleet.Snapshot, service identity.Service, zone identity.Zone) bool {
	return slices.ContainsFunc(s.Serving(service), func(i int) bool { return s.Endpoints[i].Zone == zone })
}

// account adds the end of one moved endpoint to its move's cost.
func (r *Replacement) account(now time.Time, n Need) {
	m := r.movedAt(n.Move)
	if m == nil {
		return
	}
	m.Endpoints++
	m.PriceAfter += n.Option.Price
	m.Doubled += unit.Money(float64(n.Option.Price) * now.Sub(n.AskedAt).Hours())
}

// stops ends endpoints that operators stopped, once they have no work and their
// cache had its time.
func (r *Replacement) stops(ctx context.Context, now time.Time, s *fleet.Snapshot) error {
	if r.stopSeen == nil {
		r.stopSeen = make(map[identity.Incarnation]time.Time)
	}
	for _, stop := range s.Configuration.Stops {
		e, ok := s.Find(stop.Host)
		if !ok || e.Incarnation != stop.Incarnation || e.Zone != r.Zone || !e.Leaving {
			delete(r.stopSeen, stop.Incarnation)
			continue
		}
		since, seen := r.stopSeen[stop.Incarnation]
		if !seen {
			r.stopSeen[stop.Incarnation] = now
			continue
		}
		if !idle(e, since.Add(stopTakes)) {
			continue
		}
		if err := r.end(ctx, e.Host); err != nil {
			return err
		}
	}
	return nil
}

// idle tells whether an endpoint said after a time that it has no work.
func idle(e fleet.Endpoint, after time.Time) bool {
	return e.Load.At.After(after) && e.Load.Running+e.Load.Waiting == 0
}

// usable gives the options that a need may use.
func usable(n Need, options []Option) []Option {
	return slices.DeleteFunc(slices.Clone(options), func(o Option) bool {
		if n.To != "" {
			return o.Zone != n.To
		}
		return n.GivesBack != "" && !o.Reclaimable
	})
}

// stopped tells whether operators stopped an endpoint, which asks for no
// replacement.
func stopped(c configuration.Configuration, e fleet.Endpoint) bool {
	return slices.Contains(c.Stops, configuration.Stop{Host: e.Host, Incarnation: e.Incarnation})
}
