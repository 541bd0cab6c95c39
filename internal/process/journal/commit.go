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
	mostBatch = 32
	// mostTries bounds how often a batch is offered against other writers.
	mostTries = 16
	// commitTimeout bounds one batch, with the settling of its answers.
	commitTimeout = 20 * time.Second
)

// commit answers each proposal of a batch.
func (j *Journal) commit(ctx context.Context, list []pending) {
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	outcomes, err := j.insist(ctx, list)
	if errors.Is(err, errTooLarge) && len(list) > 1 {
		for _, p := range list {
			j.commit(ctx, []pending{p})
		}
		return
	}
	for i, p := range list {
		if err != nil {
			p.outcome <- outcome{err: err}
			continue
		}
		p.outcome <- outcomes[i]
	}
}

// insist tries a batch against other writers.
func (j *Journal) insist(ctx context.Context, list []pending) ([]outcome, error) {
	backOff := newPause()
	var err error
	// unsettled is true once a write may have been accepted unseen.
	unsettled := false
	for range mostTries {
		var outcomes []outcome
		outcomes, err = j.try(ctx, list)
		if err == nil {
			return outcomes, nil
		}
		unsettled = unsettled || errors.Is(err, keyvalue.ErrAmbiguous) || errors.Is(err, keyvalue.ErrOverwritten)
		if !errors.Is(err, keyvalue.ErrConflict) {
			break
		}
		pause.For(ctx, backOff.NextBackOff()/retrySpread)
	}
	if unsettled {
		err = errors.Join(ErrUnsettled, err)
	}
	return nil, err
}

// errTooLarge tells that a batch does not fit a head.
var errTooLarge = errors.New("journal: change too large")

// retrySpread makes the pauses between writers at odds shorter than those of an
// outage.
const retrySpread = 10

// try builds a batch on the present head and writes it. ErrConflict tells that
// the head changed meanwhile: then a command of the batch may be in the log
// already, which the next try finds.
func (j *Journal) try(ctx context.Context, list []pending) ([]outcome, error) {
	value, present, err := j.latest(ctx, j.Commands)
	if err != nil {
		return nil, err
	}
	next, outcomes := build(present, list)
	if next.Configuration.Version == present.Configuration.Version {
		return outcomes, nil
	}
	h, err := parseHead(value)
	if err != nil {
		return nil, err
	}
	h, unused, err := j.extend(ctx, h, present, next)
	if err != nil {
		return nil, err
	}
	if _, err := j.write(ctx, value.Revision, h); err != nil {
		if errors.Is(err, keyvalue.ErrConflict) && !errors.Is(err, keyvalue.ErrOverwritten) {
			j.clear(ctx, ownSnapshot(h, next))
		}
		return nil, err
	}
	j.offer(ctx, next)
	j.clear(ctx, unused)
	return outcomes, nil
}

// build applies a batch to a state; its outcomes hold if the result is written.
func build(present State, list []pending) (State, []outcome) {
	s := present
	outcomes := make([]outcome, len(list))
	for i, p := range list {
		if e, ok := s.find(p.proposal.Command); ok {
			outcomes[i] = s.accepted(e, p.proposal)
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

func (j *Journal) write(ctx context.Context, at keyvalue.Revision, h head) (keyvalue.Value, error) {
	data, err := json.Marshal(h)
	if err != nil {
		return keyvalue.Value{}, err
	}
	return j.Commands.Settle(ctx, HeadKey, keyvalue.Put{Data: data, IfRevision: at})
}

// garbage is what no head names any more.
type garbage struct {
	segments  []identity.Version
	snapshots []snapshot
}

// extend gives the head after next, having written what it moves out of it.
func (j *Journal) extend(ctx context.Context, h head, present, next State) (head, garbage, error) {
	var unused garbage
	if err := j.moveOut(ctx, &h); err != nil {
		return h, unused, err
	}
	added, _ := next.above(present.Configuration.Version)
	if size(added) > mostChangeBytes {
		return h, unused, errTooLarge
	}
	h.Entries = append(h.Entries, added...)
	h.Version, h.Digest = next.Configuration.Version, next.Digest
	if h.Version < h.Snapshot.Version+snapshotEntries {
		return h, unused, nil
	}
	unused.snapshots = append(unused.snapshots, h.Previous)
	h.Previous = h.Snapshot
	if err := h.Snapshot.write(ctx, j.Commands, next); err != nil {
		return h, unused, err
	}
	for len(h.Segments) > 0 && h.Segments[0] < h.Previous.Version {
		unused.segments = append(unused.segments, h.Segments[0])
		h.Segments = h.Segments[1:]
	}
	return h, unused, nil
}

func size(entries []Entry) int {
	data, err := json.Marshal(entries)
	if err != nil {
		return 0
	}
	return len(data)
}

// moveOut writes the first entries of a head that was read as a segment. What
// is in a head stays as it is, and what is moved depends on that head alone, so
// whoever writes the segment writes the same.
func (j *Journal) moveOut(ctx context.Context, h *head) error {
	count := 0
	switch {
	case len(h.Entries) >= segmentEntries+tailEntries:
		count = segmentEntries
	case size(h.Entries) > mostHeadBytes:
		count = len(h.Entries)
	default:
		return nil
	}
	after := h.Entries[0].Version - 1
	data, err := json.Marshal(h.Entries[:count])
	if err != nil {
		return err
	}
	_, err = j.Commands.Settle(ctx, segmentKey(after), keyvalue.Put{Data: data})
	if err != nil && !errors.Is(err, keyvalue.ErrConflict) {
		return err
	}
	h.Segments = append(h.Segments, after)
	h.Entries = h.Entries[count:]
	return nil
}

// ownSnapshot is the one that a refused head would have named.
func ownSnapshot(h head, next State) garbage {
	if h.Snapshot.Version != next.Configuration.Version {
		return garbage{}
	}
	return garbage{snapshots: []snapshot{h.Snapshot}}
}

// clear deletes garbage.
func (j *Journal) clear(ctx context.Context, unused garbage) {
	for _, after := range unused.segments {
		drop(ctx, j.Commands, segmentKey(after))
	}
	for _, s := range unused.snapshots {
		s.forget(ctx, j.Commands)
	}
}
