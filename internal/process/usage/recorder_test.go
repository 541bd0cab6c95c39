package usage_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/usage"
)

// fakeStore is a key-value store that can be restored from a copy.
type fakeStore struct {
	values map[string]keyvalue.Value
	era    keyvalue.Era
	number uint64
	// loseAnswer loses the answer of a commit that it reports true for.
	loseAnswer func() bool
}

func newStore() *fakeStore {
	return &fakeStore{values: make(map[string]keyvalue.Value), era: 1, loseAnswer: func() bool { return false }}
}

// leaderKey is the key whose write makes a host the leader.
const leaderKey = "leader"

func (s *fakeStore) put(key string, data []byte) keyvalue.Revision {
	s.number++
	revision := keyvalue.NewRevision(s.era, s.number)
	s.values[key] = keyvalue.Value{Key: key, Data: data, Revision: revision}
	return revision
}

// lead makes a host the leader.
func (s *fakeStore) lead() keyvalue.Condition {
	return keyvalue.Condition{Key: leaderKey, Revision: s.put(leaderKey, nil)}
}

// copied is a copy of a fakeStore.
type copied struct {
	values map[string]keyvalue.Value
	number uint64
}

func (s *fakeStore) copy() copied { return copied{maps.Clone(s.values), s.number} }

// restore replaces the contents by an older copy. Numbers are given out again.
func (s *fakeStore) restore(older copied) {
	s.era++
	s.number = older.number
	s.values = make(map[string]keyvalue.Value)
	for key, v := range older.values {
		v.Revision = keyvalue.NewRevision(s.era, v.Revision.Number())
		s.values[key] = v
	}
}

func (s *fakeStore) client() keyvalue.Store {
	return keyvalue.Store{
		Get: func(_ context.Context, key string) (keyvalue.Value, error) {
			value, found := s.values[key]
			if !found {
				return value, keyvalue.ErrAbsent
			}
			return value, nil
		},
		Commit: func(_ context.Context, t keyvalue.Transaction) (keyvalue.Revision, error) {
			// The store itself compares numbers only.
			for _, c := range t.Conditions {
				if s.values[c.Key].Revision.Number() != c.Revision.Number() {
					return 0, keyvalue.ErrConflict
				}
			}
			var revision keyvalue.Revision
			for _, w := range t.Writes {
				revision = s.put(w.Key, w.Data)
			}
			if s.loseAnswer() {
				return 0, keyvalue.ErrAmbiguous
			}
			return revision, nil
		},
	}
}

// newRecorder returns the Recorder of a host that knows of n calls in every window.
func newRecorder(s *fakeStore, n int) *usage.Recorder {
	return usage.NewRecorder(s.client(), "usage/", func(usage.Window) usage.Counts { return usage.Counts{"o": n} })
}

// report lets a new leader report window 7, and returns the counts.
func report(c *qt.C, s *fakeStore, r *usage.Recorder) (int, error) {
	return reportIn(c, r, s.lead())
}

// reportIn lets a leader report window 7 in its term, and returns the counts.
func reportIn(c *qt.C, r *usage.Recorder, term keyvalue.Condition) (int, error) {
	for !r.Begin(7, term.Revision.Era()) {
	}
	counts, err := r.Record(c.Context(), 7, term)
	return counts["o"], err
}

// A window is reported, the store is restored from a copy without its record, and a new
// leader, which knows of other calls, reported the window once more with other counts.
func TestWindowIsNotReportedWithOtherCountsAfterARestoration(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	first, second := newRecorder(s, 5), newRecorder(s, 6)
	counts, err := report(c, s, first)
	c.Assert(err, qt.IsNil)
	c.Assert(counts, qt.Equals, 5)
	second.Merge(first.Begun())
	s.restore(copied{})
	_, err = report(c, s, second)
	c.Assert(err, qt.ErrorIs, usage.ErrLost)

	// The host that recorded the counts repeats them, and so does any leader after it.
	first.Total = func(usage.Window) usage.Counts { return usage.Counts{"o": 9} }
	counts, err = report(c, s, first)
	c.Assert(err, qt.IsNil)
	c.Assert(counts, qt.Equals, 5)
	counts, err = report(c, s, second)
	c.Assert(err, qt.IsNil)
	c.Assert(counts, qt.Equals, 5)
}

