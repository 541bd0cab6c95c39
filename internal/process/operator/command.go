package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// acceptWithin bounds how long an operator waits for an outcome.
const acceptWithin = 10 * time.Second

// command is one line that changes the configuration. A query has no order.
type command struct {
	id        identity.Command
	by        string
	line      string
	ifVersion identity.Version
	dryRun    bool
	order     *order
}

// order is what a command does.
type order struct {
	// unseen gives odds where the subject was changed since this host's
	// snapshot; nil has nothing to compare. A command that demands a version
	// skips it: the version says what its operator has seen.
	unseen func(configuration.Configuration) error
	// change makes the next configuration, or gives odds or a refusal.
	change func(configuration.Configuration) (configuration.Configuration, error)
	// accepted hears of the version that the order was accepted under.
	accepted func(context.Context, identity.Version) error
	// preview tells what would be done.
	preview func(context.Context) (Table, error)
	// note is said of an accepted order; it holds one verb for the version.
	note string
}

// odds tells that another command came first.
type odds struct {
	problem string
	// by recognises the command that came first.
	by func(journal.Entry) bool
}

func (o *odds) Error() string { return o.problem }

// refusal is an error of an order's own: nothing was changed.
type refusal struct {
	err error
}

func (r *refusal) Error() string { return r.err.Error() }

func (r *refusal) Unwrap() error { return r.err }

// Conflict tells an operator who came first, when, and with what.
type Conflict struct {
	Version  identity.Version `json:"version"`
	Operator string           `json:"operator,omitempty"`
	At       time.Time        `json:"at"`
	Line     string           `json:"line,omitempty"`
}

// Error renders the conflict on one line.
func (c Conflict) Error() string {
	if c.Line == "" {
		return fmt.Sprintf("version %d is in force", c.Version)
	}
	return fmt.Sprintf("version %d: %q by %s at %s", c.Version, c.Line, c.Operator, c.At.UTC().Format(time.RFC3339))
}

// command reads what a parsed line orders.
func (o Operator) command(by string, ask Ask, parsed *line) (command, error) {
	c := command{id: ask.Command, by: by, line: strings.TrimSpace(ask.Line), dryRun: ask.DryRun}
	for _, s := range parsed.Suffix {
		twice := s.DryRun && c.dryRun && !ask.DryRun || s.Version != nil && c.ifVersion != 0
		if twice {
			return c, wrong(ask.Line, s.Pos, "this stands twice")
		}
		c.dryRun = c.dryRun || s.DryRun
		if s.Version == nil {
			continue
		}
		var err error
		if c.ifVersion, err = version(ask.Line, *s.Version); err != nil {
			return c, err
		}
	}
	var err error
	c.order, err = o.order(ask.Line, parsed)
	if c.order == nil && err == nil && len(parsed.Suffix) > 0 {
		err = wrong(ask.Line, parsed.Suffix[0].Pos, "a query changes nothing, so that this has no meaning; expected the end of the line")
	}
	return c, err
}

func (o Operator) order(text string, parsed *line) (*order, error) {
	changes := parsed.Set != nil || parsed.Move != nil || parsed.Cancel != nil || parsed.Stop != nil
	if changes && o.Snapshot().Configuration.Version == 0 {
		return nil, errors.New("no configuration is in force on this entry host yet")
	}
	switch {
	case parsed.Set != nil:
		return o.set(text, *parsed.Set)
	case parsed.Move != nil:
		return o.move(text, *parsed.Move)
	case parsed.Cancel != nil:
		return o.cancel(text, *parsed.Cancel)
	case parsed.Stop != nil:
		return o.stop(text, *parsed.Stop)
	default:
		return nil, nil
	}
}

