package explain_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/process/explain"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/route"
)

var at = time.Unix(1000, 0)

func snapshot() *fleet.Snapshot {
	c := configuration.Configuration{Services: []configuration.Service{{ID: "s", Kind: configuration.Model}}}
	var list []fleet.Endpoint
	for i := range 5 {
		list = append(list, fleet.Endpoint{
			Host: identity.Host(fmt.Sprint("e", i)), Incarnation: identity.Incarnation(fmt.Sprint(i)), Zone: "z", Service: "s",
			Load: fleet.Load{ReceivedAt: at, Running: i},
		})
	}
	return fleet.New("h", "z", c, list)
}

// The candidate in the row "chosen" is the endpoint that was selected and has the
// lowest sum.
func TestExplainSaysWhyTheWinnerWon(t *testing.T) {
	c := qt.New(t)
	l, s := explain.New(), snapshot()
	for seed := range uint64(100) {
		var d route.Decision
		tbl := route.New(s, nil, at, nil)
		c.Assert(tbl.Choose(&route.Call{Service: "s", PromptTokens: 100, MaxTokens: 10}, &route.LocalState{}, at, rand.New(rand.NewPCG(seed, 1)), &d), qt.IsTrue)
		id := identity.Request(fmt.Sprint(seed))
		l.RecordDecision(id, s, &d, at)
		l.RecordRefusal(id, "queue_timeout", at)
		r, ok := l.Lookup(id)
		c.Assert(ok, qt.IsTrue)
		rows := r.Rows()
		c.Assert(rows, qt.HasLen, d.Count+1)
		for i, row := range rows {
			c.Assert(row, qt.HasLen, len(explain.Columns))
			c.Assert(row[len(row)-1], qt.Matches, map[bool]string{true: "chosen.*", false: ".*above.*|refused: queue_timeout"}[i == 0])
		}
		c.Assert(rows[0][2], qt.Equals, string(tbl.ChosenEndpoint(&d).Host))
	}
}

func TestExplainEvictsTheOldest(t *testing.T) {
	c := qt.New(t)
	l := explain.New()
	for i := range 20_000 {
		l.RecordRefusal(identity.Request(fmt.Sprint(i)), "full", at)
	}
	held := 0
	for i := range 20_000 {
		if r, ok := l.Lookup(identity.Request(fmt.Sprint(i))); ok {
			held++
			c.Assert(r.Request, qt.Equals, identity.Request(fmt.Sprint(i)))
			c.Assert(i >= 20_000-4096, qt.IsTrue)
		}
	}
	c.Assert(held, qt.Equals, 4096)
}
