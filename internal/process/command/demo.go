package command

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"github.com/dandelionlift/dandelionlift/internal/process/demo"
	"github.com/dandelionlift/dandelionlift/internal/standin/scenario"
)

func demoCommand() *cobra.Command {
	var seed uint64
	var name string
	var verbose bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in one process while a zone is reclaimed",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			user, err := scenario.Named(name)
			if err != nil {
				return fmt.Errorf("--user: %w", err)
			}
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			if verbose {
				log = newLog("info")
			}
			counts, err := demo.New(user, seed, c.OutOrStdout(), log).Run(c.Context())
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), counts)
			if counts.Broken() {
				return errors.New("a promise was not kept")
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the calls")
	c.Flags().StringVar(&name, "user", "perseid", "perseid or holloway")
	c.Flags().BoolVar(&verbose, "verbose", false, "print the entry hosts' logs")
	return c
}
