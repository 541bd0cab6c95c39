package usage_test

import (
	"context"
	"errors"
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
	// loseAnswer loses the answer of a commit that it reports true for.
	loseAnswer func() bool
}

func newStore() *fakeStore {
	return &fakeStore{values: make(map[string]keyvalue.Value), era: 1, loseAnswer: func() bool { return false }}
}

func (s *fakeStore) restore(older map[string]keyvalue.Value) {
	s.values = maps.Clone(older)
	s.era++
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
			if _, found := s.values[t.Conditions[0].Key]; found {
				return 0, keyvalue.ErrConflict
			}
			for _, w := range t.Writes {
				s.values[w.Key] = keyvalue.Value{Key: w.Key, Data: w.Data}
			}
			if s.loseAnswer() {
				return 0, keyvalue.ErrAmbiguous
			}
			return keyvalue.NewRevision(s.era, 1), nil
		},
	}
}

// newRecorder returns the Recorder of a host that knows of n calls in every window.
func newRecorder(s *fakeStore, n int) *usage.Recorder {
	return usage.NewRecorder(s.client(), "usage/", func(usage.Window) usage.Counts { return usage.Counts{"o": n} })
}

// report lets a leader report window 7, and returns the counts.
func report(c *qt.C, s *fakeStore, r *usage.Recorder) (int, error) {
	for !r.Begin(7, s.era) {
	}
	counts, err := r.Record(c.Context(), 7, s.era)
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
	s.restore(map[string]keyvalue.Value{})
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
	s.restore(s.values)
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

// Leaders follow each other while the store is restored from copies of any age and loses
// answers, and the platform's answers are lost, too: no window may reach the platform
// with two different counts.
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
		copies := []map[string]keyvalue.Value{{}}
		received := make(map[usage.Window]usage.Counts)
		for range steps {
			switch random.IntN(6) {
			case 0:
				s.restore(copies[random.IntN(len(copies))])
				continue
			case 1:
				copies = append(copies, maps.Clone(s.values))
				continue
			case 2:
				// A host starts again and hears the others before it can lead.
				i := random.IntN(hosts)
				recorders[i] = newRecorder(s, 10+random.IntN(10))
				for _, r := range recorders {
					recorders[i].Merge(r.Begun())
				}
				continue
			}
			leader, w := recorders[random.IntN(hosts)], usage.Window(random.IntN(3))
			if !leader.Begin(w, s.era) {
				for _, r := range recorders {
					r.Merge(leader.Begun())
				}
				continue
			}
			counts, err := leader.Record(c.Context(), w, s.era)
			if errors.Is(err, usage.ErrLost) {
				continue
			}
			c.Assert(err, qt.IsNil)
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
