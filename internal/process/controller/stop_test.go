package controller_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/cloud"
	"github.com/dandelionlift/dandelionlift/internal/process/controller"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

func stopped(version identity.Version, life identity.Incarnation) controller.ConfigurationSeen {
	c := configuration.Configuration{Version: version}
	return controller.ConfigurationSeen{Configuration: c.WithStop(configuration.Stop{Host: "h", Incarnation: life})}
}

func TestCommandStopMakesOneIncarnationLeave(t *testing.T) {
	for name, test := range map[string]struct {
		events  []controller.Event
		leaving bool
	}{
		"the host is listed before the stop": {[]controller.Event{listed(0, cloud.Live, oldLife), stopped(2, oldLife)}, true},
		"the host is listed after the stop":  {[]controller.Event{stopped(2, oldLife), listed(0, cloud.Live, oldLife)}, true},
		"a later version no longer has the stop": {[]controller.Event{
			listed(0, cloud.Live, oldLife), stopped(2, oldLife),
			controller.ConfigurationSeen{Configuration: configuration.Configuration{Version: 3}}, listed(time.Second, cloud.Live, oldLife),
		}, true},
		"an older version is not believed":   {[]controller.Event{listed(0, cloud.Live, oldLife), stopped(3, newLife), stopped(2, oldLife)}, false},
		"the host came back in another life": {[]controller.Event{listed(0, cloud.Live, oldLife), stopped(2, oldLife), listed(time.Second, cloud.Live, newLife)}, false},
	} {
		e, ok := apply(t, test.events...)
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, e.Leaving, qt.Equals, test.leaving, qt.Commentf("%s", name))
	}
}
