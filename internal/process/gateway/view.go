package gateway

import (
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/gorilla/mux"

	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
)

// RegisterOperatorRoutes registers the handlers for operators.
func (g *Gateway) RegisterOperatorRoutes(router *mux.Router) {
	router.HandleFunc("/endpoints", g.serveEndpoints).Methods(http.MethodGet)
}

// serveEndpoints lists the endpoints and why they get no calls from this host, or few.
func (g *Gateway) serveEndpoints(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "endpoint\tservice\tzone\taddress\tcalls")
	now := time.Now()
	for _, e := range g.Endpoints() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", e.Incarnation, e.Service, e.Zone, e.Address, g.callsTo(now, e))
	}
	// A write error means that the operator has disconnected.
	_ = table.Flush()
}

// callsTo tells whether an endpoint gets calls, or why it gets none or few.
func (g *Gateway) callsTo(now time.Time, e fleet.Endpoint) string {
	if g.advice.Leaving(e.Incarnation) {
		return "none: leaving, by its own answer"
	}
	if e.Leaving {
		return "none: leaving, or its address answers for another"
	}
	perSecond, limited := g.advice.Limits.Limited(e.Incarnation)
	switch closedFor := g.advice.ClosedFor(now, e.Incarnation); {
	case !g.advice.Permits(now, e.Incarnation):
		return fmt.Sprintf("none: quiet for %v", closedFor.Round(time.Millisecond))
	case closedFor > 0:
		return fmt.Sprintf("few: it was quiet, the next in %v", closedFor.Round(time.Millisecond))
	case limited:
		return fmt.Sprintf("few: limit of %g a second for all hosts", perSecond)
	default:
		return "yes"
	}
}

// leavingEndpoints returns the number of endpoints that get no calls since they are
// leaving, by any source.
func (g *Gateway) leavingEndpoints() int {
	count := 0
	for _, e := range *g.endpoints.Load() {
		if e.Leaving {
			count++
		}
	}
	return count
}
