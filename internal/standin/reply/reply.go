// Package reply writes the HTTP responses of the stand-ins.
package reply

import (
	"encoding/json"
	"net/http"
)

// JSON writes a response with a status and a JSON body.
func JSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
