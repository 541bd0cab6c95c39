package usage

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strconv"
	"sync"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
)

// ErrLost says that a leader may have reported a window with counts that the store has
// lost since, so that they can't be repeated.
var ErrLost = errors.New("usage: the store has lost the window's counts")

// recordsKept is how many windows' records stay in the store for the next leader.
const recordsKept = 12

// Recorder records in the store the counts that a leader reports for a window, so that
// a later leader repeats the same counts. Create one with NewRecorder.
//
// A store that is restored from an older copy loses records. The leader therefore tells
// all hosts which windows it has begun to report, before it reports them: a later leader
// that finds no record of such a window from an earlier era must not report counts of
// its own. A record is written only while the store still holds the write by which the
// leader became it: a copy with that write has all records of earlier leaders.
type Recorder struct {
	// Total returns the counts of a window as far as this host knows them.
	Total func(Window) Counts

	store  keyvalue.Store
	prefix string

	mu sync.Mutex
	// begun holds the earliest era of the store in which a leader began to report a
	// window.
	begun map[Window]keyvalue.Era
	// records holds the records that this host has written or read itself.
	records map[Window]record
	// announced holds the windows that this host has begun to report.
	announced map[Window]bool
}

// record is the content of a window's key and the era in which the store held it.
type record struct {
	counts Counts
	era    keyvalue.Era
}

// NewRecorder returns a Recorder that writes under a key prefix of a store.
func NewRecorder(store keyvalue.Store, prefix string, total func(Window) Counts) *Recorder {
	return &Recorder{
		Total: total, store: store, prefix: prefix,
		begun: make(map[Window]keyvalue.Era), records: make(map[Window]record), announced: make(map[Window]bool),
	}
}

// Begin announces that this host, the leader, reports a window in an era of the store.
// It reports whether the host has done so before, so that the other hosts have been told.
func (r *Recorder) Begin(w Window, era keyvalue.Era) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addBegun(w, era)
	before := r.announced[w]
	r.announced[w] = true
	return before
}

func (r *Recorder) addBegun(w Window, era keyvalue.Era) {
	if earliest, known := r.begun[w]; !known || era < earliest {
		r.begun[w] = era
	}
}

// Begun returns the windows that a leader has begun to report, for the other hosts.
func (r *Recorder) Begun() map[Window]keyvalue.Era {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.begun)
}

// Merge adds the windows that another host knows to have been begun.
func (r *Recorder) Merge(begun map[Window]keyvalue.Era) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w, era := range begun {
		r.addBegun(w, era)
	}
}

// Retain drops all windows before first, and those after last, which no leader can have
// begun.
func (r *Recorder) Retain(first, last Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	outside := func(w Window) bool { return w < first || w > last }
	maps.DeleteFunc(r.begun, func(w Window, _ keyvalue.Era) bool { return outside(w) })
	maps.DeleteFunc(r.records, func(w Window, _ record) bool { return outside(w) })
	maps.DeleteFunc(r.announced, func(w Window, _ bool) bool { return outside(w) })
}

// Record returns the counts to report for a window: those that the store holds, or those
// that this host has recorded before, or else its sum, which it records. leadership is the
// write by which this host is the leader. With ErrLost the window can't be reported; after
// another error it may be tried again.
func (r *Recorder) Record(ctx context.Context, w Window, leadership keyvalue.Condition) (Counts, error) {
	era := leadership.Revision.Era()
	r.mu.Lock()
	known, recorded := r.records[w]
	lost := !recorded && r.begun[w] < era
	r.mu.Unlock()
	switch {
	case recorded && known.era == era:
		return known.counts, nil
	case lost:
		counts, err := r.read(ctx, w)
		if errors.Is(err, keyvalue.ErrAbsent) {
			err = ErrLost
		}
		return counts, err
	case !recorded:
		known.counts = r.Total(w)
	}
	err := r.write(ctx, w, known.counts, leadership)
	if errors.Is(err, keyvalue.ErrConflict) || errors.Is(err, keyvalue.ErrAmbiguous) {
		var stored Counts
		stored, err = r.read(ctx, w)
		if err == nil && recorded && !maps.Equal(stored, known.counts) {
			return nil, ErrLost
		}
		known.counts = stored
	}
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[w] = record{counts: known.counts, era: era}
	return known.counts, nil
}

func (r *Recorder) key(w Window) string { return r.prefix + strconv.FormatInt(int64(w), 10) }

// write records counts for a window that has no record, and deletes an old record.
func (r *Recorder) write(ctx context.Context, w Window, counts Counts, leadership keyvalue.Condition) error {
	data, err := json.Marshal(counts)
	if err != nil {
		return err
	}
	_, err = r.store.Commit(ctx, keyvalue.Transaction{
		Conditions: []keyvalue.Condition{{Key: r.key(w)}, leadership},
		Writes:     []keyvalue.Entry{{Key: r.key(w), Data: data}},
		Deletes:    []string{r.key(w - recordsKept)},
	})
	return err
}

func (r *Recorder) read(ctx context.Context, w Window) (Counts, error) {
	value, err := r.store.Get(ctx, r.key(w))
	if err != nil {
		return nil, err
	}
	stored := make(Counts)
	return stored, json.Unmarshal(value.Data, &stored)
}
