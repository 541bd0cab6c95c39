package operator

// Outcome is how a line ended, as the counter of lines has it.
type Outcome string

// The outcomes.
const (
	Answered  Outcome = "answered"
	Previewed Outcome = "dry_run"
	Accepted  Outcome = "accepted"
	Refused   Outcome = "refused"
	AtOdds    Outcome = "conflict"
	Unsettled Outcome = "outcome_unknown"
)

// Outcomes lists every Outcome, in the order of the documentation.
var Outcomes = []Outcome{Answered, Previewed, Accepted, Refused, AtOdds, Unsettled}

// outcome tells how a line ended; previewed is set for a dry run.
func (t Table) outcome(previewed bool) Outcome {
	switch {
	case t.Conflict != nil:
		return AtOdds
	case t.OutcomeUnknown:
		return Unsettled
	case t.Error != "":
		return Refused
	case previewed:
		return Previewed
	case t.Version != 0:
		return Accepted
	default:
		return Answered
	}
}
