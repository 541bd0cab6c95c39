package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dandelionlift/dandelionlift/internal/connection/caller"
	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

const unknownRequest = "unknown"

// scriptedClient returns a client of a server that answers the n-th request with
// the n-th text and appends its method and path to paths. After a text without
// [DONE] the server aborts the connection, so the problem for an unknown request
// contains it too.
func scriptedClient(t *testing.T, paths *[]string, texts ...string) caller.Client {
	var n atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*paths = append(*paths, r.Method+" "+r.URL.Path)
		text := texts[n.Add(1)-1]
		w.Header().Set(engine.RequestHeader, "r1")
		if text == unknownRequest {
			w.WriteHeader(http.StatusNotFound)
			text = "{\"verdict\":\"may_have_run\",\"reason\":\"unknown_request\",\"detail\":\"[DONE]\"}"
		}
		fmt.Fprint(w, text)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if !strings.Contains(text, "[DONE]") {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(server.Close)
	return caller.Client{HTTP: server.Client(), PickAddress: func() string { return strings.TrimPrefix(server.URL, "http://") }}
}

func tokenEvent(offset int, text string) string {
	return fmt.Sprintf("data: {\"id\":\"r1\",\"offset\":%d,\"choices\":[{\"text\":%q,\"finish_reason\":null}]}\n\n", offset, text)
}

func finalEvents(offset int) string {
	return fmt.Sprintf("data: {\"offset\":%d,\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", offset)
}

func TestCompleteResumesWithoutDuplicateTokens(t *testing.T) {
	c := qt.New(t)
	var paths []string
	client := scriptedClient(t, &paths, tokenEvent(0, "a b "), tokenEvent(0, "a b c ")+tokenEvent(3, "d ")+finalEvents(4))
	r := client.Complete(context.Background(), "k", caller.CompletionRequest{})
	c.Check(r.Text, qt.Equals, "a b c d ")
	c.Check(r.Complete, qt.IsTrue)
	c.Check(r.Reconnects, qt.Equals, 1)
	c.Check(paths, qt.DeepEquals, []string{"POST /v1/completions", "GET /v1/requests/r1"})
}

func TestCompleteDetectsTruncatedAnswer(t *testing.T) {
	c := qt.New(t)
	var paths []string
	client := scriptedClient(t, &paths, tokenEvent(0, "a ")+finalEvents(2))
	c.Check(client.Complete(context.Background(), "k", caller.CompletionRequest{}).Complete, qt.IsFalse)
}

func TestCompleteReportsErrorInStream(t *testing.T) {
	c := qt.New(t)
	var paths []string
	problem := "event: error\ndata: {\"verdict\":\"may_have_run\",\"reason\":\"endpoint_lost\"}\n\n"
	client := scriptedClient(t, &paths, tokenEvent(0, "a ")+problem)
	r := client.Complete(context.Background(), "k", caller.CompletionRequest{})
	c.Assert(r.Failure, qt.Not(qt.IsNil))
	c.Check(r.Failure.Reason, qt.Equals, verdict.EndpointLost)
	c.Check(r.Failure.Verdict, qt.Equals, verdict.MayHaveRun)
}

func TestCompleteResubmitsAfterEntryHostFails(t *testing.T) {
	c := qt.New(t)
	var paths []string
	texts := []string{tokenEvent(0, "a b "), unknownRequest, unknownRequest, unknownRequest, unknownRequest, unknownRequest, tokenEvent(0, "x y ") + finalEvents(2)}
	r := scriptedClient(t, &paths, texts...).Complete(context.Background(), "k", caller.CompletionRequest{})
	c.Check(r.Text, qt.Equals, "x y ")
	c.Check(r.Complete, qt.IsTrue)
	c.Check(paths[len(paths)-1], qt.Equals, "POST /v1/completions")
}
