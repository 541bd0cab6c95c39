package settings

import (
	_ "embed" // The commented file is part of the program.
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// Defaults is a commented settings file of an entry host: every key, with its
// default, or with an example where there is none.
//
//go:embed defaults.toml
var Defaults string

// DefaultEntry gives the values of keys that a file leaves out.
func DefaultEntry() Entry {
	return Entry{
		LogLevel: "info",
		Stop:     Stop{BalancerLag: configuration.Duration(5 * time.Second)},
		Limits:   Limits{Requests: 10_000, AnswerKept: configuration.Duration(time.Minute), Gather: configuration.Duration(40 * time.Millisecond)},
	}
}
