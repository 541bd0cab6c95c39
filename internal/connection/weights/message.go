// Package weights is a client of the weight store, which limits the rate of loads.
package weights

import (
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// VersionsPath followed by /{service} returns the Versions of a service's weights.
const VersionsPath = "/v1/weights"

// Weight describes one stored version of a service's weights.
type Weight struct {
	Service identity.Service `json:"service"`
	Version string           `json:"version"`
	Bytes   unit.Bytes       `json:"bytes"`
}

// Versions lists the stored versions of one service.
type Versions struct {
	Versions []Weight `json:"versions"`
}
