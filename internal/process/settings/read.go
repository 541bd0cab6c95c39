package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// Class groups the errors of settings files.
var Class = errs.Class("settings")

// DefaultEntry gives the values of keys that a file leaves out.
func DefaultEntry() Entry {
	return Entry{
		LogLevel: "info",
		Stop:     Stop{BalancerLag: configuration.Duration(5 * time.Second)},
		Limits:   Limits{Requests: 10_000, AnswerKept: configuration.Duration(time.Minute)},
	}
}

// ReadEntry reads the file of an entry host and, if it names one, its bootstrap
// configuration.
func ReadEntry(path string) (Entry, configuration.Configuration, error) {
	settings := DefaultEntry()
	var bootstrap configuration.Configuration
	if err := Read(path, &settings); err != nil {
		return settings, bootstrap, err
	}
	if settings.Bootstrap.Configuration == "" {
		return settings, bootstrap, nil
	}
	beside := filepath.Join(filepath.Dir(path), settings.Bootstrap.Configuration)
	err := Read(beside, &bootstrap)
	return settings, bootstrap, err
}

// Read decodes a TOML file strictly into out, which holds the defaults.
func Read(path string, out any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return Class.Wrap(err)
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err = decoder.Decode(out)
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return Class.New("%s:%d: unknown key %q", path, line, fmt.Sprint(first.Key()))
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return Class.New("%s:%d: %s", path, line, wrong.Error())
	}
	return Class.Wrap(err)
}
