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

// acceptTimeout bounds the time for a command to be accepted or refused.
const acceptTimeout = 10 * time.Second

// command is a parsed line. Its operation is nil for a query.
type command struct {
	id           identity.Command
	operatorName string
	line         string
	ifVersion    identity.Version
	dryRun       bool
	operation    *operation
}

// operation is the change that a command makes.
type operation struct {
	// checkUnchanged returns a conflictError if the value to set was changed
	// after this host's snapshot; nil skips the check. It isn't called for a command
	// with "if version": the version says what its operator has seen.
	checkUnchanged func(configuration.Configuration) error
	// change returns the next configuration. Its error is a conflictError if
	// another command came first.
	change func(configuration.Configuration) (configuration.Configuration, error)
	// onAccepted is called with the version in which the command was accepted.
	onAccepted func(context.Context, identity.Version) error
	// preview returns what the command would do.
	preview func(context.Context) (Table, error)
	// noteFormat formats the note of an accepted command; its argument is the
	// version.
	noteFormat string
}

// conflictError is returned when another command came first.
type conflictError struct {
	problem string
	// matches reports whether an entry is the command that came first.
	matches func(journal.Entry) bool
}

func (e *conflictError) Error() string { return e.problem }

// refusedError wraps every error of command.change: nothing was changed.
type refusedError struct {
	err error
}

func (e *refusedError) Error() string { return e.err.Error() }

func (e *refusedError) Unwrap() error { return e.err }

// Conflict describes the command that came first: by whom, when, and its text.
type Conflict struct {
	Version  identity.Version `json:"version"`
	Operator string           `json:"operator,omitempty"`
	At       time.Time        `json:"at"`
	Line     string           `json:"line,omitempty"`
}

// Error formats the conflict on one line.
func (c Conflict) Error() string {
	if c.Line == "" {
		return fmt.Sprintf("version %d is in force", c.Version)
	}
	return fmt.Sprintf("version %d: %q by %s at %s", c.Version, c.Line, c.Operator, c.At.UTC().Format(time.RFC3339))
}

// command returns the command of a parsed line.
func (in Interpreter) command(operatorName string, request Request, parsed *parsedLine) (command, error) {
	c := command{id: request.Command, operatorName: operatorName, line: strings.TrimSpace(request.Line), dryRun: request.DryRun}
	for _, s := range parsed.Options {
		duplicate := s.DryRun && c.dryRun && !request.DryRun || s.Version != nil && c.ifVersion != 0
		if duplicate {
			return c, mistakeAt(request.Line, s.Pos, "duplicate option")
		}
		c.dryRun = c.dryRun || s.DryRun
		if s.Version == nil {
			continue
		}
		var err error
		if c.ifVersion, err = parseVersion(request.Line, *s.Version); err != nil {
			return c, err
		}
	}
	var err error
	c.operation, err = in.operation(request.Line, parsed)
	if c.operation == nil && err == nil && len(parsed.Options) > 0 {
		err = mistakeAt(request.Line, parsed.Options[0].Pos, "a query changes nothing, so this option has no effect; expected the end of the line")
	}
	return c, err
}

func (in Interpreter) operation(text string, parsed *parsedLine) (*operation, error) {
	changes := parsed.Set != nil || parsed.Move != nil || parsed.Cancel != nil || parsed.Stop != nil
	if changes && in.Snapshot().Configuration.Version == 0 {
		return nil, errors.New("no configuration is in force on this entry host yet")
	}
	switch {
	case parsed.Set != nil:
		return in.set(text, *parsed.Set)
	case parsed.Move != nil:
		return in.move(text, *parsed.Move)
	case parsed.Cancel != nil:
		return in.cancel(text, *parsed.Cancel)
	case parsed.Stop != nil:
		return in.stop(text, *parsed.Stop)
	default:
		return nil, nil
	}
}