// A record that the restored copy holds is repeated.
func TestRestoredRecordIsRepeated(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	first, second := newRecorder(s, 5), newRecorder(s, 6)
	_, err := report(c, s, first)
	c.Assert(err, qt.IsNil)
	second.Merge(first.Begun())
	s.restore(s.copy())
	counts, err := report(c, s, second)
	c.Assert(err, qt.IsNil)
	c.Assert(counts, qt.Equals, 5)
}

// Without a restoration a leader that began to report and ended does not keep the next
// one from reporting.
func TestWindowBegunButNotRecordedIsReported(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	first, second := newRecorder(s, 5), newRecorder(s, 6)
	c.Assert(first.Begin(7, s.era), qt.IsFalse)
	second.Merge(first.Begun())
	counts, err := report(c, s, second)
	c.Assert(err, qt.IsNil)
	c.Assert(counts, qt.Equals, 6)
	counts, err = report(c, s, first)
	c.Assert(err, qt.IsNil)
	c.Assert(counts, qt.Equals, 6)
}

// The store is restored while a leader's term goes on for a moment. The leader must not
// record counts of its own in place of an earlier leader's, which are lost.
func TestTermThatOutlastsARestorationRecordsNothing(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	first, second, third := newRecorder(s, 5), newRecorder(s, 6), newRecorder(s, 7)
	before := s.copy()
	_, err := report(c, s, first)
	c.Assert(err, qt.IsNil)
	second.Merge(first.Begun())
	term := s.lead()
	s.restore(before)
	counts, err := reportIn(c, second, term)
	c.Assert(err, qt.IsNotNil, qt.Commentf("%d", counts))
	third.Merge(second.Begun())
	counts, err = report(c, s, third)
	c.Assert(err, qt.ErrorIs, usage.ErrLost, qt.Commentf("%d", counts))
}

// Leaders follow each other while the store is restored from copies of any age and loses
// answers, terms outlast restorations, and the platform's answers are lost, too: no window
// may reach the platform with two different counts.
func TestCountsOfAWindowNeverDifferOverRandomRestorations(t *testing.T) {
	const hosts, steps, runs = 4, 40, 500
	reports := 0
	for seed := range uint64(runs) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 0))
		s := newStore()
		s.loseAnswer = func() bool { return random.IntN(5) == 0 }
		var recorders []*usage.Recorder
		for i := range hosts {
			recorders = append(recorders, newRecorder(s, i))
		}
		leader, term := recorders[0], s.lead()
		copies := []copied{s.copy()}
		received := make(map[usage.Window]usage.Counts)
		for range steps {
			switch random.IntN(8) {
			case 0:
				s.restore(copies[random.IntN(len(copies))])
				// Other writes take the numbers that are given out again.
				s.number += uint64(random.IntN(3))
				continue
			case 1:
				copies = append(copies, s.copy())
				continue
			case 2:
				// A host starts again and hears the others before it can lead.
				i := random.IntN(hosts)
				if recorders[i] == leader {
					continue
				}
				recorders[i] = newRecorder(s, 10+random.IntN(10))
				for _, r := range recorders {
					recorders[i].Merge(r.Begun())
				}
				continue
			case 3:
				leader, term = recorders[random.IntN(hosts)], s.lead()
				continue
			}
			w := usage.Window(random.IntN(3))
			if !leader.Begin(w, term.Revision.Era()) {
				for _, r := range recorders {
					r.Merge(leader.Begun())
				}
				continue
			}
			counts, err := leader.Record(c.Context(), w, term)
			if err != nil {
				continue
			}
			reports++
			if before, known := received[w]; known {
				c.Assert(counts, qt.DeepEquals, before, qt.Commentf("seed %d, window %d", seed, w))
			}
			received[w] = counts
		}
	}
	qt.Assert(t, reports > runs, qt.IsTrue, qt.Commentf("%d reports", reports))
	t.Logf("%d reports", reports)
}
