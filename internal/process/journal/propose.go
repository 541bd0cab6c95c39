package journal

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/change"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Proposal is a change requested by an operator.
type Proposal struct {
	// Command identifies the command. A repeat with the same Command returns the
	// outcome of the first one.
	Command  identity.Command
	Operator string
	// Line is the command line as the operator wrote it, for the audit trail.
	Line string
	// IfVersion must be the version in force; zero allows any.
	IfVersion identity.Version
	// Change returns the next configuration, given a copy of the present one. It
	// may be called more than once.
	Change func(configuration.Configuration) (configuration.Configuration, error)
}

// Conflict is the error for a proposal whose IfVersion is not in force, because
// another command was accepted first. It describes the latest accepted command.
type Conflict struct {
	Version  identity.Version
	Operator string
	At       time.Time
	Line     string
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("version %d has been in force since %s: %s by %s",
		c.Version, c.At.UTC().Format(time.RFC3339), c.Line, c.Operator)
}

// ErrOutcomeUnknown means that a change may or may not come into force. A repeat with
// the same Command returns its outcome.
var ErrOutcomeUnknown = errors.New("journal: outcome not known yet; repeat with the same command id")

// pending is a queued proposal and the channel for its outcome.
type pending struct {
	proposal Proposal
	outcome  chan outcome
}

type outcome struct {
	configuration configuration.Configuration
	err           error
}

// ErrCommandReused means that the Command was already used with another line.
var ErrCommandReused = errors.New("journal: the command id was used for another line")

// Propose queues a change and waits until it is accepted or refused, or until ctx
// ends. If it returns a configuration, the change was committed under its Version.
// Any error except ErrOutcomeUnknown means that it was not committed.
//
// One of the waiting callers commits the queue for all of them, which may take up
// to commitTimeout longer than its ctx.
func (j *Journal) Propose(ctx context.Context, p Proposal) (configuration.Configuration, error) {
	waiting := pending{proposal: p, outcome: make(chan outcome, 1)}
	j.enqueue(waiting)
	for {
		select {
		case done := <-waiting.outcome:
			return done.configuration, done.err
		case j.commitLock <- struct{}{}:
			j.commit(context.WithoutCancel(ctx), j.dequeue())
			<-j.commitLock
		case <-ctx.Done():
			return configuration.Configuration{}, errors.Join(ErrOutcomeUnknown, ctx.Err())
		}
	}
}

func (j *Journal) enqueue(p pending) {
	j.queueMu.Lock()
	defer j.queueMu.Unlock()
	j.queue = append(j.queue, p)
}

// dequeue removes and returns up to maxBatch proposals.
func (j *Journal) dequeue() []pending {
	j.queueMu.Lock()
	defer j.queueMu.Unlock()
	n := min(len(j.queue), maxBatch)
	batch := j.queue[:n:n]
	j.queue = j.queue[n:]
	return batch
}

// next returns the state after a proposal, or the reason why it is refused.
func (s State) next(p Proposal) (State, error) {
	present := s.Configuration
	if p.IfVersion != 0 && p.IfVersion != present.Version {
		return s, s.conflict()
	}
	changed, err := p.Change(present.Clone())
	if err != nil {
		return s, err
	}
	changed = change.Normalise(changed)
	changed.Version = present.Version + 1
	c := change.Diff(present, changed)
	return s.apply(Entry{
		Version: changed.Version, Command: p.Command, Operator: p.Operator, Line: p.Line,
		At: time.Now().UTC().Truncate(time.Millisecond), Change: &c,
	})
}

func (s State) conflict() *Conflict {
	c := &Conflict{Version: s.Configuration.Version}
	if len(s.Entries) > 0 {
		last := s.Entries[len(s.Entries)-1]
		c.Operator, c.At, c.Line = last.Operator, last.At, last.Line
	}
	return c
}

// firstOutcome returns the outcome of a repeated command from its entry e in the
// log. Only the version of the returned configuration is that of e; the rest is the
// present one.
func (s State) firstOutcome(e Entry, p Proposal) outcome {
	if e.Line != p.Line {
		return outcome{err: fmt.Errorf("%w: %q", ErrCommandReused, e.Line)}
	}
	c := s.Configuration
	c.Version = e.Version
	return outcome{configuration: c}
}

// Bootstrap writes c as the first version if the service has none.
func (j *Journal) Bootstrap(ctx context.Context, c configuration.Configuration) error {
	_, err := j.Commands.Get(ctx, HeadKey)
	if !errors.Is(err, keyvalue.ErrAbsent) {
		return err
	}
	if version, _ := j.Version(); version != 0 {
		j.OnRefused(OlderVersion)
		return &refusedError{reason: OlderVersion, present: version}
	}
	c = change.Normalise(c)
	c.Version = 1
	h := head{Version: 1}
	if err := h.Snapshot.write(ctx, j.Commands, State{Configuration: c}); err != nil {
		return err
	}
	_, err = j.writeHead(ctx, 0, h)
	if errors.Is(err, keyvalue.ErrConflict) {
		h.Snapshot.deleteParts(ctx, j.Commands)
		return nil
	}
	return err
}
