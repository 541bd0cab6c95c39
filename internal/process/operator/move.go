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

// parseMove returns the move that a clause describes, or a Mistake if the service
// or a zone is unknown or the zones are the same.
func (in Interpreter) parseMove(text string, clause moveClause) (configuration.Move, error) {
	c := in.Snapshot().Configuration
	if !slices.Contains(serviceNames(c), clause.Service.Text) {
		return configuration.Move{}, unknownName(text, "service", clause.Service, serviceNames(c))
	}
	for _, zone := range []name{clause.From, clause.To} {
		if !slices.Contains(zoneNames(c), zone.Text) {
			return configuration.Move{}, unknownName(text, "zone", zone, zoneNames(c))
		}
	}
	if clause.From.Text == clause.To.Text {
		return configuration.Move{}, mistakeAt(text, clause.To.Pos, "source and target are the same zone; expected another zone")
	}
	return configuration.Move{
		Service: identity.Service(clause.Service.Text), From: identity.Zone(clause.From.Text), To: identity.Zone(clause.To.Text),
	}, nil
}

func (in Interpreter) move(text string, clause moveClause) (*operation, error) {
	move, err := in.parseMove(text, clause)
	if err != nil {
		return nil, err
	}
	if in.OnMove == nil {
		return nil, errors.New(unavailable("move").Error)
	}
	if !slices.ContainsFunc(in.Snapshot().Endpoints, func(e fleet.Endpoint) bool {
		return e.Service == move.Service && e.Zone == move.From && !e.Leaving
	}) {
		return nil, mistakeAt(text, clause.From.Pos, "no live endpoint of %s is in %s", clause.Service.Text, clause.From.Text)
	}
	return &operation{
		change: func(c configuration.Configuration) (configuration.Configuration, error) {
			if other, ok := conflictingMove(c, move); ok {
				return c, &conflictError{
					problem: fmt.Sprintf("move %d of %s is pending", other.Number, other.Service),
					matches: func(e journal.Entry) bool { return e.Version == other.Number },
				}
			}
			if len(c.Moves) >= configuration.MaxMoves {
				return c, fmt.Errorf("%d moves are pending already", len(c.Moves))
			}
			pending := move
			pending.Number = c.Version + 1
			c.Moves = append(c.Moves, pending)
			return c, nil
		},
		onAccepted: func(ctx context.Context, number identity.Version) error {
			pending := move
			pending.Number = number
			return in.OnMove(ctx, pending)
		},
		preview: func(ctx context.Context) (Table, error) {
			if in.CostOfMove == nil {
				return Table{Columns: []string{"service", "from", "to"}, Rows: [][]string{clause.cells()}}, nil
			}
			return in.CostOfMove(ctx, move)
		},
		noteFormat: "accepted as move %d",
	}, nil
}

func (clause moveClause) cells() []string {
	return []string{clause.Service.Text, clause.From.Text, clause.To.Text}
}

// conflictingMove returns a pending move of the same service that starts in the
// same zone or goes the opposite way.
func conflictingMove(c configuration.Configuration, move configuration.Move) (configuration.Move, bool) {
	for _, m := range c.Moves {
		reverse := m.From == move.To && m.To == move.From
		if m.Service == move.Service && (m.From == move.From || reverse) {
			return m, true
		}
	}
	return configuration.Move{}, false
}

func (in Interpreter) cancel(text string, n name) (*operation, error) {
	number, err := parseVersion(text, n)
	if err != nil {
		return nil, err
	}
	if in.OnMove == nil {
		return nil, errors.New(unavailable("cancel move").Error)
	}
	line := fmt.Sprintf("cancel move %d", number)
	return &operation{
		change: func(c configuration.Configuration) (configuration.Configuration, error) {
			if _, ok := c.Move(number); !ok {
				return c, &conflictError{
					problem: fmt.Sprintf("move %d is not pending", number),
					matches: func(e journal.Entry) bool { return hasCommandPrefix(e.Line, line) || e.Version == number },
				}
			}
			return c.WithoutMove(number), nil
		},
		onAccepted: func(context.Context, identity.Version) error { return nil },
		preview: func(context.Context) (Table, error) {
			move, _ := in.Snapshot().Configuration.Move(number)
			return Table{
				Columns: []string{"move", "service", "from", "to"},
				Rows:    [][]string{{n.Text, string(move.Service), string(move.From), string(move.To)}},
			}, nil
		},
		noteFormat: "cancelled in version %d",
	}, nil
}

// hasCommandPrefix reports whether line starts with the words of prefix.
func hasCommandPrefix(line, prefix string) bool {
	rest, ok := strings.CutPrefix(strings.Join(strings.Fields(line), " "), prefix)
	return ok && (rest == "" || rest[0] == ' ')
}

func (in Interpreter) stop(text string, n name) (*operation, error) {
	snapshot := in.Snapshot()
	e, ok := snapshot.Find(identity.Host(n.Text))
	if !ok {
		return nil, in.unknownHost(text, n, snapshot)
	}
	if in.OnStop == nil {
		return nil, errors.New(unavailable("stop host").Error)
	}
	stop := configuration.Stop{Host: e.Host, Incarnation: e.Incarnation}
	return &operation{
		change: func(c configuration.Configuration) (configuration.Configuration, error) {
			if slices.Contains(c.Stops, stop) {
				return c, &conflictError{
					problem: fmt.Sprintf("%s is being stopped already", e.Host),
					matches: func(entry journal.Entry) bool { return hasCommandPrefix(entry.Line, "stop host "+n.Text) },
				}
			}
			return c.WithStop(stop), nil
		},
		onAccepted: func(ctx context.Context, _ identity.Version) error { return in.OnStop(ctx, stop) },
		preview: func(context.Context) (Table, error) {
			return Table{
				Columns: []string{"endpoint", "service", "zone", "state", "running"},
				Rows:    [][]string{{n.Text, string(e.Service), string(e.Zone), state(e), strconv.Itoa(e.Load.Running)}},
			}, nil
		},
		noteFormat: "accepted in version %d",
	}, nil
}

func (in Interpreter) unknownHost(text string, n name, s *fleet.Snapshot) error {
	isEntryHost := identity.Host(n.Text) == s.Host
	if in.LiveEntryHosts != nil {
		isEntryHost = isEntryHost || slices.ContainsFunc(in.LiveEntryHosts(), func(e EntryHost) bool { return string(e.Host) == n.Text })
	}
	if isEntryHost {
		return mistakeAt(text, n.Pos, "%s is an entry host: send its process SIGTERM for a planned stop", n.Text)
	}
	names := make([]string, 0, len(s.Endpoints))
	for _, e := range s.Endpoints {
		names = append(names, string(e.Host))
	}
	if len(names) > maxListedHosts {
		if nearest, ok := spelling.Nearest(n.Text, names); ok {
			names = []string{nearest}
		} else {
			names = nil
		}
	}
	return unknownName(text, "host", n, names)
}

// maxListedHosts is the most host names that an error lists.
const maxListedHosts = 16
