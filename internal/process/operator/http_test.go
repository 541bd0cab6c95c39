package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/gorilla/mux"

	"github.com/dandelionlift/dandelionlift/internal/process/operator"
)

func TestOperatorOverHTTP(t *testing.T) {
	configured := newHost(bootstrapped(t, newMemoryStore()))
	counted := make(map[operator.Outcome]int)
	configured.OnOutcome = func(o operator.Outcome) { counted[o]++ }
	router := mux.NewRouter()
	configured.RegisterRoutes(router)
	unconfigured := newHost(newMemoryStore())
	unconfiguredRouter := mux.NewRouter()
	unconfigured.RegisterRoutes(unconfiguredRouter)
	for _, test := range []struct {
		router *mux.Router
		token  string
		body   string
		status int
		want   string
	}{
		{router, "Bearer operator", `{"line":"show endpoints"}`, 200, ""},
		{router, "Bearer operator ", `{"line":"show endpoints"}`, 401, "unknown operator token"},
		{router, "operator", `{"line":"show endpoints"}`, 401, "unknown operator token"},
		{router, "Bearer ", `{"line":"show endpoints"}`, 401, "unknown operator token"},
		{router, "", `{"line":"show endpoints"}`, 401, "unknown operator token"},
		{router, "Bearer operator", `{"lines":"show endpoints"}`, 400, `.*unknown field "lines"`},
		{router, "Bearer operator", `show endpoints`, 400, ".*"},
		{router, "Bearer operator", `{"line":"` + strings.Repeat(" ", 70_000) + `"}`, 400, ".*too large"},
		{router, "Bearer operator", `{"line":"show wrk"}`, 422, "(?s)column 6.*"},
		{router, "Bearer operator", `{"command":"x","line":"set service drafts retry_share = 0.2 if version 9"}`, 409, "refused: .*"},
		{router, "Bearer operator", `{"command":"y","line":"set service drafts retry_share = 0.2 if version 1"}`, 200, ""},
		{unconfiguredRouter, "Bearer operator", `{"command":"z","line":"set service drafts retry_share = 0.2"}`, 503, "the outcome is not known: .*; repeat with the command id z"},
	} {
		request := httptest.NewRequest(http.MethodPost, operator.Path, strings.NewReader(test.body))
		request.Header.Set("Authorization", test.token)
		w := httptest.NewRecorder()
		test.router.ServeHTTP(w, request)
		var answer operator.Table
		quicktest.Check(t, json.Unmarshal(w.Body.Bytes(), &answer), quicktest.IsNil)
		quicktest.Check(t, w.Code, quicktest.Equals, test.status, quicktest.Commentf("%s", test.body))
		quicktest.Check(t, answer.Error, quicktest.Matches, test.want)
	}
	configured.execute("z", "amal", "set service drafts retry_share = 0.3 dry run")
	unconfigured.OnOutcome = configured.OnOutcome
	unconfigured.execute("z", "amal", "set service drafts retry_share = 0.2")
	quicktest.Assert(t, counted, quicktest.DeepEquals, map[operator.Outcome]int{
		operator.Answered: 1, operator.DryRun: 1, operator.Accepted: 1, operator.Refused: 1, operator.Conflicted: 1, operator.OutcomeUnknown: 1,
	})
	docs, err := os.ReadFile("../../../docs/METRICS.md")
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, outcome := range operator.Outcomes {
		quicktest.Check(t, string(docs), quicktest.Contains, "`"+string(outcome)+"`")
	}
	history := configured.execute("", "amal", "show history")
	quicktest.Assert(t, history.Rows, quicktest.HasLen, 1)
	quicktest.Assert(t, history.Rows[0][2], quicktest.Equals, "amal")
}
