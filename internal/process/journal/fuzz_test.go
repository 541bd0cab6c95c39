package journal_test

import (
	"context"
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// fakeService is an in-memory key-value service whose values a test can replace.
type fakeService map[string]keyvalue.Value

func (v fakeService) client() keyvalue.Client {
	revision := keyvalue.Revision(0)
	return keyvalue.Client{
		Get: func(_ context.Context, key string) (keyvalue.Value, error) {
			found, ok := v[key]
			if !ok {
				return found, keyvalue.ErrAbsent
			}
			return found, nil
		},
		Put: func(_ context.Context, key string, put keyvalue.Put) (keyvalue.Value, error) {
			if v[key].Revision != put.IfRevision {
				return v[key], keyvalue.ErrConflict
			}
			revision++
			v[key] = keyvalue.Value{Key: key, Data: put.Data, Revision: revision, WriterToken: put.WriterToken}
			return v[key], nil
		},
	}
}

// olderHead is the input for which the head from before the last command is used.
const olderHead = "older"

// FuzzJournal replaces the head of the configuration log by arbitrary bytes. The
// host must not go back to an older version, adopt a version that does not
// continue its own log, or panic.
func FuzzJournal(f *testing.F) {
	f.Add([]byte(`{"version":2,"digest":0,"entries":[],"segments":[],"snapshot":{},"previous":{}}`))
	f.Add([]byte(`{"version":9,"entries":[{"version":9}],"snapshot":{"version":8,"writer":"w","parts":3}}`))
	f.Add([]byte(`{"version":2,"snapshot":{"version":2,"writer":"w","parts":2147483647}}`))
	f.Add([]byte(`{"version":2,"snapshot":{"version":2,"writer":"w","parts":-1}}`))
	f.Add([]byte(`{"version":5,"segments":[4,3,2,18446744073709551615]}`))
	f.Add([]byte(`{"version":9,"entries":[{"version":3,"change":{}},{"version":9,"change":{}}]}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(olderHead))
	f.Fuzz(func(t *testing.T, data []byte) {
		stored := make(fakeService)
		j := journal.New(stored.client())
		j.Log = slog.New(slog.DiscardHandler)
		highest := identity.Version(0)
		j.OnAdopted = func(_ context.Context, c configuration.Configuration) {
			qt.Check(t, c.Version > highest, qt.IsTrue)
			highest = c.Version
		}
		ctx := t.Context()
		qt.Assert(t, j.Bootstrap(ctx, configuration.Configuration{}), qt.IsNil)
		olderData := stored[journal.HeadKey].Data
		_, err := j.Propose(ctx, newProposal("c1"))
		qt.Assert(t, err, qt.IsNil)
		before, _ := j.Version()
		head := stored[journal.HeadKey]
		head.Data = data
		if string(data) == olderHead {
			head.Data = olderData
		}
		head.Revision++
		stored[journal.HeadKey] = head
		if _, err := j.Propose(ctx, newProposal("c2")); err == nil {
			after, _ := j.Version()
			qt.Check(t, after > before, qt.IsTrue)
		}
		after, _ := j.Version()
		qt.Check(t, after >= before, qt.IsTrue)
		qt.Check(t, after <= before+1, qt.IsTrue)
	})
}

func newProposal(command identity.Command) journal.Proposal {
	return journal.Proposal{
		Command: command, Operator: "o", Line: string(command),
		Change: func(c configuration.Configuration) (configuration.Configuration, error) {
			c.Zones = append(c.Zones, configuration.Zone{ID: identity.Zone(command), Region: "r"})
			return c, nil
		},
	}
}
