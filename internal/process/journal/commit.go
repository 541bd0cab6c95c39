package journal

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	maxBatch = 32
	// maxCommitAttempts limits the attempts to commit one batch when other writers
	// keep changing the head.
	maxCommitAttempts = 16
	// commitTimeout limits the commit of one batch, including retries of writes
	// whose outcome is unknown.
	commitTimeout = 20 * time.Second
)

// commit commits a batch and sends each proposal its outcome. If the batch is too
// large for one write, it commits the proposals one by one.
func (j *Journal) commit(ctx context.Context, batch []pending) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	outcomes, err := j.commitWithRetry(ctx, batch)
	if errors.Is(err, errTooLarge) && len(batch) > 1 {
		for _, p := range batch {
			j.commit(ctx, []pending{p})
		}
		return
	}
	for i, p := range batch {
		if err != nil {
			p.outcome <- outcome{err: err}
			continue
		}
		p.outcome <- outcomes[i]
	}
}

// commitWithRetry retries a batch while other writers change the head.
func (j *Journal) commitWithRetry(ctx context.Context, batch []pending) ([]outcome, error) {
	backOff := newBackOff()
	var err error
	// ambiguous is set once a write may have been accepted without confirmation.
	ambiguous := false
	for range maxCommitAttempts {
		var outcomes []outcome
		outcomes, err = j.tryCommit(ctx, batch)
		if err == nil {
			return outcomes, nil
		}
		ambiguous = ambiguous || errors.Is(err, keyvalue.ErrAmbiguous) || errors.Is(err, keyvalue.ErrOverwritten)
		if !errors.Is(err, keyvalue.ErrConflict) {
			break
		}
		pause.For(ctx, backOff.NextBackOff()/conflictBackOffDivisor)
	}
	if ambiguous {
		err = errors.Join(ErrOutcomeUnknown, err)
	}
	return nil, err
}

// errTooLarge means that the changes of a batch do not fit into a head.
var errTooLarge = errors.New("journal: change too large")

// conflictBackOffDivisor shortens the back-off after a conflict between writers
// compared with the back-off during an outage.
const conflictBackOffDivisor = 10

// tryCommit applies a batch to the present head and writes it. ErrConflict means
// that the head changed meanwhile; a command of the batch may then be in the log
// already, which the next attempt finds.
func (j *Journal) tryCommit(ctx context.Context, batch []pending) ([]outcome, error) {
	value, present, err := j.readLatest(ctx, j.Commands)
	if err != nil {
		return nil, err
	}
	next, outcomes := applyBatch(present, batch)
	if next.Configuration.Version == present.Configuration.Version {
		return outcomes, nil
	}
	h, err := parseHead(value)
	if err != nil {
		return nil, err
	}
	h, obsolete, err := j.extendHead(ctx, h, present, next)
	if err != nil {
		return nil, err
	}
	if _, err := j.writeHead(ctx, value.Revision, h); err != nil {
		if errors.Is(err, keyvalue.ErrConflict) && !errors.Is(err, keyvalue.ErrOverwritten) {
			j.clear(ctx, orphanedSnapshot(h, next))
		}
		return nil, err
	}
	j.advance(ctx, next)
	j.clear(ctx, obsolete)
	return outcomes, nil
}

// applyBatch applies a batch to a state. The outcomes are valid once the resulting
// state is written.
func applyBatch(present State, batch []pending) (State, []outcome) {
	s := present
	outcomes := make([]outcome, len(batch))
	for i, p := range batch {
		if e, ok := s.findCommand(p.proposal.Command); ok {
			outcomes[i] = s.firstOutcome(e, p.proposal)
			continue
		}
		next, err := s.next(p.proposal)
		if err != nil {
			outcomes[i] = outcome{err: err}
			continue
		}
		s = next
		outcomes[i] = outcome{configuration: s.Configuration}
	}
	return s, outcomes
}

func (j *Journal) writeHead(ctx context.Context, ifRevision keyvalue.Revision, h head) (keyvalue.Value, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return keyvalue.Value{}, err
	}
	return j.Commands.PutWithRetry(ctx, HeadKey, keyvalue.Put{Data: data, IfRevision: ifRevision})
}

// obsoleteData lists segments and snapshots that the current head no longer refers
// to.
type obsoleteData struct {
	segments  []identity.Version
	snapshots []snapshot
}

// extendHead returns the head for next. Entries that leave the head and a new
// snapshot are written first.
func (j *Journal) extendHead(ctx context.Context, h head, present, next State) (head, obsoleteData, error) {
	var obsolete obsoleteData
	if err := j.moveToSegment(ctx, &h); err != nil {
		return h, obsolete, err
	}
	added, _ := next.entriesAbove(present.Configuration.Version)
	if encodedSize(added) > maxChangeBytes {
		return h, obsolete, errTooLarge
	}
	h.Entries = append(h.Entries, added...)
	h.Version, h.Digest = next.Configuration.Version, next.Digest
	if h.Version < h.Snapshot.Version+snapshotInterval {
		return h, obsolete, nil
	}
	obsolete.snapshots = append(obsolete.snapshots, h.Previous)
	h.Previous = h.Snapshot
	if err := h.Snapshot.write(ctx, j.Commands, next); err != nil {
		return h, obsolete, err
	}
	for len(h.Segments) > 0 && h.Segments[0] < h.Previous.Version {
		obsolete.segments = append(obsolete.segments, h.Segments[0])
		h.Segments = h.Segments[1:]
	}
	return h, obsolete, nil
}

func encodedSize(entries []Entry) int {
	data, err := json.Marshal(entries)
	if err != nil {
		return 0
	}
	return len(data)
}

// If the head is full, moveToSegment writes its first entries as a segment. The
// head must be as it was read from the service: entries in a head never change, and
// which of them are moved depends on that head alone, so all writers of a segment
// write the same data.
func (j *Journal) moveToSegment(ctx context.Context, h *head) error {
	count := 0
	switch {
	case len(h.Entries) >= segmentEntries+minHeadEntries:
		count = segmentEntries
	case encodedSize(h.Entries) > maxHeadBytes:
		count = len(h.Entries)
	default:
		return nil
	}
	after := h.Entries[0].Version - 1
	data, err := json.Marshal(h.Entries[:count])
	if err != nil {
		return err
	}
	_, err = j.Commands.PutWithRetry(ctx, segmentKey(after), keyvalue.Put{Data: data})
	if err != nil && !errors.Is(err, keyvalue.ErrConflict) {
		return err
	}
	h.Segments = append(h.Segments, after)
	h.Entries = h.Entries[count:]
	return nil
}

// orphanedSnapshot returns the snapshot that was written for a head that was then
// rejected, if there is one.
func orphanedSnapshot(h head, next State) obsoleteData {
	if h.Snapshot.Version != next.Configuration.Version {
		return obsoleteData{}
	}
	return obsoleteData{snapshots: []snapshot{h.Snapshot}}
}

// clear deletes the obsolete segments and snapshots.
func (j *Journal) clear(ctx context.Context, obsolete obsoleteData) {
	for _, after := range obsolete.segments {
		deleteKey(ctx, j.Commands, segmentKey(after))
	}
	for _, s := range obsolete.snapshots {
		s.deleteParts(ctx, j.Commands)
	}
}
