package controller

import "github.com/dandelionlift/dandelionlift/internal/version/configuration"

// applyStops marks as leaving the incarnations that operators have stopped.
func (s *state) applyStops(stops []configuration.Stop) {
	for _, stop := range stops {
		LeavingUpdate{Host: stop.Host, Incarnation: stop.Incarnation}.apply(s)
	}
}
