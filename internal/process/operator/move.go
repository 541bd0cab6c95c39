package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/spelling"
)

// route reads a move and checks its names.
func (o Operator) route(text string, r route) (configuration.Move, error) {
	c := o.Snapshot().Configuration
	if !slices.Contains(serviceNames(c), r.Service.Text) {
		return configuration.Move{}, unknown(text, "service", r.Service, serviceNames(c))
	}
	for _, zone := range []name{r.From, r.To} {
		if !slices.Contains(zoneNames(c), zone.Text) {
			return configuration.Move{}, unknown(text, "zone", zone, zoneNames(c))
		}
	}
	if r.From.Text == r.To.Text {
		return configuration.Move{}, wrong(text, r.To.Pos, "the service is moved to where it is; expected another zone")
	}
	return configuration.Move{
		Service: identity.Service(r.Service.Text), From: identity.Zone(r.From.Text), To: identity.Zone(r.To.Text),
	}, nil
}

func (o Operator) move(text string, r route) (*order, error) {
	move, err := o.route(text, r)
	if err != nil {
		return nil, err
	}
	if o.Move == nil {
		return nil, errors.New(missing("move").Error)
	}
	if !slices.ContainsFunc(o.Snapshot().Endpoints, func(e fleet.Endpoint) bool {
		return e.Service == move.Service && e.Zone == move.From && !e.Leaving
	}) {
		return nil, wrong(text, r.From.Pos, "no live endpoint of %s is in %s", r.Service.Text, r.From.Text)
	}
	return &order{
		change: func(c configuration.Configuration) (configuration.Configuration, error) {
			if first, ok := opposed(c, move); ok {
				return c, &odds{
					problem: fmt.Sprintf("move %d of %s is pending", first.Number, first.Service),
					by:      func(e journal.Entry) bool { return e.Version == first.Number },
				}
			}
			if len(c.Moves) >= configuration.MostMoves {
				return c, fmt.Errorf("%d moves are pending already", len(c.Moves))
			}
			pending := move
			pending.Number = c.Version + 1
			c.Moves = append(c.Moves, pending)
			return c, nil
		},
		accepted: func(ctx context.Context, number identity.Version) error {
			pending := move
			pending.Number = number
			return o.Move(ctx, pending)
		},
		preview: func(ctx context.Context) (Table, error) {
			if o.CostOfMove == nil {
				return Table{Columns: []string{"service", "from", "to"}, Rows: [][]string{r.cells()}}, nil
			}
			return o.CostOfMove(ctx, move)
		},
		note: "accepted as move %d",
	}, nil
}

func (r route) cells() []string {
	return []string{r.Service.Text, r.From.Text, r.To.Text}
}

// opposed finds a pending move of the same service out of the same zone, or
// back.
func opposed(c configuration.Configuration, move configuration.Move) (configuration.Move, bool) {
	for _, m := range c.Moves {
		back := m.From == move.To && m.To == move.From
		if m.Service == move.Service && (m.From == move.From || back) {
			return m, true
		}
	}
	return configuration.Move{}, false
}

func (o Operator) cancel(text string, n name) (*order, error) {
	number, err := version(text, n)
	if err != nil {
		return nil, err
	}
	if o.Move == nil {
		return nil, errors.New(missing("cancel move").Error)
	}
	line := fmt.Sprintf("cancel move %d", number)
	return &order{
		change: func(c configuration.Configuration) (configuration.Configuration, error) {
			if _, ok := c.Move(number); !ok {
				return c, &odds{
					problem: fmt.Sprintf("move %d is not pending", number),
					by:      func(e journal.Entry) bool { return begins(e.Line, line) || e.Version == number },
				}
			}
			return c.WithoutMove(number), nil
		},
		accepted: func(context.Context, identity.Version) error { return nil },
		preview: func(context.Context) (Table, error) {
			move, _ := o.Snapshot().Configuration.Move(number)
			return Table{
				Columns: []string{"move", "service", "from", "to"},
				Rows:    [][]string{{n.Text, string(move.Service), string(move.From), string(move.To)}},
			}, nil
		},
		note: "cancelled in version %d",
	}, nil
}

// begins tells whether a line is a beginning alone or with words after it.
func begins(line, beginning string) bool {
	rest, ok := strings.CutPrefix(strings.Join(strings.Fields(line), " "), beginning)
	return ok && (rest == "" || rest[0] == ' ')
}

func (o Operator) stop(text string, n name) (*order, error) {
	snapshot := o.Snapshot()
	e, ok := snapshot.Find(identity.Host(n.Text))
	if !ok {
		return nil, o.unknownHost(text, n, snapshot)
	}
	if o.StopHost == nil {
		return nil, errors.New(missing("stop host").Error)
	}
	stop := configuration.Stop{Host: e.Host, Incarnation: e.Incarnation}
	return &order{
		change: func(c configuration.Configuration) (configuration.Configuration, error) {
			if slices.Contains(c.Stops, stop) {
				return c, &odds{
					problem: fmt.Sprintf("%s is being stopped already", e.Host),
					by:      func(entry journal.Entry) bool { return begins(entry.Line, "stop host "+n.Text) },
				}
			}
			return c.WithStop(stop), nil
		},
		accepted: func(ctx context.Context, _ identity.Version) error { return o.StopHost(ctx, stop) },
		preview: func(context.Context) (Table, error) {
			return Table{
				Columns: []string{"endpoint", "service", "zone", "state", "running"},
				Rows:    [][]string{{n.Text, string(e.Service), string(e.Zone), state(e), strconv.Itoa(e.Load.Running)}},
			}, nil
		},
		note: "accepted in version %d",
	}, nil
}

func (o Operator) unknownHost(text string, n name, s *fleet.Snapshot) error {
	entry := identity.Host(n.Text) == s.Host
	if o.EntryHosts != nil {
		entry = entry || slices.ContainsFunc(o.EntryHosts(), func(e EntryHost) bool { return string(e.Host) == n.Text })
	}
	if entry {
		return wrong(text, n.Pos, "%s is an entry host: end its process with SIGTERM, and it stops as planned", n.Text)
	}
	names := make([]string, 0, len(s.Endpoints))
	for _, e := range s.Endpoints {
		names = append(names, string(e.Host))
	}
	if len(names) > mostListed {
		if nearest, ok := spelling.Nearest(n.Text, names); ok {
			names = []string{nearest}
		} else {
			names = nil
		}
	}
	return unknown(text, "host", n, names)
}

// mostListed is how many hosts a refusal names.
const mostListed = 16
