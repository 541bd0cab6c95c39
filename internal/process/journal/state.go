package journal

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/version/change"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// keptEntries is how many accepted commands are remembered, for the audit trail
// and to know repeated ones.
const keptEntries = 1024

// Entry is one accepted command.
type Entry struct {
	Version  identity.Version `json:"version"`
	Command  identity.Command `json:"command"`
	Operator string           `json:"operator"`
	Line     string           `json:"line"`
	At       time.Time        `json:"at"`
	// Change is nil in an entry that a snapshot already contains.
	Change *change.Change `json:"change,omitempty"`
}

// State is a configuration with the commands that led to it. It is immutable.
type State struct {
	Configuration configuration.Configuration `json:"configuration"`
	// Entries are the last accepted commands, oldest first.
	Entries []Entry `json:"entries"`
	// Digest is over the whole log up to here.
	Digest uint64 `json:"digest"`
}

// refusedError is an offer that is not believed.
type refusedError struct {
	reason  Refusal
	offered identity.Version
	present identity.Version
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("journal: %s: version %d offered, %d in force", e.reason, e.offered, e.present)
}

// apply gives the state after one entry, which must be the next one.
func (s State) apply(e Entry) (State, error) {
	if e.Version != s.Configuration.Version+1 || e.Change == nil {
		return s, &refusedError{reason: Forked, offered: e.Version, present: s.Configuration.Version}
	}
	digest, err := digest(s.Digest, e)
	if err != nil {
		return s, err
	}
	entries := append(s.Entries[:len(s.Entries):len(s.Entries)], e)
	return State{
		Configuration: e.Change.Apply(s.Configuration, e.Version),
		Entries:       entries[max(0, len(entries)-keptEntries):],
		Digest:        digest,
	}, nil
}

// applyAll applies those entries that lie above s.
func (s State) applyAll(entries []Entry) (State, error) {
	for _, e := range entries {
		if e.Version <= s.Configuration.Version {
			continue
		}
		next, err := s.apply(e)
		if err != nil {
			return s, err
		}
		s = next
	}
	return s, nil
}

func digest(before uint64, e Entry) (uint64, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return 0, err
	}
	return xxh3.HashSeed(binary.LittleEndian.AppendUint64(data, before), before), nil
}

// find looks for an accepted command.
func (s State) find(command identity.Command) (Entry, bool) {
	for i := len(s.Entries) - 1; i >= 0; i-- {
		if s.Entries[i].Command == command {
			return s.Entries[i], true
		}
	}
	return Entry{}, false
}

// above gives the entries after a version, if all are at hand with their changes.
func (s State) above(version identity.Version) ([]Entry, bool) {
	missing := int(s.Configuration.Version) - int(version)
	if missing < 0 || missing > len(s.Entries) {
		return nil, false
	}
	entries := s.Entries[len(s.Entries)-missing:]
	for _, e := range entries {
		if e.Change == nil {
			return nil, false
		}
	}
	return entries, true
}
