package journal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// segmentEntries is the number of entries in a segment, unless large changes
	// fill the head earlier.
	segmentEntries = 16
	// minHeadEntries is the minimum number of entries that stay in the head when a
	// full segment is moved out.
	minHeadEntries = 8
	// snapshotInterval is the minimum number of entries between two snapshots.
	snapshotInterval = 256
	// maxPartBytes is the maximum number of bytes of a snapshot in one value. The
	// base64 encoding of bytes in JSON does not count towards the service's limit.
	maxPartBytes = keyvalue.MaxValueBytes - 1000
	// maxHeadBytes limits the entries of a head before more are added, and
	// maxChangeBytes limits the entries that one write adds.
	maxHeadBytes   = 450_000
	maxChangeBytes = 450_000
	// maxCatchUpAttempts limits the reads of the head when the segments or the
	// snapshot that it refers to have been deleted by compaction.
	maxCatchUpAttempts = 4
)

// head is the value stored under HeadKey.
type head struct {
	Version identity.Version `json:"version"`
	Digest  uint64           `json:"digest"`
	// Entries are the latest entries, up to Version.
	Entries []Entry `json:"entries"`
	// Segments lists the version before the first entry of each segment, oldest
	// first. The segments hold at least the entries from Snapshot to the first of
	// Entries.
	Segments []identity.Version `json:"segments"`
	// Snapshot is the latest snapshot, Previous the one before it.
	Snapshot snapshot `json:"snapshot"`
	Previous snapshot `json:"previous"`
}

// snapshot identifies the values that hold a complete state.
type snapshot struct {
	Version identity.Version `json:"version"`
	Writer  string           `json:"writer"`
	Parts   int              `json:"parts"`
}

func (s snapshot) key(part int) string {
	return fmt.Sprintf("configuration/snapshot/%d-%s-%d", s.Version, s.Writer, part)
}

// segmentKey returns the key of the segment whose first entry follows the version
// after.
func segmentKey(after identity.Version) string {
	return fmt.Sprintf("configuration/segment/%d", after)
}

func parseHead(value keyvalue.Value) (head, error) {
	var h head
	if err := json.Unmarshal(value.Data, &h); err != nil {
		return h, fmt.Errorf("journal: head: %w", err)
	}
	return h, nil
}

// catchUp returns the state of h, starting from present and reading only what
// present lacks.
func (h head) catchUp(ctx context.Context, kv keyvalue.Client, present State) (State, error) {
	if h.Version < present.Configuration.Version {
		return present, &refusedError{reason: OlderVersion, offered: h.Version, present: present.Configuration.Version}
	}
	s, err := h.startState(ctx, kv, present)
	if err != nil {
		return present, err
	}
	for i, after := range h.Segments {
		last := i == len(h.Segments)-1
		if s.Configuration.Version+1 >= h.firstVersion() || (!last && h.Segments[i+1] <= s.Configuration.Version) {
			continue
		}
		var entries []Entry
		if err := readEntries(ctx, kv, segmentKey(after), &entries); err != nil {
			return present, err
		}
		if s, err = s.applyAll(entries); err != nil {
			return present, err
		}
	}
	if s, err = s.applyAll(h.Entries); err != nil {
		return present, err
	}
	if s.Configuration.Version != h.Version || s.Digest != h.Digest {
		return present, &refusedError{reason: Forked, offered: h.Version, present: present.Configuration.Version}
	}
	return s, nil
}

// firstVersion returns the lowest version among the head's entries, or the next
// version if it has none.
func (h head) firstVersion() identity.Version {
	if len(h.Entries) == 0 {
		return h.Version + 1
	}
	return h.Entries[0].Version
}

// startState returns present, or the snapshot if the segments and the head no
// longer hold all entries after present.
func (h head) startState(ctx context.Context, kv keyvalue.Client, present State) (State, error) {
	oldest := h.firstVersion() - 1
	if len(h.Segments) > 0 {
		oldest = min(oldest, h.Segments[0])
	}
	if present.Configuration.Version != 0 && present.Configuration.Version >= oldest {
		return present, nil
	}
	return h.Snapshot.read(ctx, kv)
}

func (s snapshot) read(ctx context.Context, kv keyvalue.Client) (State, error) {
	var state State
	var data []byte
	for part := range s.Parts {
		value, err := kv.Get(ctx, s.key(part))
		if err != nil {
			return state, err
		}
		data = append(data, value.Data...)
	}
	if err := json.Unmarshal(data, &state); err != nil {
		return state, fmt.Errorf("journal: snapshot: %w", err)
	}
	return state, nil
}

// write stores a state in as many values as needed and sets s to identify them.
// The entries are stored without their changes, which the state includes.
func (s *snapshot) write(ctx context.Context, kv keyvalue.Client, state State) error {
	withoutChanges := make([]Entry, len(state.Entries))
	for i, e := range state.Entries {
		e.Change = nil
		withoutChanges[i] = e
	}
	state.Entries = withoutChanges
	data, err := json.Marshal(state)
	if err != nil {
		return err
	}
	*s = snapshot{Version: state.Configuration.Version, Writer: keyvalue.NewWriterToken()}
	for ; len(data) > 0; s.Parts++ {
		n := min(len(data), maxPartBytes)
		if _, err := kv.PutWithRetry(ctx, s.key(s.Parts), keyvalue.Put{Data: data[:n]}); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// deleteParts deletes a snapshot's values. Values that remain after a failure are
// never read.
func (s snapshot) deleteParts(ctx context.Context, kv keyvalue.Client) {
	for part := range s.Parts {
		deleteKey(ctx, kv, s.key(part))
	}
}

func deleteKey(ctx context.Context, kv keyvalue.Client, key string) {
	value, err := kv.Get(ctx, key)
	if err != nil {
		return
	}
	_, _ = kv.PutWithRetry(ctx, key, keyvalue.Put{Delete: true, IfRevision: value.Revision})
}

func readEntries(ctx context.Context, kv keyvalue.Client, key string, out *[]Entry) error {
	value, err := kv.Get(ctx, key)
	if err != nil {
		return err
	}
	return json.Unmarshal(value.Data, out)
}

// readLatest reads the head and its state.
func (j *Journal) readLatest(ctx context.Context, kv keyvalue.Client) (keyvalue.Value, State, error) {
	for attempt := 1; ; attempt++ {
		value, err := kv.Get(ctx, HeadKey)
		if err != nil {
			return value, State{}, err
		}
		next, err := j.readState(ctx, kv, value)
		if err == nil || attempt == maxCatchUpAttempts || !errors.Is(err, keyvalue.ErrAbsent) {
			return value, next, err
		}
	}
}
