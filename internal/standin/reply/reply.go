// Package reply writes the stand-ins' answers.
package reply

import (
	"encoding/json"
	"net/http"
)

// JSON answers with a status and a body.
func JSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
