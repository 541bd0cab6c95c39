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
	// segmentEntries is how many entries a segment holds.
	segmentEntries = 16
	// tailEntries is how many entries stay in the head at least.
	tailEntries = 8
	// snapshotEntries is how many entries lie between snapshots.
	snapshotEntries = 256
	// partBytes is the most of a snapshot that one value holds; JSON carries
	// bytes in base64, which the service's limit does not count.
	partBytes = keyvalue.MaxValueBytes - 1000
	// mostHeadBytes bounds the entries of a head that more are added to, and
	// mostChangeBytes those that one write adds.
	mostHeadBytes   = 450_000
	mostChangeBytes = 450_000
	// catchUps bounds how often reading starts over when what a head named has
	// been compacted.
	catchUps = 4
)

// head is the value of HeadKey.
type head struct {
	Version identity.Version `json:"version"`
	Digest  uint64           `json:"digest"`
	// Entries are the last ones, up to Version.
	Entries []Entry `json:"entries"`
	// Segments start after the versions listed, oldest first, and reach from
	// Snapshot at least to the first of Entries.
	Segments []identity.Version `json:"segments"`
	// Snapshot is the last whole state, Previous the one before.
	Snapshot snapshot `json:"snapshot"`
	Previous snapshot `json:"previous"`
}

// snapshot names the values that hold a whole state.
type snapshot struct {
	Version identity.Version `json:"version"`
	Writer  string           `json:"writer"`
	Parts   int              `json:"parts"`
}

func (s snapshot) key(part int) string {
	return fmt.Sprintf("configuration/snapshot/%d-%s-%d", s.Version, s.Writer, part)
}

// segmentKey names the segment whose entries follow a version.
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

// catchUp gives the state that h stands for, starting at present and reading
// as little as that allows.
func (h head) catchUp(ctx context.Context, kv keyvalue.Client, present State) (State, error) {
	if h.Version < present.Configuration.Version {
		return present, &refusedError{reason: OlderOffered, offered: h.Version, present: present.Configuration.Version}
	}
	s, err := h.start(ctx, kv, present)
	if err != nil {
		return present, err
	}
	for i, after := range h.Segments {
		last := i == len(h.Segments)-1
		if s.Configuration.Version+1 >= h.first() || (!last && h.Segments[i+1] <= s.Configuration.Version) {
			continue
		}
		var entries []Entry
		if err := read(ctx, kv, segmentKey(after), &entries); err != nil {
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

// first is the lowest version among the head's entries.
func (h head) first() identity.Version {
	if len(h.Entries) == 0 {
		return h.Version + 1
	}
	return h.Entries[0].Version
}

// start gives present, or the snapshot if the entries don't reach down to it.
func (h head) start(ctx context.Context, kv keyvalue.Client, present State) (State, error) {
	reach := h.first() - 1
	if len(h.Segments) > 0 {
		reach = min(reach, h.Segments[0])
	}
	if present.Configuration.Version != 0 && present.Configuration.Version >= reach {
		return present, nil
	}
	return h.Snapshot.read(ctx, kv)
}

func (s snapshot) read(ctx context.Context, kv keyvalue.Client) (State, error) {
	var state State
	var whole []byte
	for part := range s.Parts {
		value, err := kv.Get(ctx, s.key(part))
		if err != nil {
			return state, err
		}
		whole = append(whole, value.Data...)
	}
	if err := json.Unmarshal(whole, &state); err != nil {
		return state, fmt.Errorf("journal: snapshot: %w", err)
	}
	return state, nil
}

// write stores a state in as many values as it needs.
func (s *snapshot) write(ctx context.Context, kv keyvalue.Client, state State) error {
	bare := make([]Entry, len(state.Entries))
	for i, e := range state.Entries {
		e.Change = nil
		bare[i] = e
	}
	state.Entries = bare
	data, err := json.Marshal(state)
	if err != nil {
		return err
	}
	*s = snapshot{Version: state.Configuration.Version, Writer: keyvalue.NewWriter()}
	for ; len(data) > 0; s.Parts++ {
		n := min(len(data), partBytes)
		if _, err := kv.Settle(ctx, s.key(s.Parts), keyvalue.Put{Data: data[:n]}); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// forget deletes a snapshot's values; what is left by a failure stays unused.
func (s snapshot) forget(ctx context.Context, kv keyvalue.Client) {
	for part := range s.Parts {
		drop(ctx, kv, s.key(part))
	}
}

func drop(ctx context.Context, kv keyvalue.Client, key string) {
	value, err := kv.Get(ctx, key)
	if err != nil {
		return
	}
	_, _ = kv.Settle(ctx, key, keyvalue.Put{Delete: true, IfRevision: value.Revision})
}

func read(ctx context.Context, kv keyvalue.Client, key string, out *[]Entry) error {
	value, err := kv.Get(ctx, key)
	if err != nil {
		return err
	}
	return json.Unmarshal(value.Data, out)
}

// latest reads the head and the state that it stands for.
func (j *Journal) latest(ctx context.Context, kv keyvalue.Client) (keyvalue.Value, State, error) {
	for try := 1; ; try++ {
		value, err := kv.Get(ctx, HeadKey)
		if err != nil {
			return value, State{}, err
		}
		next, err := j.reach(ctx, kv, value)
		if err == nil || try == catchUps || !errors.Is(err, keyvalue.ErrAbsent) {
			return value, next, err
		}
	}
}
