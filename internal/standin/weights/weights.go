// Package weights simulates the rate-limited weight store for tests and demos.
package weights

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/weights"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// versionBytes is the size of each version's weights.
const versionBytes = 16 * unit.Gigabyte

// Store lists a single version of each service's weights. Limit limits the rate
// of calls.
type Store struct {
	Limit *rate.Limiter
}

// Handler returns a handler for the weight store's protocol.
func (s Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(wire.VersionsPath+"/{service}", s.versions).Methods(http.MethodGet)
	return router
}

func (s Store) versions(w http.ResponseWriter, r *http.Request) {
	if !s.Limit.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many loads", http.StatusTooManyRequests)
		return
	}
	service := identity.Service(mux.Vars(r)["service"])
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(wire.Versions{Versions: []wire.Weight{
		{Service: service, Version: "v1", Bytes: versionBytes},
	}})
}
