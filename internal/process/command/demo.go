package command

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"github.com/dandelionlift/dandelionlift/internal/process/demo"
	"github.com/dandelionlift/dandelionlift/internal/standin/scenario"
	"github.com/dandelionlift/dandelionlift/platform/standin"
)

var errGuaranteeViolated = errors.New("a delivery guarantee was violated")

func demoCommand() *cobra.Command {
	var seed uint64
	var name string
	var verbose, onPlatform bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in one process while a zone is reclaimed",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			log := slog.New(slog.NewTextHandler(io.Discard, nil))
			if verbose {
				log = newLog("info")
			}
			if onPlatform {
				return platformDemo(c, seed, log)
			}
			user, err := scenario.UserNamed(name)
			if err != nil {
				return fmt.Errorf("--user: %w", err)
			}
			counts, err := demo.New(user, seed, c.OutOrStdout(), log).Run(c.Context())
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), counts)
			if counts.GuaranteeViolated() {
				return errGuaranteeViolated
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the calls")
	c.Flags().StringVar(&name, "user", "perseid", "deployment to run: perseid or holloway")
	c.Flags().BoolVar(&onPlatform, "platform", false, "run with stand-ins of the users' platform, whose endpoints inject faults into some calls")
	c.Flags().BoolVar(&verbose, "verbose", false, "print the entry hosts' logs")
	return c
}

// platformDemo runs the demo through the platform's adapter.
func platformDemo(c *cobra.Command, seed uint64, log *slog.Logger) error {
	counts, err := standin.Demo(c.Context(), seed, c.OutOrStdout(), log)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.OutOrStdout(), counts)
	if !counts.Passed() {
		return errGuaranteeViolated
	}
	return nil
}
