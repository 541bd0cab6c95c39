// Package operator answers the operators' queries and carries out their
// commands, each one line of text.
package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"

	"github.com/dandelionlift/dandelionlift/internal/process/settings"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Path takes an Ask by POST and answers with a Table.
const Path = "/v1/operator"

// Ask is one line of an operator.
type Ask struct {
	// Command makes a repeat harmless; a query needs none.
	Command identity.Command `json:"command,omitempty"`
	Line    string           `json:"line"`
}

// Table is an answer. Rows have as many cells as there are Columns.
type Table struct {
	Columns []string   `json:"columns,omitempty"`
	Rows    [][]string `json:"rows,omitempty"`
	// Note is said below the table.
	Note string `json:"note,omitempty"`
	// Error is set, and nothing else, when the line was refused.
	Error string `json:"error,omitempty"`
}

// Operator answers lines.
type Operator struct {
	Snapshot func() *fleet.Snapshot
	// Work lists the requests being assembled.
	Work   func() []Work
	Tokens []settings.OperatorToken
}

// Work is one line of "show work".
type Work struct {
	Request      identity.Request
	Organisation identity.Organisation
	Service      identity.Service
	Endpoint     identity.Host
	Tokens       int64
	AgeMillis    int64
}

// Routes adds the operators' path to router.
func (o Operator) Routes(router *mux.Router) {
	router.HandleFunc(Path, o.serve).Methods(http.MethodPost)
}

func (o Operator) serve(w http.ResponseWriter, r *http.Request) {
	if !o.known(r) {
		reply(w, http.StatusUnauthorized, Table{Error: "unknown operator token"})
		return
	}
	var ask Ask
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		reply(w, http.StatusBadRequest, Table{Error: err.Error()})
		return
	}
	answer := o.Answer(ask)
	status := http.StatusOK
	if answer.Error != "" {
		status = http.StatusUnprocessableEntity
	}
	reply(w, status, answer)
}

func (o Operator) known(r *http.Request) bool {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	for _, t := range o.Tokens {
		if t.SHA256 == hex.EncodeToString(sum[:]) {
			return true
		}
	}
	return false
}

// Answer carries out one line.
func (o Operator) Answer(ask Ask) Table {
	switch strings.Join(strings.Fields(ask.Line), " ") {
	case "show endpoints":
		return o.endpoints(func(fleet.Endpoint) bool { return true })
	case "show leaving":
		return o.endpoints(func(e fleet.Endpoint) bool { return e.Leaving })
	case "show work":
		return o.work()
	default:
		return Table{Error: fmt.Sprintf("unknown line %q; try: show endpoints, show leaving, show work", ask.Line)}
	}
}

func (o Operator) endpoints(keep func(fleet.Endpoint) bool) Table {
	t := Table{Columns: []string{"endpoint", "incarnation", "service", "zone", "address", "state", "running", "waiting"}}
	for _, e := range o.Snapshot().Endpoints {
		if !keep(e) {
			continue
		}
		state := "live"
		if e.Leaving {
			state = "leaving"
		}
		t.Rows = append(t.Rows, []string{
			string(e.Host), string(e.Incarnation), string(e.Service), string(e.Zone), e.Address.String(), state,
			strconv.Itoa(e.Load.Running), strconv.Itoa(e.Load.Waiting),
		})
	}
	return t
}

func (o Operator) work() Table {
	t := Table{Columns: []string{"request", "organisation", "service", "endpoint", "tokens", "age_ms"}}
	for _, w := range o.Work() {
		t.Rows = append(t.Rows, []string{
			string(w.Request), string(w.Organisation), string(w.Service), string(w.Endpoint),
			strconv.FormatInt(w.Tokens, 10), strconv.FormatInt(w.AgeMillis, 10),
		})
	}
	return t
}

func reply(w http.ResponseWriter, status int, t Table) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(t)
}
