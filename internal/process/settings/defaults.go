package settings

import (
	_ "embed" // Embeds defaults.toml.
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// Defaults is a commented settings file of an entry host. It has every key, with
// its default or, if there is none, an example.
//
//go:embed defaults.toml
var Defaults string

// DefaultEntry returns the defaults of the optional keys.
func DefaultEntry() Entry {
	return Entry{
		LogLevel: "info",
		Stop:     Stop{BalancerLag: configuration.Duration(5 * time.Second)},
		Limits:   Limits{MaxRequests: 10_000, AnswerRetention: configuration.Duration(time.Minute), MaxCoalesceDelay: configuration.Duration(40 * time.Millisecond)},
	}
}
