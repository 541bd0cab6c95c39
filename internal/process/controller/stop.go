package controller

import "github.com/dandelionlift/dandelionlift/internal/version/configuration"

// stop takes the operators' stops of a configuration as word of leaving.
func (s *state) stop(stops []configuration.Stop) {
	for _, stop := range stops {
		LeavingSeen{Host: stop.Host, Incarnation: stop.Incarnation}.apply(s)
	}
}
