// Package caller is the callers' side of the outward interface, as the load
// tool and the demo use it.
//
// # Lost connections
//
// An accepted request has an id from the first byte of its answer on. Complete
// goes on under that id when its connection is lost, at whatever entry host
// Pick names next, and takes each token once. If no host knows the id any more,
// the entry host that held it died, and the draft is asked for anew.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	maxEventBytes = 1 << 20
	tries         = 40
	// toleratedUnknown is how many hosts in a row may not know a request before
	// it is taken for lost with its entry host.
	toleratedUnknown = 4
	// resendAfter is the pause before a call is sent again.
	resendAfter = 250 * time.Millisecond
	jsonType    = "application/json"
)

// Client calls entry hosts.
type Client struct {
	HTTP *http.Client
	// Pick names the address of an entry host, as a balancer would.
	Pick func() string
}

// Draft asks a model for an answer.
type Draft struct {
	Model     identity.Service `json:"model"`
	Prompt    string           `json:"prompt"`
	MaxTokens unit.Tokens      `json:"max_tokens"`
	Stream    bool             `json:"stream"`
	Batch     bool             `json:"batch,omitempty"`
}

// Result is what the caller got.
type Result struct {
	Request identity.Request
	Text    string
	// Whole is set when the answer's end was seen.
	Whole bool
	// Failure is why it was not whole.
	Failure *verdict.Error
	// FirstToken is measured from the sending; Gaps are the times between tokens.
	FirstToken time.Duration
	Gaps       []time.Duration
	// Reattached counts the connections that were lost on the way.
	Reattached int
	Status     int
	// Attempts are the sendings of a plain call in order.
	Attempts []Attempt
}

// Attempt is one sending of a plain call with what its caller may conclude.
type Attempt struct {
	Sent, Answered time.Time
	// Verdict is of this sending alone: MayHaveRun when no answer came.
	Verdict verdict.Verdict
}

// event is one server-sent event of an answer.
type event struct {
	ID      identity.Request `json:"id"`
	Offset  unit.Tokens      `json:"offset"`
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// refusal is the part of a problem that callers act on.
type refusal struct {
	Verdict string         `json:"verdict"`
	Reason  verdict.Reason `json:"reason"`
	Detail  string         `json:"detail"`
	Request string         `json:"request"`
}

// reading is one answer while it is read.
type reading struct {
	result Result
	tokens unit.Tokens
	sent   time.Time
	last   time.Time
	// unknown counts the hosts in a row that did not know the request.
	unknown int
}

// restart forgets an answer that died with its entry host, so that the draft is
// asked for anew. An answer to a draft may be generated again.
func (r *reading) restart() {
	r.unknown = 0
	r.tokens = 0
	r.result.Request = ""
	r.result.Text = ""
}

// Complete asks for a draft and reads it to its end.
func (c Client) Complete(ctx context.Context, key string, draft Draft) Result {
	body, err := json.Marshal(draft)
	if err != nil {
		return Result{Failure: verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)}
	}
	r := &reading{sent: time.Now()}
	for try := range tries {
		if try > 0 {
			pause.For(ctx, resendAfter)
		}
		request, err := c.request(ctx, r, body)
		if err != nil {
			return r.fail(verdict.Wrap(verdict.NotRun, verdict.BadRequest, err))
		}
		request.Header.Set("Authorization", "Bearer "+key)
		done, failure := c.read(request, r)
		if r.unknown > toleratedUnknown {
			r.restart()
		}
		if done {
			r.result.Failure = failure
			return r.result
		}
		r.result.Reattached++
		if ctx.Err() != nil {
			break
		}
	}
	return r.fail(verdict.New(verdict.MayHaveRun, verdict.UnknownRequest, "connection lost for good"))
}

func (r *reading) fail(failure *verdict.Error) Result {
	r.result.Failure = failure
	return r.result
}

// request is the first one, or the one that goes on under the id.
func (c Client) request(ctx context.Context, r *reading, body []byte) (*http.Request, error) {
	if r.result.Request != "" {
		target := "http://" + c.Pick() + "/v1/requests/" + string(r.result.Request) + "?stream=true"
		return http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Pick()+engine.CompletionsPath, bytes.NewReader(body))
	if err == nil {
		request.Header.Set("Content-Type", jsonType)
	}
	return request, err
}

// read follows one connection; done is false when it was lost.
func (c Client) read(request *http.Request, r *reading) (done bool, failure *verdict.Error) {
	response, err := c.HTTP.Do(request)
	if err != nil {
		return false, nil
	}
	defer response.Body.Close()
	r.result.Status = response.StatusCode
	if id := response.Header.Get(engine.RequestHeader); id != "" {
		r.result.Request = identity.Request(id)
	}
	if response.StatusCode != http.StatusOK {
		failure := readRefusal(response)
		if request.Method == http.MethodGet && failure.Reason == verdict.UnknownRequest {
			r.unknown++
			return false, failure
		}
		return true, failure
	}
	r.unknown = 0
	return r.follow(response.Body)
}

// follow reads events until the answer's end or the connection's.
func (r *reading) follow(body io.Reader) (done bool, failure *verdict.Error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	failing := false
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failing = true
		case !isData:
		case failing:
			return true, parseRefusal([]byte(data))
		case data == "[DONE]":
			return true, nil
		default:
			r.take([]byte(data))
		}
	}
	return false, nil
}

// take adds one event's tokens, less those already read.
func (r *reading) take(data []byte) {
	var e event
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return
	}
	if r.result.Request == "" {
		r.result.Request = e.ID
	}
	if e.Choices[0].FinishReason != nil {
		r.result.Whole = e.Offset == r.tokens
		return
	}
	words := strings.SplitAfter(e.Choices[0].Text, " ")
	if n := len(words); n > 0 && words[n-1] == "" {
		words = words[:n-1]
	}
	if e.Offset > r.tokens {
		return
	}
	skip := r.tokens - e.Offset
	if skip >= unit.Tokens(len(words)) {
		return
	}
	r.time(len(words) - int(skip))
	r.result.Text += strings.Join(words[skip:], "")
	r.tokens += unit.Tokens(len(words)) - skip
}

// time notes when n tokens arrived.
func (r *reading) time(n int) {
	now := time.Now()
	if r.last.IsZero() {
		r.result.FirstToken = now.Sub(r.sent)
	} else {
		r.result.Gaps = append(r.result.Gaps, now.Sub(r.last)/time.Duration(n))
	}
	r.last = now
}

func readRefusal(response *http.Response) *verdict.Error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
	}
	return parseRefusal(body)
}

func parseRefusal(body []byte) *verdict.Error {
	var r refusal
	if err := json.Unmarshal(body, &r); err != nil || r.Reason == "" {
		return verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, errors.Join(err, fmt.Errorf("answer %q", body)))
	}
	return verdict.New(verdict.Parse(r.Verdict), r.Reason, r.Detail)
}
