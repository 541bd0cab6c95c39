package command

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/dandelionlift/dandelionlift/internal/connection/caller"
	"github.com/dandelionlift/dandelionlift/internal/process/load"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	targets []string
	keys    []string
	mix     string
	model   string
	ledger  string
	plot    string
	csv     string
	asJSON  bool
	plan    load.Plan
	prompt  int64
	answer  int64
}

func loadCommand() *cobra.Command {
	f := &loadFlags{}
	c := &cobra.Command{
		Use:   "load",
		Short: "Send a mix of calls and check every answer",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return f.run(c) },
	}
	flags := c.Flags()
	flags.StringSliceVar(&f.targets, "target", nil, "IP numbers and ports of entry hosts")
	flags.StringSliceVar(&f.keys, "key", nil, "bearer keys of the organisations that call")
	flags.StringVar(&f.mix, "mix", "draft=3,lookup=5,filing=1", "relative frequency of each kind of call: draft (an answer of --model), lookup and filing (a read and a write of --ledger)")
	flags.StringVar(&f.model, "model", "", "model service to call")
	flags.StringVar(&f.ledger, "ledger", "", "service to call that is not a model")
	flags.Float64Var(&f.plan.Rate, "rate", 10, "calls per second")
	flags.DurationVar(&f.plan.Duration, "duration", 10*time.Second, "how long to send")
	flags.DurationVar(&f.plan.Timeout, "timeout", time.Minute, "maximum time for one call")
	flags.Uint64Var(&f.plan.Seed, "seed", 1, "seed of the random arrivals")
	flags.IntVar(&f.plan.Conversations, "conversations", 8, "number of prompt prefixes that an organisation reuses")
	flags.Int64Var(&f.prompt, "prompt-tokens", 400, "mean length of a prompt")
	flags.Int64Var(&f.answer, "answer-tokens", 60, "mean length of an answer")
	flags.BoolVar(&f.asJSON, "json", false, "print JSON")
	flags.StringVar(&f.csv, "csv", "", "write the latency distribution to this file")
	flags.StringVar(&f.plot, "plot", "", "draw the latency distribution to this .png or .svg file")
	for _, name := range []string{"target", "key"} {
		c.MarkFlagRequired(name)
	}
	return c
}

func (f *loadFlags) run(c *cobra.Command) error {
	if err := f.buildPlan(); err != nil {
		return err
	}
	client := caller.Client{
		HTTP:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		PickAddress: func() string { return f.targets[rand.IntN(len(f.targets))] },
	}
	outcomes, err := load.Run(c.Context(), client, f.plan)
	if err != nil {
		return err
	}
	return f.write(c.OutOrStdout(), load.NewReport(outcomes))
}

// buildPlan checks the flags and completes the plan from them.
func (f *loadFlags) buildPlan() error {
	for _, target := range f.targets {
		if _, err := netip.ParseAddrPort(target); err != nil {
			return fmt.Errorf("--target: %w", err)
		}
	}
	if f.plan.Rate <= 0 {
		return fmt.Errorf("--rate: must be above 0")
	}
	mix, err := parseMix(f.mix)
	if err != nil {
		return err
	}
	if mix.Draft > 0 && f.model == "" {
		return fmt.Errorf("--model: needed for drafts in --mix")
	}
	if mix.Lookup+mix.Filing > 0 && f.ledger == "" {
		return fmt.Errorf("--ledger: needed for lookups and filings in --mix")
	}
	f.plan.Mix = mix
	f.plan.Model = identity.Service(f.model)
	f.plan.Ledger = identity.Service(f.ledger)
	f.plan.PromptTokens = unit.Tokens(f.prompt)
	f.plan.AnswerTokens = unit.Tokens(f.answer)
	for _, key := range f.keys {
		f.plan.Organisations = append(f.plan.Organisations, load.Organisation{Key: key, Share: 1})
	}
	return nil
}

func parseMix(text string) (load.Mix, error) {
	var mix load.Mix
	for part := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(part, "=")
		share, err := strconv.ParseFloat(number, 64)
		if err != nil || share < 0 {
			return mix, fmt.Errorf("--mix: %q: want NAME=SHARE with a share of 0 or more", part)
		}
		switch load.Kind(name) {
		case load.Draft:
			mix.Draft = share
		case load.Lookup:
			mix.Lookup = share
		case load.Filing:
			mix.Filing = share
		default:
			return mix, fmt.Errorf("--mix: unknown kind %q: want draft, lookup or filing", name)
		}
	}
	if mix.Draft+mix.Lookup+mix.Filing == 0 {
		return mix, fmt.Errorf("--mix: all shares are 0")
	}
	return mix, nil
}

func (f *loadFlags) write(out io.Writer, report load.Report) error {
	if f.csv != "" {
		file, err := os.Create(f.csv)
		if err != nil {
			return err
		}
		defer file.Close()
		if err := report.WriteCSV(file); err != nil {
			return err
		}
	}
	if f.plot != "" {
		if err := report.WritePlot(f.plot); err != nil {
			return err
		}
	}
	if f.asJSON {
		return report.WriteJSON(out)
	}
	return report.WriteText(out)
}