// execute proposes a command, or previews it for a dry run.
func (in Interpreter) execute(ctx context.Context, c command) Table {
	if c.dryRun {
		return in.dryRun(ctx, c)
	}
	if in.Propose == nil {
		return unavailable("changing the configuration")
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	accepted, err := in.Propose(ctx, journal.Proposal{
		Command: c.id, Operator: c.operatorName, Line: c.line, IfVersion: c.ifVersion, Change: c.change,
	})
	if err != nil {
		return in.failureTable(ctx, c, err)
	}
	t := Table{Version: accepted.Version, Note: fmt.Sprintf(c.operation.noteFormat, accepted.Version)}
	if err := c.operation.onAccepted(ctx, accepted.Version); err != nil {
		t.Note += "; not begun yet: " + err.Error()
	}
	return t
}

// change applies the operation and checks the result as a configuration file is
// checked. All its errors are of type refusedError.
func (c command) change(current configuration.Configuration) (configuration.Configuration, error) {
	if c.ifVersion == 0 && c.operation.checkUnchanged != nil {
		if err := c.operation.checkUnchanged(current); err != nil {
			return current, &refusedError{err: err}
		}
	}
	next, err := c.operation.change(current.Clone())
	if err == nil {
		err = introducedMistakes(current, next)
	}
	if err != nil {
		return current, &refusedError{err: err}
	}
	return next, nil
}

// introducedMistakes returns the mistakes in next that current doesn't have.
func introducedMistakes(current, next configuration.Configuration) error {
	before := current.Check()
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

// failureTable returns the answer for a command that was not accepted, or whose
// outcome is unknown.
func (in Interpreter) failureTable(ctx context.Context, c command, err error) Table {
	var versionConflict *journal.Conflict
	if errors.As(err, &versionConflict) {
		earlier := Conflict{Version: versionConflict.Version, Operator: versionConflict.Operator, At: versionConflict.At, Line: versionConflict.Line}
		problem := fmt.Sprintf("refused: version %d is not in force", c.ifVersion)
		return Table{Error: problem + "; " + earlier.Error(), Conflict: &earlier}
	}
	var valueConflict *conflictError
	if errors.As(err, &valueConflict) {
		return in.conflictTable(ctx, valueConflict)
	}
	var refused *refusedError
	if errors.As(err, &refused) || errors.Is(err, journal.ErrCommandReused) {
		return errorTable(err)
	}
	return Table{
		Error:          fmt.Sprintf("the outcome is not known: %v; repeat with the command id %s", err, c.id),
		OutcomeUnknown: true,
	}
}

// conflictTable looks up the newest command that matches cause in the history. If
// the history can't be read, the outcome is reported as unknown, so that the
// operator repeats the command.
func (in Interpreter) conflictTable(ctx context.Context, cause *conflictError) Table {
	if in.History == nil {
		return Table{Error: "refused: " + cause.problem, Conflict: &Conflict{}}
	}
	entries, err := in.History(ctx)
	if err != nil {
		return Table{Error: fmt.Sprintf("refused: %s; the history could not be read: %v", cause.problem, err), OutcomeUnknown: true}
	}
	earlier := Conflict{Version: in.Snapshot().Configuration.Version}
	for _, e := range entries {
		if cause.matches(e) {
			earlier = Conflict{Version: e.Version, Operator: e.Operator, At: e.At, Line: e.Line}
		}
	}
	return Table{Error: "refused: " + cause.problem + "; " + earlier.Error(), Conflict: &earlier}
}

func (in Interpreter) dryRun(ctx context.Context, c command) Table {
	current := in.Snapshot().Configuration
	if c.ifVersion != 0 && c.ifVersion != current.Version {
		return in.conflictTable(ctx, &conflictError{
			problem: fmt.Sprintf("version %d is not in force", c.ifVersion),
			matches: func(e journal.Entry) bool { return e.Version > c.ifVersion },
		})
	}
	if _, err := c.change(current); err != nil {
		return in.failureTable(ctx, c, err)
	}
	t, err := c.operation.preview(ctx)
	if err != nil {
		return errorTable(err)
	}
	note := fmt.Sprintf("dry run: nothing was changed; version %d is in force", current.Version)
	t.Note = strings.TrimPrefix(t.Note+"; "+note, "; ")
	return t
}
