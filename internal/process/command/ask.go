package command

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/process/operator"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

const (
	// maxAttempts bounds how often a line is sent while its outcome is unknown.
	maxAttempts    = 3
	retryDelay     = 200 * time.Millisecond
	requestTimeout = 15 * time.Second
)

// Exit statuses of ask. With several lines, the highest is returned.
const (
	statusRefused  = 1
	statusUnknown  = 2
	statusConflict = 3
)

// statusError is an error with its exit status.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return e.text }

// Status returns the exit status for an error of the command line.
func Status(err error) int {
	var statusErr *statusError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &statusErr):
		return statusErr.status
	default:
		return statusRefused
	}
}

// askClient sends lines to one entry host.
type askClient struct {
	target    string
	token     string
	commandID string
	asJSON    bool
	dryRun    bool
	out       io.Writer
	client    *http.Client
}

func askCommand() *cobra.Command {
	a := askClient{client: &http.Client{Timeout: requestTimeout}}
	c := &cobra.Command{
		Use:   "ask [LINE]",
		Short: "Send queries and commands to an entry host; without LINE, read them from standard input",
		Long: `Send queries and commands to an entry host; without LINE, read them from
standard input, one a line.

Exit status: 0 answered, 1 refused, 2 outcome unknown, 3 another command came
first. A command whose outcome is unknown is sent again with the same id; to
repeat it later, pass that id with --command.`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			a.out = c.OutOrStdout()
			if _, err := netip.ParseAddrPort(a.target); err != nil {
				return fmt.Errorf("--target: %w", err)
			}
			if len(args) == 1 {
				return a.sendWithRetry(c.Context(), a.id(), args[0])
			}
			return a.sendAll(c.Context(), c.InOrStdin(), c.ErrOrStderr())
		},
	}
	c.Flags().StringVar(&a.target, "target", "127.0.0.1:8080", "IP number and port of an entry host")
	c.Flags().StringVar(&a.token, "token", "", "operator token")
	c.Flags().StringVar(&a.commandID, "command", "", "command id, which makes a repeat idempotent; generated if empty")
	c.Flags().BoolVar(&a.asJSON, "json", false, "print JSON")
	c.Flags().BoolVar(&a.dryRun, "dry-run", false, "print what a command would do, without doing it")
	return c
}

func (a askClient) id() identity.Command {
	if a.commandID == "" {
		return identity.NewCommand()
	}
	return identity.Command(a.commandID)
}

// sendAll sends each line of in. With --command, the id of a command is that flag
// and the number of the line.
func (a askClient) sendAll(ctx context.Context, in io.Reader, errOut io.Writer) error {
	var worst error
	lines := bufio.NewScanner(in)
	for number := 1; lines.Scan(); number++ {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		id := identity.NewCommand()
		if a.commandID != "" {
			id = identity.Command(fmt.Sprintf("%s-%d", a.commandID, number))
		}
		err := a.sendWithRetry(ctx, id, lines.Text())
		if err != nil {
			fmt.Fprintf(errOut, "line %d: %s\n", number, err)
		}
		if Status(err) > Status(worst) {
			worst = &statusError{status: Status(err), text: "one or more lines failed"}
		}
	}
	return errors.Join(worst, lines.Err())
}

// sendWithRetry sends one line, and repeats it with the same id while its outcome
// is unknown.
func (a askClient) sendWithRetry(ctx context.Context, id identity.Command, line string) error {
	var t operator.Table
	var err error
	for attempt := range maxAttempts {
		if attempt > 0 {
			pause.For(ctx, retryDelay)
		}
		t, err = a.send(ctx, operator.Request{Command: id, Line: line, DryRun: a.dryRun})
		if err == nil && !t.OutcomeUnknown {
			break
		}
	}
	if err != nil {
		return &statusError{status: statusUnknown, text: fmt.Sprintf("%v; repeat with --command %s", err, id)}
	}
	if a.asJSON {
		json.NewEncoder(a.out).Encode(t)
	}
	return a.report(t)
}

func (a askClient) report(t operator.Table) error {
	switch {
	case t.OutcomeUnknown:
		return &statusError{status: statusUnknown, text: t.Error}
	case t.Conflict != nil:
		return &statusError{status: statusConflict, text: t.Error}
	case t.Error != "":
		return &statusError{status: statusRefused, text: t.Error}
	case a.asJSON:
		return nil
	default:
		return a.print(t)
	}
}

// send returns an error if it received no answer; the outcome is then unknown.
func (a askClient) send(ctx context.Context, command operator.Request) (operator.Table, error) {
	var t operator.Table
	body, err := json.Marshal(command)
	if err != nil {
		return t, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.target+operator.Path, bytes.NewReader(body))
	if err != nil {
		return t, err
	}
	request.Header.Set("Authorization", "Bearer "+a.token)
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return t, err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&t); err != nil {
		return t, fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	return t, nil
}

// fillEmptyCells replaces empty cells by "-", so that no column of a printed row is
// blank.
func fillEmptyCells(row []string) []string {
	cells := make([]string, 0, len(row))
	for _, cell := range row {
		cells = append(cells, cmp.Or(cell, "-"))
	}
	return cells
}

func (a askClient) print(t operator.Table) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	if len(t.Columns) > 0 {
		fmt.Fprintln(w, strings.Join(t.Columns, "\t"))
	}
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(fillEmptyCells(row), "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if t.Note != "" {
		fmt.Fprintln(a.out, t.Note)
	}
	return nil
}
