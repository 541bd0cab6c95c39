package command

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/dandelionlift/dandelionlift/internal/process/operator"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// asker sends lines to one entry host.
type asker struct {
	target string
	token  string
	asJSON bool
	out    io.Writer
}

func askCommand() *cobra.Command {
	a := asker{}
	c := &cobra.Command{
		Use:   "ask [LINE]",
		Short: "Ask or order something; without LINE, lines come from standard input",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			a.out = c.OutOrStdout()
			if _, err := netip.ParseAddrPort(a.target); err != nil {
				return fmt.Errorf("--target: %w", err)
			}
			if len(args) == 1 {
				return a.ask(c.Context(), args[0])
			}
			return a.askAll(c.Context(), c.InOrStdin())
		},
	}
	c.Flags().StringVar(&a.target, "target", "127.0.0.1:8080", "IP number and port of an entry host")
	c.Flags().StringVar(&a.token, "token", "", "operator token")
	c.Flags().BoolVar(&a.asJSON, "json", false, "print JSON")
	return c
}

func (a asker) askAll(ctx context.Context, in io.Reader) error {
	var failed error
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		failed = errors.Join(failed, a.ask(ctx, lines.Text()))
	}
	return errors.Join(failed, lines.Err())
}

func (a asker) ask(ctx context.Context, line string) error {
	body, err := json.Marshal(operator.Ask{Command: identity.NewCommand(), Line: line})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.target+operator.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+a.token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var table operator.Table
	if err := json.NewDecoder(response.Body).Decode(&table); err != nil {
		return fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	if table.Error != "" {
		return errors.New(table.Error)
	}
	if a.asJSON {
		return json.NewEncoder(a.out).Encode(table)
	}
	return a.print(table)
}

func (a asker) print(t operator.Table) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	if len(t.Columns) > 0 {
		fmt.Fprintln(w, strings.Join(t.Columns, "\t"))
	}
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if t.Note != "" {
		fmt.Fprintln(w, t.Note)
	}
	return w.Flush()
}