// execute offers a command, or tells what it would do.
func (o Operator) execute(ctx context.Context, c command) Table {
	if c.dryRun {
		return o.dryRun(ctx, c)
	}
	if o.Propose == nil {
		return missing("changing the configuration")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptWithin)
	defer cancel()
	accepted, err := o.Propose(ctx, journal.Proposal{
		Command: c.id, Operator: c.by, Line: c.line, IfVersion: c.ifVersion, Change: c.change,
	})
	if err != nil {
		return o.failed(ctx, c, err)
	}
	t := Table{Version: accepted.Version, Note: fmt.Sprintf(c.order.note, accepted.Version)}
	if err := c.order.accepted(ctx, accepted.Version); err != nil {
		t.Note += "; not begun yet: " + err.Error()
	}
	return t
}

// change is the order's change with its errors marked, and checked as a
// configuration file is.
func (c command) change(present configuration.Configuration) (configuration.Configuration, error) {
	if c.ifVersion == 0 && c.order.unseen != nil {
		if err := c.order.unseen(present); err != nil {
			return present, &refusal{err: err}
		}
	}
	next, err := c.order.change(present.Clone())
	if err == nil {
		err = newMistakes(present, next)
	}
	if err != nil {
		return present, &refusal{err: err}
	}
	return next, nil
}

// newMistakes finds what is wrong with next and was right before.
func newMistakes(present, next configuration.Configuration) error {
	before := present.Check()
	var found []string
	for _, m := range next.Check() {
		if !slices.Contains(before, m) {
			found = append(found, m.String())
		}
	}
	if len(found) == 0 {
		return nil
	}
	return errors.New(strings.Join(found, "\n"))
}

// failed answers a command that was not accepted, or may have been.
func (o Operator) failed(ctx context.Context, c command, err error) Table {
	var conflict *journal.Conflict
	if errors.As(err, &conflict) {
		found := Conflict{Version: conflict.Version, Operator: conflict.Operator, At: conflict.At, Line: conflict.Line}
		problem := fmt.Sprintf("refused: version %d is no longer in force", c.ifVersion)
		return Table{Error: problem + "; " + found.Error(), Conflict: &found}
	}
	var first *odds
	if errors.As(err, &first) {
		return o.atOdds(ctx, first)
	}
	var own *refusal
	if errors.As(err, &own) || errors.Is(err, journal.ErrReused) {
		return refused(err)
	}
	return Table{
		Error:          fmt.Sprintf("the outcome is not known: %v; repeat with the command id %s", err, c.id),
		OutcomeUnknown: true,
	}
}

// atOdds finds who came first in the audit trail. Where that can't be read, the
// operator repeats and learns it then.
func (o Operator) atOdds(ctx context.Context, first *odds) Table {
	if o.History == nil {
		return Table{Error: "refused: " + first.problem, Conflict: &Conflict{}}
	}
	entries, err := o.History(ctx)
	if err != nil {
		return Table{Error: fmt.Sprintf("refused: %s; by whom is not known: %v", first.problem, err), OutcomeUnknown: true}
	}
	found := Conflict{Version: o.Snapshot().Configuration.Version}
	for _, e := range entries {
		if first.by(e) {
			found = Conflict{Version: e.Version, Operator: e.Operator, At: e.At, Line: e.Line}
		}
	}
	return Table{Error: "refused: " + first.problem + "; " + found.Error(), Conflict: &found}
}

func (o Operator) dryRun(ctx context.Context, c command) Table {
	present := o.Snapshot().Configuration
	if c.ifVersion != 0 && c.ifVersion != present.Version {
		return o.atOdds(ctx, &odds{
			problem: fmt.Sprintf("version %d is not in force", c.ifVersion),
			by:      func(e journal.Entry) bool { return e.Version > c.ifVersion },
		})
	}
	if _, err := c.change(present); err != nil {
		return o.failed(ctx, c, err)
	}
	t, err := c.order.preview(ctx)
	if err != nil {
		return refused(err)
	}
	note := fmt.Sprintf("dry run: nothing was changed; version %d is in force", present.Version)
	t.Note = strings.TrimPrefix(t.Note+"; "+note, "; ")
	return t
}
