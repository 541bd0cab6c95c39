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

func withStop(version identity.Version, incarnation identity.Incarnation) controller.ConfigurationUpdate {
	c := configuration.Configuration{Version: version}
	return controller.ConfigurationUpdate{Configuration: c.WithStop(configuration.Stop{Host: "h", Incarnation: incarnation})}
}

func TestCommandStopMakesOneIncarnationLeave(t *testing.T) {
	for name, test := range map[string]struct {
		events  []controller.Event
		leaving bool
	}{
		"the host is listed before the stop": {[]controller.Event{hostList(0, cloud.Live, oldIncarnation), withStop(2, oldIncarnation)}, true},
		"the host is listed after the stop":  {[]controller.Event{withStop(2, oldIncarnation), hostList(0, cloud.Live, oldIncarnation)}, true},
		"a later version no longer has the stop": {[]controller.Event{
			hostList(0, cloud.Live, oldIncarnation), withStop(2, oldIncarnation),
			controller.ConfigurationUpdate{Configuration: configuration.Configuration{Version: 3}}, hostList(time.Second, cloud.Live, oldIncarnation),
		}, true},
		"an older version is ignored":    {[]controller.Event{hostList(0, cloud.Live, oldIncarnation), withStop(3, newIncarnation), withStop(2, oldIncarnation)}, false},
		"the host has a new incarnation": {[]controller.Event{hostList(0, cloud.Live, oldIncarnation), withStop(2, oldIncarnation), hostList(time.Second, cloud.Live, newIncarnation)}, false},
	} {
		e, ok := apply(t, test.events...)
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, e.Leaving, qt.Equals, test.leaving, qt.Commentf("%s", name))
	}
}
