package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// mostTries bounds how often a proposal is offered against other writers.
const mostTries = 16

// Proposal is one operator's change.
type Proposal struct {
	// Command makes a repeat harmless: it gets the first outcome.
	Command  identity.Command
	Operator string
	// Line is what the operator wrote, for the audit trail.
	Line string
	// IfVersion must be the version in force; zero allows any.
	IfVersion identity.Version
	// Change makes the next configuration from a copy of the present one.
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

// Entry is one accepted command.
type Entry struct {
	Version  identity.Version `json:"version"`
	Command  identity.Command `json:"command"`
	Operator string           `json:"operator"`
	Line     string           `json:"line"`
	At       time.Time        `json:"at"`
}

// head is the value of HeadKey.
type head struct {
	Configuration configuration.Configuration `json:"configuration"`
	// Entries are the last accepted commands, oldest first.
	Entries []Entry `json:"entries"`
}

const keptEntries = 256

// Propose offers a change until it is accepted, refused or ctx ends. When it
// returns a configuration, that one was committed. An error other than
// Conflict or the Change's own may leave open whether it was: a repeat with
// the same Command settles that.
func (j Journal) Propose(ctx context.Context, p Proposal) (configuration.Configuration, error) {
	for range mostTries {
		value, present, err := j.read(ctx)
		if err != nil {
			return configuration.Configuration{}, err
		}
		if done, ok := present.find(p.Command); ok {
			if done.Line != p.Line {
				return configuration.Configuration{}, fmt.Errorf("%w: %q", ErrReused, done.Line)
			}
			return present.at(done)
		}
		next, err := present.next(p)
		if err != nil {
			return configuration.Configuration{}, err
		}
		err = j.commit(ctx, value.Revision, next)
		if err == nil {
			j.Adopt(ctx, next.Configuration)
			return next.Configuration, nil
		}
		if !errors.Is(err, keyvalue.ErrConflict) && !errors.Is(err, keyvalue.ErrAmbiguous) {
			return configuration.Configuration{}, err
		}
	}
	return configuration.Configuration{}, fmt.Errorf("journal: %d other changes came first", mostTries)
}

// ErrReused tells that a Command came with another line before.
var ErrReused = errors.New("journal: the command id was used for another line")

// History gives the accepted commands that are kept, oldest first.
func (j Journal) History(ctx context.Context) ([]Entry, error) {
	_, present, err := j.read(ctx)
	return present.Entries, err
}

func (j Journal) read(ctx context.Context) (keyvalue.Value, head, error) {
	var present head
	value, err := j.KeyValue.Get(ctx, HeadKey)
	if err != nil {
		return value, present, err
	}
	err = json.Unmarshal(value.Data, &present)
	return value, present, err
}

// commit writes a head. After a lost answer, the next read finds the command.
func (j Journal) commit(ctx context.Context, at keyvalue.Revision, next head) error {
	data, err := json.Marshal(next)
	if err != nil {
		return err
	}
	last := next.Entries[len(next.Entries)-1]
	_, err = j.KeyValue.Put(ctx, HeadKey, keyvalue.Put{Data: data, IfRevision: at, Writer: string(last.Command)})
	return err
}

func (h head) find(command identity.Command) (Entry, bool) {
	for _, e := range h.Entries {
		if e.Command == command {
			return e, true
		}
	}
	return Entry{}, false
}

// at gives the configuration as it is now, under the version of a past entry.
func (h head) at(e Entry) (configuration.Configuration, error) {
	c := h.Configuration
	c.Version = e.Version
	return c, nil
}

func (h head) next(p Proposal) (head, error) {
	present := h.Configuration
	if p.IfVersion != 0 && p.IfVersion != present.Version {
		return head{}, h.conflict()
	}
	changed, err := p.Change(present.Clone())
	if err != nil {
		return head{}, err
	}
	changed.Version = present.Version + 1
	entry := Entry{Version: changed.Version, Command: p.Command, Operator: p.Operator, Line: p.Line, At: time.Now()}
	entries := append(h.Entries[:len(h.Entries):len(h.Entries)], entry)
	return head{Configuration: changed, Entries: entries[max(0, len(entries)-keptEntries):]}, nil
}

func (h head) conflict() *Conflict {
	c := &Conflict{Version: h.Configuration.Version}
	if len(h.Entries) > 0 {
		last := h.Entries[len(h.Entries)-1]
		c.Operator, c.At, c.Line = last.Operator, last.At, last.Line
	}
	return c
}
