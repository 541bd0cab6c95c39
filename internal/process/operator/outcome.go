package operator

// Outcome is the result of a line and a label value of the metric that counts
// lines.
type Outcome string

// The outcomes.
const (
	Answered       Outcome = "answered"
	DryRun         Outcome = "dry_run"
	Accepted       Outcome = "accepted"
	Refused        Outcome = "refused"
	Conflicted     Outcome = "conflict"
	OutcomeUnknown Outcome = "outcome_unknown"
)

// Outcomes lists every Outcome in the order of docs/METRICS.md.
var Outcomes = []Outcome{Answered, DryRun, Accepted, Refused, Conflicted, OutcomeUnknown}

// outcome returns the Outcome of an answer; dryRun is set for a dry run.
func (t Table) outcome(dryRun bool) Outcome {
	switch {
	case t.Conflict != nil:
		return Conflicted
	case t.OutcomeUnknown:
		return OutcomeUnknown
	case t.Error != "":
		return Refused
	case dryRun:
		return DryRun
	case t.Version != 0:
		return Accepted
	default:
		return Answered
	}
}
