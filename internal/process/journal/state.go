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

// maxEntries is the number of accepted commands that a State keeps for the audit
// trail and to detect repeated commands.
const maxEntries = 1024

// Entry is one accepted command.
type Entry struct {
	Version  identity.Version `json:"version"`
	Command  identity.Command `json:"command"`
	Operator string           `json:"operator"`
	Line     string           `json:"line"`
	At       time.Time        `json:"at"`
	// Change is nil in an entry that was read from a snapshot, whose configuration
	// includes the change.
	Change *change.Change `json:"change,omitempty"`
}

// State is a configuration and the latest commands that led to it. It is
// immutable.
type State struct {
	Configuration configuration.Configuration `json:"configuration"`
	// Entries are the latest accepted commands, oldest first.
	Entries []Entry `json:"entries"`
	// Digest covers the whole log up to Configuration.Version.
	Digest uint64 `json:"digest"`
}

// refusedError is the error for a version that must not be adopted.
type refusedError struct {
	reason  RefusalReason
	offered identity.Version
	present identity.Version
}

func (e *refusedError) Error() string {
	return fmt.Sprintf("journal: %s: version %d offered, %d in force", e.reason, e.offered, e.present)
}

// apply returns the state after e, which must be the next entry.
func (s State) apply(e Entry) (State, error) {
	if e.Version != s.Configuration.Version+1 || e.Change == nil {
		return s, &refusedError{reason: Forked, offered: e.Version, present: s.Configuration.Version}
	}
	digest, err := nextDigest(s.Digest, e)
	if err != nil {
		return s, err
	}
	entries := append(s.Entries[:len(s.Entries):len(s.Entries)], e)
	return State{
		Configuration: e.Change.Apply(s.Configuration, e.Version),
		Entries:       entries[max(0, len(entries)-maxEntries):],
		Digest:        digest,
	}, nil
}

// applyAll applies the entries with higher versions than s.
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

func nextDigest(previous uint64, e Entry) (uint64, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return 0, err
	}
	return xxh3.HashSeed(binary.LittleEndian.AppendUint64(data, previous), previous), nil
}

// findCommand returns the latest entry of a command, if it is known.
func (s State) findCommand(command identity.Command) (Entry, bool) {
	for i := len(s.Entries) - 1; i >= 0; i-- {
		if s.Entries[i].Command == command {
			return s.Entries[i], true
		}
	}
	return Entry{}, false
}

// entriesAbove returns the entries after a version, if all of them are kept
// together with their changes.
func (s State) entriesAbove(version identity.Version) ([]Entry, bool) {
	count := int(s.Configuration.Version) - int(version)
	if count < 0 || count > len(s.Entries) {
		return nil, false
	}
	entries := s.Entries[len(s.Entries)-count:]
	for _, e := range entries {
		if e.Change == nil {
			return nil, false
		}
	}
	return entries, true
}
