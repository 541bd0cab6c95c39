package load_test

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/caller"
	"github.com/dandelionlift/dandelionlift/internal/process/load"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

func outcomes() []load.Outcome {
	complete := caller.Result{Complete: true, Status: 200, FirstToken: 50 * time.Millisecond, TokenIntervals: []time.Duration{20 * time.Millisecond}}
	refused := caller.Result{Failure: verdict.New(verdict.NotRun, verdict.OrganisationLimit, "")}
	unknown := caller.Result{Failure: verdict.New(verdict.MayHaveRun, verdict.EndpointLost, "")}
	twice := caller.Result{Complete: true, Status: 200, Text: `{"id":"f","runs":2}`}
	return []load.Outcome{
		{Kind: load.Draft, Result: complete},
		{Kind: load.Draft, Result: refused},
		{Kind: load.Draft, Result: unknown},
		{Kind: load.Draft, Result: complete, Truncated: true},
		{Kind: load.Draft, Result: complete, Misdelivered: true},
		{Kind: load.Filing, Result: twice},
	}
}

func TestReportCountsFaults(t *testing.T) {
	c := qt.New(t)
	r := load.NewReport(outcomes())
	c.Check(r.Sent, qt.Equals, 6)
	c.Check(r.Accepted, qt.Equals, 5)
	c.Check(r.Complete, qt.Equals, 2)
	c.Check(r.Lost, qt.Equals, 3)
	c.Check(r.Truncated, qt.Equals, 1)
	c.Check(r.Misdelivered, qt.Equals, 1)
	c.Check(r.Duplicated, qt.Equals, 1)
	c.Check(r.Refused[verdict.OrganisationLimit], qt.Equals, 1)
}

func TestReportFormats(t *testing.T) {
	c := qt.New(t)
	r := load.NewReport(outcomes())
	var text, asJSON, asCSV bytes.Buffer
	c.Assert(r.WriteText(&text), qt.IsNil)
	c.Check(text.String(), qt.Contains, "refused organisation_limit")
	c.Assert(r.WriteJSON(&asJSON), qt.IsNil)
	var back load.Report
	c.Assert(json.Unmarshal(asJSON.Bytes(), &back), qt.IsNil)
	c.Check(back.Lost, qt.Equals, 3)
	c.Assert(r.WriteCSV(&asCSV), qt.IsNil)
	c.Check(asCSV.String(), qt.Contains, "first_token,100.0000")
	for _, name := range []string{"latency.png", "latency.svg"} {
		c.Check(r.WritePlot(filepath.Join(c.TempDir(), name)), qt.IsNil)
	}
	c.Check(r.WritePlot("latency.bmp"), qt.ErrorMatches, `plot "latency.bmp": the name must end in .png or .svg`)
}
