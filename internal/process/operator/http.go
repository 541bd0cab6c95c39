package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gorilla/mux"

	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Path is the path of the operators' API. A POST of a Request returns a Table. The
// status is 401 for an unknown token, 400 for a body that is not a Request, 409 with
// a Conflict, 503 if the outcome is unknown, and 422 for any other error.
const Path = "/v1/operator"

const maxRequestBytes = 64 * 1024

// RegisterRoutes registers Path on router.
func (in Interpreter) RegisterRoutes(router *mux.Router) {
	router.HandleFunc(Path, in.serve).Methods(http.MethodPost)
}

func (in Interpreter) serve(w http.ResponseWriter, r *http.Request) {
	operatorName, ok := in.authenticate(r)
	if !ok {
		writeTable(w, http.StatusUnauthorized, Table{Error: "unknown operator token"})
		return
	}
	var request Request
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeTable(w, http.StatusBadRequest, Table{Error: err.Error()})
		return
	}
	if request.Command == "" {
		request.Command = identity.NewCommand()
	}
	answer := in.Execute(r.Context(), operatorName, request)
	writeTable(w, answer.status(), answer)
}

// authenticate returns the name of the operator whose token a request carries.
func (in Interpreter) authenticate(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	digest := []byte(hex.EncodeToString(sum[:]))
	for _, t := range in.Tokens {
		if subtle.ConstantTimeCompare([]byte(t.SHA256), digest) == 1 {
			return t.Name, true
		}
	}
	return "", false
}

func (t Table) status() int {
	switch {
	case t.Error == "":
		return http.StatusOK
	case t.Conflict != nil:
		return http.StatusConflict
	case t.OutcomeUnknown:
		return http.StatusServiceUnavailable
	default:
		return http.StatusUnprocessableEntity
	}
}

func writeTable(w http.ResponseWriter, status int, t Table) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(t)
}
