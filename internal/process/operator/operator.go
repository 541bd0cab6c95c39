// Package operator executes the queries and commands of operators, each one line
// of text.
//
// # Queries and commands
//
// A query reads this entry host's state and changes nothing. A command changes
// the configuration, which also holds the pending moves and stops. It is accepted
// by one compare-and-swap, is in the audit trail from then on, and is in force
// everywhere within seconds.
//
// # Repeats and conflicts
//
// Each command has an id. A repeat with the same id returns the result of the
// first acceptance. A command for a value, move or stop that another command
// changed after this host's snapshot is refused with a Conflict, which says who
// changed it, when and how. So is a command that requires a version that is not
// in force.
package operator

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Request is a request to execute one line.
type Request struct {
	// Command is the id that makes repeats idempotent; a query needs none.
	Command identity.Command `json:"command,omitempty"`
	Line    string           `json:"line"`
	// DryRun asks for a preview of a command, without a change.
	DryRun bool `json:"dry_run,omitempty"`
}

// Table is an answer. Each row has one cell per column.
type Table struct {
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	// Note is printed below the table.
	Note string `json:"note,omitempty"`
	// Version is the version in which a command was accepted; for a move it is
	// also the move's number.
	Version identity.Version `json:"version,omitempty"`
	// Error says why the line failed; the fields above are then unset.
	Error string `json:"error,omitempty"`
	// Conflict is set with Error if another command came first.
	Conflict *Conflict `json:"conflict,omitempty"`
	// OutcomeUnknown is set with Error if the command may have been accepted. A
	// repeat with the same id returns the outcome.
	OutcomeUnknown bool `json:"outcome_unknown,omitempty"`
}

// Interpreter executes operators' lines. Snapshot and Tokens are required. All
// other fields may be nil; a line that needs one of these returns an error, unless
// the field's comment says otherwise.
type Interpreter struct {
	Snapshot func() *fleet.Snapshot
	// UnfinishedRequests returns the requests whose answers are not complete.
	UnfinishedRequests func() []UnfinishedRequest
	Tokens             []settings.OperatorToken
	// Propose submits a change of the configuration until it is accepted or
	// refused. A journal.Conflict or an error of Proposal.Change means that
	// nothing changed.
	Propose func(context.Context, journal.Proposal) (configuration.Configuration, error)
	// History returns the retained accepted commands, oldest first.
	History func(context.Context) ([]journal.Entry, error)
	// HostEvents returns the events that this entry host recorded for a host; it
	// may be nil.
	HostEvents func(identity.Host) []HostEvent
	// QuietFor returns for how long an endpoint wants no calls from this entry host, as it has
	// said in an answer; it may be nil.
	QuietFor func(identity.Incarnation) time.Duration
	// Explain returns the routing decisions of a request.
	Explain func(context.Context, identity.Request) (Table, error)
	// CostOfMove estimates the cost of a move. If it is nil, a dry run of a move
	// shows the move without its cost.
	CostOfMove func(context.Context, configuration.Move) (Table, error)
	// OnMove is called for each accepted move, possibly more than once. The
	// configuration holds the move until it is done.
	OnMove func(context.Context, configuration.Move) error
	// OnStop is called for each accepted stop, possibly more than once.
	OnStop func(context.Context, configuration.Stop) error
	// Confirmations returns the version that each host has in force. If it is
	// nil, "show configuration" says so in its note.
	Confirmations func() []Confirmation
	// LiveEntryHosts returns the live entry hosts. If it is nil, "show hosts" lists
	// no entry host but this one.
	LiveEntryHosts func() []EntryHost
	// OnOutcome is called with the outcome of each line; it may be nil.
	OnOutcome func(Outcome)
	Log       *slog.Logger
}

// UnfinishedRequest is one row of "show work".
type UnfinishedRequest struct {
	Request      identity.Request
	Organisation identity.Organisation
	Service      identity.Service
	Endpoint     identity.Host
	Tokens       int64
	AgeMillis    int64
}

// Confirmation is the version that a host last reported as in force.
type Confirmation struct {
	Host    identity.Host
	Zone    identity.Zone
	Version identity.Version
}

// HostEvent is an event in the history of a host, such as the transfer of its
// cache.
type HostEvent struct {
	At     time.Time
	Type   string
	Target identity.Host
	Detail string
}

// EntryHost is a live entry host.
type EntryHost struct {
	Host    identity.Host
	Zone    identity.Zone
	Address netip.AddrPort
}

// Execute executes one line for the named operator and returns the answer.
func (in Interpreter) Execute(ctx context.Context, operatorName string, request Request) Table {
	answer, dryRun := in.answer(ctx, operatorName, request)
	if in.OnOutcome != nil {
		in.OnOutcome(answer.outcome(dryRun))
	}
	return answer
}

// answer also reports whether the line was a dry run.
func (in Interpreter) answer(ctx context.Context, operatorName string, request Request) (Table, bool) {
	parsed, err := parse(request.Line)
	if err != nil {
		return errorTable(err), false
	}
	c, err := in.command(operatorName, request, parsed)
	if err != nil {
		return errorTable(err), false
	}
	if c.operation == nil {
		return in.query(ctx, request.Line, parsed), false
	}
	answer := in.execute(ctx, c)
	if in.Log != nil {
		in.Log.Info("operator_command", "command", c.id, "operator", operatorName, "line", c.line, "dry_run", c.dryRun,
			"version", answer.Version, "error", answer.Error)
	}
	return answer, c.dryRun
}

func (in Interpreter) query(ctx context.Context, text string, parsed *parsedLine) Table {
	switch {
	case parsed.Explain != nil:
		return in.explain(ctx, identity.Request(parsed.Explain.Text))
	case parsed.Cost != nil:
		return in.cost(ctx, text, *parsed.Cost)
	case parsed.Show.History != nil:
		return in.history(ctx, text, *parsed.Show.History)
	default:
		return in.show(text, *parsed.Show)
	}
}

func errorTable(err error) Table {
	return Table{Error: err.Error()}
}

// unavailable returns the answer to a line that this entry host can't execute.
func unavailable(what string) Table {
	return Table{Error: what + " is not available on this entry host"}
}
