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

// Proposal is one operator's change.
type Proposal struct {
	// Command makes a repeat harmless: it gets the first outcome.
	Command  identity.Command
	Operator string
	// Line is what the operator wrote, for the audit trail.
	Line string
	// IfVersion must be the version in force; zero allows any.
	IfVersion identity.Version
	// Change makes the next configuration from a copy of the present one. It
	// may be called more than once.
	Change func(configuration.Configuration) (configuration.Configuration, error)
}

// Conflict tells that another accepted command came first, and whose.
type Conflict struct {
	Version  identity.Version
	Operator string
	At       time.Time
	Line     string
}

func (c *Conflict) Error() string {
	return fmt.Sprintf("version %d is in force since %s: %s by %s",
		c.Version, c.At.UTC().Format(time.RFC3339), c.Line, c.Operator)
}

// ErrUnsettled tells that a change may or may not come into force. A repeat
// with the same Command settles that.
var ErrUnsettled = errors.New("journal: outcome not known yet; repeat with the same command id")

// pending is a proposal with where its outcome goes.
type pending struct {
	proposal Proposal
	outcome  chan outcome
}

type outcome struct {
	configuration configuration.Configuration
	err           error
}

// ErrReused tells that a Command came with another line before.
var ErrReused = errors.New("journal: the command id was used for another line")

// Propose offers a change until it is accepted, refused or ctx ends. When it
// returns a configuration, the change was committed, and the Version is the one
// under which it was. Any error but ErrUnsettled tells that it was not.
//
// One of those who wait commits for all of them, and may take commitTimeout
// longer than ctx for that.
func (j *Journal) Propose(ctx context.Context, p Proposal) (configuration.Configuration, error) {
	waiting := pending{proposal: p, outcome: make(chan outcome, 1)}
	j.enqueue(waiting)
	for {
		select {
		case done := <-waiting.outcome:
			return done.configuration, done.err
		case j.turn <- struct{}{}:
			j.commit(context.WithoutCancel(ctx), j.dequeue())
			<-j.turn
		case <-ctx.Done():
			return configuration.Configuration{}, errors.Join(ErrUnsettled, ctx.Err())
		}
	}
}

func (j *Journal) enqueue(p pending) {
	j.queueMu.Lock()
	defer j.queueMu.Unlock()
	j.queue = append(j.queue, p)
}

// dequeue takes what one write may hold.
func (j *Journal) dequeue() []pending {
	j.queueMu.Lock()
	defer j.queueMu.Unlock()
	n := min(len(j.queue), mostBatch)
	list := j.queue[:n:n]
	j.queue = j.queue[n:]
	return list
}

// next gives the state after a proposal, or what speaks against it.
func (s State) next(p Proposal) (State, error) {
	present := s.Configuration
	if p.IfVersion != 0 && p.IfVersion != present.Version {
		return s, s.conflict()
	}
	changed, err := p.Change(present.Clone())
	if err != nil {
		return s, err
	}
	changed = change.Sorted(changed)
	changed.Version = present.Version + 1
	c := change.Between(present, changed)
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

// accepted gives the first outcome of a command that is in the log.
func (s State) accepted(e Entry, p Proposal) outcome {
	if e.Line != p.Line {
		return outcome{err: fmt.Errorf("%w: %q", ErrReused, e.Line)}
	}
	c := s.Configuration
	c.Version = e.Version
	return outcome{configuration: c}
}

// Bootstrap offers c as the first version where the service has none.
func (j *Journal) Bootstrap(ctx context.Context, c configuration.Configuration) error {
	_, err := j.Commands.Get(ctx, HeadKey)
	if !errors.Is(err, keyvalue.ErrAbsent) {
		return err
	}
	if version, _ := j.Version(); version != 0 {
		j.Refuse(OlderOffered)
		return &refusedError{reason: OlderOffered, present: version}
	}
	c = change.Sorted(c)
	c.Version = 1
	h := head{Version: 1}
	if err := h.Snapshot.write(ctx, j.Commands, State{Configuration: c}); err != nil {
		return err
	}
	_, err = j.write(ctx, 0, h)
	if errors.Is(err, keyvalue.ErrConflict) {
		h.Snapshot.forget(ctx, j.Commands)
		return nil
	}
	return err
}
