// Package weights speaks to the weight store, which limits the rate of loads.
package weights

import (
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// VersionsPath with /{service} gives the Versions of a service's weights.
const VersionsPath = "/v1/weights"

// Weight describes one stored version.
type Weight struct {
	Service identity.Service `json:"service"`
	Version string           `json:"version"`
	Bytes   unit.Bytes       `json:"bytes"`
}

// Versions lists what the store has of one service.
type Versions struct {
	Versions []Weight `json:"versions"`
}
