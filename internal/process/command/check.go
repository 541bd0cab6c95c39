package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/standin/deployment"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/platform"
)

func checkCommand() *cobra.Command {
	var path string
	var printDefaults bool
	c := &cobra.Command{
		Use:   "check",
		Short: "Check a settings file (of an entry host or of the stand-ins) or a configuration, and list every mistake",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if printDefaults {
				fmt.Fprint(c.OutOrStdout(), settings.Defaults)
				return nil
			}
			kind, err := checkPath(path)
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "ok: %s\n", kind)
			}
			return err
		},
	}
	c.Flags().StringVar(&path, "settings", "", "file to check")
	c.Flags().BoolVar(&printDefaults, "print-defaults", false, "print a settings file of an entry host that has every key, with comments")
	return c
}

// checkPath checks the file at path, or the platform's settings file if path is
// empty. It returns the kind of the file.
func checkPath(path string) (string, error) {
	if path != "" {
		return checkFile(path)
	}
	platformPath, ok := platform.SettingsFile()
	if !ok {
		return "", errors.New("check needs --settings FILE or --print-defaults")
	}
	_, err := platform.ReadSettings(platformPath)
	return "settings of the users' platform", err
}

// checkFile checks a file as the kind that has most of its keys, and returns that
// kind.
func checkFile(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	entry := settings.CountKeys[settings.Entry](text)
	standin := settings.CountKeys[deployment.Settings](text)
	configured := settings.CountKeys[configuration.Configuration](text)
	switch {
	case configured > max(entry, standin):
		_, err := settings.Read(path, configuration.Configuration{}, configuration.Configuration.Check)
		return "configuration", err
	case standin > entry:
		_, err := settings.Read(path, deployment.Settings{}, deployment.Settings.Check)
		return "settings of the stand-ins", err
	default:
		_, _, err := settings.ReadEntry(path)
		return "settings of an entry host", err
	}
}
