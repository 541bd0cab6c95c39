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

// Path takes an Ask by POST and answers with a Table: 401 for an unknown token,
// 400 for a body that is no Ask, 409 with a Conflict, 503 when the outcome is
// unknown, and 422 for any other refusal.
const Path = "/v1/operator"

const longestAsk = 64 * 1024

// Routes adds the operators' path to router.
func (o Operator) Routes(router *mux.Router) {
	router.HandleFunc(Path, o.serve).Methods(http.MethodPost)
}

func (o Operator) serve(w http.ResponseWriter, r *http.Request) {
	by, ok := o.operator(r)
	if !ok {
		reply(w, http.StatusUnauthorized, Table{Error: "unknown operator token"})
		return
	}
	var ask Ask
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, longestAsk))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&ask); err != nil {
		reply(w, http.StatusBadRequest, Table{Error: err.Error()})
		return
	}
	if ask.Command == "" {
		ask.Command = identity.NewCommand()
	}
	answer := o.Answer(r.Context(), by, ask)
	reply(w, answer.status(), answer)
}

// operator finds whose token a request carries.
func (o Operator) operator(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	given := []byte(hex.EncodeToString(sum[:]))
	for _, t := range o.Tokens {
		if subtle.ConstantTimeCompare([]byte(t.SHA256), given) == 1 {
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

func reply(w http.ResponseWriter, status int, t Table) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(t)
}
