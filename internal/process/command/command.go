// Package command implements the command line of dandelionlift.
package command

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionlift/dandelionlift/internal/process/entry"
	"github.com/dandelionlift/dandelionlift/internal/process/logline"
	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/standin/deployment"
	"github.com/dandelionlift/dandelionlift/platform"
)

// Root returns the root command.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:           "dandelionlift",
		Short:         "Serve models and ledgers from hosts that can be taken back at any moment",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(entryCommand(), standinCommand(), askCommand(), checkCommand(), loadCommand(), demoCommand())
	return root
}

func entryCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "entry",
		Short: "Run an entry host",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runEntryOrPlatform(c.Context(), path)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file; required unless the users' platform provides one")
	return c
}

// errNoSettings is returned if neither the command line nor the platform names a
// settings file.
var errNoSettings = errors.New("entry: --settings FILE is required")

// runEntryOrPlatform runs an entry host with the settings file at path, or with the
// platform's if path is empty.
func runEntryOrPlatform(ctx context.Context, path string) error {
	if path != "" {
		return runEntry(ctx, path)
	}
	platformPath, ok := platform.SettingsFile()
	if !ok {
		return errNoSettings
	}
	lines := logline.New(os.Stdout)
	logContext, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	group := new(errgroup.Group)
	group.Go(func() error { return lines.Run(logContext) })
	err := platform.Run(ctx, platformPath, slog.New(slog.NewTextHandler(lines, nil)))
	stopLog()
	return errors.Join(err, group.Wait())
}

func runEntry(ctx context.Context, path string) error {
	s, bootstrap, err := settings.ReadEntry(path)
	if err != nil {
		return err
	}
	log := newLog(s.LogLevel).With("host", s.Host, "zone", s.Zone)
	// All signals are handled from before the start until the stop has ended: by default
	// they end the process at once.
	firstSignal, restoreFirst := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer restoreFirst()
	defer ignoreHangups(log)()
	stopNow := make(chan struct{})
	app := entry.App(entry.Options{Settings: s, Bootstrap: bootstrap, Log: log, StopNow: stopNow})
	if err := app.Start(ctx); err != nil {
		return err
	}
	log.Info("started", "listen", s.Listen)
	<-firstSignal.Done()
	secondSignal, restoreSecond := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	restoreFirst()
	defer restoreSecond()
	defer context.AfterFunc(secondSignal, func() { close(stopNow) })()
	err = app.Stop(context.WithoutCancel(ctx))
	log.Info("stopped", "hurried", secondSignal.Err() != nil, "error", err)
	return err
}

// ignoreHangups logs each SIGHUP until the returned function is called. The settings take
// effect at the start only.
func ignoreHangups(log *slog.Logger) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	group := new(errgroup.Group)
	group.Go(func() error {
		for range hangups {
			log.Info("hangup_ignored")
		}
		return nil
	})
	return func() {
		signal.Stop(hangups)
		close(hangups)
		_ = group.Wait()
	}
}

func standinCommand() *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins of the platform, model engines and ledgers",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runStandin(c.Context(), path)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "settings file")
	c.MarkFlagRequired("settings")
	return c
}

func runStandin(ctx context.Context, path string) error {
	s, err := settings.Read(path, deployment.Settings{}, deployment.Settings.Check)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := newLog("info")
	d, err := deployment.Start(ctx, s, log)
	if err != nil {
		return err
	}
	log.Info("started", "endpoints", len(s.Endpoints))
	return d.Wait()
}

func newLog(level string) *slog.Logger {
	var parsed slog.Level
	if err := parsed.UnmarshalText([]byte(level)); err != nil {
		parsed = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: parsed}))
}
