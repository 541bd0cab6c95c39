// Package caller is a client of the public API, used by the load tool and the demo.
//
// # Lost connections
//
// An accepted request has an ID, which the response headers carry. If its
// connection is lost, Complete resumes reading under that ID at the entry host
// that PickAddress returns next, and discards tokens that it already has. If
// several hosts in a row don't know the ID, the entry host that held the request
// is taken to have failed, and Complete submits the request again.
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
	maxAttempts   = 40
	// If more than maxConsecutiveUnknown hosts in a row do not know a request, it
	// is considered lost with its entry host.
	maxConsecutiveUnknown = 4
	// retryDelay is the delay before a call is sent again.
	retryDelay = 250 * time.Millisecond
	jsonType   = "application/json"
)

// Client calls entry hosts.
type Client struct {
	HTTP *http.Client
	// PickAddress returns the address of an entry host, as a load balancer would.
	PickAddress func() string
}

// CompletionRequest is the body of a completion request.
type CompletionRequest struct {
	Model     identity.Service `json:"model"`
	Prompt    string           `json:"prompt"`
	MaxTokens unit.Tokens      `json:"max_tokens"`
	Stream    bool             `json:"stream"`
	Batch     bool             `json:"batch,omitempty"`
}

// Result is the outcome of a call.
type Result struct {
	Request identity.Request
	Text    string
	// Complete reports whether the answer was received to its end.
	Complete bool
	// Failure is why the answer is incomplete.
	Failure *verdict.Error
	// FirstToken is the time from sending the request to the first token or, for
	// a plain service, to the header of the response. TokenIntervals are the
	// times between tokens.
	FirstToken     time.Duration
	TokenIntervals []time.Duration
	// Reconnects is the number of attempts that ended without a result.
	Reconnects int
	Status     int
	// Attempts are the attempts of a call to a plain service in order.
	Attempts []Attempt
}

// Attempt is one attempt of a call to a plain service, with its verdict.
type Attempt struct {
	SentAt, AnsweredAt time.Time
	// Verdict is for this attempt alone: MayHaveRun if there was no answer.
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

// problem is the part of a problem document (RFC 9457) that callers use.
type problem struct {
	Verdict string         `json:"verdict"`
	Reason  verdict.Reason `json:"reason"`
	Detail  string         `json:"detail"`
	Request string         `json:"request"`
}

// answerReader is the state of an answer that is being read.
type answerReader struct {
	result    Result
	tokens    unit.Tokens
	sent      time.Time
	lastToken time.Time
	// consecutiveUnknown counts consecutive hosts that did not know the request.
	consecutiveUnknown int
}

// restart discards an answer that was lost with its entry host, so that the
// request is submitted again. A completion may be generated more than once.
func (r *answerReader) restart() {
	r.consecutiveUnknown = 0
	r.tokens = 0
	r.result.Request = ""
	r.result.Text = ""
}

// Complete submits a completion request and reads the answer to its end.
func (c Client) Complete(ctx context.Context, key string, completion CompletionRequest) Result {
	body, err := json.Marshal(completion)
	if err != nil {
		return Result{Failure: verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)}
	}
	r := &answerReader{sent: time.Now()}
	for attempt := range maxAttempts {
		if attempt > 0 {
			pause.For(ctx, retryDelay)
		}
		request, err := c.newRequest(ctx, r, body)
		if err != nil {
			return r.fail(verdict.Wrap(verdict.NotRun, verdict.BadRequest, err))
		}
		request.Header.Set("Authorization", "Bearer "+key)
		done, failure := c.read(request, r)
		if r.consecutiveUnknown > maxConsecutiveUnknown {
			r.restart()
		}
		if done {
			r.result.Failure = failure
			return r.result
		}
		r.result.Reconnects++
		if ctx.Err() != nil {
			break
		}
	}
	return r.fail(verdict.New(verdict.MayHaveRun, verdict.UnknownRequest, "connection was lost in every attempt"))
}

func (r *answerReader) fail(failure *verdict.Error) Result {
	r.result.Failure = failure
	return r.result
}

// newRequest returns a request that submits body, or that resumes the answer if
// the request ID is known.
func (c Client) newRequest(ctx context.Context, r *answerReader, body []byte) (*http.Request, error) {
	if r.result.Request != "" {
		target := "http://" + c.PickAddress() + "/v1/requests/" + string(r.result.Request) + "?stream=true"
		return http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.PickAddress()+engine.CompletionsPath, bytes.NewReader(body))
	if err == nil {
		request.Header.Set("Content-Type", jsonType)
	}
	return request, err
}

// read reads the answer from one connection; done is false if the connection was
// lost or the host did not know the request.
func (c Client) read(request *http.Request, r *answerReader) (done bool, failure *verdict.Error) {
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
		failure := readProblem(response)
		if request.Method == http.MethodGet && failure.Reason == verdict.UnknownRequest {
			r.consecutiveUnknown++
			return false, failure
		}
		return true, failure
	}
	r.consecutiveUnknown = 0
	return r.readEvents(response.Body)
}

// readEvents reads events until the end of the answer or of the connection.
func (r *answerReader) readEvents(body io.Reader) (done bool, failure *verdict.Error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	isError := false
	for lines.Scan() {
		line := lines.Text()
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			isError = true
		case !isData:
		case isError:
			return true, parseProblem([]byte(data))
		case data == "[DONE]":
			return true, nil
		default:
			r.addEvent([]byte(data))
		}
	}
	return false, nil
}

// addEvent adds the tokens of one event, except those already received. It splits
// the text into tokens after each space.
func (r *answerReader) addEvent(data []byte) {
	var e event
	if json.Unmarshal(data, &e) != nil || len(e.Choices) == 0 {
		return
	}
	if r.result.Request == "" {
		r.result.Request = e.ID
	}
	if e.Choices[0].FinishReason != nil {
		r.result.Complete = e.Offset == r.tokens
		return
	}
	textTokens := strings.SplitAfter(e.Choices[0].Text, " ")
	if n := len(textTokens); n > 0 && textTokens[n-1] == "" {
		textTokens = textTokens[:n-1]
	}
	if e.Offset > r.tokens {
		return
	}
	skip := r.tokens - e.Offset
	if skip >= unit.Tokens(len(textTokens)) {
		return
	}
	r.recordArrival(len(textTokens) - int(skip))
	r.result.Text += strings.Join(textTokens[skip:], "")
	r.tokens += unit.Tokens(len(textTokens)) - skip
}

// recordArrival records the arrival time of n tokens.
func (r *answerReader) recordArrival(n int) {
	now := time.Now()
	if r.lastToken.IsZero() {
		r.result.FirstToken = now.Sub(r.sent)
	} else {
		r.result.TokenIntervals = append(r.result.TokenIntervals, now.Sub(r.lastToken)/time.Duration(n))
	}
	r.lastToken = now
}

func readProblem(response *http.Response) *verdict.Error {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
	}
	return parseProblem(body)
}

func parseProblem(body []byte) *verdict.Error {
	var r problem
	if err := json.Unmarshal(body, &r); err != nil || r.Reason == "" {
		return verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, errors.Join(err, fmt.Errorf("answer is not a problem document: %q", body)))
	}
	return verdict.New(verdict.Parse(r.Verdict), r.Reason, r.Detail)
}
