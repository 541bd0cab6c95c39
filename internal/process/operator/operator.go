// Package operator answers the operators' queries and carries out their
// commands, each one line of text.
//
// # Queries and commands
//
// A query reads what this entry host knows and changes nothing. A command
// changes the configuration, which is where moves and stops are ordered too: it
// is accepted by one compare-and-swap, is in the audit trail from then on, and
// is in force everywhere within seconds.
//
// # Once, and one of two
//
// Each command carries an id. A repeat under the same id is answered with the
// first acceptance. A command whose subject was changed by another one since
// this host's snapshot is refused with a Conflict that says who did what, and
// when; so is one that demands a version that is no longer in force.
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

// Ask is one line of an operator.
type Ask struct {
	// Command makes a repeat harmless; a query needs none.
	Command identity.Command `json:"command,omitempty"`
	Line    string           `json:"line"`
	// DryRun tells what a command would do, and does nothing.
	DryRun bool `json:"dry_run,omitempty"`
}

// Table is an answer. Rows have as many cells as there are Columns.
type Table struct {
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	// Note is said below the table.
	Note string `json:"note,omitempty"`
	// Version is the one that a command was accepted under, and the number of
	// a move.
	Version identity.Version `json:"version,omitempty"`
	// Error is set, and nothing above, when the line was refused.
	Error string `json:"error,omitempty"`
	// Conflict comes with Error when another command came first.
	Conflict *Conflict `json:"conflict,omitempty"`
	// OutcomeUnknown comes with Error when the command may have been accepted:
	// a repeat under the same id settles it.
	OutcomeUnknown bool `json:"outcome_unknown,omitempty"`
}

// Operator answers lines. Snapshot and Tokens are needed; a line whose field is
// nil is answered with an error that says so.
type Operator struct {
	Snapshot func() *fleet.Snapshot
	// Work lists the requests being assembled.
	Work   func() []Work
	Tokens []settings.OperatorToken
	// Propose offers a change of the configuration until it is accepted or
	// refused. Conflict and Change's own errors mean that nothing changed.
	Propose func(context.Context, journal.Proposal) (configuration.Configuration, error)
	// History gives the accepted commands that are kept, oldest first.
	History func(context.Context) ([]journal.Entry, error)
	// HostEvents tells what this entry host saw to at a host; nil for none.
	HostEvents func(identity.Host) []HostEvent
	// Explain tells why a request went where it did.
	Explain func(context.Context, identity.Request) (Table, error)
	// CostOfMove tells what a move would cost before anything is done.
	CostOfMove func(context.Context, configuration.Move) (Table, error)
	// Move hears of each accepted move, perhaps more than once. The
	// configuration holds the move until it is done.
	Move func(context.Context, configuration.Move) error
	// StopHost hears of each accepted stop, perhaps more than once.
	StopHost func(context.Context, configuration.Stop) error
	// Confirmations tells which version each host has in force.
	Confirmations func() []Confirmation
	// EntryHosts lists the entry hosts that are known to live.
	EntryHosts func() []EntryHost
	// Count hears how each line ended; nil is not told.
	Count func(Outcome)
	Log   *slog.Logger
}

// Work is one line of "show work".
type Work struct {
	Request      identity.Request
	Organisation identity.Organisation
	Service      identity.Service
	Endpoint     identity.Host
	Tokens       int64
	AgeMillis    int64
}

// Confirmation is the version that a host last said it has in force.
type Confirmation struct {
	Host    identity.Host
	Zone    identity.Zone
	Version identity.Version
}

// HostEvent is one thing that happened to a host, such as the carrying of its
// cache.
type HostEvent struct {
	At     time.Time
	What   string
	Target identity.Host
	Detail string
}

// EntryHost is an entry host that lives.
type EntryHost struct {
	Host    identity.Host
	Zone    identity.Zone
	Address netip.AddrPort
}

// Answer carries out one line of the operator called by.
func (o Operator) Answer(ctx context.Context, by string, ask Ask) Table {
	answer, previewed := o.answer(ctx, by, ask)
	if o.Count != nil {
		o.Count(answer.outcome(previewed))
	}
	return answer
}

// answer reports beside the answer whether it was a dry run.
func (o Operator) answer(ctx context.Context, by string, ask Ask) (Table, bool) {
	parsed, err := parse(ask.Line)
	if err != nil {
		return refused(err), false
	}
	c, err := o.command(by, ask, parsed)
	if err != nil {
		return refused(err), false
	}
	if c.order == nil {
		return o.query(ctx, ask.Line, parsed), false
	}
	answer := o.execute(ctx, c)
	if o.Log != nil {
		o.Log.Info("operator_command", "command", c.id, "operator", by, "line", c.line, "dry_run", c.dryRun,
			"version", answer.Version, "error", answer.Error)
	}
	return answer, c.dryRun
}

func (o Operator) query(ctx context.Context, text string, parsed *line) Table {
	switch {
	case parsed.Explain != nil:
		return o.explain(ctx, identity.Request(parsed.Explain.Text))
	case parsed.Cost != nil:
		return o.cost(ctx, text, *parsed.Cost)
	case parsed.Show.History != nil:
		return o.history(ctx, text, *parsed.Show.History)
	default:
		return o.show(text, *parsed.Show)
	}
}

func refused(err error) Table {
	return Table{Error: err.Error()}
}

// missing answers a line for which this host has no part.
func missing(what string) Table {
	return Table{Error: what + " is not available on this entry host"}
}
